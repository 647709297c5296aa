package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// crashed is a run on a target between two times in milliseconds.
func crashed(request string, target, began, ended int) relay.CrashedRun {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	return relay.CrashedRun{
		Request: relay.NewFingerprint("o", "POST", "h", "/"+request, nil), Target: relay.TargetKey(target),
		Began: at(began), Ended: at(ended),
	}
}

func TestRequestWithSequentialCrashesIsFound(t *testing.T) {
	cases := []struct {
		name string
		runs []relay.CrashedRun
		want bool
	}{
		{"one", []relay.CrashedRun{crashed("a", 1, 0, 100)}, false},
		{"sent again each time", []relay.CrashedRun{crashed("a", 1, 0, 100), crashed("a", 2, 201, 250), crashed("a", 3, 900, 990)}, true},
		{"sent on at once, within the skew of two VMs", []relay.CrashedRun{crashed("a", 1, 0, 100), crashed("a", 2, 150, 250), crashed("a", 3, 900, 990)}, false},
		{"a rack fails under short runs, reported with different delays", []relay.CrashedRun{crashed("a", 1, 50, 60), crashed("a", 2, 70, 77), crashed("a", 3, 90, 94), crashed("a", 4, 108, 111), crashed("a", 5, 140, 150)}, false},
		{"reported twice", []relay.CrashedRun{crashed("a", 1, 0, 100), crashed("a", 1, 0, 102), crashed("a", 1, 0, 100)}, false},
		{"reported again with other delays", []relay.CrashedRun{crashed("a", 1, 0, 1), crashed("a", 1, 5, 6), crashed("a", 1, 900, 901)}, false},
		{"a rack fails under copies", []relay.CrashedRun{crashed("a", 1, 0, 100), crashed("a", 2, 20, 101), crashed("a", 3, 50, 100), crashed("a", 4, 99, 103)}, false},
		{"a hall fails within a second, and new copies are sent there", []relay.CrashedRun{crashed("a", 1, 0, 100), crashed("a", 2, 40, 300), crashed("a", 3, 90, 700)}, false},
		{"reports in another order", []relay.CrashedRun{crashed("a", 3, 900, 990), crashed("a", 1, 0, 100), crashed("a", 2, 201, 250)}, true},
		{"copies in pairs", []relay.CrashedRun{crashed("a", 1, 0, 100), crashed("a", 2, 10, 130), crashed("a", 3, 900, 990), crashed("a", 4, 910, 1000)}, true},
		{"two racks, one copy on the second", []relay.CrashedRun{crashed("a", 1, 0, 100), crashed("a", 2, 10, 100), crashed("a", 3, 900, 990)}, false},
		{"a long run beside two short ones", []relay.CrashedRun{crashed("a", 1, 0, 5000), crashed("a", 2, 100, 200), crashed("a", 3, 300, 400)}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := relay.NewSuspects()
			got := false
			for _, r := range c.runs {
				got = s.Record(r)
			}
			require.Equal(t, c.want, got)
		})
	}
}

func TestCompleteAnswerClearsRequest(t *testing.T) {
	s := relay.NewSuspects()
	s.Record(crashed("a", 1, 0, 100))
	s.Record(crashed("a", 2, 201, 300))
	s.Clear(crashed("a", 1, 0, 0).Request, crashed("a", 1, 0, 310).Ended)
	require.False(t, s.Record(crashed("a", 2, 201, 300)), "a late report of an earlier run")
	require.False(t, s.Record(crashed("a", 3, 400, 500)))
	require.False(t, s.Record(crashed("a", 4, 650, 700)))
	require.True(t, s.Record(crashed("a", 5, 850, 900)))
}

// Copies arrive so fast that all runs that are kept overlap: what was before them counts.
func TestBurstOfCrashesIsFound(t *testing.T) {
	s := relay.NewSuspects()
	s.Record(crashed("a", 1, 0, 100))
	found := false
	for i := range 50 {
		found = s.Record(crashed("a", 2+i, 1000+i, 1050+i))
	}
	require.True(t, found)
}

func TestSuspectsAreBoundedAndKeepTheNewest(t *testing.T) {
	s := relay.NewSuspects()
	for i := range 5000 {
		s.Record(crashed(fmt.Sprint("other-", i), 1, 300*i, 300*i+5))
		s.Record(crashed("a", 2+i%2, 300*i+6, 300*i+9))
	}
	require.LessOrEqual(t, s.Len(), 1024)
	require.True(t, s.Record(crashed("a", 9, 1600000, 1600001)), "a request with new reports stays")
}

// The result is the same in any order, and however often a report arrives.
func TestSuspicionIsIndependentOfReportOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runs := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) relay.CrashedRun {
			began := rapid.IntRange(0, 1000).Draw(t, "began")
			return crashed("a", rapid.IntRange(1, 1000).Draw(t, "target"), began, began+rapid.IntRange(1, 300).Draw(t, "took"))
		}), 1, 8, func(r relay.CrashedRun) relay.TargetKey { return r.Target }).Draw(t, "runs")
		quarantined := func(runs []relay.CrashedRun) bool {
			s := relay.NewSuspects()
			got := false
			for _, r := range runs {
				got = s.Record(r)
			}
			return got
		}
		require.Equal(t, quarantined(runs), quarantined(append(rapid.Permutation(runs).Draw(t, "again"), runs...)))
	})
}

func TestFingerprintsDifferByRequest(t *testing.T) {
	own := relay.NewFingerprint("o", "POST", "h", "/a/b", []byte("body"))
	require.Equal(t, own, relay.NewFingerprint("o", "POST", "h", "/a/b", []byte("body")))
	for _, other := range []relay.Fingerprint{
		relay.NewFingerprint("p", "POST", "h", "/a/b", []byte("body")),
		relay.NewFingerprint("o", "PUT", "h", "/a/b", []byte("body")),
		relay.NewFingerprint("o", "POST", "g", "/a/b", []byte("body")),
		relay.NewFingerprint("o", "POST", "h", "/a/b?c", []byte("body")),
		relay.NewFingerprint("o", "POST", "h", "/a/b", []byte("bod")),
		relay.NewFingerprint("o", "POST", "h", "/a/", []byte("bbody")),
	} {
		require.NotEqual(t, own, other)
	}
}

func TestRecentKeepsRecentValues(t *testing.T) {
	r := relay.NewRecentSet[int](3, time.Minute)
	at := func(s int) time.Time { return time.Unix(1000, 0).Add(time.Duration(s) * time.Second) }
	r.Add(1, at(0))
	require.True(t, r.Has(1, at(59)))
	require.True(t, r.Has(1, at(70)), "it is in the previous generation")
	require.False(t, r.Has(1, at(130)))
	require.False(t, r.Has(1, at(10000)))
	for i := range 100 {
		r.Add(i, at(20000))
	}
	require.True(t, r.Has(99, at(20000)))
	require.False(t, r.Has(90, at(20000)), "the set is bounded")
}

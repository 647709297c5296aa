package relay_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/spoolbank/spoolbank/internal/relay"
)

var holdingTerms = relay.HoldingTerms{Each: 100, Grace: 2 * time.Second, Unread: 30 * time.Second}

var holdingStart = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return holdingStart.Add(time.Duration(seconds * float64(time.Second)))
}

// Each row fills holdings of a bound of 160, of which answers may take 120, and asks for more at
// 10 s.
func TestEvictionOrder(t *testing.T) {
	type put struct {
		bytes      int64
		at, readAt float64
	}
	for _, test := range []struct {
		name  string
		puts  []put
		asked int64
		taken int64
		ends  []relay.HoldingID
	}{
		{"there is room", []put{{40, 0, 0}, {40, 0, 0}}, 40, 40, nil},
		{"the one that holds most is evicted first", []put{{40, 0, 0}, {80, 0, 0}}, 40, 40, []relay.HoldingID{2}},
		{"the one that is unread longest is evicted first", []put{{60, 0, 0}, {60, 5, 0}}, 40, 40, []relay.HoldingID{1}},
		{"little unread for long weighs less than much unread for less", []put{{10, 0, 0}, {100, 4, 0}}, 40, 40, []relay.HoldingID{2}},
		{"as many as are needed are evicted", []put{{60, 0, 0}, {60, 0, 0}}, 80, 80, []relay.HoldingID{1, 2}},
		{"a recent reader is not evicted for a new request", []put{{60, 0, 9}, {60, 0, 9.5}}, 40, 2, nil},
		{"a reader is skipped", []put{{80, 0, 9}, {40, 0, 0}}, 20, 20, []relay.HoldingID{2}},
		{"none is evicted if that would not make enough room", []put{{100, 0, 9}, {20, 0, 0}}, 60, 1, nil},
		{"no holding exceeds its own bound", nil, 300, 100, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := relay.NewHoldings(holdingTerms, 160)
			for _, p := range test.puts {
				id := h.Open()
				taken, ends := h.Buffer(id, p.bytes, at(p.at))
				require.Equal(t, p.bytes, taken)
				require.Empty(t, ends)
				h.Blocked(id, at(p.at))
				if p.readAt > 0 {
					h.Read(id, 1)
					h.Blocked(id, at(p.readAt))
				}
			}
			taken, ends := h.Buffer(h.Open(), test.asked, at(10))
			require.Equal(t, test.taken, taken)
			require.Equal(t, test.ends, ends)
		})
	}
}

func TestUnreadAnswersLeaveRoomForNewRequests(t *testing.T) {
	h := relay.NewHoldings(holdingTerms, 160)
	for range 3 {
		id := h.Open()
		h.Buffer(id, 100, at(0))
		h.Blocked(id, at(0))
	}
	require.Equal(t, int64(120), h.Held(relay.SideCallers))
	ok, ends := h.Reserve(h.Open(), relay.SideTargets, 40, at(0))
	require.True(t, ok)
	require.Empty(t, ends)
	fresh := h.Open()
	ok, ends = h.Reserve(fresh, relay.SideTargets, 1, at(0))
	require.False(t, ok, "the bound applies to all holdings together")
	require.Empty(t, ends)
	ok, ends = h.Reserve(fresh, relay.SideTargets, 1, at(2))
	require.True(t, ok, "a holding whose caller reads nothing is evicted")
	require.Equal(t, []relay.HoldingID{1}, ends)
}

func TestUnreadHoldingsEndAfterTimeout(t *testing.T) {
	h := relay.NewHoldings(holdingTerms, 160)
	idle, slow, still := h.Open(), h.Open(), h.Open()
	h.Buffer(slow, 20, at(0))
	h.Buffer(still, 20, at(0))
	h.Blocked(slow, at(0))
	h.Blocked(still, at(0))
	h.Blocked(still, at(20))
	h.Read(slow, 1)
	h.Blocked(slow, at(20))
	require.Equal(t, 2, h.Behind())
	require.Empty(t, h.EndOverdue(at(29)))
	require.Equal(t, []relay.HoldingID{still}, h.EndOverdue(at(31)))
	require.Empty(t, h.EndOverdue(at(31)))
	h.Read(slow, 19)
	require.Zero(t, h.Behind())
	h.Close(idle)
	require.Zero(t, h.Held(relay.SideCallers))
}

// A VM that is too busy to write does not know whether its callers read.
func TestCallerNotWrittenToIsNotEvicted(t *testing.T) {
	h := relay.NewHoldings(holdingTerms, 160)
	for range 2 {
		h.Buffer(h.Open(), 60, at(0))
	}
	taken, ends := h.Buffer(h.Open(), 40, at(100))
	require.Zero(t, taken)
	require.Empty(t, ends)
	require.Empty(t, h.EndOverdue(at(100)))
}

func TestHoldingsStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := relay.NewHoldings(holdingTerms, 500)
		var ids []relay.HoldingID
		now := holdingStart
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			bytes := rapid.Int64Range(1, 200).Draw(t, "bytes")
			if len(ids) == 0 || rapid.Bool().Draw(t, "open") {
				ids = append(ids, h.Open())
			}
			id := rapid.SampledFrom(ids).Draw(t, "id")
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				h.Reserve(id, relay.SideTargets, bytes, now)
			case 1:
				h.Read(id, bytes)
			case 2:
				h.Close(id)
			case 3:
				h.Blocked(id, now)
			default:
				h.Buffer(id, bytes, now)
			}
			held := h.Held(relay.SideCallers) + h.Held(relay.SideTargets)
			if held < 0 || held > 500 {
				t.Fatalf("%d bytes are held", held)
			}
		}
		for _, id := range ids {
			h.Close(id)
		}
		if h.Held(relay.SideCallers) != 0 || h.Held(relay.SideTargets) != 0 || h.Behind() != 0 {
			t.Fatalf("bytes are held after all holdings are closed")
		}
	})
}

func TestHoldingBound(t *testing.T) {
	const mb = 1 << 20
	require.Equal(t, int64(49*mb), relay.Memory{Limit: 184 * mb, Program: 16 * mb, InUse: 21 * mb}.HoldingBound())
	require.Equal(t, int64(10*mb), relay.Memory{Limit: 160 * mb, Program: 16 * mb, InUse: 150 * mb}.HoldingBound())
	require.Equal(t, relay.Unbounded, relay.Memory{Program: 16 * mb, InUse: 150 * mb}.HoldingBound())
}

func TestSlowTargetLeavesRoomForOtherBodies(t *testing.T) {
	h := relay.NewHoldings(holdingTerms, 160)
	require.True(t, h.Send("a", 100), "one body may be sent however large it is")
	require.False(t, h.Send("a", 1))
	require.True(t, h.Send("b", 30))
	require.True(t, h.Send("b", 10))
	require.False(t, h.Send("b", 1))
	h.Sent("b", 30)
	require.True(t, h.Send("b", 30))
	h.Sent("a", 100)
	require.True(t, h.Send("a", 100))
}

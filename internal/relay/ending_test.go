package relay_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// A VM is reloaded and ordered to stop half a second later. A stream that it accepted 0.7 s after
// that would be cut at the end of the grace time, 7 s later.
func TestStreamThatOutlastsStopIsRefused(t *testing.T) {
	const token = 15 * time.Millisecond
	stop := relay.PlannedStop{}.WithReload(start).WithEnd(start.Add(8 * time.Second))
	now := start.Add(1400 * time.Millisecond)
	tests := []struct {
		name       string
		ending     relay.PlannedStop
		hint, most int
		now        time.Time
		outlasts   bool
	}{
		{"no stop", relay.PlannedStop{}.WithReload(start), 1000, 0, now, false},
		{"estimate that may be exceeded three times, after a reload", stop, 170, 600, now, true},
		{"the same bounded", stop, 170, 300, now, false},
		{"the same without a reload", relay.PlannedStop{}.WithEnd(stop.At), 170, 600, now, false},
		{"long without a reload", relay.PlannedStop{}.WithEnd(stop.At), 500, 600, now, true},
		{"short after a reload", stop, 100, 600, now, false},
		{"reload long ago", stop, 170, 600, start.Add(2500 * time.Millisecond), false},
		{"no estimate", stop, 0, 600, now, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			answer := time.Duration(test.ending.EstimatedTokens(test.hint, test.most, test.now)) * token
			require.Equal(t, test.outlasts, test.ending.Outlasts(answer, test.now))
		})
	}
}

// A stream that is accepted shortly after a reload, and is at most three times as long as
// estimated, ends before the VM does.
func TestStreamAcceptedAfterReloadIsNotCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		millis := func(most int, name string) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		stop := relay.PlannedStop{}.WithReload(start).WithEnd(start.Add(millis(10000, "end")))
		now := start.Add(millis(1999, "arrival"))
		token := millis(50, "token")
		hint := rapid.IntRange(1, 1000).Draw(t, "hint")
		answer := time.Duration(stop.EstimatedTokens(hint, 0, now)) * token
		if stop.Outlasts(answer, now) {
			return
		}
		length := rapid.IntRange(0, 3*hint).Draw(t, "length")
		require.False(t, now.Add(time.Duration(length)*token).After(stop.At))
	})
}

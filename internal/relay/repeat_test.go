package relay_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// Where a dark engine took no connection, callers were refused for want of a budget that
// nothing had been spent of.
func TestWhatWasNotSentIsNoRepeat(t *testing.T) {
	r, route := newRouter(engines(today))
	r.TakeVMs(100000)
	_, reason := r.MayRepeat(relay.Attempts{Route: route, Service: "s", Asked: 1, Sent: 1, Reached: true}, start)
	require.Equal(t, "the budget of repeats is used up", reason)
	ok, reason := r.MayRepeat(relay.Attempts{Route: route, Service: "s", Asked: 1}, start)
	require.True(t, ok, reason)
	ok, _ = r.MayRepeat(relay.Attempts{Route: route, Service: "s", Asked: 4}, start)
	require.False(t, ok, "not without end")
}

func TestWhoMayBeAskedAgain(t *testing.T) {
	once := relay.Route{Repeat: relay.RepeatNever, MaxTargets: 1}
	never := relay.Route{Repeat: relay.RepeatNever, MaxTargets: 3}
	resume := relay.Route{Repeat: relay.RepeatResume, MaxTargets: 2}
	tests := []struct {
		name     string
		attempts relay.Attempts
		may      bool
	}{
		{"one target allowed, not reached", relay.Attempts{Route: &once, Asked: 1}, true},
		{"one target allowed, refused by it", relay.Attempts{Route: &once, Asked: 1, Sent: 1, Reached: true}, false},
		{"may run once, refused", relay.Attempts{Route: &never, Asked: 1, Sent: 1, Reached: true}, true},
		{"may run once, may have run", relay.Attempts{Route: &never, Asked: 1, Sent: 1, Ran: 1, Reached: true}, false},
		{"may run once, may have run, then not reached", relay.Attempts{Route: &never, Asked: 2, Sent: 1, Ran: 1}, false},
		{"resumes, ran once", relay.Attempts{Route: &resume, Asked: 1, Sent: 1, Ran: 1, Reached: true}, true},
		{"resumes, ran twice", relay.Attempts{Route: &resume, Asked: 2, Sent: 2, Ran: 2, Reached: true}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, _ := newRouter(engines(today))
			test.attempts.Service = "s"
			ok, _ := r.MayRepeat(test.attempts, start.Add(time.Second))
			require.Equal(t, test.may, ok)
		})
	}
}

// An answer whose engines had said nothing for 60 ms was given up at a start, when its VM
// had no repeat left: it could not go on elsewhere, and its caller lost it.
func TestWhetherItCouldBeRepeatedIsKnownBeforeATryIsGivenUp(t *testing.T) {
	r, route := newRouter(engines(today))
	sent := relay.Attempts{Route: route, Service: "s", Asked: 1, Sent: 1, Ran: 1, Reached: true, Begun: true}
	for range 1000 {
		require.True(t, r.CouldRepeat(sent, start), "to look takes nothing")
	}
	r.TakeVMs(100000)
	require.False(t, r.CouldRepeat(sent, start))
	ran := sent
	ran.Asked, ran.Sent, ran.Ran = 2, 2, 2
	require.False(t, r.CouldRepeat(ran, start), "its route allows two targets")
}

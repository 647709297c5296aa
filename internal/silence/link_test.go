package silence_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/silence"
)

const (
	bound = 1200 * time.Millisecond
	ms    = time.Millisecond
)

var start = time.Unix(1000, 0)

// checkUntilSilent checks a link whenever it is due. It returns the time from start until the
// link is found silent, or zero if no further check is due.
func checkUntilSilent(l silence.Link, onProbe func(l silence.Link, at time.Time) silence.Link) time.Duration {
	for {
		at, due := l.NextCheck()
		if !due {
			return 0
		}
		var action silence.Action
		l, action = l.Check(at)
		switch action {
		case silence.ConnSilent:
			return at.Sub(start)
		case silence.SendProbe:
			l = onProbe(l.Probed(at), at)
		}
	}
}

func unanswered(l silence.Link, _ time.Time) silence.Link { return l }

// newUsedLink returns a link whose probes had a given round-trip time.
func newUsedLink(trip time.Duration) silence.Link {
	l := silence.NewLink(bound)
	at := start.Add(-10 * time.Minute)
	for range 50 {
		var n uint64
		l, n = l.Sent(at)
		l = l.Probed(at).Acked(n, at.Add(trip))
		at = at.Add(time.Second)
	}
	for range 50 {
		var n uint64
		l, n = l.Sent(at)
		l = l.Acked(n, at)
		at = at.Add(time.Second)
	}
	return l
}

func TestSilentLinkIsVoidWithinBound(t *testing.T) {
	for _, trip := range []time.Duration{ms, 40 * ms, 150 * ms, 2 * time.Second} {
		l, _ := newUsedLink(trip).Sent(start)
		took := checkUntilSilent(l, unanswered)
		require.Positive(t, took, trip)
		require.LessOrEqual(t, took, bound, trip)
	}
	l, _ := newUsedLink(ms).Sent(start)
	require.Equal(t, 300*ms, checkUntilSilent(l, unanswered))
}

func TestIdleLinkIsNeverDue(t *testing.T) {
	_, due := newUsedLink(ms).NextCheck()
	require.False(t, due)
	_, due = silence.NewLink(bound).NextCheck()
	require.False(t, due)
}

// Where traffic flows one way only, the answers to probes are the only acknowledgements.
func TestAnsweredProbeAcknowledgesMessages(t *testing.T) {
	l, n := newUsedLink(ms).Sent(start)
	probes := 0
	took := checkUntilSilent(l, func(l silence.Link, at time.Time) silence.Link {
		probes++
		return l.Acked(n, at.Add(2*ms))
	})
	require.Zero(t, took)
	require.Equal(t, 1, probes)
}

// A VM that sends a message every 300 ms was probed after each message sent to it, which raised
// the processor time of the control VMs by half with 91 entry VMs.
func TestProbesBecomeRareIfOtherEndSendsSeldom(t *testing.T) {
	const interval, messages = 300 * ms, 100
	l, probes := silence.NewLink(bound).Acknowledging(), 0
	now := start
	for range messages {
		var n uint64
		l, n = l.Sent(now)
		receivedAt := now.Add(interval)
		if at, due := l.NextCheck(); due && at.Before(receivedAt) {
			var action silence.Action
			l, action = l.Check(at)
			require.Equal(t, silence.SendProbe, action)
			probes++
			l = l.Probed(at).Acked(n, at.Add(ms))
		}
		l = l.Acked(n, receivedAt)
		now = receivedAt
	}
	require.LessOrEqual(t, probes, 3)
}

func TestEndThatNeverAcknowledgedIsNotJudged(t *testing.T) {
	l, _ := silence.NewLink(bound).Sent(start)
	require.Zero(t, checkUntilSilent(l, unanswered))
	l, _ = silence.NewLink(bound).Acknowledging().Sent(start)
	require.Positive(t, checkUntilSilent(l, unanswered))
}

// If the other end is stalled as a whole, it must not be redialled at the initial rate.
func TestProbeTimeoutGrowsWithEachSilentConnection(t *testing.T) {
	l := newUsedLink(ms)
	last := l.ProbeTimeout()
	for range 3 {
		l = l.FoundSilent()
		require.GreaterOrEqual(t, l.ProbeTimeout(), last)
		last = l.ProbeTimeout()
	}
	require.Equal(t, bound/2, last)
}

func TestNumbersOfFormerProcessAreIgnored(t *testing.T) {
	l, n := silence.NewLink(bound).Acknowledging().Sent(start)
	l = l.Acked(n+500, start)
	require.Positive(t, checkUntilSilent(l, unanswered))
}

// A process that got no processor time may have the answer in its buffers, unread.
func TestLateCheckProbesAgain(t *testing.T) {
	l, _ := newUsedLink(ms).Sent(start)
	at, _ := l.NextCheck()
	l, action := l.Check(at)
	require.Equal(t, silence.SendProbe, action)
	l = l.Probed(at)
	for range 2 {
		at, _ = l.NextCheck()
		at = at.Add(time.Second)
		l, action = l.Check(at)
		require.Equal(t, silence.SendProbe, action)
		l = l.Probed(at)
	}
	at, _ = l.NextCheck()
	_, action = l.Check(at.Add(time.Second))
	require.Equal(t, silence.ConnSilent, action)
}

// For any sequence of events, a link is found silent only after a probe that was not answered.
func FuzzSilenceFollowsUnansweredProbe(f *testing.F) {
	f.Add([]byte{0, 3, 1, 0, 2, 9, 0, 3, 3, 3})
	f.Fuzz(func(t *testing.T, steps []byte) {
		l, now, probed, number := silence.NewLink(bound).Acknowledging(), start, false, uint64(0)
		for _, s := range steps {
			now = now.Add(time.Duration(s) * ms)
			switch s % 4 {
			case 0:
				l, number = l.Sent(now)
			case 1:
				l, probed = l.Acked(number, now), false
			case 2:
				l, probed = l.FoundSilent(), false
			case 3:
				var action silence.Action
				l, action = l.Check(now)
				require.False(t, action == silence.ConnSilent && !probed)
				if action == silence.SendProbe {
					l, probed = l.Probed(now), true
				}
			}
		}
	})
}

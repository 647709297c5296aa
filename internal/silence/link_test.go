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

// play looks at a link whenever it is due until it is void, and returns when that is; or
// zero where nothing more is due.
func play(l silence.Link, asked func(l silence.Link, at time.Time) silence.Link) time.Duration {
	for {
		at, due := l.Due()
		if !due {
			return 0
		}
		var action silence.Action
		l, action = l.Look(at)
		switch action {
		case silence.Void:
			return at.Sub(start)
		case silence.Ask:
			l = asked(l.Asked(at), at)
		}
	}
}

func unanswered(l silence.Link, _ time.Time) silence.Link { return l }

// used returns a link whose round trips took some time.
func used(trip time.Duration) silence.Link {
	l := silence.NewLink(bound)
	at := start.Add(-10 * time.Minute)
	for range 50 {
		var n uint64
		l, n = l.Sent(at)
		l = l.Asked(at).Proved(n, at.Add(trip))
		at = at.Add(time.Second)
	}
	for range 50 {
		var n uint64
		l, n = l.Sent(at)
		l = l.Proved(n, at)
		at = at.Add(time.Second)
	}
	return l
}

func TestASilentLinkIsVoidWithinTheBound(t *testing.T) {
	for _, trip := range []time.Duration{ms, 40 * ms, 150 * ms, 2 * time.Second} {
		l, _ := used(trip).Sent(start)
		took := play(l, unanswered)
		require.Positive(t, took, trip)
		require.LessOrEqual(t, took, bound, trip)
	}
	l, _ := used(ms).Sent(start)
	require.Equal(t, 300*ms, play(l, unanswered))
}

func TestAnIdleLinkIsNeverDue(t *testing.T) {
	_, due := used(ms).Due()
	require.False(t, due)
	_, due = silence.NewLink(bound).Due()
	require.False(t, due)
}

// Traffic that flows one way only is proved by answers to questions.
func TestAnAnsweredQuestionProvesALink(t *testing.T) {
	l, n := used(ms).Sent(start)
	questions := 0
	took := play(l, func(l silence.Link, at time.Time) silence.Link {
		questions++
		return l.Proved(n, at.Add(2*ms))
	})
	require.Zero(t, took)
	require.Equal(t, 1, questions)
}

// A VM that says something each 300 ms was asked after each message that it was sent: at 91
// entry VMs that cost the control VMs half as much processor time again.
func TestQuestionsGrowRareWhereTheOtherEndSpeaksSeldom(t *testing.T) {
	const pause, messages = 300 * ms, 100
	l, questions := silence.NewLink(bound).Speaks(), 0
	now := start
	for range messages {
		var n uint64
		l, n = l.Sent(now)
		spoke := now.Add(pause)
		if at, due := l.Due(); due && at.Before(spoke) {
			var action silence.Action
			l, action = l.Look(at)
			require.Equal(t, silence.Ask, action)
			questions++
			l = l.Asked(at).Proved(n, at.Add(ms))
		}
		l = l.Proved(n, spoke)
		now = spoke
	}
	require.LessOrEqual(t, questions, 3)
}

func TestAnEndThatNeverAnsweredIsNotJudged(t *testing.T) {
	l, _ := silence.NewLink(bound).Sent(start)
	require.Zero(t, play(l, unanswered))
	l, _ = silence.NewLink(bound).Speaks().Sent(start)
	require.Positive(t, play(l, unanswered))
}

// An end that stands still as a whole is not dialled again and again at the first pace.
func TestPatienceGrowsWithEachVoidConnection(t *testing.T) {
	l := used(ms)
	last := l.Patience()
	for range 3 {
		l = l.Voided()
		require.GreaterOrEqual(t, l.Patience(), last)
		last = l.Patience()
	}
	require.Equal(t, bound/2, last)
}

func TestNumbersOfAFormerProcessProveNothing(t *testing.T) {
	l, n := silence.NewLink(bound).Speaks().Sent(start)
	l = l.Proved(n+500, start)
	require.Positive(t, play(l, unanswered))
}

// A process that got no processor time may have the answer unread.
func TestALateLookAsksAgain(t *testing.T) {
	l, _ := used(ms).Sent(start)
	at, _ := l.Due()
	l, action := l.Look(at)
	require.Equal(t, silence.Ask, action)
	l = l.Asked(at)
	for range 2 {
		at, _ = l.Due()
		at = at.Add(time.Second)
		l, action = l.Look(at)
		require.Equal(t, silence.Ask, action)
		l = l.Asked(at)
	}
	at, _ = l.Due()
	_, action = l.Look(at.Add(time.Second))
	require.Equal(t, silence.Void, action)
}

// Whatever comes in whatever order, a link is void only after a question without an answer.
func FuzzVerdictsFollowQuestions(f *testing.F) {
	f.Add([]byte{0, 3, 1, 0, 2, 9, 0, 3, 3, 3})
	f.Fuzz(func(t *testing.T, steps []byte) {
		l, now, asked, number := silence.NewLink(bound).Speaks(), start, false, uint64(0)
		for _, s := range steps {
			now = now.Add(time.Duration(s) * ms)
			switch s % 4 {
			case 0:
				l, number = l.Sent(now)
			case 1:
				l, asked = l.Proved(number, now), false
			case 2:
				l, asked = l.Voided(), false
			case 3:
				var action silence.Action
				l, action = l.Look(now)
				require.False(t, action == silence.Void && !asked)
				if action == silence.Ask {
					l, asked = l.Asked(now), true
				}
			}
		}
	})
}

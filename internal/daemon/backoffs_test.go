package daemon_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/daemon"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// What targets that ask to back off, and that leave, answer. A backoff is of 3 s.
var (
	backedOff = step{text: "HTTP/1.1 503 No\r\nId: a\r\nNot-Run: 1\r\nBackoff: 3\r\nContent-Length: 0\r\n\r\n"}
	leaving   = step{runs: true, text: "HTTP/1.1 200 OK\r\nId: a\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nok"}
)

// A target that turned a VM away had asked it for 3 s of backoff, and got three requests more from
// it in that time, each of which it turned away too. Nothing read what targets say of themselves
// with their answers: what kept the VM away was a pause of its own making, of 0.1 s that doubled
// up to 0.8 s. Nine of nineteen such callers were refused while two other targets had room.
// That the requests came 0.3 s and more after the refusal before, when the pause was over,
// proved it; here no other target is known, and time goes on by itself.
func TestATargetThatAsksToBackOffIsSentNothingMeanwhile(t *testing.T) {
	s := newSuspendable(t)
	w := newWorker(t, backedOff, served)
	g := newEntry(t, relay.RepeatAlways, 1, w)
	require.Equal(t, http.StatusServiceUnavailable, ask(t, g))
	for range 4 {
		s.ahead += 600 * time.Millisecond
		require.Equal(t, http.StatusServiceUnavailable, ask(t, g))
	}
	require.EqualValues(t, 1, w.next.Load(), "requests that reach it")
	s.ahead += time.Second
	require.Equal(t, http.StatusOK, ask(t, g), "its backoff is over")
}

// A target that says with an answer that it leaves got requests until its heartbeats said so
// too, or for as long as it sent none. Nothing read it.
func TestATargetThatSaysThatItLeavesIsSentNothingMore(t *testing.T) {
	w := newWorker(t, leaving, served)
	g := newEntry(t, relay.RepeatAlways, 1, w)
	require.Equal(t, http.StatusOK, ask(t, g))
	for range 3 {
		require.Equal(t, http.StatusServiceUnavailable, ask(t, g))
	}
	require.EqualValues(t, 1, w.next.Load(), "requests that reach it")
}

// Whatever a target that asks to back off or leaves answers, what it says of itself counts: also with an
// answer that can't be handed on, or that goes on for long.
func TestAnyAnswerTellsOfATarget(t *testing.T) {
	const body = "Content-Length: 2\r\n\r\nok"
	for name, s := range map[string]step{
		"whole":                    {text: "HTTP/1.1 200 OK\r\nId: a\r\nLeaving: 1\r\n" + body},
		"failed":                   {text: "HTTP/1.1 500 No\r\nId: a\r\nLeaving: 1\r\n" + body},
		"refused":                  {text: "HTTP/1.1 503 No\r\nId: a\r\nNot-Run: 1\r\nLeaving: 1\r\n" + body},
		"backoff, not run":         {text: "HTTP/1.1 503 No\r\nId: a\r\nNot-Run: 1\r\nBackoff: 9\r\n" + body},
		"backoff, it may have run": {text: "HTTP/1.1 503 No\r\nId: a\r\nBackoff: 9\r\n" + body},
		"cut off in the middle":    {text: "HTTP/1.1 200 OK\r\nId: a\r\nLeaving: 1\r\nContent-Length: 9\r\n\r\nok", ends: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorker(t, s, served)
			g := newEntry(t, relay.RepeatNever, 1, w)
			ask(t, g)
			require.Equal(t, http.StatusServiceUnavailable, ask(t, g))
			require.EqualValues(t, 1, w.next.Load())
		})
	}
}

// A stream's head tells of its target at once, though the answer goes on.
func TestTheHeadOfAStreamTellsOfItsTarget(t *testing.T) {
	p := newPausing(t)
	p.header = "Leaving: 1\r\n"
	g := pausingEntry(t, relay.Target{ID: "i-1", Service: "s", Address: p.address, Slots: 10, Call: 1})
	ctx, cancel := context.WithCancel(t.Context())
	done := serve(ctx, g, httptest.NewRecorder())
	closed(t, "the stream begins", p.begun)
	require.Eventually(t, func() bool { return daemon.FindingsOf(g).Leaving != nil }, patience, time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, ask(t, g))
	require.Equal(t, 1, daemon.UnderWay(g), "what runs there goes on")
	cancel()
	closed(t, "the call ends", done)
}

// A request that was sent on a kept connection, which is gone, is not sent again on a new one
// when its target has asked to back off, or said that it leaves, between the two.
func TestASecondSendingIsHeldBack(t *testing.T) {
	for name, notice := range map[string]relay.Notice{
		"backoff": {BackoffUntil: time.Now().Add(time.Hour)},
		"leaving": {Leaving: true},
	} {
		t.Run(name, func(t *testing.T) {
			var g *daemon.Gateway
			var w *worker
			dropped := step{meanwhile: func() { daemon.ApplyNotice(g, relay.TargetID(w.address), notice) }}
			w = newWorker(t, served, dropped, served)
			g = newEntry(t, relay.RepeatAlways, 2, w)
			require.Equal(t, http.StatusOK, ask(t, g))
			require.Equal(t, http.StatusBadGateway, ask(t, g), "the first sending may have run")
			require.EqualValues(t, 2, w.next.Load())
			require.Empty(t, daemon.FindingsOf(g).Dead, "it has done nothing wrong")
			require.Zero(t, daemon.UnderWay(g))
		})
	}
}

// A request that was turned away goes to another target, and only there.
func TestARequestGoesOnBesideATargetThatAsksToBackOff(t *testing.T) {
	backoffs, serves := newWorker(t, backedOff), newWorker(t, served)
	g := newEntry(t, relay.RepeatAlways, 2, backoffs, serves)
	for range 20 {
		require.Equal(t, http.StatusOK, ask(t, g))
	}
	require.LessOrEqual(t, backoffs.next.Load(), int32(1))
}

// A target that asks to back off again and again lives: it is not found dead, and what runs there
// is not given up.
func TestATargetThatBackoffsIsNotFoundDead(t *testing.T) {
	s := newSuspendable(t)
	w := newWorker(t, backedOff)
	g := newEntry(t, relay.RepeatAlways, 1, w)
	for range 10 {
		now := clock.Sampled()
		call := &daemon.Call{ID: "a", Arrived: now, Deadline: now.Add(5 * time.Second), Method: http.MethodPost, URI: "/", Path: "/", Host: "h"}
		require.Equal(t, http.StatusServiceUnavailable, askCall(t, g, call))
		s.ahead += 4 * time.Second
	}
	require.EqualValues(t, 10, w.next.Load())
	require.Empty(t, daemon.FindingsOf(g).Dead)
}

// A stream in the middle waits for a room; where its targets ask to back off for longer than its caller
// waits, it is told at once.
func TestNobodyIsHeldUntilALongBackoffEnds(t *testing.T) {
	p := newPausing(t)
	g := pausingEntry(t, relay.Target{ID: "i-1", Service: "s", Address: p.address, Slots: 10, Call: 1})
	daemon.ApplyNotice(g, "i-1", relay.Notice{BackoffUntil: time.Now().Add(3 * time.Hour)})
	later := time.Now().Add(time.Hour)
	status := askCall(t, g, &daemon.Call{ID: "a", Arrived: later, Deadline: later, Method: http.MethodPost, URI: "/", Path: "/", Host: "h", After: "7"})
	require.Equal(t, http.StatusServiceUnavailable, status)
}

// countingEngines count what they are asked, and say something of themselves.
type countingEngines struct {
	asked  *atomic.Int32
	notice *relay.Notice
}

func (e countingEngines) Order(context.Context, core.OrderLayers) (core.OrderOutcome, relay.Notice) {
	e.asked.Add(1)
	return core.OrderBegun, *e.notice
}

func (e countingEngines) Report(context.Context, relay.Stage) (daemon.EngineReport, error) {
	e.asked.Add(1)
	return daemon.EngineReport{Notice: *e.notice}, nil
}

func (e countingEngines) Repath(context.Context, string, relay.Path) (relay.Notice, error) {
	e.asked.Add(1)
	return *e.notice, nil
}

// Reports, orders and new paths are held back too, do not count as answered or as lost, and
// their answers tell of the engine as well. One that leaves is still asked for what it runs.
func TestNothingElseIsAskedOfAnEngineThatAsksToBackOff(t *testing.T) {
	const id = relay.TargetID("i-1")
	asks := map[string]func(e daemon.Engines) (held bool){
		"report": func(e daemon.Engines) bool {
			_, err := e.Report(t.Context(), relay.Stage{Target: id})
			require.NotErrorIs(t, err, daemon.ErrEngineSilent)
			return errors.Is(err, daemon.ErrHeldBack)
		},
		"order": func(e daemon.Engines) bool {
			outcome, _ := e.Order(t.Context(), core.OrderLayers{Target: id})
			return outcome == core.OrderRefused
		},
		"path": func(e daemon.Engines) bool {
			_, err := e.Repath(t.Context(), "a", relay.Path{Stages: []relay.Stage{{Target: id}}})
			return errors.Is(err, daemon.ErrHeldBack)
		},
	}
	for told, tell := range asks {
		for asked, ask := range asks {
			t.Run(asked+" after "+told, func(t *testing.T) {
				engines := countingEngines{asked: new(atomic.Int32), notice: &relay.Notice{BackoffUntil: time.Now().Add(time.Hour)}}
				g, err := daemon.NewGatewayAlone(daemon.Platform{Codec: plainCodec{}, Engines: engines}, &relay.Document{Version: 1}, nil)
				require.NoError(t, err)
				require.False(t, tell(daemon.EnginesOf(g)))
				require.True(t, ask(daemon.EnginesOf(g)))
				require.EqualValues(t, 1, engines.asked.Load())
			})
		}
		t.Run(told+" of one that leaves", func(t *testing.T) {
			engines := countingEngines{asked: new(atomic.Int32), notice: &relay.Notice{Leaving: true}}
			g, err := daemon.NewGatewayAlone(daemon.Platform{Codec: plainCodec{}, Engines: engines}, &relay.Document{Version: 1}, nil)
			require.NoError(t, err)
			require.False(t, tell(daemon.EnginesOf(g)))
			require.False(t, tell(daemon.EnginesOf(g)))
			require.Equal(t, []relay.TargetID{id}, daemon.FindingsOf(g).Leaving)
			require.Equal(t, core.TargetDrains{Target: id}, daemon.Posted(t.Context(), g))
		})
	}
}

func TestAnOperatorHasARestingTargetAskedAgain(t *testing.T) {
	w := newWorker(t, backedOff, served)
	g := newEntry(t, relay.RepeatAlways, 1, w)
	require.Equal(t, http.StatusServiceUnavailable, ask(t, g))
	require.Len(t, daemon.FindingsOf(g).BackedOff, 1)
	daemon.CarryOut(g, core.BackoffsEnded{Targets: []string{w.address}})
	require.Equal(t, http.StatusOK, ask(t, g))
}

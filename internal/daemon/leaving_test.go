package daemon_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/daemon"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// pausingEntry returns a gateway with targets whose streams stall, and which answer nothing else.
func pausingEntry(t *testing.T, targets ...relay.Target) *daemon.Gateway {
	t.Helper()
	return streamEntry(t, muteEngines{}, targets...)
}

// streamEntry returns a gateway whose route may resume streams on two targets, for 20 s.
func streamEntry(t *testing.T, engines daemon.Engines, targets ...relay.Target) *daemon.Gateway {
	t.Helper()
	document := &relay.Document{
		Version:  1,
		Services: []relay.Service{{Name: "s", MaxConns: 100}},
		Routes: []relay.Route{{
			Name: "r", Host: "h", Prefix: "/", Repeat: relay.RepeatResume, Stream: true, Timeout: 20 * time.Second, Objective: time.Second,
			Pause: 200 * time.Millisecond, MaxTargets: 2, Anonymous: true, Shares: []relay.Share{{Service: "s", Weight: 1}},
		}},
	}
	budget := relay.BudgetTerms{Share: 1, Fixed: 100, Window: 10 * time.Second}
	g, err := daemon.NewGatewayAlone(daemon.Platform{Codec: plainCodec{}, Engines: engines, Router: relay.Settings{Seed: 1, Started: time.Now(), Budget: budget}}, document, targets)
	require.NoError(t, err)
	return g
}

// serve has a gateway serve one call, and returns a channel that is closed at its end.
func serve(ctx context.Context, g *daemon.Gateway, w http.ResponseWriter) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer func() { _ = recover() }() // a call that is cut off ends with a panic
		now := time.Now()
		g.Serve(ctx, w, &daemon.Call{ID: "a", Arrived: now, Deadline: now.Add(20 * time.Second), Method: http.MethodPost, URI: "/", Path: "/", Host: "h", AnswerTokens: 10})
	}()
	return done
}

func closed(t *testing.T, what string, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(testTimeout):
		require.Fail(t, what)
	}
}

// The first engine notices it by the end of its connection, and notifies the other stages.
func TestCallerDisconnectCancelsTry(t *testing.T) {
	p := newPausing(t)
	g := pausingEntry(t, relay.Target{ID: "i-1", Service: "s", Address: p.address, Slots: 10, Call: 1})
	ctx, cancel := context.WithCancel(t.Context())
	done := serve(ctx, g, httptest.NewRecorder())
	closed(t, "the stream begins", p.begun)
	cancel()
	closed(t, "the engine's connection ends", p.connClosed)
	closed(t, "the call ends", done)
	require.Zero(t, daemon.InFlight(g))
}

// failingWriter is the writer of a caller that has closed its connection.
type failingWriter struct{ *httptest.ResponseRecorder }

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

// Guards against a leak: a caller that was found to have disconnected while an event was
// written left its request counted as in flight at its engines for good.
func TestWriteErrorReleasesRequest(t *testing.T) {
	p := newPausing(t)
	g := pausingEntry(t, relay.Target{ID: "i-1", Service: "s", Address: p.address, Slots: 10, Call: 1})
	done := serve(t.Context(), g, failingWriter{httptest.NewRecorder()})
	closed(t, "the engine's connection ends", p.connClosed)
	closed(t, "the call ends", done)
	require.Zero(t, daemon.InFlight(g))
}

// A try is closed before its replacement is sent.
func TestTryEndsBeforeItsReplacement(t *testing.T) {
	first, second := newPausing(t), newPausing(t)
	g := pausingEntry(t,
		relay.Target{ID: "i-1", Service: "s", Address: first.address, Slots: 10, Call: 1},
		relay.Target{ID: "i-2", Service: "s", Address: second.address, Slots: 10, Call: 1})
	ctx, cancel := context.WithCancel(t.Context())
	done := serve(ctx, g, httptest.NewRecorder())
	early, late, id := first, second, relay.TargetID("i-1")
	select {
	case <-first.begun:
	case <-second.begun:
		early, late, id = second, first, "i-2"
	}
	daemon.Suspect(g, id)
	closed(t, "the second engine is asked", late.begun)
	closed(t, "the first one's connection has ended", early.connClosed)
	cancel()
	closed(t, "the second one's connection ends", late.connClosed)
	closed(t, "the call ends", done)
	require.Zero(t, daemon.InFlight(g))
}

// Guards against sending a call on a reused connection although its caller disconnected while
// the call waited on this VM.
func TestNothingIsSentAfterCallerDisconnect(t *testing.T) {
	w := newWorker(t, served)
	g := newEntry(t, relay.RepeatAlways, 1, w)
	require.Equal(t, http.StatusOK, ask(t, g))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 50 {
		closed(t, "the call ends", serve(ctx, g, httptest.NewRecorder()))
	}
	require.EqualValues(t, 1, w.next.Load())
	require.Zero(t, daemon.InFlight(g))
}

package daemon_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/daemon"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/settings"
)

// logLines collects log lines.
type logLines struct {
	mu    sync.Mutex
	lines []string
}

func (l *logLines) add(_, line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, line)
}

// containing returns the lines that contain a text.
func (l *logLines) containing(text string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for _, line := range l.lines {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

// signallingWriter closes a channel after the first write.
type signallingWriter struct {
	*httptest.ResponseRecorder
	once    sync.Once
	written chan struct{}
}

func (w *signallingWriter) Write(p []byte) (int, error) {
	defer w.once.Do(func() { close(w.written) })
	return w.ResponseRecorder.Write(p)
}

// The log lines before that of an incomplete answer may be lost, so it explains the end by itself.
func TestIncompleteAnswerIsExplainedByOneLine(t *testing.T) {
	p := newPausing(t)
	document := &relay.Document{
		Version:  7,
		Services: []relay.Service{{Name: "s", MaxConns: 100}},
		Routes: []relay.Route{{
			Name: "r", Host: "h", Prefix: "/", Repeat: relay.RepeatResume, Stream: true, Timeout: 20 * time.Second, Objective: time.Second,
			MaxTargets: 2, Anonymous: true, Shares: []relay.Share{{Service: "s", Weight: 1}},
		}},
	}
	targets := []relay.Target{
		{ID: "i-1", Service: "s", Address: p.address, Slots: 10, Call: 1},
		{ID: "i-2", Service: "s", Address: "127.0.0.1:1", Slots: 10, Call: 1, Leaving: true},
	}
	logs := &logLines{}
	g, err := daemon.GatewayFor(settings.Settings{}, funcr.New(logs.add, funcr.Options{}), daemon.Platform{Codec: plainCodec{}, Engines: healthyEngines{}, Router: relay.Settings{Seed: 1, Started: time.Now(), Budget: relay.BudgetTerms{Window: 10 * time.Second}}}, document, targets)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	w := &signallingWriter{ResponseRecorder: httptest.NewRecorder(), written: make(chan struct{})}
	done := serve(ctx, g, w)
	closed(t, "the caller has an event", w.written)
	cancel()
	closed(t, "the call ends", done)
	lines := logs.containing(`"cause"="caller left"`)
	require.Len(t, lines, 1)
	for _, part := range []string{`"begun"=true`, `"after"="1"`, `"document"=7`, "targets=2 leaving=1", "repeats=0"} {
		require.Contains(t, lines[0], part)
	}
	require.Equal(t, "caller left=1", daemon.IncompleteOf(g))
}

// panickingWriter fails like a fault in the process.
type panickingWriter struct{ *httptest.ResponseRecorder }

func (panickingWriter) WriteHeader(int) { panic("fault") }

// net/http closes the caller's connection at a panic and logs no request.
func TestPanicIsLoggedWithItsRequest(t *testing.T) {
	p := newPausing(t)
	logs := &logLines{}
	document := &relay.Document{
		Version:  1,
		Services: []relay.Service{{Name: "s", MaxConns: 100}},
		Routes: []relay.Route{{
			Name: "r", Host: "h", Prefix: "/", Repeat: relay.RepeatResume, Stream: true, Timeout: 20 * time.Second,
			MaxTargets: 2, Anonymous: true, Shares: []relay.Share{{Service: "s", Weight: 1}},
		}},
	}
	g, err := daemon.GatewayFor(settings.Settings{}, funcr.New(logs.add, funcr.Options{}), daemon.Platform{Codec: plainCodec{}, Engines: healthyEngines{}, Router: relay.Settings{Seed: 1, Started: time.Now(), Budget: relay.BudgetTerms{Window: 10 * time.Second}}}, document,
		[]relay.Target{{ID: "i-1", Service: "s", Address: p.address, Slots: 10, Call: 1}})
	require.NoError(t, err)
	require.PanicsWithValue(t, http.ErrAbortHandler, func() {
		now := time.Now()
		g.Serve(t.Context(), panickingWriter{httptest.NewRecorder()}, &daemon.Call{ID: "a", Arrived: now, Deadline: now.Add(20 * time.Second), Method: http.MethodPost, URI: "/", Path: "/", Host: "h", AnswerTokens: 10})
	})
	require.Len(t, logs.containing(`"request"="a" "stack"`), 1)
	require.Equal(t, "panic=1", daemon.IncompleteOf(g)[:len("panic=1")])
	require.Zero(t, daemon.InFlight(g))
}

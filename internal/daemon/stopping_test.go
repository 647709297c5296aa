package daemon_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/daemon"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// Guards against a connection that ends without an answer at the end of a planned stop. A request without an answer so
// far gets one, and an answer that has begun goes on to the end of the grace time.
func TestRequestsInFlightAtEndOfStopAreAnswered(t *testing.T) {
	const grace = time.Second
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Id", r.Header.Get("Id"))
		if r.Header.Get("Id") == "begun" {
			_, _ = io.WriteString(w, "id: 1\n\n")
			_ = http.NewResponseController(w).Flush()
		}
		<-r.Context().Done()
	}))
	defer target.Close()
	document := &relay.Document{Version: 1, Services: []relay.Service{{Name: "s", MaxConns: 100}}}
	for name, repeat := range map[string]relay.RepeatPolicy{"once": relay.RepeatNever, "answers": relay.RepeatAlways, "streams": relay.RepeatResume} {
		document.Routes = append(document.Routes, relay.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Stream: name == "streams", Repeat: repeat, Timeout: 20 * time.Second,
			Objective: 20 * time.Second, Pause: 20 * time.Second, MaxTargets: 1, Anonymous: true, Shares: []relay.Share{{Service: "s", Weight: 1}},
		})
	}
	platform := daemon.Platform{Codec: resumeCodec{}, Engines: noEngines{}, AcceptTime: grace / 2, Grace: grace, Router: relay.Settings{Seed: 1, Started: time.Now(), Budget: relay.BudgetTerms{Share: 1, Fixed: 100, Window: 10 * time.Second}}}
	address := target.Listener.Addr().String()
	g, err := daemon.NewGatewayAlone(platform, document, []relay.Target{{ID: "t", Service: "s", Address: address, Slots: 10, Call: 1}})
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serveVM(g, w, r) }), ReadHeaderTimeout: time.Minute}
	g.ServeCallersOn(server, l)
	calls := map[string]string{"plain-once": "once", "plain-again": "answers", "silent": "streams", "begun": "streams"}
	statuses, errors := make(map[string]int), make(map[string]error)
	var mu sync.Mutex
	var ended sync.WaitGroup
	for id, route := range calls {
		ended.Go(func() {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, fmt.Sprintf("http://%s/%s/", l.Addr(), route), strings.NewReader("question"))
			require.NoError(t, err)
			request.Header.Set("Id", id)
			answer, err := http.DefaultClient.Do(request)
			status := 0
			if err == nil {
				status = answer.StatusCode
				_, err = io.ReadAll(answer.Body)
				answer.Body.Close()
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[id], errors[id] = status, err
		})
	}
	waitFor(t, "all requests run", func() bool { return g.InFlight() == len(calls) })
	daemon.StopGateway(g)
	ended.Wait()
	for _, id := range []string{"plain-once", "plain-again", "silent"} {
		require.NoError(t, errors[id], "%s has no answer", id)
		require.Equal(t, http.StatusBadGateway, statuses[id], "%s may have run", id)
	}
	require.Equal(t, http.StatusOK, statuses["begun"])
	require.Error(t, errors["begun"], "a stream that is cut must not look whole")
	waitFor(t, "all are counted", func() bool { return strings.Contains(daemon.IncompleteOf(g), "stopped=4") })
}

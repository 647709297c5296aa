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

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/daemon"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/internal/target"
)

// Guards against a connection that ends without an answer at the end of a planned stop. A request without an answer so
// far gets one, and an answer that has begun goes on to the end of the grace time.
func TestRequestsInFlightAtEndOfStopAreAnswered(t *testing.T) {
	const grace = time.Second
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Id", r.Header.Get("Id"))
		if r.Header.Get("Id") == "begun" {
			_, _ = io.WriteString(w, "id: 1\n\n")
			_ = http.NewResponseController(w).Flush()
		}
		<-r.Context().Done()
	}))
	defer engine.Close()
	document := &relay.Document{Version: 1, Services: []relay.Service{{Name: "s", MaxConns: 100}}}
	for name, repeat := range map[string]relay.RepeatPolicy{"once": relay.RepeatNever, "answers": relay.RepeatAlways, "streams": relay.RepeatResume} {
		document.Routes = append(document.Routes, relay.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Stream: name == "streams", Repeat: repeat, Timeout: 20 * time.Second,
			Objective: 20 * time.Second, Pause: 20 * time.Second, MaxTargets: 1, Anonymous: true, Shares: []relay.Share{{Service: "s", Weight: 1}},
		})
	}
	platform := daemon.Platform{Codec: resumeCodec{}, Engines: noEngines{}, AcceptTime: grace / 2, Grace: grace, Router: relay.Settings{Seed: 1, Started: time.Now(), Budget: relay.BudgetTerms{Share: 1, Fixed: 100, Window: 10 * time.Second}}}
	address := engine.Listener.Addr().String()
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

// Guards against requests of other VMs that are cut as a VM stops whose own callers have left: it ended with the tunnels that it
// carried, long before its grace time was over.
func TestStopWaitsForRequestsInTunnels(t *testing.T) {
	answer := make(chan struct{})
	served := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-answer
		_, _ = io.WriteString(w, "whole")
	}))
	t.Cleanup(served.Close)
	release := sync.OnceFunc(func() { close(answer) })
	t.Cleanup(release)
	logs := new(logLines)
	g, peers := carrier(t, served.Listener.Addr().String())
	daemon.SetLog(g, funcr.New(logs.add, funcr.Options{}))
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g.ServeCallersOn(&http.Server{ReadHeaderTimeout: time.Minute}, callers)
	x := exchangerBy(peers)
	ask := func(fresh bool) (string, error) {
		a, err := x.Do(t.Context(), "t", &target.Request{
			Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: []byte("question"), NewConn: fresh,
			Matches: func(http.Header) bool { return true },
		})
		if err != nil {
			return "", err
		}
		defer a.Close()
		text, err := io.ReadAll(a)
		return string(text), err
	}
	got := make(chan string, 1)
	go func() {
		text, err := ask(true)
		got <- fmt.Sprint(text, err)
	}()
	waitFor(t, "the VM carries the request", func() bool { return daemon.CarriedTunnels(g) == 1 })
	daemon.StopGateway(g)
	waitFor(t, "the stop is complete or waits", func() bool {
		return len(logs.containing("planned stop")) > 0
	})
	require.NotEmpty(t, logs.containing("planned stop waits"), "the stop is complete before the request has ended")
	require.Empty(t, logs.containing("planned stop is complete"))
	release()
	require.Equal(t, "whole<nil>", <-got)
	_, err = ask(true)
	require.ErrorIs(t, err, target.ErrNotSent, "a VM that stops opens no tunnel")
	_, err = ask(false)
	require.ErrorIs(t, err, target.ErrStale, "a tunnel carries no other request during the stop")
	waitFor(t, "the stop is complete", func() bool { return len(logs.containing("planned stop is complete")) > 0 })
}

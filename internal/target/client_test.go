package target_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/fake"
	"github.com/spoolbank/spoolbank/internal/target"
)

// engine starts an engine that serves runs with a function.
func engine(t *testing.T, run func(context.Context, target.RunOrder) target.RunReply) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { target.ServeRuns(w, r, run) }))
	t.Cleanup(func() {
		// A link is a request that does not end by itself.
		require.NoError(t, server.Config.Close())
		server.Close()
	})
	return server
}

func order(server *httptest.Server, position int, silence time.Duration) core.Run {
	now := time.Now()
	return core.Run{Stream: "s", Position: position, Chain: []core.Stage{{Target: "e1", Address: server.Listener.Addr().String()}},
		ReplyDeadline: now.Add(silence), NotAfter: now.Add(time.Minute)}
}

func TestRunsShareLinkWithRepliesInAnyOrder(t *testing.T) {
	var arrived sync.WaitGroup
	const runs = 50
	arrived.Add(runs)
	server := engine(t, func(_ context.Context, o target.RunOrder) target.RunReply {
		// No reply is sent before all orders have arrived; the order of replies is then arbitrary.
		arrived.Done()
		arrived.Wait()
		return target.RunReply{Result: core.ResultDone, Next: o.Position + 1}
	})
	client := target.NewClient()
	var wait sync.WaitGroup
	for i := range runs {
		wait.Go(func() {
			ended := client.Run(t.Context(), order(server, i, time.Minute))
			require.Equal(t, core.ResultDone, ended.Result)
			require.Equal(t, i+1, ended.Next)
		})
	}
	wait.Wait()
}

func TestRunTimesOutAndLateReplyIsDropped(t *testing.T) {
	release := make(chan struct{})
	server := engine(t, func(_ context.Context, o target.RunOrder) target.RunReply {
		if o.Position == 0 {
			<-release
		}
		return target.RunReply{Result: core.ResultDone, Next: o.Position + 1}
	})
	client := target.NewClient()
	ended := client.Run(t.Context(), order(server, 0, 50*time.Millisecond))
	require.Equal(t, core.ResultBroken, ended.Result)
	require.Equal(t, "e1", ended.Target)
	close(release)
	require.Equal(t, 2, client.Run(t.Context(), order(server, 1, time.Minute)).Next)
}

func TestBrokenLinkFailsItsRunsAndIsReplaced(t *testing.T) {
	begun := make(chan struct{}, 1)
	server := engine(t, func(ctx context.Context, o target.RunOrder) target.RunReply {
		if o.Position == 0 {
			begun <- struct{}{}
			<-ctx.Done()
		}
		return target.RunReply{Result: core.ResultDone, Next: o.Position + 1}
	})
	client := target.NewClient()
	result := make(chan core.RunResult, 1)
	go func() { result <- client.Run(context.Background(), order(server, 0, time.Minute)).Result }()
	<-begun
	server.CloseClientConnections()
	require.Equal(t, core.ResultBroken, <-result)
	require.Eventually(t, func() bool {
		return client.Run(t.Context(), order(server, 1, time.Minute)).Result == core.ResultDone
	}, time.Minute, 10*time.Millisecond)
}

func TestExpiredOrdersAreNotSent(t *testing.T) {
	called := false
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { called = true }))
	defer server.Close()
	client := target.NewClient()
	past := time.Now().Add(-time.Second)
	run := order(server, 0, time.Minute)
	run.NotAfter = past
	require.Equal(t, core.ResultRefused, client.Run(t.Context(), run).Result)
	dispatched := client.Dispatch(t.Context(), core.Dispatch{Address: server.Listener.Addr().String(), Deadline: time.Now().Add(time.Minute), NotAfter: past}, target.Call{Method: "POST", Path: "/"})
	require.Equal(t, core.ResultRefused, dispatched.Result)
	require.False(t, client.Order(t.Context(), core.Order{Address: server.Listener.Addr().String(), NotAfter: past}).Done)
	require.False(t, called)
}

func TestDispatchDistinguishesNotRunFromUnknown(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    core.RunResult
	}{
		{"answered", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }, core.ResultDone},
		{"reports that it did not run", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(target.HeaderNotRun, "no room")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, core.ResultRefused},
		{"broke off", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, core.ResultBroken},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(test.handler)
			defer server.Close()
			soon := time.Now().Add(time.Minute)
			ended := target.NewClient().Dispatch(t.Context(), core.Dispatch{Address: server.Listener.Addr().String(), Deadline: soon, NotAfter: soon}, target.Call{Method: "POST", Path: "/", Body: []byte("x")})
			require.Equal(t, test.want, ended.Result)
		})
	}
	backedOff := httptest.NewServer(fake.NewService(fake.ServiceOptions{Name: "s1", Backoff: time.Minute}).Handler())
	defer backedOff.Close()
	asked := time.Now()
	until := asked.Add(time.Minute)
	backoffs := target.NewClient().Dispatch(t.Context(), core.Dispatch{Address: backedOff.Listener.Addr().String(), Deadline: until, NotAfter: until}, target.Call{Method: "POST", Path: "/"})
	require.Equal(t, core.ResultRefused, backoffs.Result)
	require.False(t, backoffs.BackoffUntil.Before(until))
	server := httptest.NewServer(nil)
	address := server.Listener.Addr().String()
	server.Close()
	soon := time.Now().Add(time.Minute)
	ended := target.NewClient().Dispatch(t.Context(), core.Dispatch{Address: address, Deadline: soon, NotAfter: soon}, target.Call{Method: "POST", Path: "/"})
	require.Equal(t, core.ResultRefused, ended.Result, "nothing listens on the address, so nothing was sent")
}

// Guards against a call without a body that net/http sent twice: its headers name it as idempotent, and
// the kept connection was lost after the service had received it.
func TestCallWithoutBodyIsSentOnce(t *testing.T) {
	s := newScriptedTarget(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	c := target.NewClient()
	dispatch := func() core.RunResult {
		until := time.Now().Add(time.Minute)
		return c.Dispatch(t.Context(), core.Dispatch{ID: "id", Address: s.address, NotAfter: until, Deadline: until}, target.Call{Method: http.MethodGet, Path: "/"}).Result
	}
	require.Equal(t, core.ResultDone, dispatch())
	require.Equal(t, core.ResultBroken, dispatch())
	require.EqualValues(t, 1, s.conns.Load(), "it was not sent again on a new connection")
}

// A call whose answer is lost, or has no end, may have run. The same call is rejected as it comes again.
func TestCallsOfFaultyServiceMayHaveRun(t *testing.T) {
	for name, faults := range map[string]fake.ServiceFaults{"lost": {Lose: 1}, "endless": {Endless: 1}} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(fake.NewService(fake.ServiceOptions{Slots: 4, Faults: faults}).Handler())
			defer server.Close()
			c := target.NewClient()
			dispatch := func() core.RunResult {
				until := time.Now().Add(time.Minute)
				d := core.Dispatch{ID: "id", Address: server.Listener.Addr().String(), NotAfter: until, Deadline: until}
				return c.Dispatch(t.Context(), d, target.Call{Method: http.MethodPost, Path: "/", Body: []byte("x")}).Result
			}
			require.Equal(t, core.ResultBroken, dispatch())
			if faults.Lose > 0 {
				require.Equal(t, core.ResultRefused, dispatch())
			}
		})
	}
}

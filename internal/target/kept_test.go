package target_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/fake"
	"github.com/spoolbank/spoolbank/internal/target"
)

// firstByteWait is short because the targets of these tests answer at once, except a slowed one.
const firstByteWait = 50 * time.Millisecond

// newProxiedTarget returns a proxy in front of a target that answers every request, an Exchanger,
// and its number of dials.
func newProxiedTarget(t *testing.T) (*fake.Proxy, *target.Exchanger, *atomic.Int64) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Keep-Alive", "timeout=600")
		w.Header().Set("Id", "1")
		_, _ = io.WriteString(w, "ok") // the caller may have closed the connection
	}))
	proxy, err := fake.NewProxy("127.0.0.1:0", server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() {
		proxy.Close()
		require.NoError(t, server.Config.Close())
		server.Close()
	})
	dialled := new(atomic.Int64)
	return proxy, target.NewExchanger(func() { dialled.Add(1) }), dialled
}

func requestReused(x *target.Exchanger, address string, wait target.FirstByteWait) error {
	answer, err := x.Do(context.Background(), address, &target.Request{
		Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: []byte("ask"), FirstByte: wait,
		Matches: func(h http.Header) bool { return h.Get("Id") == "1" },
	})
	if err != nil {
		return err
	}
	defer answer.Close()
	_, err = io.ReadAll(answer)
	return err
}

func always() bool { return true }

// A request on a reused connection that had fallen silent waited until its caller's deadline.
func TestSilentReusedConnectionIsAbandoned(t *testing.T) {
	proxy, x, dialled := newProxiedTarget(t)
	wait := target.FirstByteWait{Timeout: firstByteWait, ShouldAbandon: always}
	require.NoError(t, requestReused(x, proxy.Address(), wait))
	require.NoError(t, requestReused(x, proxy.Address(), wait))
	require.Equal(t, int64(1), dialled.Load())
	proxy.Silence()
	err := requestReused(x, proxy.Address(), wait)
	require.ErrorIs(t, err, target.ErrReusedSilent)
	require.ErrorIs(t, err, target.ErrStale)
	require.NoError(t, requestReused(x, proxy.Address(), wait))
	require.Equal(t, int64(2), dialled.Load())
}

// Where the request may not be repeated, its answer is awaited to the end.
func TestSlowAnswerIsAwaitedIfRequestIsNotRepeatable(t *testing.T) {
	proxy, x, _ := newProxiedTarget(t)
	require.NoError(t, requestReused(x, proxy.Address(), target.FirstByteWait{}))
	proxy.SetDelay(2 * firstByteWait)
	calls := 0
	require.NoError(t, requestReused(x, proxy.Address(), target.FirstByteWait{Timeout: firstByteWait, ShouldAbandon: func() bool { calls++; return false }}))
	require.Equal(t, 1, calls)
}

// One silent connection makes all those suspect that have been idle as long.
func TestVoidClosesConnectionsIdleSince(t *testing.T) {
	proxy, x, _ := newProxiedTarget(t)
	const kept = 5
	fill := func(n int) {
		var open []*target.Answer
		for range n {
			answer, err := x.Do(context.Background(), proxy.Address(), &target.Request{
				Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, NewConn: true,
				Matches: func(http.Header) bool { return true },
			})
			require.NoError(t, err)
			open = append(open, answer)
		}
		for _, a := range open {
			_, err := io.ReadAll(a)
			require.NoError(t, err)
			a.Close()
		}
	}
	fill(kept)
	cutoff := time.Now()
	fill(1)
	require.Equal(t, kept, x.CloseIdleSince(proxy.Address(), cutoff))
	require.Equal(t, 1, x.CloseIdleSince(proxy.Address(), time.Now()))
	require.Zero(t, x.CloseIdleSince(proxy.Address(), time.Now()))
}

// When all connections fall silent together, only a few replacements are dialled at once.
func TestConcurrentRedialsAreLimited(t *testing.T) {
	var now, most atomic.Int64
	release := make(chan struct{})
	x := target.NewExchanger(func() {
		n := now.Add(1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		<-release
		now.Add(-1)
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	const requests = 100
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for range requests {
		all.Go(func() {
			_, _ = x.Do(ctx, l.Addr().String(), &target.Request{ // nothing answers
				Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, NewConn: true, Redial: true,
				Matches: func(http.Header) bool { return true },
			})
		})
	}
	require.Eventually(t, func() bool { return now.Load() == target.MaxConcurrentRedials }, time.Minute, time.Millisecond)
	cancel()
	close(release)
	all.Wait()
	require.Equal(t, int64(target.MaxConcurrentRedials), most.Load())
}

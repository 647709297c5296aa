package target_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/fake"
	"github.com/spoolbank/spoolbank/internal/target"
)

// silenceBound is short because the engines of these tests answer at once, except a slow one.
const silenceBound = 800 * time.Millisecond

// newProxyFor starts a proxy in front of a server; it is closed at the end of the test.
func newProxyFor(t *testing.T, server *httptest.Server) *fake.Proxy {
	t.Helper()
	proxy, err := fake.NewProxy("127.0.0.1:0", server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	return proxy
}

// silentCounts counts the silent connections that a Client reports, by kind.
type silentCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (f *silentCounts) record(kind, _ string, _, _ time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts == nil {
		f.counts = make(map[string]int)
	}
	f.counts[kind]++
}

func (f *silentCounts) count(kind string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[kind]
}

// All runs on a link that had fallen silent waited until their engine was declared dead.
func TestSilentRunLinkIsReplacedAndRunsRepeated(t *testing.T) {
	server := engine(t, func(_ context.Context, o target.RunOrder) target.RunReply {
		return target.RunReply{Result: core.ResultDone, Next: o.Position + 1}
	})
	proxy := newProxyFor(t, server)
	var found silentCounts
	client := target.NewClient().WithSilence(silenceBound, found.record)
	run := func(position int) core.RunEnded {
		now := time.Now()
		return client.Run(t.Context(), core.Run{
			Stream: "s", Position: position, Chain: []core.Stage{{Target: "e1", Address: proxy.Address()}},
			ReplyDeadline: now.Add(time.Minute), NotAfter: now.Add(time.Minute),
		})
	}
	require.Equal(t, core.ResultDone, run(0).Result)
	proxy.Silence()
	const runs = 20
	var all sync.WaitGroup
	for i := range runs {
		all.Go(func() { require.Equal(t, core.ResultDone, run(i+1).Result) })
	}
	all.Wait()
	require.Equal(t, 1, found.count("runs"))
	require.Equal(t, 2, proxy.ConnectionCount())
}

// An engine that takes long to run an order still answers probes on its link.
func TestSlowRunKeepsItsLink(t *testing.T) {
	release := make(chan struct{})
	server := engine(t, func(ctx context.Context, o target.RunOrder) target.RunReply {
		if o.Position > 0 {
			<-release
		}
		return target.RunReply{Result: core.ResultDone}
	})
	proxy := newProxyFor(t, server)
	var found silentCounts
	client := target.NewClient().WithSilence(silenceBound, found.record)
	order := target.RunOrder{Stream: "s"}
	_, err := client.RunOrder(t.Context(), proxy.Address(), order)
	require.NoError(t, err)
	time.AfterFunc(3*silenceBound, func() { close(release) })
	order.Position = 1
	_, err = client.RunOrder(t.Context(), proxy.Address(), order)
	require.NoError(t, err)
	require.Zero(t, found.count("runs"))
	require.Equal(t, 1, proxy.ConnectionCount())
}

// A target whose reused connection had fallen silent was counted as unreachable.
func TestWatchOverSilentConnectionIsRepeatedOnNewOne(t *testing.T) {
	var answered atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		answered.Add(1)
		_, _ = io.WriteString(w, "{}") // the client may have closed the connection
	}))
	t.Cleanup(func() {
		require.NoError(t, server.Config.Close())
		server.Close()
	})
	proxy := newProxyFor(t, server)
	var found silentCounts
	client := target.NewClient().WithSilence(silenceBound, found.record)
	watch := core.Watch{Target: "t", Address: proxy.Address()}
	require.True(t, client.Watch(t.Context(), watch).Report.Reached)
	proxy.Silence()
	require.True(t, client.Watch(t.Context(), watch).Report.Reached)
	require.Equal(t, 1, found.count("watch"))
	require.True(t, client.Watch(t.Context(), watch).Report.Reached)
	require.Equal(t, 1, found.count("watch"))
	require.Equal(t, int64(3), answered.Load())
}

// Guards against a repeated run that states the time that was left at its first sending.
func TestRepeatedRunStatesTimeLeft(t *testing.T) {
	const allowed = time.Minute
	stated := make(chan int64, 4)
	server := engine(t, func(_ context.Context, o target.RunOrder) target.RunReply {
		stated <- o.TimeoutMillis
		return target.RunReply{Result: core.ResultDone, Next: o.Position + 1}
	})
	proxy := newProxyFor(t, server)
	var found silentCounts
	client := target.NewClient().WithSilence(silenceBound, found.record)
	run := func() {
		now := time.Now()
		ended := client.Run(t.Context(), core.Run{
			Stream: "s", Chain: []core.Stage{{Target: "e1", Address: proxy.Address()}}, ReplyDeadline: now.Add(allowed), NotAfter: now.Add(allowed),
		})
		require.Equal(t, core.ResultDone, ended.Result)
	}
	run()
	require.LessOrEqual(t, <-stated, allowed.Milliseconds())
	proxy.Silence()
	began := time.Now()
	run()
	require.Equal(t, 1, found.count("runs"))
	// The link was found silent after a good part of the bound at the least.
	require.LessOrEqual(t, <-stated, (allowed - silenceBound/4).Milliseconds(), "after %v", time.Since(began))
}

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

// silenceBound is short: the engines of these tests answer at once.
const silenceBound = 800 * time.Millisecond

// behindRelay returns a relay before a server, which ends with the test.
func behindRelay(t *testing.T, server *httptest.Server) *fake.Relay {
	t.Helper()
	relay, err := fake.NewRelay("127.0.0.1:0", server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	return relay
}

// foundKinds counts what a Client tells of.
type foundKinds struct {
	mu    sync.Mutex
	kinds map[string]int
}

func (f *foundKinds) take(kind, _ string, _, _ time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.kinds == nil {
		f.kinds = make(map[string]int)
	}
	f.kinds[kind]++
}

func (f *foundKinds) of(kind string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.kinds[kind]
}

// All runs over a link that had fallen silent waited until their engine counted as dead.
func TestASilentRunLinkIsLeftAndItsRunsGoOn(t *testing.T) {
	server := engine(t, func(_ context.Context, o target.RunOrder) target.RunReply {
		return target.RunReply{Result: core.ResultDone, Next: o.Position + 1}
	})
	relay := behindRelay(t, server)
	var found foundKinds
	client := target.NewClient().WithSilence(silenceBound, found.take)
	run := func(position int) core.RunEnded {
		now := time.Now()
		return client.Run(t.Context(), core.Run{
			Stream: "s", Position: position, Chain: []core.Stage{{Target: "e1", Address: relay.Address()}},
			Silence: now.Add(time.Minute), NotAfter: now.Add(time.Minute),
		})
	}
	require.Equal(t, core.ResultDone, run(0).Result)
	relay.Silence()
	const runs = 20
	var all sync.WaitGroup
	for i := range runs {
		all.Go(func() { require.Equal(t, core.ResultDone, run(i+1).Result) })
	}
	all.Wait()
	require.Equal(t, 1, found.of("runs"))
	require.Equal(t, 2, relay.Joined())
}

// An engine that takes long over an order answers the question on its link.
func TestASlowRunKeepsItsLink(t *testing.T) {
	release := make(chan struct{})
	server := engine(t, func(ctx context.Context, o target.RunOrder) target.RunReply {
		if o.Position > 0 {
			<-release
		}
		return target.RunReply{Result: core.ResultDone}
	})
	relay := behindRelay(t, server)
	var found foundKinds
	client := target.NewClient().WithSilence(silenceBound, found.take)
	order := target.RunOrder{Stream: "s"}
	_, err := client.RunOrder(t.Context(), relay.Address(), order)
	require.NoError(t, err)
	time.AfterFunc(3*silenceBound, func() { close(release) })
	order.Position = 1
	_, err = client.RunOrder(t.Context(), relay.Address(), order)
	require.NoError(t, err)
	require.Zero(t, found.of("runs"))
	require.Equal(t, 1, relay.Joined())
}

// A target whose kept connection had fallen silent counted as not reached.
func TestALookOverASilentConnectionIsRepeatedOnANewOne(t *testing.T) {
	var looks atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		looks.Add(1)
		_, _ = io.WriteString(w, "{}") // a client that has left needs none
	}))
	t.Cleanup(func() {
		require.NoError(t, server.Config.Close())
		server.Close()
	})
	relay := behindRelay(t, server)
	var found foundKinds
	client := target.NewClient().WithSilence(silenceBound, found.take)
	watch := core.Watch{Target: "t", Address: relay.Address()}
	require.True(t, client.Watch(t.Context(), watch).Report.Reached)
	relay.Silence()
	require.True(t, client.Watch(t.Context(), watch).Report.Reached)
	require.Equal(t, 1, found.of("watch"))
	require.True(t, client.Watch(t.Context(), watch).Report.Reached)
	require.Equal(t, 1, found.of("watch"))
	require.Equal(t, int64(3), looks.Load())
}

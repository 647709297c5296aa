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

// keptWait is short: nothing in these tests is slow.
const keptWait = 50 * time.Millisecond

// relayedTarget is a target behind a relay that answers everything, and the Exchanger.
func relayedTarget(t *testing.T) (*fake.Relay, *target.Exchanger, *atomic.Int64) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Keep-Alive", "timeout=600")
		w.Header().Set("Id", "1")
		_, _ = io.WriteString(w, "ok") // a caller that has left needs none
	}))
	relay, err := fake.NewRelay("127.0.0.1:0", server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() {
		relay.Close()
		require.NoError(t, server.Config.Close())
		server.Close()
	})
	dialled := new(atomic.Int64)
	return relay, target.NewExchanger(func() { dialled.Add(1) }), dialled
}

func askKept(x *target.Exchanger, address string, wait target.KeptWait) error {
	answer, err := x.Do(context.Background(), address, &target.Request{
		Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: []byte("ask"), Kept: wait,
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

// A request on a kept connection that had fallen silent waited for as long as its caller.
func TestASilentKeptConnectionIsLeft(t *testing.T) {
	relay, x, dialled := relayedTarget(t)
	wait := target.KeptWait{For: keptWait, Leave: always}
	require.NoError(t, askKept(x, relay.Address(), wait))
	require.NoError(t, askKept(x, relay.Address(), wait))
	require.Equal(t, int64(1), dialled.Load())
	relay.Silence()
	err := askKept(x, relay.Address(), wait)
	require.ErrorIs(t, err, target.ErrKeptSilent)
	require.ErrorIs(t, err, target.ErrStale)
	require.NoError(t, askKept(x, relay.Address(), wait))
	require.Equal(t, int64(2), dialled.Load())
}

// Where the request may not be sent again, its answer is waited for to the end.
func TestASlowAnswerIsWaitedForWhereNothingElseMayBeDone(t *testing.T) {
	relay, x, _ := relayedTarget(t)
	require.NoError(t, askKept(x, relay.Address(), target.KeptWait{}))
	relay.Slow(2 * keptWait)
	asked := 0
	require.NoError(t, askKept(x, relay.Address(), target.KeptWait{For: keptWait, Leave: func() bool { asked++; return false }}))
	require.Equal(t, 1, asked)
}

// One silent connection tells of all those that have rested as long.
func TestOneSilentConnectionVoidsTheOlderOnes(t *testing.T) {
	relay, x, _ := relayedTarget(t)
	const kept = 5
	fill := func(n int) {
		var open []*target.Answer
		for range n {
			answer, err := x.Do(context.Background(), relay.Address(), &target.Request{
				Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, Fresh: true,
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
	proof := time.Now()
	fill(1)
	require.Equal(t, kept, x.Void(relay.Address(), proof))
	require.Equal(t, 1, x.Void(relay.Address(), time.Now()))
	require.Zero(t, x.Void(relay.Address(), time.Now()))
}

// When all connections fall silent together, few are made at once in their place.
func TestFewConnectionsAreMadeAtOnceInThePlaceOfSilentOnes(t *testing.T) {
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
			_, _ = x.Do(ctx, l.Addr().String(), &target.Request{ // nobody answers
				Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, Fresh: true, Again: true,
				Matches: func(http.Header) bool { return true },
			})
		})
	}
	require.Eventually(t, func() bool { return now.Load() == target.RedialsAtOnce }, time.Minute, time.Millisecond)
	cancel()
	close(release)
	all.Wait()
	require.Equal(t, int64(target.RedialsAtOnce), most.Load())
}

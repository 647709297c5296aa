package daemon_test

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// exhausted is a listener whose process has no free descriptors for its first accepts.
type exhausted struct {
	net.Listener
	failures atomic.Int32
}

func (l *exhausted) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

func TestReadyOnlyWhileConnectionsAreAccepted(t *testing.T) {
	w := newWorker(t, served)
	g := newEntry(t, relay.RepeatAlways, 1, w)
	require.True(t, g.Ready())
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &exhausted{Listener: inner}
	l.failures.Store(3)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })}
	g.ServeCallersOn(server, l)
	defer g.Kill()
	require.Eventually(t, func() bool { return !g.Ready() }, testTimeout, time.Millisecond, "it can't take connections")
	var callers sync.WaitGroup
	for range 7 {
		callers.Go(func() {
			response, err := http.Get("http://" + inner.Addr().String())
			if err != nil {
				t.Error(err)
				return
			}
			response.Body.Close()
		})
	}
	callers.Wait()
	require.Eventually(t, g.Ready, testTimeout, time.Millisecond, "it takes them again")
}

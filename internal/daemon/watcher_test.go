package daemon_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/daemon"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// pausing is a target whose stream stalls after its first event until resume is closed. It
// reports whether the connection was closed meanwhile.
type pausing struct {
	address    string
	begun      chan struct{}
	resume     chan struct{}
	connClosed chan struct{}
	// header holds further lines of its answer's head.
	header string
}

func newPausing(t *testing.T) *pausing {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	p := &pausing{address: l.Addr().String(), begun: make(chan struct{}), resume: make(chan struct{}), connClosed: make(chan struct{})}
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		p.serve(conn)
	}()
	return p
}

func (p *pausing) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if _, err := http.ReadRequest(reader); err != nil {
		return
	}
	go func() {
		_, _ = reader.ReadByte() // nothing else is sent on it
		close(p.connClosed)
	}()
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\n"+p.header+"Content-Length: 13\r\n\r\nid: 1\n\n"); err != nil {
		return
	}
	close(p.begun)
	<-p.resume
	_, _ = io.WriteString(conn, "x: 2\n\n") // a client that has closed it reads nothing
}

// muteEngines answer no report request.
type muteEngines struct{ daemon.Engines }

func (muteEngines) Report(context.Context, relay.Stage) (daemon.EngineReport, error) {
	return daemon.EngineReport{}, daemon.ErrEngineSilent
}

// Guards against cutting off the streams of a suspected engine, at a change of the document,
// when the retry budget was used up and no other engine could continue them.
func TestStalledStreamWithoutAlternativeIsNotCut(t *testing.T) {
	p := newPausing(t)
	document := &relay.Document{
		Version:  1,
		Services: []relay.Service{{Name: "s", MaxConns: 100}},
		Routes: []relay.Route{{
			Name: "r", Host: "h", Prefix: "/", Repeat: relay.RepeatResume, Stream: true, Timeout: 20 * time.Second, Objective: time.Second,
			Pause: 200 * time.Millisecond, MaxTargets: 2, Anonymous: true, Shares: []relay.Share{{Service: "s", Weight: 1}},
		}},
	}
	target := relay.Target{ID: "i-1", Service: "s", Address: p.address, Slots: 10, Call: 1}
	noRepeats := relay.BudgetTerms{Window: 10 * time.Second}
	g, err := daemon.NewGatewayAlone(daemon.Platform{Codec: plainCodec{}, Engines: muteEngines{}, Router: relay.Settings{Seed: 1, Started: time.Now(), Budget: noRepeats}}, document, []relay.Target{target})
	require.NoError(t, err)
	answer := stream(t, g)
	<-p.begun
	daemon.Suspect(g, target.ID)
	select {
	case <-p.connClosed:
	case <-time.After(time.Second): // four checks of a stalled stream
	}
	close(p.resume)
	require.Equal(t, whole, <-answer)
}

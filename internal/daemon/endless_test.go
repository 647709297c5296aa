package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/daemon"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// maxEndlessBytes is more than any bound on an event, with the kernel's buffers.
const maxEndlessBytes = 32 << 20

// newEventTarget returns the address of a target whose answer has one event, and then a part of one
// without an end if endless is set.
func newEventTarget(t *testing.T, endless bool, written *atomic.Int64) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	piece := strings.Repeat("x", 64<<10)
	serve := func(conn net.Conn) {
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\n\r\n", request.Header.Get("Id"))
		if !endless {
			fmt.Fprint(conn, "id: 1\ndata: x\n\n")
			return
		}
		_, err = io.WriteString(conn, "data: ")
		for err == nil && written.Load() < maxEndlessBytes {
			_, err = io.WriteString(conn, piece)
			written.Add(int64(len(piece)))
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l.Addr().String()
}

// Guards against an event without an end, which was kept as a whole until the request's time was over.
// The request must be served by another target.
func TestEventWithoutEndIsNoAnswer(t *testing.T) {
	var written atomic.Int64
	document := &relay.Document{
		Version: 1, Services: []relay.Service{{Name: "s", MaxConns: 100}},
		Routes: []relay.Route{{
			Name: "r", Host: "h", Prefix: "/", Repeat: relay.RepeatResume, Stream: true, Timeout: 5 * time.Second, MaxTargets: 2, Anonymous: true,
			Shares: []relay.Share{{Service: "s", Weight: 1}},
		}},
	}
	var targets []relay.Target
	for _, address := range []string{newEventTarget(t, true, &written), newEventTarget(t, false, &written)} {
		targets = append(targets, relay.Target{ID: relay.TargetID(address), Service: "s", Address: address, Slots: 10, Call: 1})
	}
	budget := relay.BudgetTerms{Share: 1, Fixed: 100, Window: 10 * time.Second}
	g, err := daemon.NewGatewayAlone(daemon.Platform{Codec: resumeCodec{}, Engines: noEngines{}, Router: relay.Settings{Seed: 1, Started: time.Now(), Budget: budget}}, document, targets)
	require.NoError(t, err)
	for n := 0; written.Load() == 0; n++ {
		require.Equal(t, http.StatusOK, askAs(t, g, fmt.Sprint(n), time.Minute))
	}
	require.Less(t, written.Load(), int64(maxEndlessBytes))
}

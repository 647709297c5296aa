package daemon_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/target"
)

// Guards against a VM that keeps what it carries for another: a target behind its tunnel sends a head or a body
// without an end.
func TestBytesWithoutEndBehindTunnelAreBounded(t *testing.T) {
	for name, text := range map[string]struct{ first, rest string }{
		"head": {"HTTP/1.1 200 OK\r\n", "A: x\r\n"},
		"line": {"", "x"},
		"body": {earlyAnswer, "x"},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			done := make(chan struct{})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			go func() {
				defer close(done)
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err = io.WriteString(conn, text.first)
				piece := strings.Repeat(text.rest, (64<<10)/len(text.rest))
				for err == nil && written.Load() < maxEndlessBytes {
					_, err = io.WriteString(conn, piece)
					written.Add(int64(len(piece)))
				}
			}()
			x := tunnelExchanger(t, l.Addr().String())
			answer, err := x.Do(t.Context(), "t", &target.Request{
				Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, NewConn: true,
				Matches: func(http.Header) bool { return true },
			})
			if name == "body" {
				require.NoError(t, err)
				_, err = io.CopyN(io.Discard, answer, 1<<20)
				require.NoError(t, err)
				answer.Close()
			} else {
				require.ErrorIs(t, err, target.ErrNoAnswer)
			}
			<-done
			require.Less(t, written.Load(), int64(maxEndlessBytes))
		})
	}
}

package daemon_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/daemon"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/settings"
)

// BenchmarkReadBody measures requests whose body is read and that are answered at once, over one kept
// connection.
func BenchmarkReadBody(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 32 << 10, 256 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			s := settings.Default()
			s.Limits.MemoryMB = 512
			g, err := daemon.GatewayFor(s, logr.Discard(), daemon.Platform{
				Codec: bareCodec{}, Engines: healthyEngines{}, Router: relay.Settings{Hall: "h", Started: time.Now()},
			}, &relay.Document{}, nil)
			require.NoError(b, err)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, release, err := g.ReadBody(w, r, 4<<20)
				release()
				if err != nil {
					panic(http.ErrAbortHandler)
				}
			})}
			go func() { _ = server.Serve(g.CallerListener(server, l)) }()
			defer server.Close()
			conn, err := net.Dial("tcp", l.Addr().String())
			require.NoError(b, err)
			defer conn.Close()
			request := []byte(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size)))
			answers := bufio.NewReader(conn)
			b.ReportAllocs()
			for b.Loop() {
				_, err := conn.Write(request)
				require.NoError(b, err)
				answer, err := http.ReadResponse(answers, nil)
				require.NoError(b, err)
				answer.Body.Close()
			}
		})
	}
}

package daemon_test

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/daemon"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/internal/target"
	"github.com/spoolbank/spoolbank/internal/wire"
)

var resetAnswers = flag.Int("reset-answers", 20, "the answers of each case of the tests of answers that are reset")

// earlyAnswer is the answer of a plain service, and a part of a stream that ends between two events.
const earlyAnswer = "HTTP/1.1 200 OK\r\nId: a\r\n\r\nid: 1\n\nid: 2\n\n"

// resetConn resets a connection if the kernel allows it.
func resetConn(conn *net.TCPConn) { _ = conn.SetLinger(0) }

// listenEarly starts a target that answers without a length before it has read the whole body, and then
// ends the connection.
func listenEarly(t *testing.T, end func(*net.TCPConn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	serve := func(conn *net.TCPConn) {
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, earlyAnswer)
		end(conn)
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// carrier returns a VM that carries tunnels to a target, and its peer address.
func carrier(t *testing.T, address string) (*daemon.Gateway, string) {
	document := &relay.Document{Version: 1, Services: []relay.Service{{Name: "s", MaxConns: 1000}}}
	platform := daemon.Platform{Codec: plainCodec{}, Engines: noEngines{}, Grace: time.Minute, Router: relay.Settings{Hall: "a", Started: time.Now().Add(-time.Minute), Budget: relay.BudgetTerms{Share: 1, Fixed: 100, Window: 10 * time.Second}}}
	g, err := daemon.NewGatewayAlone(platform, document, []relay.Target{{ID: "t", Service: "s", Address: address, Hall: "a", Slots: 1000, Call: 1}})
	require.NoError(t, err)
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = daemon.ServePeers(t.Context(), g, peers) }() // it ends with the test
	return g, peers.Addr().String()
}

// tunnelExchanger returns an Exchanger whose connections lead to a target by way of a VM.
func tunnelExchanger(t *testing.T, address string) *target.Exchanger {
	_, peers := carrier(t, address)
	return exchangerBy(peers)
}

// exchangerBy returns an Exchanger whose connections lead to the target "t" by way of the VM with a peer address.
func exchangerBy(peers string) *target.Exchanger {
	x := target.NewExchanger(func() {})
	x.Dial = func(ctx context.Context, _ func(context.Context, string) (net.Conn, error), _ string) (net.Conn, error) {
		return wire.Credentials{}.DialTunnel(ctx, peers, "t")
	}
	return x
}

func askEarly(t *testing.T, x *target.Exchanger, size int, pause time.Duration) (string, error) {
	answer, err := x.Do(t.Context(), "t", &target.Request{
		Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: bytes.Repeat([]byte("x"), size), NewConn: true,
		Matches: func(http.Header) bool { return true },
	})
	if err != nil {
		return "", err
	}
	defer answer.Close()
	time.Sleep(pause)
	text, err := io.ReadAll(answer)
	return string(text), err
}

// Guards against a part of an answer that looks whole behind a tunnel: the VM in between wrote a long upload to
// the target as its connection was reset, and reported an end in order.
func TestResetBehindTunnelDuringUploadIsNoEnd(t *testing.T) {
	address := listenEarly(t, resetConn)
	x := tunnelExchanger(t, address)
	for _, size := range []int{100, 300 << 10, 4 << 20} {
		for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d/%s", size, pause), func(t *testing.T) {
				whole := 0
				for range *resetAnswers {
					if _, err := askEarly(t, x, size, pause); err == nil {
						whole++
					}
				}
				require.Zero(t, whole, "of %d answers that were reset", *resetAnswers)
			})
		}
	}
}

// Guards against a whole answer that is lost behind a tunnel as its upload can't be written to its end.
func TestEndInOrderBehindTunnelDuringUploadIsWhole(t *testing.T) {
	ends := map[string]func(*net.TCPConn){
		"reads on": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		},
		"reads no more": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			resetConn(conn)
		},
	}
	for name, end := range ends {
		x := tunnelExchanger(t, listenEarly(t, end))
		for _, size := range []int{100, 300 << 10, 4 << 20} {
			t.Run(fmt.Sprintf("%s/%d", name, size), func(t *testing.T) {
				for range 3 * *resetAnswers {
					text, err := askEarly(t, x, size, 0)
					require.NoError(t, err)
					require.True(t, strings.HasSuffix(earlyAnswer, "\r\n\r\n"+text))
				}
			})
		}
	}
}

// Guards against a part of an answer, or of a stream between two events, that callers get as a whole one.
func TestCallerGetsNoPartOfResetAnswerAsWhole(t *testing.T) {
	address := listenEarly(t, resetConn)
	for name, entry := range map[string]func() *daemon.Gateway{
		"plain":  func() *daemon.Gateway { return newEntry(t, relay.RepeatNever, 1, &worker{address: address}) },
		"stream": func() *daemon.Gateway { return newStreamEntry(t, &worker{address: address}) },
	} {
		t.Run(name, func(t *testing.T) {
			whole := 0
			for range *resetAnswers {
				g := entry()
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serveVM(g, w, r) }))
				request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, bytes.NewReader(make([]byte, 4<<20)))
				require.NoError(t, err)
				request.Header.Set("Id", "a")
				answer, err := server.Client().Do(request)
				if err == nil {
					_, err = io.ReadAll(answer.Body)
					answer.Body.Close()
				}
				if err == nil && answer.StatusCode == http.StatusOK {
					whole++
				}
				server.Close()
				g.Kill()
			}
			require.Zero(t, whole, "of %d answers that were reset", *resetAnswers)
		})
	}
}

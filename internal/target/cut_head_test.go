package target_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/target"
)

const (
	cutBody = "a whole answer of one request"
	// cutChunks is cutBody in two chunks.
	cutChunks = "7\r\na whole\r\n16\r\n answer of one request\r\n0\r\n"
)

// cutAnswers are whole answers, which targets cut at each byte.
var cutAnswers = []struct {
	name, method, text, body string
	// unframed is set for an answer that ends with its connection.
	unframed bool
}{
	{name: "length", text: fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: %d\r\n\r\n%s", len(cutBody), cutBody), body: cutBody},
	{name: "length first", text: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nId: 1\r\nKeep-Alive: timeout=5\r\n\r\n%s", len(cutBody), cutBody), body: cutBody},
	{name: "chunked", text: "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + cutChunks + "\r\n", body: cutBody},
	{name: "trailer", text: "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n" + cutChunks + "Sum: 1\r\n\r\n", body: cutBody},
	{name: "bare line feeds", text: fmt.Sprintf("HTTP/1.1 200 OK\nId: 1\nContent-Length: %d\n\n%s", len(cutBody), cutBody), body: cutBody},
	{name: "early hints", text: fmt.Sprintf("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: %d\r\n\r\n%s", len(cutBody), cutBody), body: cutBody},
	{name: "close", text: fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(cutBody), cutBody), body: cutBody},
	{name: "no length", text: "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n" + cutBody, body: cutBody, unframed: true},
	{name: "no content", text: "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n"},
	{name: "head", method: http.MethodHead, text: "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 800\r\n\r\n"},
	{name: "length of several digits", text: "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 800\r\n\r\n" + strings.Repeat("x", 800), body: strings.Repeat("x", 800)},
}

// longPause is longer than any pause of a target that answers.
const longPause = 20 * time.Second

// The ways in which a connection ends behind a cut.
const (
	cutByClose = iota
	cutByReset
	cutBySilence
	cutWays
)

// cuttingTarget is a target that answers the requests of each connection whole, but for the last one
// of it: that answer is cut.
type cuttingTarget struct {
	address string
	whole   int
	text    string
	way     int
}

func newCuttingTarget(t *testing.T, whole int, text, cut string, way int) *cuttingTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	c := &cuttingTarget{address: l.Addr().String(), whole: whole, text: text, way: way}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go c.serve(conn, cut)
		}
	}()
	return c
}

func (c *cuttingTarget) serve(conn net.Conn, cut string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body) // what is left of a broken request has no use
		if number < c.whole {
			_, _ = io.WriteString(conn, c.text) // the next read fails as well
			continue
		}
		_, _ = io.WriteString(conn, cut) // the connection ends here
		switch c.way {
		case cutByReset:
			_ = conn.(*net.TCPConn).SetLinger(0) // the kernel resets it if this works
		case cutBySilence:
			_, _ = io.Copy(io.Discard, reader) // until the other end closes
		}
		return
	}
}

// cutExchange gives up after a pause.
func cutExchange(x *target.Exchanger, address, method string, pause time.Duration) (string, error) {
	answer, err := x.Do(context.Background(), address, &target.Request{
		Method: method, URI: "/", Host: "h", Header: http.Header{}, Body: []byte("ask"),
		Matches:  func(h http.Header) bool { return h.Get("Id") == "1" },
		MaxPause: pause, KeepWaiting: func() bool { return false },
	})
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	return string(body), err
}

// Guards against a short or empty answer that looks whole: a target stopped in the middle of its
// answer, or of the head of it, and closed, reset or kept its connection.
func TestCutAnswerIsNotWhole(t *testing.T) {
	for _, c := range cutAnswers {
		for way := range cutWays {
			t.Run(fmt.Sprintf("%s/%d", c.name, way), func(t *testing.T) {
				t.Parallel()
				method := c.method
				if method == "" {
					method = http.MethodPost
				}
				step, pause := 1, longPause
				if way == cutBySilence {
					pause = 30 * time.Millisecond
				}
				if way == cutBySilence || len(c.text) > 200 {
					step = 7
				}
				for cut := 0; cut < len(c.text); cut += step {
					for whole := range 2 {
						if whole > 0 && (c.unframed || c.name == "close") {
							continue // its connection is not kept
						}
						s := newCuttingTarget(t, whole, c.text, c.text[:cut], way)
						x := target.NewExchanger(func() {})
						if whole > 0 {
							body, err := cutExchange(x, s.address, method, longPause)
							require.NoError(t, err)
							require.Equal(t, c.body, body)
						}
						body, err := cutExchange(x, s.address, method, pause)
						if c.unframed && way == cutByClose && strings.Contains(c.text[:cut], "\r\n\r\n") {
							require.NoError(t, err, "the end of the connection is the end of the answer")
							continue
						}
						require.Error(t, err, "cut at %d of %d: %q", cut, len(c.text), body)
					}
				}
			})
		}
	}
}

// Guards against an answer that begins in what is left of the last one on a kept connection.
func TestAnswerDoesNotBeginInRestOfLast(t *testing.T) {
	whole := cutAnswers[0].text
	for cut := 1; cut < len(whole); cut++ {
		s := newCuttingTarget(t, 1, whole+whole[:cut], whole[cut:], cutByClose)
		x := target.NewExchanger(func() {})
		first, err := cutExchange(x, s.address, http.MethodPost, longPause)
		require.NoError(t, err)
		require.Equal(t, cutBody, first)
		// The rest may come before or after the connection is used again.
		if body, err := cutExchange(x, s.address, http.MethodPost, longPause); err == nil {
			require.Equal(t, cutBody, body, "rest of %d bytes", cut)
		}
	}
}

// Guards the same for the product's own calls of plain services.
func TestCutAnswerToCallIsNotWhole(t *testing.T) {
	for _, c := range cutAnswers {
		if c.method != "" {
			continue
		}
		for way := range cutBySilence {
			t.Run(fmt.Sprintf("%s/%d", c.name, way), func(t *testing.T) {
				t.Parallel()
				for cut := 0; cut < len(c.text); cut += 1 + len(c.text)/200 {
					s := newCuttingTarget(t, 0, c.text, c.text[:cut], way)
					deadline := time.Now().Add(10 * time.Second)
					ended := target.NewClient().Dispatch(t.Context(), core.Dispatch{ID: "a", Address: s.address, Deadline: deadline, NotAfter: deadline}, target.Call{Method: http.MethodGet, Path: "/"})
					if c.unframed && way == cutByClose && strings.Contains(c.text[:cut], "\r\n\r\n") {
						require.Equal(t, core.ResultDone, ended.Result)
						continue
					}
					require.Equal(t, core.ResultBroken, ended.Result, "cut at %d: %q", cut, ended.Answer.Body)
				}
			})
		}
	}
}

package target_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/target"
)

// scriptedTarget is a target that answers each request with the next of its texts. An empty text
// closes the connection, "reset" resets it, and "silence" sends no answer.
type scriptedTarget struct {
	address string
	conns   atomic.Int32
}

func newScriptedTarget(t *testing.T, texts ...string) *scriptedTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	s := &scriptedTarget{address: l.Addr().String()}
	var next atomic.Int32
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go serveScripted(conn, texts, &next)
		}
	}()
	return s
}

func serveScripted(conn net.Conn, texts []string, next *atomic.Int32) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		text := texts[int(next.Add(1)-1)%len(texts)]
		switch text {
		case "":
			return
		case "reset":
			conn.(*net.TCPConn).SetLinger(0)
			return
		case "silence":
			continue
		}
		if _, err := conn.Write([]byte(text)); err != nil {
			return
		}
	}
}

func answerTo(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func exchange(t *testing.T, x *target.Exchanger, address string, fresh bool) (string, error) {
	t.Helper()
	answer, err := x.Do(context.Background(), address, &target.Request{
		Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: []byte("ask"), NewConn: fresh,
		Matches:  func(h http.Header) bool { return h.Get("Id") == "1" },
		MaxPause: 50 * time.Millisecond, KeepWaiting: func() bool { return false },
	})
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	return string(body), err
}

func TestConnectionIsReusedAfterWholeAnswer(t *testing.T) {
	s := newScriptedTarget(t, answerTo("1", "ok"))
	x := target.NewExchanger(func() {})
	for range 3 {
		body, err := exchange(t, x, s.address, false)
		require.NoError(t, err)
		require.Equal(t, "ok", body)
	}
	require.Equal(t, int32(1), s.conns.Load())
	_, err := exchange(t, x, s.address, true)
	require.NoError(t, err)
	require.Equal(t, int32(2), s.conns.Load())
}

// An answer to another request must never be returned for this one.
func TestSurplusAnswersAreSkipped(t *testing.T) {
	s := newScriptedTarget(t, answerTo("9", "old")+answerTo("1", "new"))
	body, err := exchange(t, target.NewExchanger(func() {}), s.address, false)
	require.NoError(t, err)
	require.Equal(t, "new", body)
}

func TestConnectionsWithSurplusBytesAreNotReused(t *testing.T) {
	s := newScriptedTarget(t, answerTo("1", "ok")+answerTo("1", "ok"))
	x := target.NewExchanger(func() {})
	for range 2 {
		body, err := exchange(t, x, s.address, false)
		require.NoError(t, err)
		require.Equal(t, "ok", body)
	}
	require.Equal(t, int32(2), s.conns.Load())
}

func TestBrokenExchangesReturnErrors(t *testing.T) {
	for name, text := range map[string]string{
		"cut body":    "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\ncut",
		"cut chunk":   "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"no answer":   "",
		"reset":       "reset",
		"garbage":     "this is no answer\r\n\r\n",
		"wrong owner": answerTo("9", "x"),
		"silence":     "silence",
	} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedTarget(t, text, "")
			_, err := exchange(t, target.NewExchanger(func() {}), s.address, false)
			require.Error(t, err)
			require.False(t, errors.Is(err, target.ErrNotSent))
		})
	}
}

func TestAnswerWithoutLengthEndsWithConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			conn.Write([]byte("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it"))
		}
	}()
	body, err := exchange(t, target.NewExchanger(func() {}), l.Addr().String(), false)
	require.NoError(t, err)
	require.Equal(t, "all of it", body)
}

func TestFailedDialReturnsErrNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	l.Close()
	_, err = exchange(t, target.NewExchanger(func() {}), address, false)
	require.ErrorIs(t, err, target.ErrNotSent)
}

func TestSilentTargetReturnsErrSilent(t *testing.T) {
	s := newScriptedTarget(t, "silence")
	_, err := exchange(t, target.NewExchanger(func() {}), s.address, false)
	require.ErrorIs(t, err, target.ErrSilent)
}

// Streams were abandoned because the target had closed the idle connection on which they were
// resumed, since that was not distinguished from a failed target.
func TestResetReusedConnectionReturnsErrStale(t *testing.T) {
	s := newScriptedTarget(t, answerTo("1", "ok"), "reset", answerTo("1", "ok"))
	x := target.NewExchanger(func() {})
	_, err := exchange(t, x, s.address, false)
	require.NoError(t, err)
	_, err = exchange(t, x, s.address, false)
	require.ErrorIs(t, err, target.ErrStale)
	body, err := exchange(t, x, s.address, true)
	require.NoError(t, err)
	require.Equal(t, "ok", body)
}

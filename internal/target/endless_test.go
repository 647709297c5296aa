package target_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/target"
)

// maxUnboundedBytes is more than any bound on what is no answer, with the kernel's buffers.
const maxUnboundedBytes = 32 << 20

// endlessTarget answers each request with a text, and repeats another one until the connection is
// closed or it has written maxUnboundedBytes.
type endlessTarget struct {
	address string
	written atomic.Int64
	done    chan struct{}
}

func newEndlessTarget(t *testing.T, first, rest string) *endlessTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	e := &endlessTarget{address: l.Addr().String(), done: make(chan struct{}, 16)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(conn, first, strings.Repeat(rest, 1+(64<<10)/len(rest)))
		}
	}()
	return e
}

func (e *endlessTarget) serve(conn net.Conn, first, piece string) {
	defer func() { e.done <- struct{}{} }()
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, err := io.WriteString(conn, first)
	for err == nil && e.written.Load() < maxUnboundedBytes {
		_, err = io.WriteString(conn, piece)
		e.written.Add(int64(len(piece)))
	}
}

// requireBounded waits until the connection is closed, and checks that not all was read.
func (e *endlessTarget) requireBounded(t *testing.T) {
	t.Helper()
	<-e.done
	require.Less(t, e.written.Load(), int64(maxUnboundedBytes))
}

// Guards against heads without an end, which were kept until the request's time was over.
func TestHeadWithoutEndIsNoAnswer(t *testing.T) {
	for name, text := range map[string]struct{ first, rest string }{
		"line":         {"", "x"},
		"header line":  {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"header lines": {"HTTP/1.1 200 OK\r\n", "A: x\r\n"},
		"informative":  {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"surplus":      {"HTTP/1.1 200 OK\r\nId: b\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nmore\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndlessTarget(t, text.first, text.rest)
			x := target.NewExchanger(func() {})
			_, err := x.Do(t.Context(), e.address, &target.Request{
				Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{},
				Matches: func(h http.Header) bool { return h.Get("Id") == "a" },
			})
			require.ErrorIs(t, err, target.ErrNoAnswer)
			e.requireBounded(t)
		})
	}
}

// A link to an engine must end with a line that has no end.
func TestReplyLineWithoutEndBreaksLink(t *testing.T) {
	e := newEndlessTarget(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"number\":\"", "x")
	_, err := target.NewClient().RunOrder(t.Context(), e.address, target.RunOrder{})
	require.Error(t, err)
	e.requireBounded(t)
}

// A reply without an end must neither fill the memory nor be taken for whole.
func TestReplyWithoutEndIsNoReply(t *testing.T) {
	for name, text := range map[string]struct{ first, rest string }{
		"body":   {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{", " "},
		"chunks": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nmore\r\n"},
		"head":   {"HTTP/1.1 200 OK\r\n", "A: x\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			c := target.NewClient()
			e := newEndlessTarget(t, text.first, text.rest)
			require.False(t, c.Watch(t.Context(), core.Watch{Target: "i-1", Address: e.address}).Report.Reached)
			e.requireBounded(t)
			e = newEndlessTarget(t, text.first, text.rest)
			ended := c.Dispatch(t.Context(), core.Dispatch{Address: e.address, NotAfter: time.Now().Add(time.Minute), Deadline: time.Now().Add(time.Minute)}, target.Call{Method: http.MethodPost, Path: "/"})
			require.Equal(t, core.ResultBroken, ended.Result)
			e.requireBounded(t)
		})
	}
}

// A body that nobody needs must not hold a request back when it doesn't come.
func TestDiscardEndsWithoutBody(t *testing.T) {
	s := newScriptedTarget(t, "HTTP/1.1 503 No\r\nId: a\r\nContent-Length: 9\r\n\r\n")
	x := target.NewExchanger(func() {})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	answer, err := x.Do(ctx, s.address, &target.Request{
		Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: []byte("ask"),
		Matches: func(h http.Header) bool { return h.Get("Id") == "a" },
	})
	require.NoError(t, err)
	answer.Discard(1<<10, time.Millisecond)
	answer.Close()
	require.NoError(t, ctx.Err())
}

// Guards against a body without an end that is read although nobody takes it.
func TestBodyWithoutEndIsReadAsItIsTaken(t *testing.T) {
	e := newEndlessTarget(t, "HTTP/1.1 200 OK\r\nId: a\r\n\r\n", "x")
	x := target.NewExchanger(func() {})
	answer, err := x.Do(t.Context(), e.address, &target.Request{
		Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{},
		Matches: func(h http.Header) bool { return h.Get("Id") == "a" },
	})
	require.NoError(t, err)
	_, err = io.CopyN(io.Discard, answer, 1<<20)
	require.NoError(t, err)
	answer.Close()
	e.requireBounded(t)
}

package target_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/target"
)

// FuzzAnswers has a target answer with arbitrary bytes and close the connection.
func FuzzAnswers(f *testing.F) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f, err)
	f.Cleanup(func() { l.Close() })
	for _, text := range []string{
		answerTo("a", "ok"), "", "HTTP/1.1 200 OK\r\nId: a\r\n\r\nto the end", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\ncut",
		"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n" + answerTo("a", "ok"), answerTo("b", "ok") + answerTo("a", "ok"), "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok", "\x00\xff\r\n\r\n", "HTTP/9.9 999 \r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		go answerOnce(l, text)
		x := target.NewExchanger(func() {})
		answer, err := x.Do(t.Context(), l.Addr().String(), &target.Request{
			Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, NewConn: true,
			Matches: func(h http.Header) bool { return h.Get("Id") == "a" },
		})
		if err != nil {
			return
		}
		defer answer.Close()
		body, err := io.ReadAll(answer)
		if err == nil && answer.Length >= 0 {
			require.Len(t, body, int(answer.Length), "a truncated answer was read as whole")
		}
		require.True(t, bytes.Contains(text, body) || answer.Length < 0)
	})
}

func answerOnce(l net.Listener, text []byte) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	if _, err := conn.Read(make([]byte, 1<<10)); err != nil {
		return
	}
	_, _ = conn.Write(text) // the client may have closed the connection already
}

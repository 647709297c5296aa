package target_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/target"
)

// brokenHeads are answers that are no answers of HTTP/1.1, with their fault.
var brokenHeads = []struct {
	name, text string
	fault      target.Fault
}{
	{"status 000", "HTTP/1.1 000 X\r\nId: 1\r\nContent-Length: 2\r\n\r\nok", target.FaultStatus},
	{"status 099", "HTTP/1.1 099 X\r\nId: 1\r\nContent-Length: 2\r\n\r\nok", target.FaultStatus},
	{"status with a sign", "HTTP/1.1 +20 X\r\nId: 1\r\nContent-Length: 2\r\n\r\nok", target.FaultStatus},
	{"status 600", "HTTP/1.1 600 X\r\nId: 1\r\nContent-Length: 2\r\n\r\nok", target.FaultStatus},
	{"status 999", "HTTP/1.1 999 X\r\nId: 1\r\nContent-Length: 2\r\n\r\nok", target.FaultStatus},
	{"blank in a name", "HTTP/1.1 200 OK\r\nId: 1\r\nA B: c\r\nContent-Length: 2\r\n\r\nok", target.FaultFieldName},
	{"blank behind a name", "HTTP/1.1 200 OK\r\nId: 1\r\nA : c\r\nContent-Length: 2\r\n\r\nok", target.FaultFieldName},
	{"blank behind the name of a length", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length : 3\r\n\r\nok", target.FaultFieldName},
	{"blank behind the name of chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", target.FaultFieldName},
	{"tab behind a name", "HTTP/1.1 200 OK\r\nId: 1\r\nA\t: c\r\nContent-Length: 2\r\n\r\nok", target.FaultSyntax},
	{"byte 0 in a name", "HTTP/1.1 200 OK\r\nId: 1\r\nA\x00: c\r\nContent-Length: 2\r\n\r\nok", target.FaultSyntax},
	{"byte 1 in a name", "HTTP/1.1 200 OK\r\nId: 1\r\nA\x01: c\r\nContent-Length: 2\r\n\r\nok", target.FaultSyntax},
	{"byte 127 in a name", "HTTP/1.1 200 OK\r\nId: 1\r\nA\x7f: c\r\nContent-Length: 2\r\n\r\nok", target.FaultSyntax},
	{"byte 128 in a name", "HTTP/1.1 200 OK\r\nId: 1\r\nA\x80: c\r\nContent-Length: 2\r\n\r\nok", target.FaultSyntax},
	{"parentheses in a name", "HTTP/1.1 200 OK\r\nId: 1\r\nA(b): c\r\nContent-Length: 2\r\n\r\nok", target.FaultSyntax},
	{"no name", "HTTP/1.1 200 OK\r\nId: 1\r\n: c\r\nContent-Length: 2\r\n\r\nok", target.FaultSyntax},
	{"no colon", "HTTP/1.1 200 OK\r\nId: 1\r\nabc\r\nContent-Length: 2\r\n\r\nok", target.FaultSyntax},
	{"folded first line", "HTTP/1.1 200 OK\r\n Id: 1\r\nContent-Length: 2\r\n\r\nok", target.FaultSyntax},
	{"byte 0 in a value", "HTTP/1.1 200 OK\r\nId: 1\r\nA: b\x00c\r\nContent-Length: 2\r\n\r\nok", target.FaultSyntax},
	{"carriage return in a value", "HTTP/1.1 200 OK\r\nId: 1\r\nA: b\rc\r\nContent-Length: 2\r\n\r\nok", target.FaultSyntax},
	{"blank in a name of early hints", "HTTP/1.1 103 X\r\nA B: c\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok", target.FaultFieldName},
	{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", target.FaultFraming},
	{"chunks and a length in HTTP/1.0", "HTTP/1.0 200 OK\r\nId: 1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", target.FaultFraming},
	{"a length beside chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", target.FaultFraming},
	{"chunks beside a length", "HTTP/1.1 200 OK\r\nId: 1\r\ntransfer-encoding: chunked\r\ncontent-length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n", target.FaultFraming},
	{"two lengths", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", target.FaultSyntax},
	{"a length with a sign", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: +2\r\n\r\nok", target.FaultSyntax},
	{"an empty length", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length:\r\n\r\nok", target.FaultSyntax},
	{"another transfer encoding", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", target.FaultSyntax},
	{"HTTP/2.0", "HTTP/2.0 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok", target.FaultVersion},
	{"HTTP/0.9", "HTTP/0.9 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok", target.FaultVersion},
	{"no version", "http/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok", target.FaultSyntax},
	{"empty line before the answer", "\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok", target.FaultSyntax},
	{"switched protocols", "HTTP/1.1 101 X\r\nId: 1\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok", target.FaultStatus},
}

// Guards against answers that a lenient parser accepts and that no target has given.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	for _, c := range brokenHeads {
		t.Run(c.name, func(t *testing.T) {
			s := newScriptedTarget(t, c.text, "")
			_, err := exchange(t, target.NewExchanger(func() {}), s.address, false)
			require.ErrorIs(t, err, target.ErrNoAnswer)
			require.Equal(t, c.fault, target.FaultOf(err), err)
		})
	}
}

// soundHeads are unusual answers of HTTP/1.1 with the body "ok".
var soundHeads = map[string]string{
	"HTTP/1.0":              "HTTP/1.0 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.0, no length":   "HTTP/1.0 200 OK\r\nId: 1\r\n\r\nok",
	"HTTP/1.2":              "HTTP/1.2 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok",
	"no reason":             "HTTP/1.1 200\r\nId: 1\r\nContent-Length: 2\r\n\r\nok",
	"folded line":           "HTTP/1.1 200 OK\r\nId: 1\r\nA: b\r\n c\r\nContent-Length: 2\r\n\r\nok",
	"folded line like TE":   "HTTP/1.1 200 OK\r\nId: 1\r\nA: b\r\n Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nok",
	"the same length twice": "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
	"bytes from 128 on":     "HTTP/1.1 200 OK\r\nId: 1\r\nA: b\x80c\r\nContent-Length: 2\r\n\r\nok",
	"early hints":           "HTTP/1.1 103 X\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok",
	"chunk extension":       "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\n\r\n",
	"trailer":               "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nContent-Length: 7\r\n\r\n",
	"long head":             "HTTP/1.1 200 OK\r\nId: 1\r\nA: " + strings.Repeat("x", 20<<10) + "\r\nContent-Length: 2\r\n\r\nok",
}

// Guards against checks that reject answers which RFC 9112 allows.
func TestUnusualHeadIsAnswer(t *testing.T) {
	for name, text := range soundHeads {
		t.Run(name, func(t *testing.T) {
			s := newCuttingTarget(t, 0, text, text, cutByClose)
			body, err := cutExchange(target.NewExchanger(func() {}), s.address, http.MethodPost, longPause)
			require.NoError(t, err)
			require.Equal(t, "ok", body)
			deadline := time.Now().Add(longPause)
			ended := target.NewClient().Dispatch(t.Context(), core.Dispatch{ID: "a", Address: s.address, Deadline: deadline, NotAfter: deadline}, target.Call{Method: http.MethodPost, Path: "/"})
			require.Equal(t, core.ResultDone, ended.Result)
			require.Equal(t, "ok", string(ended.Answer.Body))
		})
	}
}

// Guards the same for calls of the product's own interface.
func TestBrokenHeadOfCallIsNoAnswer(t *testing.T) {
	for _, c := range brokenHeads {
		t.Run(c.name, func(t *testing.T) {
			s := newScriptedTarget(t, c.text, "")
			deadline := time.Now().Add(longPause)
			ended := target.NewClient().Dispatch(t.Context(), core.Dispatch{ID: "a", Address: s.address, Deadline: deadline, NotAfter: deadline}, target.Call{Method: http.MethodPost, Path: "/"})
			require.Equal(t, core.ResultBroken, ended.Result, "%d %q", ended.Answer.Status, ended.Answer.Body)
		})
	}
}

// Guards against a call that is sent on to an address that its service names in a redirection: the caller gets the
// service's answer.
func TestCallIsNotRedirected(t *testing.T) {
	other := newScriptedTarget(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
	s := newScriptedTarget(t, "HTTP/1.1 302 Found\r\nLocation: http://"+other.address+"/\r\nContent-Length: 2\r\n\r\nok")
	deadline := time.Now().Add(longPause)
	ended := target.NewClient().Dispatch(t.Context(), core.Dispatch{ID: "a", Address: s.address, Deadline: deadline, NotAfter: deadline}, target.Call{Method: http.MethodGet, Path: "/"})
	require.Equal(t, core.ResultDone, ended.Result)
	require.Equal(t, http.StatusFound, ended.Answer.Status)
	require.Zero(t, other.conns.Load())
}

// Guards against bytes behind an answer without a body that are taken for the next answer.
func TestBodyOfAnswerWithoutBodyIsNoAnswer(t *testing.T) {
	smuggled := answerTo("1", "no")
	for name, text := range map[string]string{
		"204 with a length": "HTTP/1.1 204 X\r\nId: 1\r\nContent-Length: 48\r\n\r\n" + smuggled,
		"204 with chunks":   "HTTP/1.1 204 X\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" + smuggled,
		"304 with a length": "HTTP/1.1 304 X\r\nId: 1\r\nContent-Length: 48\r\n\r\n" + smuggled,
	} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedTarget(t, text, answerTo("1", "ok"))
			x := target.NewExchanger(func() {})
			body, err := exchange(t, x, s.address, false)
			require.NoError(t, err)
			require.Empty(t, body)
			body, err = exchange(t, x, s.address, false)
			require.NoError(t, err)
			require.Equal(t, "ok", body)
		})
	}
}

package target_test

import (
	"net/http"
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

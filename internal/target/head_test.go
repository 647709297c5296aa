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

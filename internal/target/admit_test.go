package target_test

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/target"
)

// A request that Admit rejects on an open connection is not sent, and the connection is kept for
// requests that are admitted.
func TestRequestNotAdmittedIsNotSent(t *testing.T) {
	s := newScriptedTarget(t, answerTo("1", "ok"))
	x := target.NewExchanger(func() {})
	refused := errors.New("not now")
	for _, fresh := range []bool{false, true} {
		_, err := x.Do(context.Background(), s.address, &target.Request{
			Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, NewConn: fresh,
			Matches: func(http.Header) bool { return true },
			Admit:   func() error { return refused },
		})
		require.ErrorIs(t, err, refused)
		require.ErrorIs(t, err, target.ErrNotSent)
	}
	body, err := exchange(t, x, s.address, false)
	require.NoError(t, err)
	require.Equal(t, "ok", body, "a rejected request was sent")
	require.EqualValues(t, 2, s.conns.Load(), "want the first connection and one for Fresh; the last request reuses one")
}

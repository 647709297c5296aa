package target_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/target"
)

// After CloseIdle, a target that restarts on the address gets a new connection.
func TestDroppedConnectionsAreNotReused(t *testing.T) {
	s := newScriptedTarget(t, answerTo("1", "ok"))
	other := newScriptedTarget(t, answerTo("1", "ok"))
	x := target.NewExchanger(func() {})
	for range 2 {
		for _, address := range []string{s.address, other.address} {
			_, err := exchange(t, x, address, false)
			require.NoError(t, err)
		}
		x.CloseIdle(s.address)
	}
	require.Equal(t, int32(2), s.conns.Load())
	require.Equal(t, int32(1), other.conns.Load())
}

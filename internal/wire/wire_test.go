package wire_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/wire"
)

func envelope() core.Envelope {
	return core.Envelope{Cluster: "c", From: core.ReplicaID{VM: "a", Incarnation: 7}, To: "b", Body: core.Message{Append: &core.Append{
		Term: 3, Entries: []core.Entry{{Term: 3, Index: 9, At: time.Unix(1, 2).UTC(), Claim: &core.ClaimOp{ID: "o/\"x\"", Attempt: 2}}},
	}}}
}

func TestRoundTrip(t *testing.T) {
	text, err := wire.Marshal(envelope())
	require.NoError(t, err)
	var back core.Envelope
	require.NoError(t, wire.Unmarshal(text, &back))
	require.Equal(t, envelope(), back)
}

// FuzzUnmarshal feeds a Node arbitrary messages, as a faulty peer could send them.
func FuzzUnmarshal(f *testing.F) {
	text, err := wire.Marshal(envelope())
	require.NoError(f, err)
	f.Add(text)
	f.Add([]byte{0xa1, 0x61, 0x78, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, text []byte) {
		var e core.Envelope
		if wire.Unmarshal(text, &e) != nil {
			return
		}
		self := core.ReplicaID{VM: "b", Incarnation: 1}
		n := core.New(core.Settings{Self: self, Cluster: "c", Control: true, Entry: true, ControlVMs: []core.VMName{"b"}, Voters: 1, SnapshotEvery: 1000, Timing: core.DefaultTiming()},
			core.Recovered{Snapshot: core.Snapshot{Index: 1, Term: 1, Members: core.NewMembership(self)}}, time.Unix(100, 0))
		n.Step(time.Unix(100, 1), core.Received{Envelope: e})
	})
}

// The kernel retransmits a lost SYN only after one second, which delayed the first leases by a
// second after a restart of all VMs.
func TestDialIsRetriedAfterTimeout(t *testing.T) {
	attempts := 0
	here, there := net.Pipe()
	defer there.Close()
	conn, err := wire.DialWithRetry(context.Background(), time.Millisecond, func(ctx context.Context) (net.Conn, error) {
		attempts++
		if attempts < 3 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return here, nil
	})
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	require.Equal(t, 3, attempts)
}

func TestRefusedDialIsNotRetried(t *testing.T) {
	attempts := 0
	_, err := wire.DialWithRetry(context.Background(), time.Minute, func(context.Context) (net.Conn, error) {
		attempts++
		return nil, syscall.ECONNREFUSED
	})
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.Equal(t, 1, attempts)
}

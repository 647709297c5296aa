package daemon_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/wire"
	"github.com/spoolbank/spoolbank/settings"
)

// fakeControlVM is a control VM that grants each renewal and advertises another VM.
type fakeControlVM struct {
	wire.Server
	other   string
	granted chan struct{}
	send    func(core.Envelope) error
}

// Link implements wire.Server.
func (c *fakeControlVM) Link(stream drpc.Stream) error {
	for {
		var e core.Envelope
		if err := stream.MsgRecv(&e, wire.Encoding{}); err != nil {
			return err
		}
		if e.Body.Renew == nil {
			continue
		}
		grant := &core.Grant{
			To:   e.From.Incarnation,
			Term: 1, Number: e.Body.Renew.Number, Leader: "c1", ViewVersion: 1, ViewComplete: true,
			View: []core.EntryView{{Address: core.EntryAddress{VM: "e2", Hall: "h", Peers: c.other}}},
		}
		if err := c.send(core.Envelope{From: core.ReplicaID{VM: "c1", Incarnation: 1}, To: "e1", Body: core.Message{Grant: grant}}); err != nil {
			return err
		}
		c.granted <- struct{}{}
	}
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l
}

// Guards against dialing every advertised VM: each of 300 VMs dialed all others, and dead ones
// repeatedly.
func TestAdvertisedVMIsNotDialed(t *testing.T) {
	other, control := listen(t), listen(t)
	var dials atomic.Int64
	go func() {
		for {
			conn, err := other.Accept()
			if err != nil {
				return
			}
			dials.Add(1)
			conn.Close()
		}
	}()
	address := freeAddress(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	s := settings.Default()
	s.Name, s.Hall, s.Roles = "e1", "h", []settings.Role{settings.RoleEntry}
	s.Listen = settings.Listen{Callers: freeAddress(t), Peers: address}
	s.Control.VMs = map[string]string{"c1": control.Addr().String()}
	s.TLS.PlainText = true
	defer run(t, s)()

	conn, err := wire.Credentials{}.Dial(ctx, address)
	require.NoError(t, err)
	defer conn.Close()
	stream, err := conn.NewStream(ctx, wire.RPCLink, wire.Encoding{})
	require.NoError(t, err)
	peer := &fakeControlVM{other: other.Addr().String(), granted: make(chan struct{}), send: func(e core.Envelope) error { return stream.MsgSend(&e, wire.Encoding{}) }}
	mux := drpcmux.New()
	require.NoError(t, mux.Register(peer, wire.Description{}))
	go func() { _ = drpcserver.New(mux).Serve(ctx, control) }() // ends with ctx

	const renewals = 4
	for range renewals {
		<-peer.granted
	}
	require.Zero(t, dials.Load())
}

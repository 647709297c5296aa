package daemon_test

import (
	"io"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	spoolbank "github.com/spoolbank/spoolbank/cmd/spoolbank/cmd"
	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/daemon"
	"github.com/spoolbank/spoolbank/internal/wire"
	"github.com/spoolbank/spoolbank/settings"
)

// makeCredentials creates an authority and certificates, as an operator does.
func makeCredentials(t *testing.T, names ...string) string {
	dir := t.TempDir()
	require.Zero(t, spoolbank.Main([]string{"key", "authority", dir}, nil, io.Discard, io.Discard))
	for _, name := range names {
		require.Zero(t, spoolbank.Main([]string{"key", "certificate", dir, name, testIP}, nil, io.Discard, io.Discard))
	}
	return dir
}

func loadCredentials(t *testing.T, dir, name string) wire.Credentials {
	credentials, err := wire.LoadCredentials(filepath.Join(dir, name+".pem"), filepath.Join(dir, name+"-key.pem"), filepath.Join(dir, "authority.pem"))
	require.NoError(t, err)
	return credentials
}

func TestPeerSendsOnlyAsItself(t *testing.T) {
	dir := makeCredentials(t, "vm-1", "vm-2")
	s := singleVMSettings(t, filepath.Join(t.TempDir(), "data"))
	s.TLS = settings.TLS{Certificate: filepath.Join(dir, "vm-1.pem"), Key: filepath.Join(dir, "vm-1-key.pem"), Authority: filepath.Join(dir, "authority.pem")}
	require.NoError(t, daemon.Bootstrap(s.Data, "vm-1"))
	defer run(t, s)()

	_, err := loadCredentials(t, makeCredentials(t, "vm-2"), "vm-2").Dial(t.Context(), s.Listen.Peers)
	require.Error(t, err, "certificate of another authority")

	conn, err := loadCredentials(t, dir, "vm-2").Dial(t.Context(), s.Listen.Peers)
	require.NoError(t, err)
	defer conn.Close()
	stream, err := conn.NewStream(t.Context(), wire.RPCLink, wire.Encoding{})
	require.NoError(t, err)
	own := core.Envelope{From: core.ReplicaID{VM: "vm-2"}, To: "vm-1", Body: core.Message{Join: &core.Join{}}}
	require.NoError(t, stream.MsgSend(&own, wire.Encoding{}))
	other := core.Envelope{From: core.ReplicaID{VM: "vm-3"}, To: "vm-1", Body: core.Message{Join: &core.Join{}}}
	require.NoError(t, stream.MsgSend(&other, wire.Encoding{}))
	var answer core.Envelope
	require.ErrorContains(t, stream.MsgRecv(&answer, wire.Encoding{}), "peer vm-2 speaks for vm-3")
}

package daemon_test

import (
	endian "encoding/binary"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/daemon"
	"github.com/spoolbank/spoolbank/internal/wire"
	"github.com/spoolbank/spoolbank/settings"
)

// singleVMSettings returns the settings of a deployment of one control VM.
func singleVMSettings(t *testing.T, data string) settings.Settings {
	s := settings.Default()
	address := freeAddress(t)
	s.Name, s.Hall, s.Data = "vm-1", "hall", data
	s.Roles = []settings.Role{settings.RoleControl}
	s.Listen.Peers = address
	s.Control.VMs = map[string]string{"vm-1": address}
	s.Control.Voters = 1
	s.TLS.PlainText = true
	return s
}

// run starts a daemon in this process and returns a function that kills it.
func run(t *testing.T, s settings.Settings) func() {
	d, err := daemon.New(s, logr.Discard())
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- d.Run() }()
	return func() {
		d.Kill()
		require.NoError(t, <-ended)
	}
}

// runCommand runs a daemon on a folder until it has accepted one command, and kills it.
func runCommand(t *testing.T, data, text string, number uint64) core.Result {
	s := singleVMSettings(t, data)
	defer run(t, s)()
	var result core.Result
	require.Eventually(t, func() bool {
		conn, err := wire.Credentials{}.Dial(t.Context(), s.Listen.Peers)
		if err != nil {
			return false
		}
		defer conn.Close()
		reply, err := wire.Operate(t.Context(), conn, wire.OperateRequest{Text: text, Operator: "op", Number: number})
		result = reply.Result
		return err == nil && result.Kind == core.ResultAccepted
	}, testTimeout, 20*time.Millisecond)
	return result
}

func TestTornTailIsTruncatedAndDamagedLogIsRefused(t *testing.T) {
	data := filepath.Join(t.TempDir(), "data")
	require.NoError(t, daemon.Bootstrap(data, "vm-1"))
	runCommand(t, data, "declare model m layers=4 versions=[v1]", 1)
	log := filepath.Join(data, "log")
	whole, err := os.ReadFile(log)
	require.NoError(t, err)

	for _, tail := range [][]byte{{1}, {200, 0, 0, 0, 1, 2, 3, 4, 5, 6}, make([]byte, 64)} {
		require.NoError(t, os.WriteFile(log, append(append([]byte{}, whole...), tail...), 0o600))
		again := runCommand(t, data, "declare model m layers=4 versions=[v1]", 1)
		require.EqualValues(t, 1, again.Revision, "the command before the torn tail is kept")
	}

	// Each byte of the first record: since it is not the last record, no crash can have
	// cut it short.
	first := 8 + int(endian.LittleEndian.Uint32(whole))
	require.Less(t, first, len(whole))
	for at := range first {
		damaged := append([]byte{}, whole...)
		damaged[at] ^= 0x10
		require.NoError(t, os.WriteFile(log, damaged, 0o600))
		_, err = daemon.New(singleVMSettings(t, data), logr.Discard())
		require.ErrorIs(t, err, daemon.ErrDamaged, "byte %d", at)
		require.ErrorContains(t, err, "move the folder away and start again")
	}

	require.NoError(t, os.WriteFile(log, whole, 0o600))
	identity := filepath.Join(data, "identity")
	require.NoError(t, os.WriteFile(identity, []byte("rubbish"), 0o600))
	_, err = daemon.New(singleVMSettings(t, data), logr.Discard())
	require.ErrorIs(t, err, daemon.ErrDamaged)
}

func TestDataFolderIsLocked(t *testing.T) {
	data := filepath.Join(t.TempDir(), "data")
	require.NoError(t, daemon.Bootstrap(data, "vm-1"))
	d, err := daemon.New(singleVMSettings(t, data), logr.Discard())
	require.NoError(t, err)
	_, err = daemon.New(singleVMSettings(t, data), logr.Discard())
	require.ErrorContains(t, err, "in use by another process")
	go d.Kill()
	require.NoError(t, d.Run())
}

// A full disk ends the process, and no accepted command is lost. A limit on the size of
// files simulates the full disk.
func TestFullDiskLosesNoAcceptedCommand(t *testing.T) {
	path, err := binary()
	require.NoError(t, err)
	s := singleVMSettings(t, filepath.Join(t.TempDir(), "data"))
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	text := fmt.Sprintf(`{"name": "vm-1", "hall": "hall", "roles": ["control"], "data": %q, "listen": {"peers": %q},
		"control": {"vms": {"vm-1": %q}, "voters": 1, "snapshot_every": 100000}, "tls": {"plain_text": true}}`, s.Data, s.Listen.Peers, s.Listen.Peers)
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	require.NoError(t, daemon.Bootstrap(s.Data, "vm-1"))
	limited := exec.Command("sh", "-c", `ulimit -f 64; exec "$0" --settings "$1"`, path, file)
	require.NoError(t, limited.Start())
	ended := make(chan error, 1)
	go func() { ended <- limited.Wait() }()

	accepted := 0
	for number := 1; ; number++ {
		result, processEnded := operateUntilEnded(t, s.Listen.Peers, fmt.Sprintf("declare model m layers=%d versions=[v1]", number), uint64(number), ended)
		if processEnded {
			break
		}
		require.Equal(t, core.ResultAccepted, result.Kind, result.Message)
		accepted = number
	}
	require.Positive(t, accepted)
	again := runCommand(t, s.Data, fmt.Sprintf("declare model m layers=%d versions=[v1]", accepted), uint64(accepted))
	require.EqualValues(t, accepted, again.Revision, "the last accepted command is kept")
}

// operateUntilEnded sends a command until it is answered or the process has ended.
func operateUntilEnded(t *testing.T, address, text string, number uint64, ended chan error) (core.Result, bool) {
	for {
		select {
		case err := <-ended:
			require.Error(t, err, "the process ends with an error")
			return core.Result{}, true
		default:
		}
		conn, err := wire.Credentials{}.Dial(t.Context(), address)
		if err != nil {
			continue
		}
		reply, err := wire.Operate(t.Context(), conn, wire.OperateRequest{Text: text, Operator: "op", Number: number})
		conn.Close()
		if err == nil && reply.Result.Kind != core.ResultNotLeader {
			return reply.Result, false
		}
	}
}

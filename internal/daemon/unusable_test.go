package daemon_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/daemon"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/internal/wire"
)

func TestLogLinesAreLimitedPerWriter(t *testing.T) {
	var l daemon.LogLimiter
	now := time.Unix(100, 0)
	pass, _ := l.Allow("i-1", now)
	require.True(t, pass)
	for range 5 {
		pass, _ = l.Allow("i-1", now.Add(time.Second))
		require.False(t, pass)
	}
	pass, withheld := l.Allow("i-2", now.Add(time.Second))
	require.True(t, pass)
	require.Equal(t, 5, withheld)
	pass, withheld = l.Allow("i-1", now.Add(10*time.Second))
	require.True(t, pass)
	require.Zero(t, withheld)
}

func TestLogLinesAreBoundedForManyWriters(t *testing.T) {
	var l daemon.LogLimiter
	now := time.Unix(100, 0)
	lines := 0
	for i := range 10000 {
		if pass, _ := l.Allow(fmt.Sprint("i-", i), now.Add(time.Duration(i)*time.Millisecond)); pass {
			lines++
		}
	}
	require.Equal(t, 64, lines, "in the first ten seconds")
	pass, withheld := l.Allow("i-1", now.Add(20*time.Second))
	require.True(t, pass)
	require.Equal(t, 10000-64, withheld)
	long := strings.Repeat("x", 1<<16)
	pass, _ = l.Allow(long, now.Add(30*time.Second))
	require.True(t, pass)
	pass, _ = l.Allow(long+"y", now.Add(30*time.Second))
	require.False(t, pass, "names are truncated to bound memory")
}

func encodeHints(t *testing.T, values ...any) []cbor.RawMessage {
	t.Helper()
	var entries []cbor.RawMessage
	for _, v := range values {
		text, err := wire.Marshal(v)
		require.NoError(t, err)
		entries = append(entries, text)
	}
	return entries
}

// Guards against one undecodable hint invalidating all others.
func TestBadHintDoesNotInvalidateOthers(t *testing.T) {
	good := relay.Target{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Call: 7, Layers: config.Range{First: 2, Last: 5}}
	inverted := relay.Target{ID: "i-2", Service: "s", Address: "10.0.0.2:80", Layers: config.Range{First: 5, Last: 2}}
	entries := encodeHints(t, 3, "text", relay.Target{Service: "s"}, inverted, good, []int{1, 2}, map[string]string{"id": "i-3"}, nil)
	targets, bad := daemon.DecodeHints(entries)
	require.Equal(t, []relay.Target{good}, targets)
	require.Equal(t, len(entries)-1, bad)
}

func FuzzDecodeHints(f *testing.F) {
	good := relay.Target{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Call: 7}
	encoded, err := wire.Marshal(good)
	require.NoError(f, err)
	f.Add(encoded)
	f.Add([]byte{0x80})
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, entry []byte) {
		targets, bad := daemon.DecodeHints([]cbor.RawMessage{encoded, bytes.Clone(entry), encoded})
		require.Equal(t, 3, len(targets)+bad)
		require.Equal(t, good, targets[0])
		require.Equal(t, good, targets[len(targets)-1], "hints after a bad one are kept")
		for _, target := range targets {
			require.NotEmpty(t, target.ID)
			require.GreaterOrEqual(t, target.Layers.Len(), 0)
		}
	})
}

package daemon_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/daemon"
)

// gate is a writer that blocks while it is shut.
type blockingWriter struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (g *blockingWriter) Write(p []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

// String returns what was written so far. The log's timer may write at any time.
func (g *blockingWriter) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.String()
}

// A reader that stops must not hold up requests, and what is lost is counted.
func TestLogsNeverBlockAndCountWhatIsDropped(t *testing.T) {
	out := &blockingWriter{}
	out.mu.Lock()
	log, flush := daemon.NewLogger(out)
	line := strings.Repeat("x", 1000)
	for range 1000 {
		log.Info(line)
	}
	out.mu.Unlock()
	flush()
	require.Contains(t, out.String(), `"msg":"log lines dropped"`)
}

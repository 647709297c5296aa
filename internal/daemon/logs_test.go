package daemon_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/daemon"
)

// blockingWriter is a writer that blocks while its lock is held.
type blockingWriter struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (g *blockingWriter) Write(p []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

// String returns the text written so far. The log's timer may write at any time.
func (g *blockingWriter) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.String()
}

// A stalled log reader must not block requests, and dropped lines are counted.
func TestLogNeverBlocksAndCountsDroppedLines(t *testing.T) {
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

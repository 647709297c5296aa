package daemon_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/daemon"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// Names that nothing reads are counted by name, within a bound, since targets may send any
// number of them.
func TestUnreadNameCountsAreBounded(t *testing.T) {
	g := newEntry(t, relay.RepeatAlways, 1, newWorker(t, served))
	for i := range 200 {
		g.Unread("i-1", []string{"Mood", fmt.Sprintf("Name-%d", i)})
	}
	names := daemon.UnreadOf(g)
	require.Len(t, names, 65)
	counts := make(map[string]int)
	for _, n := range names {
		counts[n.Name] = n.Count
	}
	require.Equal(t, 200, counts["Mood"])
	require.Equal(t, 137, counts["(others)"])
}

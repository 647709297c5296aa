package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
)

// deliveryCase is a series of changes to entry VMs.
type deliveryCase struct {
	size    fleetSize
	bytes   int
	every   time.Duration
	changes int
	// loses is set if one of ten grants with changes is lost.
	loses bool
}

// play makes the changes, and requires that each is sent once to each entry VM, and what was lost
// once more.
func (c deliveryCase) play(t *testing.T) {
	entries := c.size.halls * c.size.entries
	t.Run(fmt.Sprintf("%d entry VMs, %d bytes, loses %v", entries, c.bytes, c.loses), func(t *testing.T) {
		t.Parallel()
		w := newChangeWorld(t, c.size, 7)
		w.live(2 * time.Second) // entry VMs turn to the control VM of their hall
		lost := 0
		transmit := w.loses
		w.loses = func(e core.Envelope) bool {
			if g := e.Body.Grant; c.loses && g != nil && len(g.Deltas) > 0 && w.random.IntN(10) == 0 {
				lost++
				return true
			}
			return transmit(e)
		}
		w.grantBytes, w.deliveries = 0, 0
		before := w.nodes[w.leader()].Status().Revision
		for range c.changes {
			w.change(c.bytes)
			w.live(c.every)
		}
		w.loses = transmit
		w.until("all changes", 30*time.Second, func() bool { return len(w.acks) == 0 || w.leased(w.acks[len(w.acks)-1].revision) })
		// The leader makes some changes of its own.
		changes := int(w.nodes[w.leader()].Status().Revision - before)
		each := float64(w.grantBytes) / float64(changes*entries)
		t.Logf("%.0f bytes for a change and VM, %d deliveries, %d lost, longest %s", each, w.deliveries, lost, w.longest)
		// A loss costs what was in flight behind it, which is sent once more.
		require.LessOrEqual(t, w.deliveries, changes*entries+2*lost)
	})
}

var (
	twelveEntryVMs = fleetSize{halls: 3, controls: 1, disks: 1, entries: 4}
	manyEntryVMs   = fleetSize{halls: 5, controls: 4, disks: 1, entries: 60}
)

// Guards against changes that fill the links, whatever is lost and however fast others follow.
func TestChangeIsSentOncePerEntryVM(t *testing.T) {
	for _, c := range []deliveryCase{
		{twelveEntryVMs, 0, 100 * time.Millisecond, 40, false},
		{twelveEntryVMs, 0, 100 * time.Millisecond, 40, true},
		{twelveEntryVMs, 60 << 10, 330 * time.Millisecond, 20, false},
		{twelveEntryVMs, 60 << 10, 330 * time.Millisecond, 20, true},
		{manyEntryVMs, 0, 330 * time.Millisecond, 10, false},
		{manyEntryVMs, 0, 330 * time.Millisecond, 10, true},
		{manyEntryVMs, 60 << 10, 2 * time.Second, 4, false},
	} {
		c.play(t)
	}
}

// Guards against an entry VM that turns to another control VM, which sends a large change too, while
// the first one's is on its way.
func TestLargeChangeIsSentOncePerEntryVM(t *testing.T) {
	deliveryCase{twelveEntryVMs, 8 << 20, 15 * time.Second, 2, false}.play(t)
}

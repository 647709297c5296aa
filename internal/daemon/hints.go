package daemon

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/internal/wire"
)

// decodeHints returns the usable hints, and the number of others. A bad hint does not
// invalidate the rest.
func decodeHints(entries []cbor.RawMessage) (targets []relay.Target, bad int) {
	for _, entry := range entries {
		var t relay.Target
		if err := wire.Unmarshal(entry, &t); err != nil || t.ID == "" || t.Service == "" || t.Address == "" || t.Layers.First < 0 || t.Layers.Len() < 0 {
			bad++
			continue
		}
		targets = append(targets, t)
	}
	return targets, bad
}

// hints passes the latest hints of targets to the goroutine that saves them. Saving waits
// for the disk; a goroutine apart from that of the log ensures that hints never delay the log.
type hints struct{ newest chan []relay.Target }

func newHints() hints { return hints{newest: make(chan []relay.Target, 1)} }

// put replaces the hints that are queued to be saved. Only one goroutine may call it.
func (h hints) put(targets []relay.Target) {
	select {
	case <-h.newest:
	default:
	}
	h.newest <- targets
}

// hintsLoop saves hints until the daemon ends.
func (d *Daemon) hintsLoop() error {
	for {
		select {
		case targets := <-d.hints.newest:
			if err := d.folder.saveTargets(targets); err != nil {
				d.log.Info("failed to save hints of targets; the old ones stay", "error", err.Error())
			}
		case <-d.tomb.Dying():
			return nil
		}
	}
}

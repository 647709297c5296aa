package core

import (
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// This file shows operators which targets rest, and has entry VMs end rests that an operator
// ends. A rest is known to the VM that was asked for it alone (relay/rests.go).

// RestsEnded tells the runtime of targets, by name, whose rests an operator has ended.
type RestsEnded struct{ Targets []string }

func (RestsEnded) isEffect() {}

// endRests tells the runtime what a lease has changed of ended rests.
func (n *Node) endRests(before config.State) {
	if targets := n.entry.config.RestsEndedSince(before.Revision); len(targets) > 0 {
		n.emit(RestsEnded{Targets: targets})
	}
}

// restsTable lists the targets that have asked this VM for rest.
func (n *Node) restsTable() Table {
	t := Table{Columns: []string{"vm", "target", "until"}}
	for _, r := range n.entry.findings.Resting {
		t.add(n.settings.Self.VM, r.Target, wall(r.Until).Format(time.RFC3339))
	}
	return t
}

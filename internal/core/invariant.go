package core

import "fmt"

// Check returns the invariants that the Node's state violates. It is cheap enough
// to run in production, where the number of violations is exported as a metric. The
// property tests run it after every step.
func (n *Node) Check() []error {
	var broken []error
	if n.settings.Control {
		broken = append(broken, n.checkReplica()...)
	}
	if n.settings.Entry {
		broken = append(broken, n.checkEntry()...)
	}
	return broken
}

func (n *Node) checkReplica() []error {
	var broken []error
	r := &n.replica
	if r.applied > r.commit || r.commit > r.log.last() {
		broken = append(broken, fmt.Errorf("log indexes are out of order: applied %d, committed %d, last %d; stop this process and keep its data folder", r.applied, r.commit, r.log.last()))
	}
	if r.synced > r.log.last() {
		broken = append(broken, fmt.Errorf("synced index %d is past the end of the log at %d; stop this process and keep its data folder", r.synced, r.log.last()))
	}
	for id, c := range n.machine.Claims {
		if c.Ended && !c.Unknown && c.Answer == nil {
			broken = append(broken, fmt.Errorf("claim %s ended without an answer; report it with a dump", id))
		}
	}
	return broken
}

func (n *Node) checkEntry() []error {
	var broken []error
	for id, s := range n.entry.streams {
		if s.emitted > s.acked && s.acked > 0 && s.epoch.Owner == 0 {
			broken = append(broken, fmt.Errorf("stream %s has sent %d tokens to its caller and its keeper has %d; report it with a dump", id, s.emitted, s.acked))
		}
		if s.inFlight && !s.registered {
			broken = append(broken, fmt.Errorf("stream %s has a run in flight but is not registered with its keeper; report it with a dump", id))
		}
	}
	for _, p := range n.entry.pools {
		for name, used := range p.used {
			if used < 0 {
				broken = append(broken, fmt.Errorf("route %s has a negative count of %d in use; report it with a dump", name, used))
			}
		}
	}
	for name, t := range n.entry.targets {
		if t.inFlight < 0 {
			broken = append(broken, fmt.Errorf("target %s has a negative count of %d in use; report it with a dump", name, t.inFlight))
		}
	}
	return broken
}

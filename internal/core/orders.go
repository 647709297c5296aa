package core

import (
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/core/plan"
)

// This file decides which layers each engine holds and sends the orders to load them.
//
// The plan is a pure function of the configuration. The leader writes it to
// the log, so that it applies to entry VMs like any other change, and then
// sends the orders. The target's declaration selects the mechanism that keeps
// an order of a former leader from undoing a later one:
//
//   - fence=true: the target refuses an order whose (term, sequence) is before
//     one it has applied.
//   - fence=false: each order expires OrderLifetime after its issue, and a new
//     leader sends such a target nothing until all orders of the previous
//     leader have expired.

// orderState is an order in flight.
type orderState struct {
	fence Fence
	// resendAt is when it is resent without an answer.
	resendAt time.Time
	sentAt   time.Time
}

// openOrdersInterval is the interval between checks while an order is open.
const openOrdersInterval = 50 * time.Millisecond

// tickPlan proposes a new plan when the configuration has changed.
func (n *Node) tickPlan() {
	c := n.machine.Config
	if n.leader.plannedRevision == c.Revision || n.leader.pendingPlanIndex > n.replica.commit {
		return
	}
	n.leader.plannedRevision = c.Revision
	n.leader.ordersAt = n.now
	changes := n.withSequences(plan.Changes(c))
	if len(changes) > 0 {
		n.note("placement changed", string(n.settings.Self.VM))
		n.leader.pendingPlanIndex = n.propose(Entry{Changes: changes})
	}
}

// withSequences assigns the next sequence number to each placement.
func (n *Node) withSequences(changes []config.Change) []config.Change {
	sequence := n.machine.Sequence
	for i := range changes {
		if changes[i].Place != nil {
			sequence++
			p := *changes[i].Place
			p.Sequence = sequence
			changes[i].Place = &p
		}
	}
	return changes
}

// tickOrders sends the orders that engines have not confirmed yet.
//
// It scans all placements, so it runs less often while all are confirmed.
func (n *Node) tickOrders() {
	if n.now.Before(n.leader.ordersAt) {
		return
	}
	c := n.machine.Config
	pause := n.settings.Timing.ProbeInterval
	var confirmed []config.Change
	for _, p := range c.Placements.Sorted() {
		target, ok := c.Targets.Get(p.Target)
		if !ok || target.Down {
			continue
		}
		if !p.Ready {
			pause = openOrdersInterval
		}
		state := n.leader.orders[p.Target]
		if n.needsOrder(p, state) {
			n.sendOrder(p, target)
			continue
		}
		if changed, ok := n.updateReady(p, state); ok {
			confirmed = append(confirmed, config.Change{Place: &changed})
		}
	}
	n.leader.ordersAt = n.now.Add(pause)
	if len(confirmed) > 0 && n.leader.pendingPlanIndex <= n.replica.commit {
		n.leader.pendingPlanIndex = n.propose(Entry{Changes: confirmed})
	}
}

func (n *Node) needsOrder(p config.Placement, state *orderState) bool {
	if p.Ready {
		return false
	}
	held, _ := n.lastAppliedOrder(p.Target)
	if held == p.Sequence {
		return false
	}
	return state == nil || state.fence.Sequence != p.Sequence || !n.now.Before(state.resendAt)
}

// updateReady returns the placement with its ready mark corrected, and reports
// whether it changed. A watcher may have seen that the order was applied, or that
// the engine restarted and holds nothing.
func (n *Node) updateReady(p config.Placement, state *orderState) (config.Placement, bool) {
	held, at := n.lastAppliedOrder(p.Target)
	if at.IsZero() {
		return p, false
	}
	if !p.Ready && held == p.Sequence {
		return p.WithReady(), true
	}
	settled := state == nil || at.After(state.sentAt.Add(n.settings.Timing.OrderLifetime))
	if p.Ready && held != p.Sequence && settled {
		p.Ready = false
		delete(n.leader.orders, p.Target)
		return p, true
	}
	return p, false
}

func (n *Node) sendOrder(p config.Placement, target config.Target) {
	t := n.settings.Timing
	formerOrdersExpireAt := n.replica.electedAt.Add(t.Lengthened(t.OrderLifetime))
	if !target.Fence && n.now.Before(formerOrdersExpireAt) {
		return
	}
	fence := Fence{Term: n.replica.hard.Term, Sequence: p.Sequence}
	n.leader.orders[p.Target] = &orderState{fence: fence, sentAt: n.now, resendAt: n.now.Add(t.OrderLifetime)}
	notAfter := n.now.Add(t.Shortened(t.OrderLifetime))
	if n.replica.leaseUntil.Before(notAfter) {
		notAfter = n.replica.leaseUntil
	}
	model, _ := n.machine.Config.Models.Get(p.Model)
	n.emit(Order{Fence: fence, Address: target.Address, Placement: p, Adapters: model.Adapters, NotAfter: notAfter})
}

// orderEnded marks a placement as ready once its engine has confirmed it.
func (n *Node) orderEnded(o OrderEnded) {
	if !n.holdsLease() {
		return
	}
	p, ok := n.machine.Config.Placements.Get(o.Target)
	if !ok || p.Sequence != o.Fence.Sequence || p.Ready {
		return
	}
	if !o.Done {
		if state := n.leader.orders[o.Target]; state != nil {
			state.resendAt = n.now.Add(n.settings.Timing.ProbeInterval)
		}
		return
	}
	ready := p.WithReady()
	n.leader.pendingPlanIndex = n.propose(Entry{Changes: []config.Change{{Place: &ready}}})
}

// pipelineCapacity is the capacity of a pipeline's chains.
type pipelineCapacity struct {
	chains int
	slots  int
	// bound is in tokens per second.
	bound float64
}

func (n *Node) capacityOfPipeline(p config.Pipeline) pipelineCapacity {
	var use pipelineCapacity
	for _, c := range plan.Chains(n.machine.Config, p.Model, p.Version) {
		use.chains++
		use.slots += c.Slots
		use.bound += c.Rate
	}
	return use
}

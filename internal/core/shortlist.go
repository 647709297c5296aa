package core

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file selects the engines that a control VM advertises to entry VMs: see
// relay/shortlist.go.

// shortlistInterval is the least time between checks of the shortlists. A check scans all
// engines, and those listed can take a load that doubles within the interval.
const shortlistInterval = 250 * time.Millisecond

// shortlist holds the time of the next check of the shortlists.
type shortlist struct{ nextCheckAt time.Time }

// extendShortlists lists the engines that the load requires, when a check is due.
func (n *Node) extendShortlists() {
	s := &n.registry.shortlist
	if n.now.Before(s.nextCheckAt) {
		return
	}
	s.nextCheckAt = n.now.Add(shortlistInterval)
	if n.registry.heldBackReports.decoded.document == nil || !n.registry.targets.Withheld() {
		return
	}
	engines := n.liveEngines()
	for _, service := range slices.Sorted(maps.Keys(engines)) {
		n.extendShortlist(service, engines[service])
	}
}

// extendShortlist lists the live engines of a service that the load requires.
func (n *Node) extendShortlist(service string, engines []relay.Target) {
	ids, answers := n.shortlistOf(service, engines)
	more := 0
	for _, id := range ids {
		if n.registry.targets.AddToShortlist(id) {
			more++
		}
	}
	if more == 0 {
		return
	}
	n.registry.changesPending = true
	n.note(fmt.Sprintf("entry VMs are told of %d engines more: %d of %d are on the shortlists, for %.0f answers in progress", more, len(ids), len(engines), answers), service)
}

// liveEngines returns the live targets that may be withheld and accept work, by service.
func (n *Node) liveEngines() map[string][]relay.Target {
	marks := n.markedTargets()
	engines := make(map[string][]relay.Target)
	for _, t := range n.withoutSilent(n.registry.targets.All()) {
		if t.Accelerator != "" && t.AcceptsWork() && !marks[t.ID.Key()].Has(relay.MarkSilent) {
			engines[t.Service] = append(engines[t.Service], t)
		}
	}
	return engines
}

// shortlistOf returns the engines of a service to advertise to entry VMs, and the number of
// answers in progress that they are sized for. Without a cost model in the document it returns
// all engines, since they hold no layers then.
func (n *Node) shortlistOf(service string, engines []relay.Target) (ids []relay.TargetID, answers float64) {
	if e := n.registry.heldBackReports.decoded.document.Engine(service); e != nil {
		answers = e.AnswersInProgress(engines, n.fleetWork())
		return e.Shortlist(engines, answers), answers
	}
	for i := range engines {
		ids = append(ids, engines[i].ID)
	}
	return ids, 0
}

// markedTargets returns the target marks known to this VM.
func (n *Node) markedTargets() map[relay.TargetKey]relay.Mark {
	if n.canGrant() {
		return n.leader.fleet.marks
	}
	return n.forwarding.report.marked.values
}

// fleetWork returns what all entry VMs have in flight at targets, as known to this VM.
func (n *Node) fleetWork() map[relay.TargetKey]relay.Work {
	if n.canGrant() {
		return n.leader.fleet.work
	}
	return n.forwarding.report.total.values
}

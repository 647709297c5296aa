package core

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file has a control VM list the engines that entry VMs are told of: see
// relay/shortlist.go.

// listEvery is the least time between two looks at the shortlists: a look goes through all
// engines, and load that doubles within it is borne by what is listed.
const listEvery = 250 * time.Millisecond

// shortlist is when a control VM looks at the shortlists next.
type shortlist struct{ lookAt time.Time }

// listEngines lists the engines that the load wants, where it is time for it.
func (n *Node) listEngines() {
	s := &n.registry.shortlist
	if n.now.Before(s.lookAt) {
		return
	}
	s.lookAt = n.now.Add(listEvery)
	if n.registry.unnamed.decoded.document == nil || !n.registry.targets.Withheld() {
		return
	}
	engines := n.liveEngines()
	for _, service := range slices.Sorted(maps.Keys(engines)) {
		n.listService(service, engines[service])
	}
}

// listService lists the engines of a service that the load wants, of those that live.
func (n *Node) listService(service string, engines []relay.Target) {
	ids, answers := n.shortlistOf(service, engines)
	more := 0
	for _, id := range ids {
		if n.registry.targets.List(id) {
			more++
		}
	}
	if more == 0 {
		return
	}
	n.registry.news = true
	n.note(fmt.Sprintf("entry VMs are told of %d engines more: %d of %d are on the shortlists, for %.0f answers in progress", more, len(ids), len(engines), answers), service)
}

// liveEngines returns the targets that may be withheld and can be given work, by service.
func (n *Node) liveEngines() map[string][]relay.Target {
	marks := n.markedTargets()
	engines := make(map[string][]relay.Target)
	for _, t := range n.live(n.registry.targets.All()) {
		if t.Accelerator != "" && t.Takes() && !marks[t.ID.Key()].Has(relay.MarkSilent) {
			engines[t.Service] = append(engines[t.Service], t)
		}
	}
	return engines
}

// shortlistOf returns the engines of a service that entry VMs are to know, and the answers in
// progress that they are for: all of them where the document has no cost model of them, for
// they hold no layers then.
func (n *Node) shortlistOf(service string, engines []relay.Target) (ids []relay.TargetID, answers float64) {
	if e := n.registry.unnamed.decoded.document.Engine(service); e != nil {
		answers = e.InProgress(engines, n.fleetWork())
		return e.Shortlist(engines, answers), answers
	}
	for i := range engines {
		ids = append(ids, engines[i].ID)
	}
	return ids, 0
}

// markedTargets returns the marks of targets as this VM knows them.
func (n *Node) markedTargets() map[relay.TargetKey]relay.Mark {
	if n.leads() {
		return n.leading.fleet.marks
	}
	return n.forwarding.report.marked.values
}

// fleetWork returns what all entry VMs have under way at targets, as this VM knows it.
func (n *Node) fleetWork() map[relay.TargetKey]relay.Work {
	if n.leads() {
		return n.leading.fleet.work
	}
	return n.forwarding.report.total.values
}

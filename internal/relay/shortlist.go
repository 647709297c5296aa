package relay

import (
	"cmp"
	"maps"
	"slices"
)

// This file says which engines entry VMs are told of.
//
// Problem: a fleet has more engines than its requests need. Were each entry VM told of all of
// them, and of all that changes at them, bytes and memory would grow with VMs times engines,
// and so would the sums of the work at them; a path would be searched among thousands.
//
// Algorithm: a control VM withholds engines until they are on the shortlist of their hall: the
// fastest ones that hold memory at each layer for shortlistRoom times the answers in progress,
// and ShortlistLeast at least. Control VMs work it out alike, from what all of them know. It is
// worked out anew as load and engines change, and what was listed once stays so: who was told of
// an engine is told of what becomes of it.
//
// Invariants: where a hall has no more than ShortlistLeast engines that hold layers, all of them
// are listed; an engine that leaves is told of, listed or not; who was told of an incarnation is
// told of the one that replaces it.
//
// Limits: a list is up to a renewal behind the load, which shortlistRoom allows for. Lists grow
// while a process lives, by as many engines as have taken the places of others.

const (
	// shortlistRoom is how many times the answers in progress the listed engines of a hall
	// have memory for: the load may double and a third of them be lost until more are listed.
	shortlistRoom = 3
	// ShortlistLeast is the number of engines of a hall that are listed whatever the load, which an
	// entry VM can afford to know at any time.
	ShortlistLeast = 64
)

// isEngine reports whether a target runs a part of a model.
func (t Target) isEngine() bool { return t.Accelerator != "" }

// listed reports whether those who follow for themselves are told of a target.
func (e entry) listed() bool { return !e.withheld || !e.target.Takes() }

// WithholdEngines has the registry withhold engines that it doesn't know yet until they are
// listed.
func (r *Registry) WithholdEngines() { r.withholds = true }

// Withheld reports whether an engine is withheld.
func (r *Registry) Withheld() bool {
	for _, e := range r.targets {
		if e.withheld {
			return true
		}
	}
	return false
}

// List has those who follow told of an engine, and reports whether it was withheld.
func (r *Registry) List(id TargetID) bool {
	e, known := r.targets[id]
	if !known || !e.withheld {
		return false
	}
	r.change++
	e.withheld = false
	e.changed, e.introduced = r.change, r.change
	r.targets[id] = e
	return true
}

// Shortlist returns the engines that entry VMs are to know, of those that hold layers and take
// work: in each hall the fastest, as far as the answers in progress in all halls want them.
func (e *Engine) Shortlist(engines []Target, answers float64) []TargetID {
	halls := make(map[string][]unit)
	for _, t := range engines {
		if kind, ok := e.accelerator(t.Accelerator); ok && e.holds(t.Layers) {
			halls[t.Hall] = append(halls[t.Hall], unit{target: t, kind: kind})
		}
	}
	need := shortlistRoom * answers / float64(max(len(halls), 1))
	var listed []TargetID
	for _, hall := range slices.Sorted(maps.Keys(halls)) {
		listed = append(listed, e.shortlistOf(halls[hall], need)...)
	}
	return listed
}

// shortlistOf lists the engines of one hall that hold memory for so many answers.
func (e *Engine) shortlistOf(units []unit, need float64) []TargetID {
	slices.SortFunc(units, func(a, b unit) int {
		return cmp.Or(cmp.Compare(a.kind.Pace, b.kind.Pace), cmp.Compare(a.target.ID, b.target.ID))
	})
	level := make([]float64, e.Layers)
	var listed []TargetID
	for _, u := range units {
		layers := u.target.Layers
		if len(listed) >= ShortlistLeast && slices.Min(level[layers.First:layers.Last]) >= need {
			continue
		}
		addLevel(level, layers, e.answersAt(u.kind, layers.Len()))
		listed = append(listed, u.target.ID)
	}
	return listed
}

// InProgress returns the answers that engines have in progress, by the work at them.
func (e *Engine) InProgress(engines []Target, work map[TargetKey]Work) float64 {
	passes := 0.0
	for i := range engines {
		passes += float64(work[engines[i].ID.Key()].Requests * engines[i].Layers.Len())
	}
	return passes / float64(max(e.Layers, 1))
}

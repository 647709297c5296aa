package relay

import (
	"cmp"
	"maps"
	"slices"
)

// This file selects the engines that are advertised to entry VMs.
//
// Problem: a fleet has more engines than its requests need. If each entry VM received all
// of them and all of their updates, traffic and memory would grow with the number of VMs
// times the number of engines, and so would the totals of work. A path would be searched
// among thousands of engines.
//
// Algorithm: a control VM withholds engines until they are on the shortlist of their hall:
// the fastest engines that hold memory at each layer for shortlistRoom times the answers in
// progress, and at least MinShortlist engines. All control VMs compute the same list from
// state that they share. The list is recomputed as load and engines change, and an engine
// that was listed stays listed: a VM that has received an engine keeps receiving its
// updates.
//
// Invariants: in a hall with no more than MinShortlist engines that hold layers, all of
// them are listed. An engine that leaves is advertised, listed or not. A VM that has
// received an incarnation also receives the one that replaces it.
//
// Limits: a list is up to one lease renewal behind the load, which shortlistRoom allows
// for. While a process runs, lists grow by the number of engines that have replaced
// others.

const (
	// shortlistRoom is the memory of the listed engines of a hall, as a multiple of the
	// answers in progress: the load may double and a third of the engines be lost before
	// more are listed.
	shortlistRoom = 3
	// MinShortlist is the number of engines of a hall that are listed at any load, which
	// an entry VM can always afford to know.
	MinShortlist = 64
)

// isEngine reports whether a target runs a part of a model.
func (t Target) isEngine() bool { return t.Accelerator != "" }

// advertised reports whether entry VMs that follow the registry receive a target.
func (e entry) advertised() bool { return !e.withheld || !e.target.AcceptsWork() }

// WithholdEngines makes the registry withhold engines that it does not know yet until they
// are listed.
func (r *Registry) WithholdEngines() { r.withholdEngines = true }

// Withheld reports whether any engine is withheld.
func (r *Registry) Withheld() bool {
	for _, e := range r.targets {
		if e.withheld {
			return true
		}
	}
	return false
}

// AddToShortlist advertises an engine to followers and reports whether it was withheld.
func (r *Registry) AddToShortlist(id TargetID) bool {
	e, known := r.targets[id]
	if !known || !e.withheld {
		return false
	}
	r.change++
	e.withheld = false
	e.changed, e.fullyChanged = r.change, r.change
	r.targets[id] = e
	return true
}

// Shortlist returns the engines that entry VMs should know, of those that hold layers and
// take work: in each hall the fastest, as many as the answers in progress in all halls
// require.
func (e *Engine) Shortlist(engines []Target, answers float64) []TargetID {
	halls := make(map[string][]unit)
	for _, t := range engines {
		if kind, ok := e.accelerator(t.Accelerator); ok && e.contains(t.Layers) {
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

// shortlistOf returns the engines of one hall that hold memory for the given number of
// answers.
func (e *Engine) shortlistOf(units []unit, need float64) []TargetID {
	slices.SortFunc(units, func(a, b unit) int {
		return cmp.Or(cmp.Compare(a.kind.StepFactor, b.kind.StepFactor), cmp.Compare(a.target.ID, b.target.ID))
	})
	level := make([]float64, e.Layers)
	var listed []TargetID
	for _, u := range units {
		layers := u.target.Layers
		if len(listed) >= MinShortlist && slices.Min(level[layers.First:layers.Last]) >= need {
			continue
		}
		addLevel(level, layers, e.answersAt(u.kind, layers.Len()))
		listed = append(listed, u.target.ID)
	}
	return listed
}

// AnswersInProgress returns the number of answers that engines have in progress, by the work at
// them.
func (e *Engine) AnswersInProgress(engines []Target, work map[TargetKey]Work) float64 {
	passes := 0.0
	for i := range engines {
		passes += float64(work[engines[i].ID.Key()].Requests * engines[i].Layers.Len())
	}
	return passes / float64(max(e.Layers, 1))
}

package relay

import (
	"cmp"
	"slices"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// findStandbys marks the engines that their hall does not need. A hall that holds
// its scarcest layer n times runs n chains; an engine is a standby when n faster
// ones hold each of its layers. It is done again when what targets hold changes.
func (r *Router) findStandbys(s *Service) {
	if r.marked[s.Name] {
		return
	}
	r.marked[s.Name] = true
	halls := make(map[string][]*target)
	for _, t := range r.members[s.Name] {
		t.standby = false
		if t.Takes() && !t.silent && t.Layers.Len() > 0 && t.Layers.Last <= s.Engine.Layers {
			halls[t.Hall] = append(halls[t.Hall], t)
		}
	}
	for _, engines := range halls {
		markStandbys(s.Engine, engines)
	}
}

func markStandbys(e *Engine, engines []*target) {
	counts := make([]int, e.Layers)
	for _, t := range engines {
		hold(counts, t.Layers)
	}
	chains := max(slices.Min(counts), 1)
	slices.SortFunc(engines, func(a, b *target) int {
		return cmp.Or(cmp.Compare(e.paceOf(a), e.paceOf(b)), cmp.Compare(a.ID, b.ID))
	})
	clear(counts)
	for _, t := range engines {
		t.standby = slices.Min(counts[t.Layers.First:t.Layers.Last]) >= chains
		hold(counts, t.Layers)
	}
}

func hold(counts []int, layers config.Range) {
	for i := layers.First; i < layers.Last; i++ {
		counts[i]++
	}
}

// paceOf returns the pace of a target, that of an unknown kind last.
func (e *Engine) paceOf(t *target) float64 {
	if kind, ok := e.accelerator(t.Accelerator); ok {
		return kind.Pace
	}
	return unknownPace
}

// unknownPace is slower than any kind.
const unknownPace = 1e6

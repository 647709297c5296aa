package relay

import (
	"slices"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// repair returns the moves that give halls back the layers that they lack. Each
// hall makes one move at a time: what it frees is known only once it is done.
func (e *Engine) repair(holding []unit) []Assignment {
	var out []Assignment
	for _, hall := range hallNames(holding) {
		units := slices.DeleteFunc(slices.Clone(holding), func(u unit) bool { return u.target.Hall != hall })
		if a, ok := e.repairHall(units); ok {
			out = append(out, a)
		}
	}
	return out
}

func hallNames(units []unit) []string {
	var names []string
	for _, u := range units {
		names = append(names, u.target.Hall)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// repairHall returns the move that closes the first gap of a hall that can hold
// the model.
func (e *Engine) repairHall(units []unit) (Assignment, bool) {
	size := 0
	for _, u := range units {
		size += u.comfort
	}
	counts := e.counts(units)
	gap := firstGap(counts)
	if size < e.Layers || gap.Len() == 0 {
		return Assignment{}, false
	}
	var best *unit
	for i := range units {
		u := &units[i]
		if u.fresh || u.target.Loading || !spare(counts, u.target.Layers) {
			continue
		}
		if best == nil || better(*u, *best, gap.Len()) {
			best = u
		}
	}
	if best == nil {
		return Assignment{}, false
	}
	gap.Last = min(gap.Last, gap.First+best.comfort)
	return Assignment{Target: best.target.ID, Layers: gap}, true
}

// better prefers the engine that closes more of the gap, then the less busy one.
func better(u, than unit, gap int) bool {
	closes, other := min(u.comfort, gap), min(than.comfort, gap)
	if closes != other {
		return closes > other
	}
	return u.target.Load < than.target.Load
}

// counts returns how many engines hold each layer.
func (e *Engine) counts(units []unit) []int {
	counts := make([]int, e.Layers)
	for _, u := range units {
		for i := u.target.Layers.First; i < min(u.target.Layers.Last, e.Layers); i++ {
			counts[i]++
		}
	}
	return counts
}

// firstGap returns the first range that nobody holds.
func firstGap(counts []int) config.Range {
	first := slices.Index(counts, 0)
	if first < 0 {
		return config.Range{}
	}
	last := first
	for last < len(counts) && counts[last] == 0 {
		last++
	}
	return config.Range{First: first, Last: last}
}

// spare reports whether others hold all of these layers too.
func spare(counts []int, layers config.Range) bool {
	if layers.Len() <= 0 || layers.Last > len(counts) {
		return false
	}
	return slices.Min(counts[layers.First:layers.Last]) > 1
}

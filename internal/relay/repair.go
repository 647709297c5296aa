package relay

import (
	"cmp"
	"slices"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// repair returns the moves that give halls back the layers that they lack: as many engines
// as the gaps take, all at once.
func (e *Engine) repair(holding []unit) []Assignment {
	var out []Assignment
	for _, hall := range hallNames(holding) {
		units := inHall(holding, hall)
		out = append(out, e.repairHall(units)...)
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

// squeezed is the part of the wanted memory for requests that engines keep, at the least,
// when they take over layers: a hall with half of its places is better than none.
const squeezed = 0.5

// repairHall returns the moves that close the gaps of a hall: with the wanted memory for
// requests where the engines that may move can, and else with less.
func (e *Engine) repairHall(units []unit) []Assignment {
	wanted := e.memoryGoal(units, units[0].target.Hall)
	step := max(int(squeezed*float64(wanted))/squeezeSteps, 1)
	for tokens := wanted; tokens >= int(squeezed*float64(wanted)); tokens -= step {
		if moves, whole := e.closeGaps(units, tokens); whole {
			return moves
		}
	}
	return nil
}

// squeezeSteps is how many sizes between the wanted one and the least are tried.
const squeezeSteps = 10

// closeGaps moves engines into the gaps of a hall, each of which then has memory for so
// many tokens, and reports whether they close all. An engine moves only where others hold
// all that it gives up already: what is being loaded serves nobody for seconds.
func (e *Engine) closeGaps(units []unit, tokens int) (moves []Assignment, whole bool) {
	units = slices.Clone(units)
	for range units {
		counts := e.counts(units)
		gap := firstGap(counts)
		if gap.Len() == 0 {
			return moves, true
		}
		best := e.mover(units, gap.Len(), tokens)
		if best == nil {
			return nil, false
		}
		gap.Last = min(gap.Last, gap.First+e.layersFor(best.kind, tokens))
		best.target.Layers = gap
		best.fresh = true
		moves = append(moves, Assignment{Target: best.target.ID, Layers: gap})
	}
	return nil, false
}

// mover returns the engine to move into a gap: an idle one before a busy one, then the one
// that closes more of it, then the less busy one.
func (e *Engine) mover(units []unit, gap, tokens int) *unit {
	counts := e.countsOf(units, func(u *unit) bool { return !u.fresh && !u.target.Loading })
	closes := func(u *unit) int { return min(e.layersFor(u.kind, tokens), gap) }
	var best *unit
	for i := range units {
		u := &units[i]
		if u.fresh || u.target.Loading || !spare(counts, u.target.Layers) || closes(u) == 0 {
			continue
		}
		if best == nil || better(u, best, closes) {
			best = u
		}
	}
	return best
}

func better(u, than *unit, closes func(*unit) int) bool {
	if idle, other := u.target.Load == 0, than.target.Load == 0; idle != other {
		return idle
	}
	return cmp.Or(cmp.Compare(closes(u), closes(than)), cmp.Compare(than.target.Load, u.target.Load)) > 0
}

// counts returns how many engines hold each layer.
func (e *Engine) counts(units []unit) []int {
	return e.countsOf(units, func(*unit) bool { return true })
}

// countsOf returns how many of some engines hold each layer.
func (e *Engine) countsOf(units []unit, which func(*unit) bool) []int {
	counts := make([]int, e.Layers)
	for i := range units {
		if u := &units[i]; e.holds(u.target.Layers) && which(u) {
			hold(counts, u.target.Layers)
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

// hold counts one more holder of each layer of a range.
func hold(counts []int, layers config.Range) {
	for i := layers.First; i < layers.Last; i++ {
		counts[i]++
	}
}

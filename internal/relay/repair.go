package relay

import (
	"cmp"
	"slices"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// repair returns the moves that restore the missing layers of halls: all at once, with as
// many engines as the gaps require.
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

// minMemoryPart is the part of the memory goal for requests that engines keep at least when
// they take over layers: a hall with half of its capacity is better than none.
const minMemoryPart = 0.5

// repairHall returns the moves that close the gaps of a hall, with the full memory goal for
// requests if the engines that may move can, and otherwise with less.
func (e *Engine) repairHall(units []unit) []Assignment {
	wanted := e.memoryGoal(units, units[0].target.Hall)
	step := max(int(minMemoryPart*float64(wanted))/memoryGoalSteps, 1)
	for tokens := wanted; tokens >= int(minMemoryPart*float64(wanted)); tokens -= step {
		if moves, whole := e.closeGaps(units, tokens); whole {
			return moves
		}
	}
	return nil
}

// memoryGoalSteps is the number of sizes between the goal and the minimum that are tried.
const memoryGoalSteps = 10

// closeGaps moves engines into the gaps of a hall, each with memory for the given number of
// tokens, and reports whether they close all gaps. An engine moves only if others already
// hold all of its layers: layers that are being loaded serve no requests for seconds.
func (e *Engine) closeGaps(units []unit, tokens int) (moves []Assignment, whole bool) {
	units = slices.Clone(units)
	for range units {
		counts := e.copies(units)
		gap := firstGap(counts)
		if gap.Len() == 0 {
			return moves, true
		}
		best := e.engineToMove(units, gap.Len(), tokens)
		if best == nil {
			return nil, false
		}
		gap.Last = min(gap.Last, gap.First+e.layersFor(best.kind, tokens))
		best.target.Layers = gap
		best.newlyAssigned = true
		moves = append(moves, Assignment{Target: best.target.ID, Layers: gap})
	}
	return nil, false
}

// engineToMove returns the engine to move into a gap: an idle one before a busy one, then
// the one that closes more of it, then the less busy one.
func (e *Engine) engineToMove(units []unit, gap, tokens int) *unit {
	counts := e.copiesOf(units, func(u *unit) bool { return !u.newlyAssigned && !u.target.Loading })
	closes := func(u *unit) int { return min(e.layersFor(u.kind, tokens), gap) }
	var best *unit
	for i := range units {
		u := &units[i]
		if u.newlyAssigned || u.target.Loading || !heldByOthers(counts, u.target.Layers) || closes(u) == 0 {
			continue
		}
		if best == nil || preferMove(u, best, closes) {
			best = u
		}
	}
	return best
}

func preferMove(u, than *unit, closes func(*unit) int) bool {
	if idle, other := u.target.Load == 0, than.target.Load == 0; idle != other {
		return idle
	}
	return cmp.Or(cmp.Compare(closes(u), closes(than)), cmp.Compare(than.target.Load, u.target.Load)) > 0
}

// copies returns the number of engines that hold each layer.
func (e *Engine) copies(units []unit) []int {
	return e.copiesOf(units, func(*unit) bool { return true })
}

// copiesOf returns the number of engines that meet a condition and hold each layer.
func (e *Engine) copiesOf(units []unit, which func(*unit) bool) []int {
	counts := make([]int, e.Layers)
	for i := range units {
		if u := &units[i]; e.contains(u.target.Layers) && which(u) {
			addCopy(counts, u.target.Layers)
		}
	}
	return counts
}

// firstGap returns the first range that no engine holds.
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

// heldByOthers reports whether each layer of a range has more than one holder.
func heldByOthers(counts []int, layers config.Range) bool {
	if layers.Len() <= 0 || layers.Last > len(counts) {
		return false
	}
	return slices.Min(counts[layers.First:layers.Last]) > 1
}

// addCopy counts one more holder of each layer of a range.
func addCopy(counts []int, layers config.Range) {
	for i := layers.First; i < layers.Last; i++ {
		counts[i]++
	}
}

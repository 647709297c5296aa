package relay

import (
	"cmp"
	"math"
	"slices"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// This file covers segments of layers with groups of engines.

// cover covers the segments in rounds while engines are left. The units are sorted.
//
// They are grouped by kind once, and groups are cut off from the front: 3,000 engines were
// copied and sorted for each of 1,500 groups, which took the leader 0.6 s of a whole core
// while its followers waited for a heartbeat.
func (e *Engine) cover(units []unit, segments []config.Range) (out []Assignment, left []unit) {
	kinds := byKind(units)
	for covered := true; covered; {
		covered = false
		for _, s := range segments {
			group, rest, ok := e.group(kinds, s.Len())
			if !ok {
				continue
			}
			out = append(out, assign(group, s.First, e.splitFor(group, s.Len()))...)
			kinds = rest
			covered = true
		}
	}
	return out, slices.Concat(kinds...)
}

// splitFor splits n layers over a group as split does for the whole model.
func (e *Engine) splitFor(group []unit, n int) []int {
	part := *e
	part.Layers = n
	sizes := make([]int, len(group))
	for i, u := range group {
		sizes[i] = u.comfort
	}
	return part.trim(group, sizes)
}

// group picks the fewest engines that can cover n layers with comfort, and of
// those the ones that waste the least.
func (e *Engine) group(kinds [][]unit, n int) (group []unit, rest [][]unit, ok bool) {
	best := groupChoice{waste: math.MaxInt, size: math.MaxInt}
	best.search(kinds, make([]int, len(kinds)), 0, n)
	if best.counts == nil {
		return nil, kinds, false
	}
	for i, g := range kinds {
		taken, left := pickNear(g, best.counts[i], group)
		group = append(group, taken...)
		if len(left) > 0 {
			rest = append(rest, left)
		}
	}
	return group, rest, true
}

// groupChoice is the best group found so far, as a number of engines by kind.
type groupChoice struct {
	counts []int
	size   int
	waste  int
}

func (c *groupChoice) search(kinds [][]unit, counts []int, i, missing int) {
	size := sum(counts)
	if missing <= 0 {
		if size < c.size || size == c.size && -missing < c.waste {
			*c = groupChoice{counts: slices.Clone(counts), size: size, waste: -missing}
		}
		return
	}
	if i == len(kinds) || size >= groupLimit {
		return
	}
	comfort := kinds[i][0].comfort
	for n := 0; n <= len(kinds[i]) && size+n <= groupLimit; n++ {
		counts[i] = n
		c.search(kinds, counts, i+1, missing-n*comfort)
	}
	counts[i] = 0
}

// pickNear takes n units, those of the hall of the group's last one first.
func pickNear(units []unit, n int, group []unit) (taken, left []unit) {
	hall := ""
	if len(group) > 0 {
		hall = group[len(group)-1].target.Hall
	} else if len(units) > 0 {
		hall = units[0].target.Hall
	}
	if !slices.ContainsFunc(units[:n], func(u unit) bool { return u.target.Hall != hall }) {
		return units[:n], units[n:]
	}
	sorted := slices.Clone(units)
	slices.SortStableFunc(sorted, func(a, b unit) int {
		return cmp.Compare(awayFrom(a, hall), awayFrom(b, hall))
	})
	left = sorted[n:]
	slices.SortFunc(left, compareUnits)
	return sorted[:n], left
}

func awayFrom(u unit, hall string) int {
	if u.target.Hall == hall {
		return 0
	}
	return 1
}

// hold counts one more holder of each layer of a range.
func hold(counts []int, layers config.Range) {
	for i := layers.First; i < layers.Last; i++ {
		counts[i]++
	}
}

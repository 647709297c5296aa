package relay

import (
	"math"
	"slices"
)

// This file puts engines together to chains that hold a whole model.

// byKind groups sorted units by kind, in the same order.
func byKind(units []unit) [][]unit {
	var groups [][]unit
	for i, u := range units {
		if i == 0 || units[i-1].kind.Name != u.kind.Name {
			groups = append(groups, nil)
		}
		last := len(groups) - 1
		groups[last] = append(groups[last], u)
	}
	return groups
}

// chains makes as many like chains of the fastest kinds as there can be. It
// takes slower kinds in only when the faster ones can't hold the model.
func (e *Engine) chains(units []unit) (chains [][]unit, rest []unit) {
	groups := byKind(units)
	for n := 1; n <= len(groups); n++ {
		fast := groups[:n]
		next := n < len(groups) && groups[n][0].kind.Pace <= fastSpread*groups[0][0].kind.Pace
		if next {
			continue
		}
		if chains, rest := e.chainsOf(fast); len(chains) > 0 {
			return chains, slices.Concat(rest, slices.Concat(groups[n:]...))
		}
	}
	return e.tightChain(units)
}

// chainsOf makes the most chains with equally many engines of each kind.
func (e *Engine) chainsOf(groups [][]unit) (chains [][]unit, rest []unit) {
	total := 0
	for _, g := range groups {
		total += len(g) * g[0].comfort
	}
	for count := total / max(e.Layers, 1); count >= 1; count-- {
		size := 0
		for _, g := range groups {
			size += len(g) / count * g[0].comfort
		}
		if size < e.Layers {
			continue
		}
		return e.dealChains(groups, count)
	}
	return nil, nil
}

func (e *Engine) dealChains(groups [][]unit, count int) (chains [][]unit, rest []unit) {
	chains = make([][]unit, count)
	for _, g := range groups {
		each := len(g) / count
		for i := range chains {
			chains[i] = append(chains[i], g[i*each:(i+1)*each]...)
		}
		rest = append(rest, g[count*each:]...)
	}
	return chains, rest
}

// tightChain makes one chain of all that there is, with less memory for
// requests than is wanted, where no other can hold the model.
func (e *Engine) tightChain(units []unit) (chains [][]unit, rest []unit) {
	size := 0
	for i, u := range units {
		size += e.layersFor(u.kind, e.UsualPrompt+e.UsualAnswer)
		if size >= e.Layers {
			return [][]unit{units[:i+1]}, units[i+1:]
		}
	}
	return nil, units
}

// split returns how many layers each engine of a chain holds, so that the one
// with the least memory for requests has the most.
func (e *Engine) split(chain []unit) []int {
	low, high := 0, math.MaxInt32
	for low < high {
		middle := (low + high + 1) / 2
		if sum(e.layersOf(chain, middle)) >= e.Layers {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return e.trim(chain, e.layersOf(chain, low))
}

func (e *Engine) layersOf(chain []unit, tokens int) []int {
	sizes := make([]int, len(chain))
	for i, u := range chain {
		sizes[i] = e.layersFor(u.kind, tokens)
	}
	return sizes
}

func sum(sizes []int) int {
	total := 0
	for _, n := range sizes {
		total += n
	}
	return total
}

// trim takes surplus layers from the slowest stages.
func (e *Engine) trim(chain []unit, sizes []int) []int {
	for sum(sizes) > e.Layers {
		slowest := slices.IndexFunc(sizes, func(n int) bool { return n > 0 })
		for i := range sizes {
			if sizes[i] > 0 && float64(sizes[i])*chain[i].kind.Pace > float64(sizes[slowest])*chain[slowest].kind.Pace {
				slowest = i
			}
		}
		sizes[slowest]--
	}
	return sizes
}

package relay

import "slices"

// This file puts engines together to chains that hold a whole model.

// chain returns as many of the fastest of sorted engines as hold the model with memory for
// so many tokens in each; none if all of them don't.
func (e *Engine) chain(units []unit, tokens int) []unit {
	size := 0
	for i := range units {
		size += e.layersFor(units[i].kind, tokens)
		if size >= e.Layers {
			return units[:i+1]
		}
	}
	return nil
}

// splitSteps is the number of halvings between a size of memory with which a chain holds the
// model and twice as much, with which it doesn't: the rest is a hundredth of a request's
// worth for most.
const splitSteps = 10

// split returns how many of some layers each engine of a group holds, so that the one
// with the least memory for requests has the most. With memory for so many tokens in each
// they hold the layers.
func (e *Engine) split(group []unit, layers, tokens int) []int {
	low := max(tokens, 1)
	high := 2 * low
	for sum(e.layersOf(group, high)) >= layers {
		low, high = high, 2*high
	}
	for range splitSteps {
		middle := low + (high-low)/2
		if sum(e.layersOf(group, middle)) >= layers {
			low = middle
		} else {
			high = middle
		}
	}
	return trim(group, e.layersOf(group, low), layers)
}

func (e *Engine) layersOf(group []unit, tokens int) []int {
	sizes := make([]int, len(group))
	for i := range group {
		if i > 0 && group[i].kind.Name == group[i-1].kind.Name {
			sizes[i] = sizes[i-1]
			continue
		}
		sizes[i] = e.layersFor(group[i].kind, tokens)
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

// trim takes layers above so many from the slowest stages.
func trim(group []unit, sizes []int, layers int) []int {
	for surplus := sum(sizes) - layers; surplus > 0; surplus-- {
		slowest := slices.IndexFunc(sizes, func(n int) bool { return n > 0 })
		for i := range sizes {
			if sizes[i] > 0 && float64(sizes[i])*group[i].kind.Pace > float64(sizes[slowest])*group[slowest].kind.Pace {
				slowest = i
			}
		}
		sizes[slowest]--
	}
	return sizes
}

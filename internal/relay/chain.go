package relay

import "slices"

// This file combines engines into chains that hold a whole model.

// chain returns as many of the fastest of the sorted engines as hold the model with memory
// for the given number of tokens in each, or none if all of them are too few.
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

// splitSteps is the number of bisections between a memory size at which a chain holds the
// model and twice that size, at which it does not: the rest is a hundredth of a request or
// less in most cases.
const splitSteps = 10

// split returns how many layers each engine of a group holds, so that the smallest memory
// for requests among them is as large as possible. The engines must be able to hold the
// layers with memory for the given number of tokens in each.
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

// trim removes the layers beyond the given number from the slowest stages.
func trim(group []unit, sizes []int, layers int) []int {
	for surplus := sum(sizes) - layers; surplus > 0; surplus-- {
		slowest := slices.IndexFunc(sizes, func(n int) bool { return n > 0 })
		for i := range sizes {
			if sizes[i] > 0 && float64(sizes[i])*group[i].kind.StepFactor > float64(sizes[slowest])*group[slowest].kind.StepFactor {
				slowest = i
			}
		}
		sizes[slowest]--
	}
	return sizes
}

package relay

// This file puts engines together to chains that hold a whole model.

// chainRun is chains in a row that have the same kinds in the same order.
type chainRun struct {
	// units are the engines of all of them, length those of each.
	units  []unit
	length int
	count  int
	// sizes are the layers of each engine of a chain.
	sizes []int
}

// chains puts sorted engines together to chains: each takes as many of the fastest as are
// left as hold the model with memory for so many tokens. The rest are too few for one more.
func (e *Engine) chains(units []unit, tokens int) (runs []chainRun, rest []unit) {
	layers := make([]int, 0, len(units))
	for i := range units {
		n := 0
		if i > 0 && units[i].kind.Name == units[i-1].kind.Name {
			n = layers[i-1]
		} else {
			n = e.layersFor(units[i].kind, tokens)
		}
		layers = append(layers, n)
	}
	for first := 0; ; {
		last, size := first, 0
		for last < len(units) && size < e.Layers {
			size += layers[last]
			last++
		}
		if size < e.Layers {
			return runs, units[first:]
		}
		runs = addChain(runs, units, first, last)
		first = last
	}
}

// addChain adds the chain of units[first:last] to the run before it, or begins one.
func addChain(runs []chainRun, units []unit, first, last int) []chainRun {
	if len(runs) > 0 {
		r := &runs[len(runs)-1]
		if sameKinds(r.units[:r.length], units[first:last]) {
			r.units = units[first-r.length*r.count : last]
			r.count++
			return runs
		}
	}
	return append(runs, chainRun{units: units[first:last], length: last - first, count: 1})
}

// sameKinds reports whether two chains have the same kinds in the same order. The engines
// are sorted by kind, so that the number of each kind says it all.
func sameKinds(a, b []unit) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].kind.Name != b[i].kind.Name {
			return false
		}
	}
	return true
}

// splitSteps is the number of halvings between a size of memory with which a chain holds the
// model and twice as much, with which it doesn't: the rest is a hundredth of a request's
// worth for most.
const splitSteps = 10

// split returns how many layers each engine of a chain holds, so that the one
// with the least memory for requests has the most. With memory for so many tokens in each
// they hold the model.
func (e *Engine) split(chain []unit, tokens int) []int {
	low := max(tokens, 1)
	high := 2 * low
	for sum(e.layersOf(chain, high)) >= e.Layers {
		low, high = high, 2*high
	}
	for range splitSteps {
		middle := low + (high-low)/2
		if sum(e.layersOf(chain, middle)) >= e.Layers {
			low = middle
		} else {
			high = middle
		}
	}
	return e.trim(chain, e.layersOf(chain, low))
}

func (e *Engine) layersOf(chain []unit, tokens int) []int {
	sizes := make([]int, len(chain))
	for i := range chain {
		if i > 0 && chain[i].kind.Name == chain[i-1].kind.Name {
			sizes[i] = sizes[i-1]
			continue
		}
		sizes[i] = e.layersFor(chain[i].kind, tokens)
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
	for surplus := sum(sizes) - e.Layers; surplus > 0; surplus-- {
		slowest := 0
		for i := range sizes {
			if float64(sizes[i])*chain[i].kind.Pace > float64(sizes[slowest])*chain[slowest].kind.Pace {
				slowest = i
			}
		}
		if sizes[slowest] == 0 {
			slowest = firstPositive(sizes)
		}
		sizes[slowest]--
	}
	return sizes
}

// firstPositive returns the first stage that holds layers.
func firstPositive(sizes []int) int {
	for i, n := range sizes {
		if n > 0 {
			return i
		}
	}
	return 0
}

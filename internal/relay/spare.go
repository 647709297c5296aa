package relay

// This file says whether a fleet that serves is to load more engines.
//
// Each load takes a part of a store that all engines share, and a fleet that was sized for
// an event has ten times what a quiet hour asks for. What is loaded before the first
// requests come is loaded in any case, as far as time allows.

const (
	// enoughUse is the part of the memory for requests in use below which a hall has
	// enough: it then bears twenty times what it is asked.
	enoughUse = 0.05
	// beginCopies is how often the engines of each hall could hold the model once a first
	// plan need not wait for others: the engines that come later then take what the fewest
	// hold, as those that are replaced do. A smaller fleet is planned as a whole.
	beginCopies = 8
	// enoughCopies is the engines that hold each layer in a hall that has enough: two may
	// be lost.
	enoughCopies = 3
)

// NeedsMore reports whether empty engines are to load layers: while nothing is under way, or
// where a hall that could hold the model lacks copies or is in use.
func (e *Engine) NeedsMore(targets []Target) bool {
	halls := make(map[string][]unit)
	var all []unit
	work := 0
	for _, t := range targets {
		kind, ok := e.accelerator(t.Accelerator)
		if !ok || !t.Takes() {
			continue
		}
		work += t.Load
		all = append(all, unit{target: t, kind: kind})
		halls[t.Hall] = append(halls[t.Hall], unit{target: t, kind: kind})
	}
	if work == 0 {
		return true
	}
	wanted := e.memoryGoal(all, "")
	for _, units := range halls {
		if !e.hasEnough(units, wanted) {
			return true
		}
	}
	return false
}

// MayBegin reports whether a first plan may be made for these engines, though more may
// come: a fleet of thousands registers for as long as it has until the first request.
func (e *Engine) MayBegin(targets []Target) bool {
	layers := make(map[string]int)
	for _, t := range targets {
		if kind, ok := e.accelerator(t.Accelerator); ok && t.Takes() {
			layers[t.Hall] += e.layersFor(kind, int(e.usual()))
		}
	}
	for _, n := range layers {
		if n < beginCopies*e.Layers {
			return false
		}
	}
	return len(layers) > 0
}

// hasEnough reports whether a hall has enough, or could not hold the model anyway with
// memory for so many tokens in each engine.
func (e *Engine) hasEnough(units []unit, tokens int) bool {
	size, used, room := 0, 0, 0
	counts := make([]int, e.Layers)
	for _, u := range units {
		size += e.layersFor(u.kind, tokens)
		layers := u.target.Layers
		if !e.holds(layers) {
			continue
		}
		used += u.target.Load
		room += e.tokenLayers(u.kind, layers.Len())
		hold(counts, layers)
	}
	if size < e.Layers {
		return true
	}
	for _, copies := range counts {
		if copies < enoughCopies {
			return false
		}
	}
	return float64(used) < enoughUse*float64(room)
}

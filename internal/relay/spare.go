package relay

// This file decides whether a fleet that serves requests should load more engines.
//
// All engines share a store, and each load takes a part of its bandwidth. A fleet that was
// sized for an event has ten times what a quiet hour requires. Before the first requests
// come, engines are loaded in any case, as far as time allows.

const (
	// lowUse is the share of the memory for requests in use below which a hall has enough
	// engines: it then bears twenty times its load.
	lowUse = 0.05
	// firstPlanCopies is the number of copies of the model that the engines of each hall must be
	// able to hold for a first plan that does not wait for others: engines that join later then
	// get what the fewest hold, as replaced engines do. A smaller fleet is planned as a whole.
	firstPlanCopies = 8
	// minCopies is the number of engines that hold each layer in a hall with enough
	// engines: two may be lost.
	minCopies = 3
)

// NeedsMoreLoads reports whether empty engines should load layers: while no requests are in
// flight, or if a hall that could hold the model lacks copies or is in use.
func (e *Engine) NeedsMoreLoads(targets []Target) bool {
	halls := make(map[string][]unit)
	var all []unit
	work := 0
	for _, t := range targets {
		kind, ok := e.accelerator(t.Accelerator)
		if !ok || !t.AcceptsWork() {
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

// ReadyForFirstPlan reports whether a first plan may be made for these engines although more may
// join: a fleet of thousands may still be registering when its first request arrives.
func (e *Engine) ReadyForFirstPlan(targets []Target) bool {
	layers := make(map[string]int)
	for _, t := range targets {
		if kind, ok := e.accelerator(t.Accelerator); ok && t.AcceptsWork() {
			layers[t.Hall] += e.layersFor(kind, int(e.usualTokens()))
		}
	}
	for _, n := range layers {
		if n < firstPlanCopies*e.Layers {
			return false
		}
	}
	return len(layers) > 0
}

// hasEnough reports whether a hall has enough engines, or could not hold the model anyway
// with memory for the given number of tokens in each engine.
func (e *Engine) hasEnough(units []unit, tokens int) bool {
	size, used, room := 0, 0, 0
	counts := make([]int, e.Layers)
	for _, u := range units {
		size += e.layersFor(u.kind, tokens)
		layers := u.target.Layers
		if !e.contains(layers) {
			continue
		}
		used += u.target.Load
		room += e.tokenLayers(u.kind, layers.Len())
		addCopy(counts, layers)
	}
	if size < e.Layers {
		return true
	}
	for _, copies := range counts {
		if copies < minCopies {
			return false
		}
	}
	return float64(used) < lowUse*float64(room)
}

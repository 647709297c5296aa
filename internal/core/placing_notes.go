package core

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file logs the leader's plans for operators, with their inputs and capacity.

// logFaults logs the faults that prevent a plan for a service, or a good one, when they
// change. The layers that engines hold are left as they are.
func (n *Node) logFaults(s *relay.Service, engines []relay.Target) {
	text := ""
	if err := errors.Join(s.Engine.Faults(engines)...); err != nil {
		text = strings.ReplaceAll(err.Error(), "\n", "; ")
	}
	noted := n.leader.layerPlacement.logged[s.Name]
	if text == noted.faults {
		return
	}
	noted.faults = text
	n.leader.layerPlacement.logged[s.Name] = noted
	if text != "" {
		n.note("cost model can't be planned with as it is: "+text, s.Name)
	}
}

// logPlan logs a plan with its inputs.
func (n *Node) logPlan(s *relay.Service, engines []relay.Target, plan []relay.Assignment) {
	held := withLayers(engines, plan)
	whole, left := s.Engine.Capacity(held), s.Engine.CapacityAfterLosses(held, loggedLosses)
	text := fmt.Sprintf("plan for %s: %d of them hold layers, the least held layer %d times in a hall; bears %.0f answers in progress and %.0f a second, each %s, of %d and %d tokens; %.0f a second without the %d engines whose loss costs most",
		countKinds(engines), len(plan), whole.Copies, whole.Answers, whole.Rate, whole.Time.Round(timeUnit), s.Engine.UsualPrompt, s.Engine.UsualAnswer, left.Rate, loggedLosses)
	noted := n.leader.layerPlacement.logged[s.Name]
	if text == noted.plan {
		return
	}
	noted.plan = text
	n.leader.layerPlacement.logged[s.Name] = noted
	n.note(text, s.Name)
}

const (
	// loggedLosses is the number of lost engines for which a logged plan states the rate.
	loggedLosses = 3
	// timeUnit is the unit to which logged times are rounded: operators need no finer ones.
	timeUnit = 10 * time.Millisecond
)

// withLayers returns engines with the layers that a plan assigns to them.
func withLayers(engines []relay.Target, plan []relay.Assignment) []relay.Target {
	given := make(map[relay.TargetID]relay.Assignment, len(plan))
	for _, a := range plan {
		given[a.Target] = a
	}
	held := slices.Clone(engines)
	for i := range held {
		if a, ok := given[held[i].ID]; ok {
			held[i].Layers = a.Layers
		}
	}
	return held
}

// countKinds lists the number of engines of each accelerator kind.
func countKinds(engines []relay.Target) string {
	counts := make(map[string]int)
	for _, t := range engines {
		counts[t.Accelerator]++
	}
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[kind], kind))
	}
	return strings.Join(parts, ", ")
}

// updateCapacity computes the capacity of the layers that engines hold, for Status.
func (n *Node) updateCapacity(s *relay.Service, engines []relay.Target) {
	p := &n.leader.layerPlacement
	if n.now.Before(p.capacityAt[s.Name]) {
		return
	}
	p.capacityAt[s.Name] = n.now.Add(capacityInterval)
	p.capacity[s.Name] = s.Engine.Capacity(engines)
}

// heldCapacity returns the capacity of the layers that engines hold, over all services.
func (n *Node) heldCapacity() (answers, rate float64) {
	for _, c := range n.leader.layerPlacement.capacity {
		answers += c.Answers
		rate += c.Rate
	}
	return answers, rate
}

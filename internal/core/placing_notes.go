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

// This file tells operators what the leader plans with, and what the plan bears.

// noteFaults notes what keeps a service from a plan, or from a good one, when it changes.
// What engines hold stands.
func (n *Node) noteFaults(s *relay.Service, engines []relay.Target) {
	text := ""
	if err := errors.Join(s.Engine.Faults(engines)...); err != nil {
		text = strings.ReplaceAll(err.Error(), "\n", "; ")
	}
	noted := n.leading.placing.noted[s.Name]
	if text == noted.faults {
		return
	}
	noted.faults = text
	n.leading.placing.noted[s.Name] = noted
	if text != "" {
		n.note("cost model can't be planned with as it is: "+text, s.Name)
	}
}

// notePlan notes a plan with its inputs.
func (n *Node) notePlan(s *relay.Service, engines []relay.Target, plan []relay.Assignment) {
	held := withLayers(engines, plan)
	whole, left := s.Engine.Hold(held), s.Engine.HoldAfter(held, lossesNoted)
	text := fmt.Sprintf("plan for %s: %d of them hold layers, the least held layer %d times in a hall; bears %.0f answers in progress and %.0f a second, each %s, of %d and %d tokens; %.0f a second without the %d engines whose loss costs most",
		kindsOf(engines), len(plan), whole.Copies, whole.Answers, whole.Rate, whole.Time.Round(roundedTo), s.Engine.UsualPrompt, s.Engine.UsualAnswer, left.Rate, lossesNoted)
	noted := n.leading.placing.noted[s.Name]
	if text == noted.plan {
		return
	}
	noted.plan = text
	n.leading.placing.noted[s.Name] = noted
	n.note(text, s.Name)
}

const (
	// lossesNoted is the number of lost engines that a noted plan gives the rate after.
	lossesNoted = 3
	// roundedTo is the unit of the times in a note: people need no more.
	roundedTo = 10 * time.Millisecond
)

// withLayers returns engines with the layers that a plan gives them.
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

// kindsOf counts engines by kind.
func kindsOf(engines []relay.Target) string {
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

// lookAtHolds works out what the layers that engines hold bear, for Status.
func (n *Node) lookAtHolds(s *relay.Service, engines []relay.Target) {
	p := &n.leading.placing
	if n.now.Before(p.holdsAt[s.Name]) {
		return
	}
	p.holdsAt[s.Name] = n.now.Add(holdsEvery)
	p.holds[s.Name] = s.Engine.Hold(engines)
}

// planHolds returns what the layers that engines hold bear, over all services.
func (n *Node) planHolds() (answers, rate float64) {
	for _, c := range n.leading.placing.holds {
		answers += c.Answers
		rate += c.Rate
	}
	return answers, rate
}

package relay

import (
	"fmt"
	"slices"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// This file names what a service's cost model lacks for a plan.
//
// A document that can be read is taken, since what an operator may send is agreed with
// callers of the control interface. What no plan can be made with is told by the leader,
// and what engines hold stands.

// Faults returns what keeps a plan from being made for targets, or from being a good one.
// Each names the field and the remedy.
func (e *Engine) Faults(targets []Target) []error {
	var faults []error
	add := func(wrong bool, field, reason string) {
		if wrong {
			faults = append(faults, invalid("engine of model "+e.Model+": "+field, reason))
		}
	}
	add(e.LayerBytes <= 0, "size of a layer", "is not above 0")
	add(e.TokenBytes <= 0, "memory of a token", "is not above 0")
	add(e.ReadPerSecond <= 0, "tokens read a second", "is not above 0")
	add(e.StepBase <= 0, "time of a step", "is not above 0")
	add(e.Slots <= 0, "slots", "are not above 0")
	add(e.UsualPrompt+e.UsualAnswer <= 0, "usual prompt and answer", "add up to no token")
	for _, a := range e.Accelerators {
		add(a.Pace <= 0 || a.Read <= 0, "kind "+a.Name, "has a pace or a reading factor that is not above 0")
		add(e.layersFor(a, int(e.usual())) <= 0, "kind "+a.Name, "has no memory for one layer and a usual request")
	}
	return append(faults, e.fleetFaults(targets)...)
}

// fleetFaults returns what a fleet lacks.
func (e *Engine) fleetFaults(targets []Target) []error {
	var faults []error
	var unknown []string
	room := 0
	for _, t := range targets {
		kind, ok := e.accelerator(t.Accelerator)
		if !ok {
			unknown = append(unknown, t.Accelerator)
			continue
		}
		room += e.layersFor(kind, int(e.usual()))
	}
	slices.Sort(unknown)
	for _, name := range slices.Compact(unknown) {
		faults = append(faults, invalid("engine of model "+e.Model+": kinds", fmt.Sprintf("lack %q, which engines say that they are", name)))
	}
	if len(targets) > 0 && room < e.Layers {
		reason := fmt.Sprintf("are %d, and the fleet has memory for %d; add engines", e.Layers, room)
		faults = append(faults, invalid("engine of model "+e.Model+": layers", reason))
	}
	return faults
}

// holds reports whether a range is one of this model. What engines say is not trusted.
func (e *Engine) holds(layers config.Range) bool {
	return layers.First >= 0 && layers.Len() > 0 && layers.Last <= e.Layers
}

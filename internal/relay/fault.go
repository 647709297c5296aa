package relay

import (
	"fmt"
	"slices"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// This file reports what a service's cost model lacks for a plan.
//
// Every document that can be read is accepted, since the documents that an operator may
// send are agreed with the callers of the control interface. If no plan can be made with a
// cost model, the leader reports why, and engines keep the layers that they hold.

// Faults returns the reasons why no plan can be made for targets, or no good one. Each
// names the field and the remedy.
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
		add(a.StepFactor <= 0 || a.ReadFactor <= 0, "kind "+a.Name, "has a pace or a reading factor that is not above 0")
		add(e.layersFor(a, int(e.usualTokens())) <= 0, "kind "+a.Name, "has no memory for one layer and a usual request")
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
		room += e.layersFor(kind, int(e.usualTokens()))
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

// contains reports whether a range is not empty and lies within this model. Reports of
// engines are not trusted.
func (e *Engine) contains(layers config.Range) bool {
	return layers.First >= 0 && layers.Len() > 0 && layers.Last <= e.Layers
}

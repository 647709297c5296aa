package relay

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// This file defines the path of a request.

// Stage is one target of a path and the layers that it runs. A plain service has one stage
// without layers.
type Stage struct {
	Target  TargetID
	Address string
	Layers  config.Range
	hall    string
}

// Path is the sequence of targets that serve a request.
type Path struct {
	Service string
	Stages  []Stage
	// tokens is the memory that the request takes at a target for each layer, in tokens.
	tokens int
	// prompt is the number of tokens to be read before the answer begins.
	prompt int
	// crossings is the number of changes of halls.
	crossings int
	pass      passTimes
	// permit is set if a permit of the first target is reserved for the request.
	permit bool
}

// HasPermit reports whether a permit of the first target is reserved for the request.
func (p Path) HasPermit() bool { return p.permit }

// First returns the stage that the request is sent to.
func (p Path) First() Stage { return p.Stages[0] }

// Forecast returns the time of one pass over all stages at the load when the path was
// chosen, without waits, which is the minimum pause between two events. It is 0 for plain
// services.
func (p Path) Forecast() time.Duration { return p.pass.loaded }

// Includes reports whether the path includes a target.
func (p Path) Includes(id TargetID) bool {
	return slices.ContainsFunc(p.Stages, func(s Stage) bool { return s.Target == id })
}

// StageAt returns the stage with an address.
func (p Path) StageAt(address string) (Stage, bool) {
	i := slices.IndexFunc(p.Stages, func(s Stage) bool { return s.Address == address })
	if i < 0 {
		return Stage{}, false
	}
	return p.Stages[i], true
}

// String formats the path for the log.
func (p Path) String() string {
	var parts []string
	for _, s := range p.Stages {
		parts = append(parts, fmt.Sprintf("%s%s", s.Address, s.Layers))
	}
	return strings.Join(parts, " ")
}

package relay

import (
	"fmt"
	"slices"
	"strings"
)

// This file names the mechanisms of the decision logic, each of which can be switched off
// separately. docs/ABLATION.md shows the effect of each.
//
// A Policy is read on the path of every request. It is a value with one bit for each
// mechanism, so that a check costs one shift.

// Mechanism is a part of the decision logic that can be switched off.
type Mechanism int

// The mechanisms. The table below describes the behaviour of a router without each of them.
const (
	HallDraw Mechanism = iota
	OwnHall
	Crowding
	UnreadPrompts
	PartRanges
	PauseAdmission
	StartSampling
	StartWait
	HerdGuess
	FailureMean
	Suspicion
	FullPause
	SharedFindings
	RepeatShares
	PooledRepeats
	ConnectionShares
	SpreadReturns
	StopAdmission
	StageReplacement
	LeaveMoving
	StallProbe
	RepairMoves
	PipeCaution
	OverdueRepair
	SlowEngines
	mechanismCount
)

// description is the text about a mechanism for operators.
type description struct{ name, off string }

var descriptions = [mechanismCount]description{
	HallDraw:         {"hall_draw", "the cheapest hall gets every request"},
	OwnHall:          {"own_hall", "other halls cost no more than the VM's own"},
	Crowding:         {"crowding", "a full engine costs no more than an empty one"},
	UnreadPrompts:    {"unread_prompts", "the wait behind prompts that are not read yet does not count"},
	PartRanges:       {"part_ranges", "an engine runs all layers that it holds, or none"},
	PauseAdmission:   {"pause_admission", "requests are admitted by memory alone, however long the pauses get"},
	StartSampling:    {"start_sampling", "a VM that was told of no other takes the engines to be its own"},
	StartWait:        {"start_wait", "requests that come before the first lease are refused at once"},
	HerdGuess:        {"herd_guess", "the work of other VMs counts as it was last told"},
	FailureMean:      {"failure_mean", "past failures of a target do not count"},
	Suspicion:        {"suspicion", "a target that failed is used again at once"},
	FullPause:        {"full_pause", "a target that refused is asked again at once"},
	SharedFindings:   {"shared_findings", "VMs do not tell which targets they found dead"},
	RepeatShares:     {"repeat_shares", "requests that have not begun may use the whole budget of repeats"},
	PooledRepeats:    {"pooled_repeats", "each VM keeps to its own part of the budget of repeats"},
	ConnectionShares: {"connection_shares", "each VM may use all connections that a target accepts"},
	SpreadReturns:    {"spread_returns", "refused callers are all told the same wait"},
	StopAdmission:    {"stop_admission", "a VM that stops takes answers that outlast it"},
	StageReplacement: {"stage_replacement", "a running answer that loses a stage begins anew"},
	LeaveMoving:      {"leave_moving", "running answers stay on engines that are to move"},
	StallProbe:       {"stall_probe", "an engine is not asked which requests stand still"},
	RepairMoves:      {"repair_moves", "a hall that lacks layers waits for empty engines"},
	OverdueRepair:    {"overdue_repair", "an answer that stands still waits until its engine is known to be lost"},
	SlowEngines:      {"slow_engines", "an engine that says that it is slow is used like any other"},
	PipeCaution:      {"pipe_caution", "a pipe between halls costs the time of one request"},
}

// String returns the name of the mechanism.
func (m Mechanism) String() string { return descriptions[m].name }

// Off describes the behaviour of a router without the mechanism.
func (m Mechanism) Off() string { return descriptions[m].off }

// Mechanisms returns all mechanisms in the order of their values.
func Mechanisms() []Mechanism {
	all := make([]Mechanism, mechanismCount)
	for i := range all {
		all[i] = Mechanism(i)
	}
	return all
}

// Policy is the set of mechanisms in force. The zero value includes all of them. It is
// immutable.
type Policy struct{ off uint64 }

// Has reports whether a mechanism is in force.
func (p Policy) Has(m Mechanism) bool { return p.off>>m&1 == 0 }

// With returns the policy with a mechanism switched on or off.
func (p Policy) With(m Mechanism, on bool) Policy {
	if on {
		return Policy{off: p.off &^ (1 << m)}
	}
	return Policy{off: p.off | 1<<m}
}

// String returns the mechanisms that are off as NAME=off, separated by commas.
func (p Policy) String() string {
	var off []string
	for _, m := range Mechanisms() {
		if !p.Has(m) {
			off = append(off, m.String()+"=off")
		}
	}
	return strings.Join(off, ",")
}

// PolicyError reports a switch with an unknown name or value, and lists the valid ones.
type PolicyError struct{ Name, Value string }

// Error implements error.
func (e PolicyError) Error() string {
	if slices.ContainsFunc(Mechanisms(), func(m Mechanism) bool { return m.String() == e.Name }) {
		return fmt.Sprintf("mechanism %s is %q; use on or off", e.Name, e.Value)
	}
	var names []string
	for _, m := range Mechanisms() {
		names = append(names, m.String())
	}
	return fmt.Sprintf("there is no mechanism %q; use one of %s", e.Name, strings.Join(names, ", "))
}

// Switched returns the policy with the named mechanism set to "on" or "off". The error is a
// PolicyError.
func (p Policy) Switched(name, value string) (Policy, error) {
	for _, m := range Mechanisms() {
		if m.String() == name && (value == "on" || value == "off") {
			return p.With(m, value == "on"), nil
		}
	}
	return p, PolicyError{Name: name, Value: value}
}

package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// boundCommand prints an upper bound on the capacity of any plan for a fleet, and the
// capacity of the plan that the router makes.
func (r *root) boundCommand() *ff.Command {
	flags := ff.NewFlagSet("bound").SetParent(r.flags)
	rate := flags.Float64Long("rate", 0, "answers a second that come, to say how many are in progress then")
	losses := flags.IntLong("losses", 3, "engines that are lost, each time the one whose loss costs most")
	return &ff.Command{
		Name:      "bound",
		Usage:     "spoolbank bound [--rate N] [--losses N] FILE",
		ShortHelp: "say what any plan for a fleet could hold at most, and what the plan holds",
		LongHelp:  "FILE is JSON: the cost model under \"engine\", times in nanoseconds, and the engines by hall and kind under \"halls\".\nSee cmd/spoolbank/cmd/testdata for examples.",
		Flags:     flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return &exitError{exitUsage, errors.New("name one file with a cost model and a fleet")}
			}
			f, err := readFleet(args[0])
			if err != nil {
				return &exitError{exitUsage, err}
			}
			if *rate < 0 || *losses < 0 {
				return &exitError{exitUsage, errors.New("--rate and --losses are at least 0")}
			}
			return r.bound(f, *rate, *losses)
		},
	}
}

// fleetFile holds a cost model, and the number of engines by hall and accelerator.
type fleetFile struct {
	Engine *relay.Engine             `json:"engine"`
	Halls  map[string]map[string]int `json:"halls"`
}

func readFleet(name string) (fleetFile, error) {
	var f fleetFile
	text, err := os.ReadFile(name)
	if err != nil {
		return f, err
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return f, fmt.Errorf("%s: %w", name, err)
	}
	if f.Engine == nil || f.Engine.Layers <= 0 {
		return f, fmt.Errorf("%s: there is no engine with layers; give them under \"engine\"", name)
	}
	if err := errors.Join(f.Engine.Faults(f.targets())...); err != nil {
		return f, fmt.Errorf("%s: %w", name, err)
	}
	return f, nil
}

// targets returns the engines of the fleet, without layers.
func (f fleetFile) targets() []relay.Target {
	var targets []relay.Target
	for _, hall := range slices.Sorted(maps.Keys(f.Halls)) {
		for _, kind := range slices.Sorted(maps.Keys(f.Halls[hall])) {
			for i := range f.Halls[hall][kind] {
				id := relay.TargetID(fmt.Sprintf("%s-%s-%d", hall, kind, i))
				targets = append(targets, relay.Target{ID: id, Hall: hall, Accelerator: kind})
			}
		}
	}
	return targets
}

func (r *root) bound(f fleetFile, rate float64, losses int) error {
	targets := f.targets()
	held := planned(f.Engine, targets)
	t := tabwriter.NewWriter(r.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\tanswers in progress\tanswers a second\ttime of one\tleast copies")
	for _, lost := range []int{0, losses} {
		most := f.Engine.UpperBoundAfterLosses(targets, lost)
		fmt.Fprintf(t, "at most, without %d\t%.0f\t%.0f by memory, %.0f by work\t\t\n", lost, most.Answers, most.RateByMemory, most.RateByWork)
		holds := f.Engine.CapacityAfterLosses(held, lost)
		fmt.Fprintf(t, "plan, without %d\t%.0f\t%.0f\t%s\t%d\n", lost, holds.Answers, holds.Rate, holds.Time.Round(10*time.Millisecond), holds.Copies)
	}
	if rate > 0 {
		needed, feasible := f.Engine.AnswersAtRate(held, rate)
		if !feasible {
			fmt.Fprintf(t, "at the rate\tnot borne\t%.0f\t\t\n", rate)
			return t.Flush()
		}
		took := time.Duration(needed / rate * float64(time.Second))
		fmt.Fprintf(t, "at the rate\t%.0f\t%.0f\t%s\t\n", needed, rate, took.Round(10*time.Millisecond))
	}
	return t.Flush()
}

// planned returns the targets with the layers that the plan assigns to them.
func planned(e *relay.Engine, targets []relay.Target) []relay.Target {
	held := slices.Clone(targets)
	for _, a := range relay.Plan(e, targets) {
		i := slices.IndexFunc(held, func(t relay.Target) bool { return t.ID == a.Target })
		held[i].Layers = a.Layers
	}
	return held
}

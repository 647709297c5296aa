package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v4"

	"github.com/spoolbank/spoolbank/internal/experiment"
)

// reportCommand compares the recorded runs of each policy with those of the default.
func reportCommand(stdout io.Writer) *ff.Command {
	flags := ff.NewFlagSet("report")
	results := flags.StringLong("results", "results.jsonl", "file of runs")
	plot := flags.StringLong("plot", "", "file to draw the intervals into, ending in .svg or .png")
	return &ff.Command{
		Name:      "report",
		Usage:     "spoolbench report [--results FILE] [--plot FILE]",
		ShortHelp: "print the paired differences of worth as a Markdown table",
		Flags:     flags,
		Exec: func(context.Context, []string) error {
			runs, tree, err := experiment.Read(*results)
			if err != nil {
				return err
			}
			comparisons := experiment.Compare(runs)
			fmt.Fprintf(stdout, "%d runs of tree %s.\n\n", len(runs), tree)
			if err := experiment.WriteTable(stdout, comparisons); err != nil {
				return err
			}
			if *plot == "" || len(comparisons) == 0 {
				return nil
			}
			return experiment.Plot(*plot, comparisons)
		},
	}
}

package cmd

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/spoolbank/spoolbank/internal/core"
)

// print writes a result, and returns an error if the command did not take effect.
func (r *root) print(c commandFlags, result core.Result) error {
	if c.json {
		encoder := json.NewEncoder(r.stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(result); err != nil {
			return err
		}
	}
	switch result.Kind {
	case core.ResultTable:
		return r.printTable(c, *result.Table)
	case core.ResultAccepted:
		r.printAccepted(c, result)
		return nil
	case core.ResultInvalid:
		return &exitError{exitUsage, errors.New(result.Message)}
	}
	return &exitError{exitRefused, fmt.Errorf("%s: %s", result.Kind, result.Message)}
}

func (r *root) printTable(c commandFlags, t core.Table) error {
	if c.json {
		return nil
	}
	w := tabwriter.NewWriter(r.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.Columns, "\t"))
	for _, row := range t.Rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

func (r *root) printAccepted(c commandFlags, result core.Result) {
	if c.json {
		return
	}
	if result.InForce {
		fmt.Fprintf(r.stdout, "accepted at revision %d, in force on %d VMs\n", result.Revision, result.VMs)
		return
	}
	fmt.Fprintf(r.stdout, "accepted at revision %d\n", result.Revision)
}

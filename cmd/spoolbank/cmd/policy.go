package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v4"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/internal/wire"
)

// policyCommand lists the mechanisms of the decision logic, or shows the policy of a VM.
func (r *root) policyCommand() *ff.Command {
	return &ff.Command{
		Name:      "policy",
		Usage:     "spoolbank policy list | spoolbank policy show VM|ADDRESS",
		ShortHelp: "name the mechanisms that can be switched off, and what a VM has in force",
		Flags:     ff.NewFlagSet("policy").SetParent(r.flags),
		Exec: func(ctx context.Context, args []string) error {
			switch {
			case len(args) == 1 && args[0] == "list":
				return r.listPolicy()
			case len(args) == 2 && args[0] == "show":
				return r.showPolicy(ctx, args[1])
			}
			return &exitError{exitUsage, errors.New("use `policy list`, or `policy show` with a VM or its address for peers")}
		},
	}
}

func (r *root) listPolicy() error {
	t := tabwriter.NewWriter(r.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "name\tdefault\twhat off means")
	for _, m := range relay.Mechanisms() {
		fmt.Fprintf(t, "%s\ton\t%s\n", m, m.Off())
	}
	return t.Flush()
}

// showPolicy prints the switches of a running VM that differ from the default.
func (r *root) showPolicy(ctx context.Context, vm string) error {
	text, err := r.fetchDump(ctx, vm)
	if err != nil {
		return err
	}
	var dump core.Dump
	if err := json.Unmarshal(text, &dump); err != nil {
		return &exitError{exitFailed, fmt.Errorf("dump of %s: %w", vm, err)}
	}
	if dump.Status.Policy == "" {
		fmt.Fprintln(r.stdout, "all mechanisms are on")
		return nil
	}
	fmt.Fprintln(r.stdout, dump.Status.Policy)
	return nil
}

// fetchDump fetches the state of a process as JSON.
func (r *root) fetchDump(ctx context.Context, vm string) ([]byte, error) {
	credentials, err := r.loadCredentials()
	if err != nil {
		return nil, err
	}
	address, err := r.resolveAddress(ctx, vm)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	conn, err := credentials.Dial(ctx, address)
	if err != nil {
		return nil, &exitError{exitFailed, err}
	}
	defer conn.Close()
	reply, err := wire.Dump(ctx, conn)
	if err != nil {
		return nil, &exitError{exitFailed, err}
	}
	return reply.JSON, nil
}

package cmd

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/wire"
	"github.com/spoolbank/spoolbank/query"
)

// commandFlags are the flags of the subcommands that send statements.
type commandFlags struct {
	operator string
	number   uint64
	expect   uint64
	wait     time.Duration
	json     bool
}

func (c *commandFlags) add(flags *ff.FlagSet) {
	flags.StringVar(&c.operator, 'o', "operator", "operator", "name of the operator who commands")
	flags.Uint64Var(&c.number, 'n', "number", 0, "number of the command, new for each; 0 takes one from the clock")
	flags.Uint64Var(&c.expect, 0, "expect", 0, "revision that the configuration must have; 0 is any")
	flags.DurationVar(&c.wait, 'w', "wait", 0, "wait so long for the change to be in force everywhere")
	flags.BoolVar(&c.json, 'j', "json", "print JSON")
}

func (c *commandFlags) request(text string) wire.OperateRequest {
	number := c.number
	if number == 0 {
		number = uint64(time.Now().UnixNano())
	}
	return wire.OperateRequest{
		Text: text, Operator: c.operator, Number: number,
		Expect: config.Revision(c.expect), WaitMillis: int(c.wait.Milliseconds()),
	}
}

// runCommand sends one statement.
func (r *root) runCommand() *ff.Command {
	var c commandFlags
	flags := ff.NewFlagSet("run").SetParent(r.flags)
	c.add(flags)
	return &ff.Command{
		Name:      "run",
		Usage:     "spoolbank run [FLAGS] STATEMENT",
		ShortHelp: "send one statement of the language, as in: spoolbank run show vms",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			return r.run(ctx, c, strings.Join(args, " "))
		},
	}
}

func (r *root) run(ctx context.Context, c commandFlags, text string) error {
	statement, err := query.Parse(text)
	if err != nil {
		return &exitError{exitUsage, fmt.Errorf("%w\n  %s", err, text)}
	}
	if statement.Show != nil && statement.Show.Local() {
		return r.showLocal(ctx, c, text)
	}
	result, err := r.operate(ctx, c.request(text))
	if err != nil {
		return err
	}
	return r.print(c, result)
}

// showLocal queries each entry VM for its own rows of a list and merges them.
func (r *root) showLocal(ctx context.Context, c commandFlags, text string) error {
	vms, err := r.operate(ctx, wire.OperateRequest{Text: "show vms where state != lost"})
	if err != nil {
		return err
	}
	credentials, err := r.loadCredentials()
	if err != nil {
		return err
	}
	merged := core.Result{Kind: core.ResultTable, Revision: vms.Revision}
	for _, row := range vms.Table.Rows {
		address := row[len(row)-1]
		reply, err := r.send(ctx, credentials, address, c.request(text))
		if err != nil {
			fmt.Fprintf(r.stderr, "spoolbank: %s did not answer: %v\n", row[0], err)
			continue
		}
		if reply.Result.Table == nil {
			return r.print(c, reply.Result)
		}
		if merged.Table == nil {
			merged.Table = reply.Result.Table
			continue
		}
		merged.Table.Rows = append(merged.Table.Rows, reply.Result.Table.Rows...)
	}
	if merged.Table == nil {
		return &exitError{exitFailed, errors.New("no entry VM answered; `spoolbank run show vms` lists them")}
	}
	return r.print(c, merged)
}

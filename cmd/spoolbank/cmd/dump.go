package cmd

import (
	"context"
	"errors"
	"fmt"

	"github.com/peterbourgon/ff/v4"

	"github.com/spoolbank/spoolbank/internal/wire"
)

// dumpCommand prints the whole state of one process.
func (r *root) dumpCommand() *ff.Command {
	return &ff.Command{
		Name:      "dump",
		Usage:     "spoolbank dump VM|ADDRESS",
		ShortHelp: "print the whole state of one process as JSON",
		Flags:     ff.NewFlagSet("dump").SetParent(r.flags),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return &exitError{exitUsage, errors.New("name one VM, or give its address for peers")}
			}
			return r.dump(ctx, args[0])
		},
	}
}

func (r *root) dump(ctx context.Context, vm string) error {
	text, err := r.fetchDump(ctx, vm)
	if err != nil {
		return err
	}
	fmt.Fprintln(r.stdout, string(text))
	return nil
}

// resolveAddress finds the address of a VM by its name. An address is returned as it is.
func (r *root) resolveAddress(ctx context.Context, vm string) (string, error) {
	if isAddress(vm) {
		return vm, nil
	}
	result, err := r.operate(ctx, wire.OperateRequest{Text: "show vms"})
	if err != nil {
		return "", err
	}
	for _, row := range result.Table.Rows {
		if row[0] == vm {
			return row[len(row)-1], nil
		}
	}
	return "", &exitError{exitUsage, fmt.Errorf("there is no entry VM %q; `spoolbank run show vms` lists them, a control VM is named by its address", vm)}
}

// Package cmd implements the command line of the experiment tool, with one file per command.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
)

// The exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// errUsage is wrapped by errors of the command line.
var errUsage = errors.New("usage")

// Main runs the tool and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	command := &ff.Command{
		Name:        "spoolbench",
		Usage:       "spoolbench SUBCOMMAND ...",
		ShortHelp:   "play days with mechanisms switched off, and compare",
		Subcommands: []*ff.Command{runCommand(stdout), reportCommand(stdout)},
		Exec: func(context.Context, []string) error {
			return fmt.Errorf("%w: no subcommand; use run or report", errUsage)
		},
	}
	err := command.ParseAndRun(ctx, args)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, ff.ErrHelp):
		fmt.Fprint(stdout, ffhelp.Command(command.GetSelected()))
		return exitOK
	}
	fmt.Fprintln(stderr, "spoolbench:", err)
	if errors.Is(err, errUsage) {
		return exitUsage
	}
	return exitFailed
}

// Package cmd implements the command line of the operators' tool, with one file
// per command.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"github.com/spoolbank/spoolbank/internal/wire"
)

// The exit codes.
const (
	exitOK = 0
	// exitFailed: a daemon could not be reached, or a file not be read or written.
	exitFailed = 1
	// exitUsage: the statement or the flags are wrong.
	exitUsage = 2
	// exitRefused: the command was decided on and did not take effect.
	exitRefused = 3
	// exitUnknown: it is not known whether the command took effect.
	exitUnknown = 4
)

// exitError carries an exit code.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// root holds the streams and flags that all commands share.
type root struct {
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
	flags  *ff.FlagSet

	peers       []string
	certificate string
	key         string
	authority   string
	plainText   bool
	timeout     time.Duration
}

// Main runs the tool and returns its exit code.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	r := newRoot(stdin, stdout, stderr)
	command := &ff.Command{
		Name:      "spoolbank",
		Usage:     "spoolbank [--peers ADDRESS ...] SUBCOMMAND ...",
		ShortHelp: "ask and command a spoolbank deployment",
		Flags:     r.flags,
		Subcommands: []*ff.Command{
			r.runCommand(), r.applyCommand(), r.dumpCommand(), r.logCommand(), r.keyCommand(), r.policyCommand(), r.boundCommand(), r.helpCommand(),
		},
		Exec: func(context.Context, []string) error {
			return &exitError{exitUsage, errors.New("no subcommand; `spoolbank help` shows examples")}
		},
	}
	return r.exitCode(command, command.ParseAndRun(context.Background(), args, ff.WithEnvVarPrefix("SPOOLBANK")))
}

func newRoot(stdin io.Reader, stdout, stderr io.Writer) *root {
	r := &root{stdin: stdin, stdout: stdout, stderr: stderr, flags: ff.NewFlagSet("spoolbank")}
	r.flags.StringListVar(&r.peers, 'p', "peers", "address for peers of a VM, as IP:PORT; may be repeated")
	r.flags.StringVar(&r.certificate, 0, "certificate", "", "PEM file of the operator's certificate")
	r.flags.StringVar(&r.key, 0, "key", "", "PEM file of its key")
	r.flags.StringVar(&r.authority, 0, "authority", "", "PEM file of the authority")
	r.flags.BoolVar(&r.plainText, 0, "plain-text", "go without TLS, where the daemons do")
	r.flags.DurationVar(&r.timeout, 0, "timeout", 15*time.Second, "how long to try")
	return r
}

func (r *root) exitCode(command *ff.Command, err error) int {
	var exit *exitError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, ff.ErrHelp):
		fmt.Fprint(r.stdout, ffhelp.Command(command.GetSelected()))
		return exitOK
	case errors.As(err, &exit):
		fmt.Fprintln(r.stderr, "spoolbank:", exit.err)
		return exit.code
	}
	fmt.Fprintln(r.stderr, "spoolbank:", err)
	return exitUsage
}

func (r *root) loadCredentials() (wire.Credentials, error) {
	if r.plainText {
		return wire.Credentials{}, nil
	}
	if r.certificate == "" {
		return wire.Credentials{}, &exitError{exitUsage, errors.New("no certificate; give --certificate, --key and --authority, or --plain-text")}
	}
	return wire.LoadCredentials(r.certificate, r.key, r.authority)
}

// Package cmd implements the command line of the daemon.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"github.com/spoolbank/spoolbank/settings"
)

// The exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// options are the daemon's flags.
type options struct {
	settings  string
	check     bool
	bootstrap bool
	platform  bool
	policy    string
}

// Main runs the daemon and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var o options
	flags := ff.NewFlagSet("spoolbankd")
	flags.StringVar(&o.settings, 's', "settings", "", "file of settings, JSON with comments")
	flags.BoolVar(&o.check, 0, "check", "check the settings, print every fault and exit")
	flags.BoolVar(&o.bootstrap, 0, "bootstrap", "make the empty data folder that of a new cluster and exit; done once, on one control VM")
	flags.BoolVar(&o.platform, 0, "platform", "run on the users' platform, with the settings that it gives")
	flags.StringVar(&o.policy, 0, "policy", "", "mechanisms to switch, as NAME=off or NAME=on separated by commas; `spoolbank policy list` names them")
	command := &ff.Command{
		Name:  "spoolbankd",
		Usage: "spoolbankd --settings FILE [--check | --bootstrap] | --platform [--policy NAME=off,...]",
		Flags: flags,
		Exec:  func(context.Context, []string) error { return run(o, stdout) },
	}
	err := command.ParseAndRun(context.Background(), args)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, ff.ErrHelp):
		fmt.Fprint(stdout, ffhelp.Command(command))
		return exitOK
	}
	return report(stderr, o, err)
}

func report(stderr io.Writer, o options, err error) int {
	var faults settings.Faults
	if errors.As(err, &faults) {
		for _, f := range faults {
			fmt.Fprintf(stderr, "%s:%s\n", o.settings, f.Error())
		}
		return exitUsage
	}
	fmt.Fprintln(stderr, "spoolbankd:", err)
	return exitFailed
}

func run(o options, stdout io.Writer) error {
	policy, err := settings.ParsePolicy(o.policy)
	if err != nil {
		return err
	}
	if o.platform {
		return servePlatform(stdout, policy)
	}
	if o.settings == "" {
		return errors.New("no settings; name a file with --settings")
	}
	s, err := settings.Load(o.settings)
	if err != nil {
		return err
	}
	s.Policy = s.Policy.Merge(policy)
	switch {
	case o.check:
		fmt.Fprintf(stdout, "%s: the settings of %s are in order\n", o.settings, s.Name)
		return nil
	case o.bootstrap:
		return bootstrap(s, stdout)
	}
	return serve(s)
}

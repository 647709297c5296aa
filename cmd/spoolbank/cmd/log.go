package cmd

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/spoolbank/spoolbank/internal/logreport"
)

// logCommand summarises the structured logs of VMs.
func (r *root) logCommand() *ff.Command {
	var b logreport.Bounds
	flags := ff.NewFlagSet("log").SetParent(r.flags)
	flags.DurationVar(&b.MaxFirstEvent, 0, "first", 500*time.Millisecond, "a first event after this is late")
	flags.DurationVar(&b.MaxPause, 0, "pause", 200*time.Millisecond, "a pause over this makes an answer late")
	flags.DurationVar(&b.Interval, 0, "every", 2*time.Second, "the length of a row")
	return &ff.Command{
		Name:      "log",
		Usage:     "spoolbank log [--first TIME] [--pause TIME] [--every TIME] [FILE ...]",
		ShortHelp: "sum up logs of entry VMs: what became of requests, when, why and where",
		Flags:     flags,
		Exec: func(_ context.Context, files []string) error {
			if b.Interval <= 0 {
				return &exitError{exitUsage, errors.New("--every is not above 0; give a time such as 2s")}
			}
			return r.log(b, files)
		},
	}
}

// log reports on the named files, or on standard input if none is named.
func (r *root) log(b logreport.Bounds, files []string) error {
	report := logreport.New(b)
	if len(files) == 0 {
		return r.report(report, r.stdin)
	}
	var opened []io.Reader
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return &exitError{exitUsage, err}
		}
		defer file.Close()
		opened = append(opened, file)
	}
	return r.report(report, opened...)
}

func (r *root) report(report *logreport.Report, logs ...io.Reader) error {
	for _, log := range logs {
		if err := report.Read(log); err != nil {
			return &exitError{exitFailed, err}
		}
	}
	return report.Write(r.stdout)
}

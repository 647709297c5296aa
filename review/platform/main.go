// Command standin plays a small deployment of spoolbank's users on loopback: it starts the
// project's processes with the commands of the deploy file, and stands in for the platform, the
// operator, the runners and the clients. Each scenario checks one rule and records what was
// sent, answered and run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit statuses that the review asks for.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken is returned by a scenario in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// scenario is one case of the review.
type scenario struct {
	// run plays the scenario, with or without its disruption.
	run func(d *deployment, trouble bool) error
}

var scenarios = map[string]scenario{
	"endless-answer": {run: playEndlessAnswer},
	"first-start":    {run: playFirstStart},
	"sign-off":       {run: playSignOff},
}

func main() {
	name := flag.String("scenario", "", "the scenario to play")
	daemon := flag.String("daemon", "target/spoolbankd", "the daemon, as built by the deploy file")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption takes place")
	logs := flag.String("logs", "", "a folder for the logs of the processes; temporary if empty")
	flag.Parse()
	os.Exit(play(*name, *daemon, *record, *logs, *trouble))
}

// play plays a scenario and returns the exit status.
func play(name, daemon, recordFile, logs string, trouble bool) int {
	s, ok := scenarios[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no scenario %q\n", name)
		return exitNotRun
	}
	r, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	d, err := newDeployment(daemon, logs, r)
	if err != nil {
		r.printf("the case could not run: %v", err)
		return exitNotRun
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	ended := make(chan error, 1)
	go func() { ended <- s.run(d, trouble) }()
	select {
	case err = <-ended:
	case <-interrupted:
		err = errors.New("interrupted")
	}
	d.stop()
	switch {
	case err == nil:
		r.printf("result: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		r.printf("result: %v", err)
		return exitBroken
	}
	r.printf("the case could not run: %v", err)
	return exitNotRun
}

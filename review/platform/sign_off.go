package main

import (
	"fmt"
	"net"
	"syscall"
	"time"
)

// This scenario has runners sign off without having reported that they are draining, each at a
// control process on a machine without a disk, which is killed as soon as it has acknowledged that.

const (
	signOffClients = 30
	signOffLength  = 50 * time.Second
	signOffFrom    = 6 * time.Second
	signOffEvery   = 12 * time.Second
	// signOffAfter is how long after an acknowledged heartbeat a runner signs off: within the time
	// to the next one.
	signOffAfter = 550 * time.Millisecond
	// serveAfter is how long a runner serves after its sign-off was acknowledged.
	serveAfter = 6 * time.Second
	// drain is DrainMs, and drainSlack the error of this scenario's own times.
	drain      = 2 * time.Second
	drainSlack = 50 * time.Millisecond
)

func playSignOff(d *deployment, trouble bool) error {
	if _, err := smallDeployment(d); err != nil {
		return err
	}
	began := time.Now()
	seen, wait := startClients(d, signOffClients, began.Add(signOffLength), 50*time.Millisecond)
	var signedOff []signedOffRunner
	for i, m := range d.machines[len(zones):] {
		x, err := d.startRunner(10+i, "portal", m)
		if err != nil {
			return err
		}
		time.Sleep(time.Until(began.Add(signOffFrom + time.Duration(i)*signOffEvery)))
		x.awaitHeartbeat()
		time.Sleep(signOffAfter)
		at, err := x.signOffAt(d, m, trouble)
		if err != nil {
			return err
		}
		time.Sleep(serveAfter)
		x.server.Close()
		d.record.say("runner %s ends", x.id)
		signedOff = append(signedOff, signedOffRunner{runner: x, killed: m, at: at})
	}
	wait()
	late := countLate(d, signedOff, seen.list())
	d.record.say("%d requests reached runners later than %s after the acknowledged sign-off", late, drain)
	if late > 0 {
		return fmt.Errorf("%w: %d requests", errBroken, late)
	}
	return nil
}

// awaitHeartbeat waits until a heartbeat of the runner has just been acknowledged.
func (x *runner) awaitHeartbeat() {
	began := time.Now()
	for time.Since(began) < 3*heartbeat {
		x.mu.Lock()
		acked := x.ackedAt.After(began)
		x.mu.Unlock()
		if acked {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// signOffAt signs a runner off at a machine, and returns when that was acknowledged.
func (x *runner) signOffAt(d *deployment, m *machine, trouble bool) (time.Time, error) {
	var at time.Time
	err := x.signOff(m, func() {
		if trouble {
			m.control.signal(syscall.SIGKILL)
		}
		at = time.Now()
	})
	if err != nil {
		return at, err
	}
	d.record.say("runner %s has signed off at %s; control process killed: %v", x.id, m.name, trouble)
	return at, nil
}

// signedOffRunner is a runner whose sign-off was acknowledged.
type signedOffRunner struct {
	*runner
	// killed is the machine that acknowledged it.
	killed *machine
	at     time.Time
}

// countLate counts the requests that reached runners too late, by way of machines without any
// disruption.
func countLate(d *deployment, signedOff []signedOffRunner, all []outcome) int {
	entries := make(map[string]string)
	for _, o := range all {
		entries[o.id] = o.entry
	}
	late := 0
	for _, x := range signedOff {
		x.mu.Lock()
		for _, a := range x.arrivals {
			host, _, err := net.SplitHostPort(entries[a.id])
			after := a.at.Sub(x.at)
			if err != nil || host == x.killed.ip || after <= drain+drainSlack {
				continue
			}
			late++
			d.record.printf("late: %s reached runner %s by way of %s %d ms after its acknowledged sign-off", a.id, x.id, host, after.Milliseconds())
		}
		x.mu.Unlock()
	}
	return late
}

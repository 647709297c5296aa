package main

import (
	"fmt"
	"time"
)

// This scenario has one of the three machines with a disk lose power at the first start of the
// system, and another one lose its disk right after the first configuration is acknowledged. All
// machines are back a few seconds later.

const (
	// firstStartGap is how long after the first seed the other machines start.
	firstStartGap = 250 * time.Millisecond
	// firstStartRuns is how long the machine runs before it loses power, and firstStartDown how
	// long it is without it.
	firstStartRuns = 200 * time.Millisecond
	firstStartDown = 6 * time.Second
	// finalDown is how long the machine that loses its disk is without power.
	finalDown = time.Second
	// recovery is RecoveryS, and readBack is how long the operator reads back after it.
	recovery = 12 * time.Second
	readBack = 20 * time.Second
)

func playFirstStart(d *deployment, trouble bool) error {
	if err := d.start(d.machines[:1]); err != nil {
		return err
	}
	time.Sleep(firstStartGap)
	if err := d.start(d.machines[1:]); err != nil {
		return err
	}
	if trouble {
		time.Sleep(firstStartRuns)
		d.machines[1].powerOff(d, firstStartDown, false)
	}
	time.Sleep(time.Second)
	if err := d.endBootstrap(); err != nil {
		return err
	}
	began := time.Now()
	if err := d.put(smallConfig(), 40*time.Second); err != nil {
		return err
	}
	if trouble {
		d.machines[0].powerOff(d, finalDown, true)
	}
	time.Sleep(time.Until(began.Add(firstStartDown)))
	d.record.say("operator: reads back; all machines have power")
	version, err := d.get(recovery + readBack)
	if err != nil {
		return fmt.Errorf("%w: version %d was acknowledged; %w", errBroken, d.version, err)
	}
	if version < d.version {
		return fmt.Errorf("%w: version %d was acknowledged, and version %d is held", errBroken, d.version, version)
	}
	return nil
}

package daemon

import (
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/settings"
)

// post queues an event for the loop. It blocks while the queue is full, which applies
// backpressure to the sources of events.
func (d *Daemon) post(event core.Event) {
	select {
	case d.events <- event:
	case <-d.tomb.Dying():
	}
}

// loop steps the Node. No other goroutine accesses the Node.
func (d *Daemon) loop() error {
	for {
		select {
		case event := <-d.events:
			d.step(event)
		case f := <-d.inspect:
			f(d.node)
		case <-d.tomb.Dying():
			return nil
		}
	}
}

func (d *Daemon) step(event core.Event) {
	start := time.Now()
	effects := d.node.Step(clock.SampleNow(), event)
	d.metrics.recordStep(event, time.Since(start))
	for _, effect := range effects {
		d.execute(effect)
	}
}

func (d *Daemon) tickLoop() error {
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	steps := clock.NewStepMeter(time.Now())
	for {
		select {
		case <-timer.C:
			timer.Reset(d.nextTick())
			now := time.Now()
			if step := steps.Check(now); step != 0 {
				d.recordClockStep(step)
			}
			d.peers.checkLinks(now)
			d.post(core.Tick{})
		case <-d.tomb.Dying():
			return nil
		}
	}
}

// recordClockStep counts and logs that the time of day of this VM was set.
func (d *Daemon) recordClockStep(step time.Duration) {
	d.metrics.clockStepped()
	d.log.Info("time of day was set", "step_ms", step.Milliseconds())
}

// upkeepLoop maintains the data buffered for callers, and the idle connections for calls, if there is no
// gateway.
func (d *Daemon) upkeepLoop() error {
	ticker := time.NewTicker(upkeepInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			d.outbox.upkeep(now)
			d.client.CloseExpired(clock.SampleNow())
		case <-d.tomb.Dying():
			return nil
		}
	}
}

// nextTick returns the delay until the next tick.
func (d *Daemon) nextTick() time.Duration {
	entryOnly := d.gateway != nil && !d.settings.HasRole(settings.RoleControl)
	if entryOnly && d.gateway.Ready() {
		return leasedTickInterval
	}
	return tickInterval
}

// inspectNode runs f on the Node between two events and waits for it. It returns false if the
// daemon ends first.
func (d *Daemon) inspectNode(f func(*core.Node)) bool {
	done := make(chan struct{})
	run := func(n *core.Node) {
		f(n)
		close(done)
	}
	select {
	case d.inspect <- run:
		<-done
		return true
	case <-d.tomb.Dying():
		return false
	}
}

// diskLoop writes what the Node orders to be persisted. It writes all queued effects
// before it syncs, so that a burst of records costs one sync.
func (d *Daemon) diskLoop() error {
	for {
		select {
		case effect := <-d.disk:
			if err := d.writeBatch(effect); err != nil {
				d.log.Error(err, "failed to persist the control state; the process ends")
				return err
			}
		case <-d.tomb.Dying():
			return nil
		}
	}
}

func (d *Daemon) writeBatch(effect core.Effect) error {
	var sequence uint64
	for {
		persisted, err := d.write(effect)
		if err != nil {
			return err
		}
		sequence = max(sequence, persisted)
		select {
		case effect = <-d.disk:
			continue
		default:
		}
		break
	}
	if err := d.folder.sync(); err != nil {
		return err
	}
	d.post(core.Persisted{Sequence: sequence})
	return nil
}

func (d *Daemon) write(effect core.Effect) (uint64, error) {
	switch e := effect.(type) {
	case core.Persist:
		return e.Sequence, d.folder.append(e)
	case core.SaveSnapshot:
		return e.Sequence, d.folder.saveSnapshot(e)
	case core.Joined:
		d.folder.identity.Cluster = e.Cluster
		return 0, d.folder.writeIdentity()
	}
	return 0, nil
}

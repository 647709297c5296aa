package daemon

import (
	"github.com/spoolbank/spoolbank/internal/core"
)

// execute dispatches an effect. It never waits for the network: operations that can take
// long run in a goroutine and return their result as an event.
func (d *Daemon) execute(effect core.Effect) {
	switch e := effect.(type) {
	case core.Send:
		d.peers.send(e.Envelope)
	case core.PeerFound:
		d.peers.setAddress(e.VM, e.Address)
	case core.Persist, core.SaveSnapshot, core.Joined:
		d.enqueueDisk(e)
	case core.SaveTargets:
		d.hints.put(e.Targets)
	case core.Answer:
		d.answer(e)
	case core.Entries:
		if d.gateway != nil {
			deliverReply(d, e.Conn, e)
			return
		}
		d.callers.deliver(e)
	case core.Emit, core.Refuse, core.Finish:
		d.callers.deliver(e)
	case core.Run:
		go func() { d.post(d.client.Run(d.context, e)) }()
	case core.Rebuild:
		go func() { d.post(d.client.Rebuild(d.context, e)) }()
	case core.Release:
		go d.client.Release(d.context, e)
	case core.Dispatch:
		d.dispatch(e)
	case core.Watch:
		go func() { d.post(d.client.Watch(d.context, e)) }()
	case core.Order:
		go func() { d.post(d.client.Order(d.context, e)) }()
	case core.ListPlatform:
		go d.listPlatform()
	case core.DocumentAnswer:
		deliverReply(d, e.Conn, e)
	case core.TargetReportReply:
		deliverReply(d, e.Conn, e)
	case core.ConfigStatus:
		if d.gateway != nil {
			d.gateway.execute(e)
		}
	case core.DocumentInForce, core.TargetsLearned, core.TargetsEnded, core.FleetLearned, core.PermitsGranted, core.QuarantineInForce, core.BackoffsEnded, core.OrderLayers:
		d.gateway.execute(e)
	case core.Note:
		d.log.Info(e.Text, "subject", e.Subject)
	case core.Stopped:
		d.finishStop()
	}
}

// finishStop ends the process, unless its gateway serves callers and ends it after them.
func (d *Daemon) finishStop() {
	if d.gateway != nil && d.gateway.callerServer != nil {
		return
	}
	d.log.Info("planned stop is complete")
	d.tomb.Kill(errStopped)
}

// acknowledgeVolatile reports state as persisted on a control VM without a disk. Such a VM never
// has a vote, and its state can't become more durable. It posts from a goroutine because the
// loop must not block on its own queue.
func (d *Daemon) acknowledgeVolatile(effect core.Effect) {
	switch e := effect.(type) {
	case core.Persist:
		go d.post(core.Persisted{Sequence: e.Sequence})
	case core.SaveSnapshot:
		go d.post(core.Persisted{Sequence: e.Sequence})
	}
}

func (d *Daemon) enqueueDisk(effect core.Effect) {
	if d.folder == nil {
		d.acknowledgeVolatile(effect)
		return
	}
	select {
	case d.disk <- effect:
	case <-d.tomb.Dying():
	}
}

func (d *Daemon) listPlatform() {
	if d.settings.Platform == "" {
		return
	}
	listed, err := d.client.Platform(d.context, d.settings.Platform)
	if err != nil {
		d.log.V(1).Info("failed to get the list of the platform", "error", err.Error())
		return
	}
	d.post(listed)
}

func (d *Daemon) dispatch(e core.Dispatch) {
	call, ok := d.callers.call(e.Conn)
	if !ok {
		go d.post(core.DispatchEnded{Conn: e.Conn, ID: e.ID, Target: e.Target, Result: core.ResultRefused})
		return
	}
	go func() { d.post(d.client.Dispatch(d.context, e, call)) }()
}

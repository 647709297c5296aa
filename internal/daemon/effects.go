package daemon

import (
	"github.com/spoolbank/spoolbank/internal/core"
)

// carryOut hands an effect to whoever carries it out. It never waits for a
// network: what can take long runs beside the loop and comes back as an event.
func (d *Daemon) carryOut(effect core.Effect) {
	switch e := effect.(type) {
	case core.Send:
		d.peers.send(e.Envelope)
	case core.PeerFound:
		d.peers.learn(e.VM, e.Address)
	case core.Persist, core.SaveSnapshot, core.Joined:
		d.toDisk(e)
	case core.SaveTargets:
		d.hints.put(e.Targets)
	case core.Answer:
		d.answer(e)
	case core.Entries:
		if d.gateway != nil {
			reply(d, e.Conn, e)
			return
		}
		d.callers.give(e)
	case core.Emit, core.Refuse, core.Finish:
		d.callers.give(e)
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
		reply(d, e.Conn, e)
	case core.TargetHeard:
		reply(d, e.Conn, e)
	case core.DocumentInForce, core.TargetsLearned, core.TargetsEnded, core.FleetLearned, core.PermitsLent, core.QuarantineInForce, core.BackoffsEnded, core.OrderLayers:
		d.gateway.carryOut(e)
	case core.Note:
		d.log.Info(e.Text, "subject", e.Subject)
	case core.Stopped:
		d.finishStop()
	}
}

// finishStop ends the process, unless its gateway has callers to see through.
func (d *Daemon) finishStop() {
	if d.gateway != nil && d.gateway.front != nil {
		return
	}
	d.log.Info("planned stop is complete")
	d.tomb.Kill(errStopped)
}

// keepInMemory answers for a control VM without a disk, which never has a vote: what
// it has is as durable as it will be. The loop must not wait for itself.
func (d *Daemon) keepInMemory(effect core.Effect) {
	switch e := effect.(type) {
	case core.Persist:
		go d.post(core.Persisted{Sequence: e.Sequence})
	case core.SaveSnapshot:
		go d.post(core.Persisted{Sequence: e.Sequence})
	}
}

func (d *Daemon) toDisk(effect core.Effect) {
	if d.folder == nil {
		d.keepInMemory(effect)
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
		d.log.V(1).Info("platform list can't be had", "error", err.Error())
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

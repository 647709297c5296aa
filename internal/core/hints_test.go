package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

func controlNode(hints []relay.Target, now time.Time) *core.Node {
	return controlNodeWith(core.DefaultTiming(), hints, now)
}

func controlNodeWith(timing core.Timing, hints []relay.Target, now time.Time) *core.Node {
	self := core.ReplicaID{VM: "c1", Incarnation: 1}
	return core.New(core.Settings{
		Self: self, Cluster: "c", Control: true, ControlVMs: []core.VMName{"c1"}, Voters: 1, SnapshotEvery: 100,
		Timing: timing, Seed: 3,
		DecodeDocument: func([]byte) (*relay.Document, error) { return &relay.Document{Version: 1}, nil },
	}, core.Recovered{Snapshot: core.Snapshot{Index: 1, Term: 1, Members: core.NewMembership(self)}, Targets: hints}, now)
}

// follow returns the targets that a new follower receives at once.
func follow(n *core.Node, now time.Time) []relay.Target {
	for _, effect := range n.Step(now, core.Received{Envelope: core.Envelope{
		Cluster: "c", From: core.ReplicaID{VM: "e1", Incarnation: core.Incarnation(now.UnixNano())}, To: "c1", Body: core.Message{Follow: &core.Follow{}},
	}}) {
		if send, ok := effect.(core.Send); ok && send.Envelope.Body.TargetNews != nil {
			return send.Envelope.Body.TargetNews.Targets
		}
	}
	return nil
}

// Regression: after a power loss of all VMs, 247 callers were refused because the targets hadn't
// reported again when the first leases were granted.
func TestHintsServeUntilTargetsReport(t *testing.T) {
	now := time.Unix(100, 0)
	hint := relay.Target{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Call: 7}
	n := controlNode([]relay.Target{hint}, now)
	require.Equal(t, []relay.Target{hint}, follow(n, now))
}

// Regression: after all VMs were killed, the entry VMs asked before the control VMs were
// listening and again only after 1.5 s: they had a lease for a second and knew no target.
func TestFirstFollowIsRetriedSoon(t *testing.T) {
	now := time.Unix(100, 0)
	n := core.New(core.Settings{
		Self: core.ReplicaID{VM: "e1", Incarnation: 1}, Cluster: "c", Entry: true, ControlVMs: []core.VMName{"c1", "c2", "c3"},
		Timing: core.DefaultTiming(), Seed: 3,
		DecodeDocument: func([]byte) (*relay.Document, error) { return &relay.Document{Version: 1}, nil },
	}, core.Recovered{}, now)
	var asked core.VMName
	renewal := uint64(0)
	asks := func(until time.Time) (asks int) {
		for ; now.Before(until); now = now.Add(20 * time.Millisecond) {
			for _, effect := range n.Step(now, core.Tick{}) {
				send, ok := effect.(core.Send)
				if !ok {
					continue
				}
				if r := send.Envelope.Body.Renew; r != nil {
					asked, renewal = send.Envelope.To, r.Number
				}
				if f := send.Envelope.Body.Follow; f != nil && f.After == 0 {
					require.Equal(t, asked, send.Envelope.To, "an entry VM follows the control VM that it renews with")
					asks++
				}
			}
		}
		return asks
	}
	require.GreaterOrEqual(t, asks(now.Add(280*time.Millisecond)), 2)
	n.Step(now, from(asked, core.Message{TargetNews: &core.RegistryUpdate{Incarnation: 1, Through: 1, Complete: true}}))
	for range 10 {
		n.Step(now, from(asked, core.Message{Grant: &core.Grant{To: 1, Term: 1, Number: renewal}}))
		require.Zero(t, asks(now.Add(200*time.Millisecond)))
	}
}

// After all control VMs were killed, a live target may take as long as its usual silence to
// find one. With half of that, engines with requests in flight counted as dead.
func TestHintsAreValidForUsualSilence(t *testing.T) {
	now := time.Unix(100, 0)
	n := controlNode([]relay.Target{{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Call: 7}}, now)
	end := now.Add(2900 * time.Millisecond)
	for ; now.Before(end); now = now.Add(20 * time.Millisecond) {
		tick(n, now)
	}
	require.Empty(t, grantTo(t, n, now).Marks)
	for end = now.Add(300 * time.Millisecond); now.Before(end); now = now.Add(20 * time.Millisecond) {
		tick(n, now)
	}
	require.Len(t, grantTo(t, n, now).Marks, 1)
}

// Regression: after all VMs were killed, 59 calls went to engines that had died 10 s earlier:
// the hints contained them next to their successors at the same address.
func TestHintsContainOnlyLiveTargets(t *testing.T) {
	n := controlNode(nil, time.Unix(100, 0))
	now := lead(n, time.Unix(100, 0))
	n.Step(now, core.TargetSpoke{Conn: 1, Target: relay.Target{ID: "i-1", Address: "a", Call: 1}})
	var saved []relay.TargetID
	take := func(effects []core.Effect) {
		settle(n, now, effects)
		for _, effect := range effects {
			if s, ok := effect.(core.SaveTargets); ok {
				saved = nil
				for _, target := range s.Targets {
					saved = append(saved, target.ID)
				}
			}
		}
	}
	for call := uint64(1); call <= 500; call++ {
		now = now.Add(20 * time.Millisecond)
		take(n.Step(now, core.TargetSpoke{Conn: 1, Target: relay.Target{ID: "i-2", Address: "a", Call: call}}))
		take(n.Step(now, core.Tick{}))
	}
	require.Equal(t, []relay.TargetID{"i-2"}, saved)
}

// Regression: a restarted control VM reported an engine that had died 16 s earlier: the others
// had sent it with their full state, as if it had just reported.
func TestNewFollowerReceivesOnlyLiveTargets(t *testing.T) {
	n := controlNode(nil, time.Unix(100, 0))
	now := lead(n, time.Unix(100, 0))
	n.Step(now, core.TargetSpoke{Conn: 1, Target: relay.Target{ID: "i-1", Address: "a", Call: 1}})
	require.Len(t, follow(n, now), 1)
	for end := now.Add(4 * time.Second); now.Before(end); now = now.Add(20 * time.Millisecond) {
		tick(n, now)
	}
	require.Empty(t, follow(n, now))
}

// grantTo renews the lease of an entry VM with a leader and returns the grant.
func grantTo(t *testing.T, n *core.Node, now time.Time) core.Grant {
	t.Helper()
	for _, effect := range n.Step(now, from("e1", core.Message{Renew: &core.Renew{Number: 1}})) {
		if send, ok := effect.(core.Send); ok && send.Envelope.Body.Grant != nil {
			return *send.Envelope.Body.Grant
		}
	}
	require.Fail(t, "no lease granted")
	return core.Grant{}
}

// lead makes a sole control VM the leader. Its disk writes take no time.
func lead(n *core.Node, now time.Time) time.Time {
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		tick(n, now)
	}
	return now
}

// tick advances time for a control VM whose disk writes take no time.
func tick(n *core.Node, now time.Time) { settle(n, now, n.Step(now, core.Tick{})) }

// settle completes the disk writes of effects, and those that follow from them.
func settle(n *core.Node, now time.Time, effects []core.Effect) {
	synced := lastPersist(effects)
	for synced > 0 {
		synced = lastPersist(n.Step(now, core.Persisted{Sequence: synced}))
	}
}

func lastPersist(effects []core.Effect) uint64 {
	last := uint64(0)
	for _, effect := range effects {
		if p, ok := effect.(core.Persist); ok {
			last = p.Sequence
		}
	}
	return last
}

func TestLeavingTargetIsSavedAtOnce(t *testing.T) {
	n := controlNode(nil, time.Unix(100, 0))
	now := lead(n, time.Unix(100, 0))
	saved := func(target relay.Target) int {
		count := 0
		for _, effect := range n.Step(now, core.TargetSpoke{Conn: 1, Target: target}) {
			if _, ok := effect.(core.SaveTargets); ok {
				count++
			}
		}
		return count
	}
	require.Equal(t, 1, saved(relay.Target{ID: "i-1", Address: "a", Call: 1}))
	require.Zero(t, saved(relay.Target{ID: "i-2", Address: "b", Call: 1}))
	require.Equal(t, 1, saved(relay.Target{ID: "i-2", Address: "b", Call: 2, Leaving: true}))
}

// Regression: with 300 VMs and 3,000 targets, one push per report filled the memory of control
// VMs.
func TestReportsOfOneTickArePushedTogether(t *testing.T) {
	n := controlNode(nil, time.Unix(100, 0))
	now := lead(n, time.Unix(100, 0))
	follow(n, now)
	pushed := func(effects []core.Effect) (messages, targets int) {
		for _, effect := range effects {
			if send, ok := effect.(core.Send); ok && send.Envelope.To == "e1" && send.Envelope.Body.TargetNews != nil {
				messages++
				targets += len(send.Envelope.Body.TargetNews.Targets)
			}
		}
		return messages, targets
	}
	for _, id := range []relay.TargetID{"i-1", "i-2", "i-3"} {
		messages, _ := pushed(n.Step(now, core.TargetSpoke{Conn: 1, Target: relay.Target{ID: id, Address: string(id), Call: 1}}))
		require.Zero(t, messages)
	}
	messages, targets := pushed(n.Step(now.Add(20*time.Millisecond), core.Tick{}))
	require.Equal(t, 1, messages)
	require.Equal(t, 3, targets)
}

// Regression: after all VMs were killed, a new leader moved engines that were serving: it had
// received the reports of only some engines, and counted the layers of all others as lost.
func TestNoOrdersUntilAllTargetsHaveReported(t *testing.T) {
	engine := &relay.Engine{
		Slots: 10, Layers: 10, LayerBytes: 1e9, TokenBytes: 1e6, UsualPrompt: 10, UsualAnswer: 10, Load: time.Second, LoadsAtOnce: 1,
		Accelerators: []relay.Accelerator{{Name: "k", Bytes: 30e9, StepFactor: 1, ReadFactor: 1}},
	}
	document := &relay.Document{Version: 1, Services: []relay.Service{{Name: "s", Engine: engine}}}
	self := core.ReplicaID{VM: "c1", Incarnation: 1}
	start := time.Unix(100, 0)
	now := start
	n := core.New(core.Settings{
		Self: self, Cluster: "c", Control: true, ControlVMs: []core.VMName{"c1"}, Voters: 1, SnapshotEvery: 100,
		Timing: core.DefaultTiming(), Seed: 4,
		DecodeDocument: func([]byte) (*relay.Document, error) { return document, nil },
	}, core.Recovered{Snapshot: core.Snapshot{Index: 1, Term: 1, Members: core.NewMembership(self), Machine: core.StateMachine{Config: config.State{Document: config.Document{Version: 1, Source: []byte("x")}}}}}, now)
	born := now
	var ordered time.Time
	for call := uint64(1); ordered.IsZero() && call < 500; call++ {
		now = now.Add(20 * time.Millisecond)
		for i, layers := range []config.Range{{First: 0, Last: 5}, {First: 0, Last: 5}} {
			received := relay.Target{ID: relay.TargetID([]string{"e1", "e2"}[i]), Service: "s", Hall: "a", Accelerator: "k", Address: []string{"a", "b"}[i], Call: call, Layers: layers}
			n.Step(now, core.TargetSpoke{Conn: 1, Target: received})
		}
		effects := n.Step(now, core.Tick{})
		settle(n, now, effects)
		for _, effect := range effects {
			if _, ok := effect.(core.OrderLayers); ok {
				ordered = now
			}
		}
	}
	require.False(t, ordered.IsZero(), "the missing layers are ordered eventually")
	require.GreaterOrEqual(t, ordered.Sub(born), 3*time.Second)
}

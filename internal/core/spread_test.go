package core_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/internal/wire"
)

// from returns a message of another VM to c1.
func from(vm core.VMName, body core.Message) core.Received {
	return core.Received{Envelope: core.Envelope{Cluster: "c", From: core.ReplicaID{VM: vm, Incarnation: 1}, To: "c1", Body: body}}
}

// updatedTargets returns the targets in the effects' updates to a VM.
func updatedTargets(effects []core.Effect, vm core.VMName) []relay.Target {
	var targets []relay.Target
	for _, effect := range effects {
		if send, ok := effect.(core.Send); ok && send.Envelope.To == vm && send.Envelope.Body.TargetNews != nil {
			targets = append(targets, send.Envelope.Body.TargetNews.Targets...)
		}
	}
	return targets
}

// nextPush advances time past one push.
func nextPush(n *core.Node, now time.Time) []core.Effect {
	return n.Step(now.Add(100*time.Millisecond), core.Tick{})
}

// Regression: with 300 VMs, each of 18 control VMs forwarded each report to all others: 1.9 GB
// at the start.
func TestControlVMsForwardOnlyOwnReports(t *testing.T) {
	n := controlNode(nil, time.Unix(100, 0))
	now := lead(n, time.Unix(100, 0))
	n.Step(now, from("c3", core.Message{Follow: &core.Follow{OwnOnly: true, Heartbeats: true}}))
	n.Step(now, from("e1", core.Message{Follow: &core.Follow{}}))
	second := relay.Target{ID: "i-2", Address: "b", Call: 3}
	n.Step(now, from("c2", core.Message{TargetNews: &core.RegistryUpdate{Incarnation: 9, Through: 1, Targets: []relay.Target{second}}}))
	own := relay.Target{ID: "i-1", Address: "a", Call: 1}
	n.Step(now, core.TargetSpoke{Conn: 1, Target: own})
	pushed := nextPush(n, now)
	require.Equal(t, []relay.Target{own}, updatedTargets(pushed, "c3"), "c2 sends it the other target")
	require.Equal(t, []relay.Target{own, second}, updatedTargets(pushed, "e1"), "it follows only this control VM")

	whole := updatedTargets(n.Step(now, from("e2", core.Message{Follow: &core.Follow{}})), "e2")
	require.Equal(t, []relay.Target{own, second}, whole, "a follower without state receives everything")
}

func TestReportIsForwardedAgainByNewControlVM(t *testing.T) {
	n := controlNode(nil, time.Unix(100, 0))
	now := lead(n, time.Unix(100, 0))
	n.Step(now, from("e1", core.Message{Follow: &core.Follow{OwnOnly: true}}))
	leaving := relay.Target{ID: "i-2", Address: "b", Call: 3, Leaving: true}
	n.Step(now, from("c2", core.Message{TargetNews: &core.RegistryUpdate{Incarnation: 9, Through: 1, Targets: []relay.Target{leaving}}}))
	again := leaving
	again.Call = 4
	n.Step(now, core.TargetSpoke{Conn: 1, Target: again})
	require.Equal(t, []relay.Target{again}, updatedTargets(nextPush(n, now), "e1"), "c2 may have died before it forwarded its report")
}

// After a loss of all VMs, every target reports to a control VM that it hasn't reported to
// before. The resulting 105 pushes to 76 followers kept the leader from granting leases for a
// second.
func TestUnchangedReportToNewControlVMIsNotPushed(t *testing.T) {
	n := controlNode(nil, time.Unix(100, 0))
	now := lead(n, time.Unix(100, 0))
	follow := func() []relay.Target {
		return updatedTargets(n.Step(now, from("e1", core.Message{Follow: &core.Follow{Incarnation: 3, OwnOnly: true}})), "e1")
	}
	n.Step(now, from("c2", core.Message{TargetNews: &core.RegistryUpdate{Incarnation: 9, Through: 1, Targets: []relay.Target{{ID: "i-2", Address: "b", Call: 3}}}}))
	require.Empty(t, follow())
	nextPush(n, now)
	n.Step(now, core.TargetSpoke{Conn: 1, Target: relay.Target{ID: "i-2", Address: "b", Call: 4}})
	require.Empty(t, updatedTargets(nextPush(n, now), "e1"))
	require.Len(t, follow(), 1)
}

func TestOutdatedLeavingReportIsForwarded(t *testing.T) {
	n := controlNode(nil, time.Unix(100, 0))
	now := lead(n, time.Unix(100, 0))
	n.Step(now, from("e1", core.Message{Follow: &core.Follow{OwnOnly: true}}))
	newer := relay.Target{ID: "i-2", Address: "b", Call: 5}
	n.Step(now, from("c2", core.Message{TargetNews: &core.RegistryUpdate{Incarnation: 9, Through: 1, Targets: []relay.Target{newer}}}))
	n.Step(now, core.TargetSpoke{Conn: 1, Target: relay.Target{ID: "i-2", Address: "b", Call: 4, Leaving: true}})
	updated := updatedTargets(nextPush(n, now), "e1")
	require.Len(t, updated, 1)
	require.True(t, updated[0].Leaving)
}

// fleetOf is a leader whose entry VMs have work at many targets.
type fleetOf struct {
	t    *testing.T
	node *core.Node
	now  time.Time
	// asked counts the renewals of each VM, and seen is the last change of work that it
	// received.
	asked  map[core.VMName]uint64
	seen   map[core.VMName]uint64
	others map[core.VMName]map[relay.TargetKey]relay.Work
	work   map[core.VMName]map[relay.TargetKey]relay.Work
}

func newFleet(t *testing.T) *fleetOf {
	f := &fleetOf{
		t: t, node: controlNode(nil, time.Unix(100, 0)),
		asked: make(map[core.VMName]uint64), seen: make(map[core.VMName]uint64),
		others: make(map[core.VMName]map[relay.TargetKey]relay.Work),
		work:   make(map[core.VMName]map[relay.TargetKey]relay.Work),
	}
	f.now = lead(f.node, time.Unix(100, 0))
	return f
}

// renew renews the lease of a VM and returns the size of the grant in bytes. The VM ignores a
// lost grant.
func (f *fleetOf) renew(vm core.VMName, lost bool) int {
	f.now = f.now.Add(150 * time.Millisecond)
	f.node.Step(f.now, core.Tick{})
	f.asked[vm]++
	renew := &core.Renew{Number: f.asked[vm], Address: core.EntryAddress{VM: vm}, WorkSeen: f.seen[vm], Work: f.work[vm]}
	for _, effect := range f.node.Step(f.now, from(vm, core.Message{Renew: renew})) {
		send, ok := effect.(core.Send)
		if !ok || send.Envelope.Body.Grant == nil {
			continue
		}
		g := send.Envelope.Body.Grant
		if !lost {
			f.take(vm, g)
		}
		text, err := wire.Marshal(&send.Envelope)
		require.NoError(f.t, err)
		return len(text)
	}
	f.t.Fatal("no lease")
	return 0
}

func (f *fleetOf) take(vm core.VMName, g *core.Grant) {
	if g.OthersComplete || f.others[vm] == nil {
		f.others[vm] = make(map[relay.TargetKey]relay.Work)
	}
	for id, w := range g.Others {
		f.others[vm][id] = w
	}
	f.seen[vm] = g.WorkThrough
}

// busy gives a VM the given number of requests at each of n targets.
func (f *fleetOf) busy(vm core.VMName, n, requests int) {
	f.work[vm] = make(map[relay.TargetKey]relay.Work)
	for i := range n {
		f.work[vm][relay.TargetID(fmt.Sprintf("i-%08d", i)).Key()] = relay.Work{Requests: requests, Tokens: 900 * requests}
	}
}

func TestWorkOfOthersIsSentInParts(t *testing.T) {
	f := newFleet(t)
	f.busy("e1", 1000, 5)
	f.renew("e1", false)
	largest := 0
	for range 5 {
		largest = max(largest, f.renew("e2", false))
	}
	require.Equal(t, f.work["e1"], f.others["e2"])
	require.Less(t, largest, 8<<10, "bytes of one lease")
	require.Less(t, f.renew("e2", false), 1<<10, "nothing has changed since the last grant")
}

func TestOwnWorkIsExcludedFromOthers(t *testing.T) {
	f := newFleet(t)
	f.busy("e1", 3, 5)
	f.busy("e2", 3, 2)
	f.renew("e1", false)
	f.renew("e2", false)
	f.renew("e2", false)
	require.Equal(t, f.work["e1"], f.others["e2"])
}

func TestLostGrantLosesNoWork(t *testing.T) {
	f := newFleet(t)
	f.busy("e1", 10, 5)
	f.renew("e1", false)
	f.renew("e2", false)
	f.busy("e1", 10, 50)
	f.renew("e1", false)
	f.renew("e2", true)
	f.renew("e2", false)
	require.Equal(t, f.work["e1"], f.others["e2"])
	f.busy("e1", 0, 0)
	f.renew("e1", false)
	f.renew("e2", false)
	for id, w := range f.others["e2"] {
		require.Zero(t, w, id)
	}
}

// Regression: a newly elected leader knew only the first renewals, and reported that all engines
// were free.
func TestNewLeaderReportsNoWorkBeforeAllHaveReported(t *testing.T) {
	n := controlNode(nil, time.Unix(100, 0))
	f := &fleetOf{t: t, node: n, now: time.Unix(100, 0)}
	var first, reportedAt time.Time
	for number := uint64(1); reportedAt.IsZero() && number < 500; number++ {
		f.now = f.now.Add(20 * time.Millisecond)
		tick(n, f.now)
		for _, effect := range n.Step(f.now, from("e1", core.Message{Renew: &core.Renew{Number: number, Address: core.EntryAddress{VM: "e1"}}})) {
			send, ok := effect.(core.Send)
			if !ok || send.Envelope.Body.Grant == nil {
				continue
			}
			if first.IsZero() {
				first = f.now
			}
			if send.Envelope.Body.Grant.WorkReported {
				reportedAt = f.now
			}
		}
	}
	require.False(t, reportedAt.IsZero())
	require.GreaterOrEqual(t, reportedAt.Sub(first), time.Second)
}

// Regression: after all VMs were killed, each one chose by its own work alone for 1.2 s after
// the election, although the leader had received the renewals of all after 0.1 s.
func TestNewLeaderReportsWorkOnceAllHaveRenewed(t *testing.T) {
	n := controlNode(nil, time.Unix(100, 0))
	now := time.Unix(100, 0)
	vms := []core.VMName{"e1", "e2", "e3"}
	reported := make(map[core.VMName]bool)
	renew := func(vm core.VMName, number uint64) (granted bool) {
		body := core.Message{Renew: &core.Renew{Number: number, Address: core.EntryAddress{VM: vm}}}
		for _, effect := range n.Step(now, from(vm, body)) {
			if send, ok := effect.(core.Send); ok && send.Envelope.Body.Grant != nil {
				granted = true
				reported[vm] = send.Envelope.Body.Grant.WorkReported
			}
		}
		return granted
	}
	for _, vm := range vms {
		n.Step(now, from(vm, core.Message{Follow: &core.Follow{OwnOnly: true}}))
	}
	number := uint64(0)
	for granted := false; !granted && number < 500; {
		number++
		now = now.Add(20 * time.Millisecond)
		tick(n, now)
		granted = renew("e1", number)
	}
	elected := now
	for now.Before(elected.Add(900 * time.Millisecond)) {
		number++
		now = now.Add(100 * time.Millisecond)
		tick(n, now)
		renew("e1", number)
		renew("e2", number)
		require.False(t, reported["e1"], "e3 has not renewed")
	}
	renew("e3", number)
	renew("e1", number+1)
	require.True(t, reported["e1"])
}

// Regression: the first of 76 VMs to get a lease again assumed that it was the only one.
func TestFollowersCountBeforeTheyHaveALease(t *testing.T) {
	f := newFleet(t)
	for i := range 40 {
		f.node.Step(f.now, from(core.VMName(fmt.Sprintf("e%d", i)), core.Message{Follow: &core.Follow{OwnOnly: true}}))
	}
	f.node.Step(f.now, from("c2", core.Message{Follow: &core.Follow{OwnOnly: true, Heartbeats: true}}))
	f.asked["e1"]++
	for _, effect := range f.node.Step(f.now, from("e1", core.Message{Renew: &core.Renew{Number: 1, Address: core.EntryAddress{VM: "e1"}}})) {
		if send, ok := effect.(core.Send); ok && send.Envelope.Body.Grant != nil {
			require.Equal(t, 40, send.Envelope.Body.Grant.VMs)
			return
		}
	}
	t.Fatal("no lease")
}

// Regression: a change of 1,700 routes was sent again for each request of each of 76 VMs, and
// nobody could read the configuration for 4 s.
func TestConfigChangeInFlightIsNotResent(t *testing.T) {
	f := newFleet(t)
	f.renew("e1", false)
	// The text doesn't compress, so that the size of a grant shows whether it contains the
	// text.
	text := make([]byte, 60<<10)
	_, _ = rand.NewChaCha8([32]byte{}).Read(text) // never returns an error
	put := core.DocumentPut{Conn: 7, Document: config.Document{Version: 3, Source: text}}
	settle(f.node, f.now, f.node.Step(f.now, put))
	const whole = 60 << 10
	require.Less(t, f.renew("e1", true), whole, "it was pushed when it was accepted and is in flight")
	f.now = f.now.Add(time.Second)
	require.Less(t, f.renew("e1", true), whole, "the receiver reports a loss, which no time shows")
	missing := from("e1", core.Message{MissingChanges: &core.MissingChanges{}})
	require.Greater(t, f.grantBytes(missing), whole, "the receiver lacks it")
	require.Zero(t, f.grantBytes(missing), "a report of a grant that was sent before")
	require.Less(t, f.renew("e1", true), whole, "it is in flight again")
	missing = from("e1", core.Message{MissingChanges: &core.MissingChanges{Round: 1}})
	require.Greater(t, f.grantBytes(missing), whole, "it was lost again")
}

// grantBytes returns the size of the grants that an event leads to.
func (f *fleetOf) grantBytes(event core.Event) int {
	size := 0
	for _, effect := range f.node.Step(f.now, event) {
		if send, ok := effect.(core.Send); ok && send.Envelope.Body.Grant != nil {
			text, err := wire.Marshal(&send.Envelope)
			require.NoError(f.t, err)
			size += len(text)
		}
	}
	return size
}

// updatesTo returns the updates that a step sends to a VM.
func updatesTo(effects []core.Effect, vm core.VMName) []core.RegistryUpdate {
	var sent []core.RegistryUpdate
	for _, effect := range effects {
		if send, ok := effect.(core.Send); ok && send.Envelope.To == vm && send.Envelope.Body.TargetNews != nil {
			sent = append(sent, *send.Envelope.Body.TargetNews)
		}
	}
	return sent
}

// Regression: with 300 VMs, a leader sent 71 MB in 5 s while 3,000 targets loaded, six times
// what had changed: updates in flight over full links were sent again for each request that
// crossed them.
func TestUpdatesInFlightAreNotResent(t *testing.T) {
	n := controlNode(nil, time.Unix(100, 0))
	now := lead(n, time.Unix(100, 0))
	sendReport := func(id string) {
		now = now.Add(20 * time.Millisecond)
		n.Step(now, core.TargetSpoke{Conn: 1, Target: relay.Target{ID: relay.TargetID(id), Address: id, Call: 1}})
	}
	sendReport("i-1")
	first := updatesTo(n.Step(now, from("e1", core.Message{Follow: &core.Follow{}})), "e1")
	require.Len(t, first, 1)
	sendReport("i-2")
	sendReport("i-3")
	require.Empty(t, updatesTo(nextPush(n, now), "e1"), "the first update is in flight")
	now = now.Add(100 * time.Millisecond)
	require.Empty(t, updatesTo(n.Step(now, from("e1", core.Message{Follow: &core.Follow{}})), "e1"), "the first update is still in flight when the follower asks again")

	came := core.Follow{Incarnation: first[0].Incarnation, After: first[0].Through, Acknowledge: true}
	n.Step(now, from("e1", core.Message{Follow: &came}))
	next := updatesTo(nextPush(n, now), "e1")
	require.Len(t, next, 1)
	require.Len(t, next[0].Targets, 2, "all later changes are in one update")
	came.After = next[0].Through
	n.Step(now, from("e1", core.Message{Follow: &came}))
	require.Empty(t, updatesTo(nextPush(n, now.Add(time.Second)), "e1"), "nothing has changed")
}

// Updates lost on a broken link are sent again within the 2 s that a report may take.
func TestLostUpdatesAreResent(t *testing.T) {
	n := controlNode(nil, time.Unix(100, 0))
	now := lead(n, time.Unix(100, 0))
	n.Step(now, core.TargetSpoke{Conn: 1, Target: relay.Target{ID: "i-1", Address: "a", Call: 1}})
	require.Len(t, updatesTo(n.Step(now, from("e1", core.Message{Follow: &core.Follow{}})), "e1"), 1)
	again := updatesTo(n.Step(now.Add(time.Second), from("e1", core.Message{Follow: &core.Follow{}})), "e1")
	require.Len(t, again, 1)
	require.Len(t, again[0].Targets, 1)
}

// A leaving target gets no new work after 2 s, however long other updates to a VM take.
func TestLeavingTargetIsSentWhileUpdatesAreInFlight(t *testing.T) {
	n := controlNode(nil, time.Unix(100, 0))
	now := lead(n, time.Unix(100, 0))
	stays := relay.Target{ID: "i-1", Address: "a", Call: 1}
	n.Step(now, core.TargetSpoke{Conn: 1, Target: stays})
	first := updatesTo(n.Step(now, from("e1", core.Message{Follow: &core.Follow{}})), "e1")
	require.Len(t, first, 1)
	leaves := stays
	leaves.Call, leaves.Leaving = 2, true
	n.Step(now, core.TargetSpoke{Conn: 1, Target: leaves})
	beside := updatesTo(nextPush(n, now), "e1")
	require.Len(t, beside, 1)
	require.Equal(t, []relay.Target{leaves}, beside[0].Targets)
	require.Empty(t, updatesTo(nextPush(n, now.Add(time.Second/10)), "e1"), "sent only once")

	came := core.Follow{Incarnation: first[0].Incarnation, After: first[0].Through, Acknowledge: true}
	n.Step(now.Add(300*time.Millisecond), from("e1", core.Message{Follow: &came}))
	again := updatesTo(nextPush(n, now.Add(300*time.Millisecond)), "e1")
	require.Len(t, again, 1, "its position has not changed")
}

// After a partition of some seconds, a follower that asks again is sent at once what it lacks,
// regardless of how often updates to it were lost.
func TestFollowerIsUpdatedAtOnceAfterPartition(t *testing.T) {
	n := controlNode(nil, time.Unix(100, 0))
	now := lead(n, time.Unix(100, 0))
	n.Step(now, core.TargetSpoke{Conn: 1, Target: relay.Target{ID: "i-1", Address: "a", Call: 1}})
	n.Step(now, from("e1", core.Message{Follow: &core.Follow{}}))
	lost := 0
	for range 25 {
		now = now.Add(100 * time.Millisecond)
		lost += len(updatesTo(n.Step(now, core.Tick{}), "e1"))
	}
	require.Equal(t, 2, lost, "the third would be sent another 2.8 s later")
	n.Step(now, core.TargetSpoke{Conn: 1, Target: relay.Target{ID: "i-1", Address: "a", Call: 2}})
	asked := now.Add(600 * time.Millisecond)
	again := updatesTo(n.Step(asked, from("e1", core.Message{Follow: &core.Follow{}})), "e1")
	require.Len(t, again, 1)
	require.Len(t, again[0].Targets, 1)
	require.True(t, again[0].Complete)
}

// Heartbeats are sent while other updates to a control VM are in flight.
func TestHeartbeatsDoNotWaitForUpdates(t *testing.T) {
	n := controlNode(nil, time.Unix(100, 0))
	now := lead(n, time.Unix(100, 0))
	report := relay.Target{ID: "i-1", Address: "a", Call: 1}
	n.Step(now, core.TargetSpoke{Conn: 1, Target: report})
	ask := core.Message{Follow: &core.Follow{OwnOnly: true, Heartbeats: true}}
	first := updatesTo(n.Step(now, from("c3", ask)), "c3")[0]
	require.Len(t, first.Targets, 1)
	n.Step(now, from("c3", core.Message{Follow: &core.Follow{Incarnation: first.Incarnation, After: first.Through, Acknowledge: true, OwnOnly: true, Heartbeats: true}}))
	ask.Follow.Incarnation, ask.Follow.After = first.Incarnation, first.Through
	n.Step(now, core.TargetSpoke{Conn: 1, Target: relay.Target{ID: "i-2", Address: "b", Call: 1}})
	require.Len(t, updatesTo(nextPush(n, now), "c3"), 1)
	for range 5 {
		now = now.Add(100 * time.Millisecond)
		n.Step(now, core.Tick{})
	}
	report.Call++
	n.Step(now, core.TargetSpoke{Conn: 1, Target: report})
	n.Step(now, core.TargetSpoke{Conn: 1, Target: relay.Target{ID: "i-2", Address: "b", Call: 2}})
	beats := updatesTo(n.Step(now, from("c3", ask)), "c3")
	require.Len(t, beats, 1)
	require.Empty(t, beats[0].Targets)
	require.Equal(t, []relay.Heartbeat{{ID: "i-1", Call: 2}}, beats[0].Heartbeats, "the other heartbeat would arrive before its report")
}

package core_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/internal/wire"
)

// hallFleet is a fleet of control and entry VMs in data halls. Messages take one tick, and disk
// writes no time.
type hallFleet struct {
	// notes are the log lines of all VMs.
	notes []core.Note
	t     require.TestingT
	now   time.Time
	nodes map[core.VMName]*core.Node
	names []core.VMName
	halls map[core.VMName]string
	queue []core.Envelope
	dead  map[core.VMName]bool
	// apart holds pairs of VMs that can't reach each other.
	apart        map[[2]core.VMName]bool
	incarnations uint64
	// disks holds what control VMs with a disk have synced.
	disks    map[core.VMName]*core.Recovered
	settings map[core.VMName]core.Settings
	// work is the work in flight of each entry VM, and learned the newest report of each target
	// that it has received.
	work    map[core.VMName]map[relay.TargetKey]relay.Work
	learned map[core.VMName]map[relay.TargetID]relay.Target
	// found are the findings of each entry VM.
	found  map[core.VMName]relay.Findings
	fleets map[core.VMName]core.FleetLearned
	others map[core.VMName]map[relay.TargetKey]relay.Work
	marks  map[core.VMName]map[relay.TargetKey]relay.Mark
	// limits are the rate limits that each entry VM knows, or nil where none are simulated.
	limits map[core.VMName]*relay.RateLimits
	// quarantine is the quarantine that each entry VM has received.
	quarantine map[core.VMName]map[relay.Fingerprint]relay.Hold
	// backoffsEnded are the ended backoffs that each entry VM has received. rows are the rows
	// of the last table in an answer to an operator.
	backoffsEnded map[core.VMName][]string
	rows          [][]string
	// loses reports whether a message is lost; nil loses none.
	loses func(core.Envelope) bool
	// renewed counts the renewals received by each VM; sent and bytes what each VM sent.
	renewed map[core.VMName]int
	sent    map[core.VMName]int
	bytes   map[core.VMName]int
	// received counts the bytes that each VM received.
	received map[core.VMName]int
	measured bool
	// kinds counts the bytes of all VMs by kind of message.
	kinds map[string]int
	// pass advances time for until: run, or the run of a fleet that simulates more than VMs.
	pass   func(time.Duration)
	decode func([]byte) (*relay.Document, error)
	timing core.Timing
	// answered receives the answers to operators; nil ignores them.
	answered func(core.Answer)
	// orders are the placement orders given to engines.
	orders []givenOrder
}

// givenOrder is a placement order and the VM that gave it.
type givenOrder struct {
	core.OrderLayers
	by core.VMName
}

// decodeEmpty decodes any text as a document without services.
func decodeEmpty([]byte) (*relay.Document, error) { return &relay.Document{Version: 1}, nil }

type fleetSize struct {
	halls, controls, disks, entries int
	// timing is core.DefaultTiming unless set.
	timing core.Timing
}

// newHallFleet starts the given number of control and entry VMs in each hall. The first control
// VMs of each hall have disks, and the very first one bootstraps the cluster.
func newHallFleet(t require.TestingT, size fleetSize) *hallFleet {
	f := &hallFleet{
		t: t, now: time.Unix(100, 0), nodes: make(map[core.VMName]*core.Node), halls: make(map[core.VMName]string),
		dead: make(map[core.VMName]bool), apart: make(map[[2]core.VMName]bool),
		work: make(map[core.VMName]map[relay.TargetKey]relay.Work), learned: make(map[core.VMName]map[relay.TargetID]relay.Target),
		fleets: make(map[core.VMName]core.FleetLearned), others: make(map[core.VMName]map[relay.TargetKey]relay.Work),
		disks: make(map[core.VMName]*core.Recovered), settings: make(map[core.VMName]core.Settings),
		renewed: make(map[core.VMName]int), sent: make(map[core.VMName]int), bytes: make(map[core.VMName]int), received: make(map[core.VMName]int),
		found:         make(map[core.VMName]relay.Findings),
		backoffsEnded: make(map[core.VMName][]string),
		quarantine:    make(map[core.VMName]map[relay.Fingerprint]relay.Hold),
		marks:         make(map[core.VMName]map[relay.TargetKey]relay.Mark), kinds: make(map[string]int), decode: decodeEmpty,
	}
	f.pass = f.run
	f.timing = core.DefaultTiming()
	if size.timing != (core.Timing{}) {
		f.timing = size.timing
	}
	for i := range size.controls {
		for h := range size.halls {
			f.add(core.VMName(fmt.Sprintf("c%d-%d", h, i)), h, i < size.disks)
		}
	}
	for i := range size.entries {
		for h := range size.halls {
			f.add(core.VMName(fmt.Sprintf("e%d-%d", h, i)), h, false)
		}
	}
	return f
}

func (f *hallFleet) add(vm core.VMName, hall int, disk bool) {
	f.names = append(f.names, vm)
	f.halls[vm] = fmt.Sprintf("hall%d", hall)
	f.start(vm, disk)
}

func (f *hallFleet) start(vm core.VMName, disk bool) {
	f.incarnations++
	self := core.ReplicaID{VM: vm, Incarnation: core.Incarnation(f.incarnations)}
	control := vm[0] == 'c'
	settings := core.Settings{
		Self: self, Control: control, Entry: !control, ControlVMs: []core.VMName{"c0-0", "c1-0", "c2-0"}, Voters: 3,
		SnapshotEvery: 100, Timing: f.timing, Seed: f.incarnations * 7919, Volatile: control && !disk,
		Address:        core.EntryAddress{VM: vm, Hall: f.halls[vm], Callers: string(vm), Peers: string(vm)},
		DecodeDocument: func(text []byte) (*relay.Document, error) { return f.decode(text) },
	}
	if disk {
		f.disks[vm] = &core.Recovered{}
	}
	if vm == "c0-0" {
		settings.Cluster = "c"
		f.disks[vm].Snapshot = core.Snapshot{Index: 1, Term: 1, Members: core.NewMembership(self)}
	}
	f.boot(vm, settings)
}

// restart starts a new process on a VM, from its disk if it has one.
func (f *hallFleet) restart(vm core.VMName) {
	if _, disk := f.disks[vm]; !disk {
		f.start(vm, false)
		return
	}
	settings := f.settings[vm]
	settings.Cluster = "c"
	f.boot(vm, settings)
}

func (f *hallFleet) boot(vm core.VMName, settings core.Settings) {
	recovered := core.Recovered{}
	if disk, ok := f.disks[vm]; ok {
		recovered = copyRecovered(*disk)
	}
	f.settings[vm] = settings
	f.nodes[vm] = core.New(settings, recovered, f.now)
	f.learned[vm] = make(map[relay.TargetID]relay.Target)
	f.others[vm] = make(map[relay.TargetKey]relay.Work)
	f.marks[vm] = make(map[relay.TargetKey]relay.Mark)
	delete(f.quarantine, vm)
	if f.limits != nil {
		f.limits[vm] = relay.NewRateLimits(f.incarnations)
	}
	f.dead[vm] = false
}

func (f *hallFleet) step(vm core.VMName, event core.Event) {
	if f.dead[vm] {
		return
	}
	synced := uint64(0)
	for _, effect := range f.nodes[vm].Step(f.now, event) {
		switch e := effect.(type) {
		case core.Persist:
			synced = e.Sequence
			if disk, ok := f.disks[vm]; ok {
				applyPersist(disk, e)
			}
		case core.SaveSnapshot:
			synced = e.Sequence
			if disk, ok := f.disks[vm]; ok {
				*disk = core.Recovered{Hard: e.Hard, Snapshot: e.Snapshot, Entries: slices.Clone(e.Tail)}
			}
		case core.Send:
			f.count(vm, e.Envelope)
			f.queue = append(f.queue, e.Envelope)
		case core.TargetsLearned:
			for _, target := range e.Targets {
				f.learned[vm][target.ID] = target
			}
		case core.TargetsEnded:
			for _, ended := range e.Ended {
				delete(f.learned[vm], ended.Old)
			}
		case core.FleetLearned:
			f.takeFleet(vm, e)
		case core.PermitsGranted:
			if limits, ok := f.limits[vm]; ok {
				limits.Grant(e.Number, e.Permits, e.Until, f.now)
			}
		case core.BackoffsEnded:
			f.backoffsEnded[vm] = append(f.backoffsEnded[vm], e.Targets...)
		case core.Answer:
			if f.answered != nil {
				f.answered(e)
			}
			if e.Result.Table != nil {
				f.rows = e.Result.Table.Rows
			}
		case core.QuarantineInForce:
			f.quarantine[vm] = e.Held
		case core.OrderLayers:
			f.orders = append(f.orders, givenOrder{OrderLayers: e, by: vm})
		case core.Note:
			f.notes = append(f.notes, e)
		}
	}
	if synced > 0 {
		f.step(vm, core.Persisted{Sequence: synced})
	}
}

func (f *hallFleet) takeFleet(vm core.VMName, e core.FleetLearned) {
	f.fleets[vm] = e
	if e.OthersComplete {
		f.others[vm] = make(map[relay.TargetKey]relay.Work)
	}
	for id, w := range e.Others {
		f.others[vm][id] = w
	}
	if limits, ok := f.limits[vm]; ok {
		limits.ApplyMarks(e.Marks, e.MarksComplete, f.now)
	}
	if e.MarksComplete {
		clear(f.marks[vm])
	}
	for key, m := range e.Marks {
		f.marks[vm][key] = m
		if m == 0 {
			delete(f.marks[vm], key)
		}
	}
}

// kindOf returns the name of the one field of a message that is set.
func kindOf(m core.Message) string {
	v := reflect.ValueOf(m)
	for i := range v.NumField() {
		if v.Field(i).Kind() == reflect.Pointer && !v.Field(i).IsNil() {
			return v.Type().Field(i).Name
		}
	}
	return "none"
}

func (f *hallFleet) count(from core.VMName, e core.Envelope) {
	if !f.measured {
		return
	}
	text, err := wire.Marshal(&e)
	require.NoError(f.t, err)
	f.sent[from]++
	f.bytes[from] += len(text)
	f.received[e.To] += len(text)
	f.kinds[kindOf(e.Body)] += len(text)
	if e.Body.Renew != nil {
		f.renewed[e.To]++
	}
}

// run advances time in ticks.
func (f *hallFleet) run(d time.Duration) {
	for until := f.now.Add(d); f.now.Before(until); {
		f.now = f.now.Add(tickEvery)
		arriving := f.queue
		f.queue = nil
		for _, e := range arriving {
			if f.loses != nil && f.loses(e) {
				continue
			}
			if _, known := f.nodes[e.To]; known && !f.apart[[2]core.VMName{e.From.VM, e.To}] {
				f.step(e.To, core.Received{Envelope: e})
			}
		}
		for i, vm := range f.names {
			if vm[0] == 'e' && (int(f.now.UnixMilli())/20+i)%10 == 0 {
				f.step(vm, core.WorkCounted{Work: f.work[vm], Findings: f.found[vm], Limits: f.permitRequests(vm)})
			}
			f.step(vm, core.Tick{})
		}
	}
}

func (f *hallFleet) permitRequests(vm core.VMName) []relay.PermitRequest {
	if limits, ok := f.limits[vm]; ok {
		return limits.PermitRequests(f.now)
	}
	return nil
}

// until advances time until done returns true, and fails after limit.
func (f *hallFleet) until(what string, limit time.Duration, done func() bool) time.Duration {
	began := f.now
	for !done() {
		require.Less(f.t, f.now.Sub(began), limit, "not in time: %s", what)
		f.pass(tickEvery)
	}
	return f.now.Sub(began)
}

func (f *hallFleet) entries() []core.VMName {
	return slices.DeleteFunc(slices.Clone(f.names), func(vm core.VMName) bool { return vm[0] != 'e' || f.dead[vm] })
}

func (f *hallFleet) leader() core.VMName { return f.leaderBut("") }

// leaderBut returns a leader other than the given VM.
func (f *hallFleet) leaderBut(one core.VMName) core.VMName {
	for _, vm := range f.names {
		if vm[0] == 'c' && vm != one && !f.dead[vm] && f.nodes[vm].Status().HoldsLease {
			return vm
		}
	}
	return ""
}

// leased reports whether all entry VMs have a lease at the given revision.
func (f *hallFleet) leased(revision config.Revision) bool {
	for _, vm := range f.entries() {
		if s := f.nodes[vm].Status(); !s.HasLease || s.EntryRevision < revision {
			return false
		}
	}
	return true
}

func (f *hallFleet) put(version uint64) {
	f.step(f.leader(), core.DocumentPut{Conn: 1, Document: config.Document{Version: version, Source: []byte(fmt.Sprint("text ", version))}})
}

var smallFleet = fleetSize{halls: 3, controls: 2, disks: 1, entries: 3}

// usersFleet is the size of the users' largest deployment.
var usersFleet = fleetSize{halls: 5, controls: 4, disks: 1, entries: 56}

func started(t require.TestingT, size fleetSize) *hallFleet {
	f := newHallFleet(t, size)
	f.until("all have a lease", 10*time.Second, func() bool { return f.leased(0) })
	f.run(4 * time.Second)
	return f
}

// Guards against a leader overloaded by renewals: with 300 VMs that all renewed with it, a
// thousand renewals a second cost it the leadership.
func TestEntryVMsRenewInOwnHall(t *testing.T) {
	f := started(t, usersFleet)
	f.measured = true
	f.run(2 * time.Second)
	for _, vm := range f.names {
		if vm[0] == 'c' {
			require.Less(t, f.renewed[vm], 2*2*usersFleet.entries, "renewals at %s", vm)
		}
	}
	leader := f.leader()
	require.Less(t, f.sent[leader], 2*600, "messages of the leader in 2 s")
	require.Less(t, f.bytes[leader], 2*300_000, "bytes of the leader in 2 s")
	for _, vm := range f.entries() {
		require.Less(t, f.bytes[vm], 2*3000, "bytes of %s in 2 s", vm)
	}
}

func TestConfigChangeReachesAllVMs(t *testing.T) {
	f := started(t, usersFleet)
	revision := f.nodes[f.leader()].Status().Revision
	f.put(7)
	took := f.until("every VM has the change", 3*time.Second, func() bool { return f.leased(revision + 1) })
	require.Less(t, took, 500*time.Millisecond)
}

// Each entry VM receives the work of all others in all halls, without its own.
func TestWorkIsSummedAcrossHalls(t *testing.T) {
	f := started(t, smallFleet)
	key := relay.TargetID("i-1").Key()
	vms := f.entries()
	for _, vm := range vms {
		f.work[vm] = map[relay.TargetKey]relay.Work{key: {Requests: 3, Tokens: 30}}
	}
	f.run(3 * time.Second)
	for _, vm := range vms {
		require.Equal(t, relay.Work{Requests: 3 * (len(vms) - 1), Tokens: 30 * (len(vms) - 1)}, f.others[vm][key], vm)
		require.Equal(t, len(vms), f.fleets[vm].VMs, vm)
	}
	clear(f.work)
	f.run(3 * time.Second)
	for _, vm := range vms {
		require.Zero(t, f.others[vm][key], vm)
	}
}

func (f *hallFleet) sendReport(to core.VMName, t relay.Target) {
	f.step(to, core.TargetSpoke{Conn: 1, Target: t})
}

// A report received by any control VM reaches all entry VMs well within the drain bound.
func TestTargetReportReachesAllHalls(t *testing.T) {
	f := started(t, usersFleet)
	f.sendReport("c3-2", relay.Target{ID: "i-1", Address: "a", Call: 1})
	f.run(time.Second)
	f.sendReport("c1-3", relay.Target{ID: "i-1", Address: "a", Call: 2, Leaving: true})
	f.run(time.Second)
	for _, vm := range f.entries() {
		require.True(t, f.learned[vm]["i-1"].Leaving, vm)
	}
}

func TestHallSurvivesLossOfControlVMs(t *testing.T) {
	f := started(t, smallFleet)
	for _, vm := range []core.VMName{"c2-0", "c2-1"} {
		f.dead[vm] = true
		f.run(2 * time.Second)
		require.True(t, f.leased(0), "%s is lost", vm)
		revision := f.nodes[f.leader()].Status().Revision
		f.put(uint64(revision) + 100)
		f.until("every VM has the change", 2*time.Second, func() bool { return f.leased(revision + 1) })
	}
	f.sendReport(f.leader(), relay.Target{ID: "i-9", Address: "a", Call: 1, Leaving: true})
	f.run(2 * time.Second)
	for _, vm := range f.entries() {
		require.Contains(t, f.learned[vm], relay.TargetID("i-9"), vm)
	}
}

// A control VM that can't reach the leader grants nothing, and its hall renews elsewhere.
func TestHallWithPartitionedControlVMsRenewsElsewhere(t *testing.T) {
	f := started(t, smallFleet)
	for _, vm := range []core.VMName{"c2-0", "c2-1"} {
		for _, other := range f.names {
			if other[0] == 'c' {
				f.apart[[2]core.VMName{vm, other}] = true
				f.apart[[2]core.VMName{other, vm}] = true
			}
		}
	}
	f.run(8 * time.Second)
	require.True(t, f.leased(0))
	clear(f.apart)
	f.run(6 * time.Second)
	f.measured = true
	f.run(time.Second)
	require.Positive(t, f.renewed["c2-0"]+f.renewed["c2-1"], "the hall renews with its own control VMs again")
}

// A pushed change carries a number that was granted before and must not extend a lease.
func TestPushedChangeExtendsNoLease(t *testing.T) {
	f := started(t, smallFleet)
	leader := f.leader()
	for _, vm := range f.names {
		if vm != leader && vm[0] == 'e' {
			f.apart[[2]core.VMName{vm, "c0-0"}], f.apart[[2]core.VMName{vm, "c0-1"}] = true, true
			f.apart[[2]core.VMName{vm, "c1-0"}], f.apart[[2]core.VMName{vm, "c1-1"}] = true, true
			f.apart[[2]core.VMName{vm, "c2-0"}], f.apart[[2]core.VMName{vm, "c2-1"}] = true, true
		}
	}
	f.run(tickEvery)
	until := make(map[core.VMName]time.Time)
	for _, vm := range f.entries() {
		until[vm] = f.nodes[vm].Status().EntryLease
	}
	for version := uint64(50); version < 60; version++ {
		f.put(version)
		f.run(100 * time.Millisecond)
	}
	for _, vm := range f.entries() {
		require.False(t, f.nodes[vm].Status().EntryLease.After(until[vm]), vm)
	}
}

// After a loss of all VMs, every VM asks the seeds, which redirect it to its own hall.
func TestSeedsRedirectVMsToTheirHalls(t *testing.T) {
	f := newHallFleet(t, usersFleet)
	f.measured = true
	f.until("all have a lease", 10*time.Second, func() bool { return f.leased(0) })
	f.run(time.Second)
	clear(f.renewed)
	f.run(time.Second)
	for _, vm := range []core.VMName{"c0-0", "c1-0", "c2-0"} {
		require.Less(t, f.renewed[vm], 2*usersFleet.entries, vm)
	}
}

// killAll ends all processes at once. Only the contents of disks remain.
func (f *hallFleet) killAll() {
	f.queue = nil
	for _, vm := range f.names {
		f.dead[vm] = true
	}
}

// startAll starts all processes within 0.3 s, each from its disk if it has one.
func (f *hallFleet) startAll() {
	for i, vm := range f.names {
		if i%20 == 0 {
			f.run(tickEvery)
		}
		f.restart(vm)
	}
}

// Regression: after a loss of all VMs, callers were refused for 6 s because entry VMs had no
// lease.
func TestLeasesAreGrantedSoonAfterLossOfAllVMs(t *testing.T) {
	f := started(t, usersFleet)
	f.put(5)
	f.run(time.Second)
	f.killAll()
	f.run(900 * time.Millisecond)
	began := f.now
	f.startAll()
	f.until("all have a lease", 10*time.Second, func() bool { return f.leased(1) })
	require.Less(t, f.now.Sub(began), 2500*time.Millisecond)
}

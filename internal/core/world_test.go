package core_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/fake"
	"github.com/spoolbank/spoolbank/internal/target"
)

// world simulates several Nodes with a virtual clock, a lossy network, disks that
// lose unsynced records, and in-process fake engines and runners. It is
// deterministic: all randomness comes from one seed.
type world struct {
	t       require.TestingT
	rand    *rand.Rand
	now     time.Time
	queue   []delivery
	serial  int
	vms     map[core.VMName]*vm
	names   []core.VMName
	engines map[string]*engine
	runners map[string]*runner
	cut     map[[2]core.VMName]bool
	// loss is the probability, in thousandths, that a message is lost, duplicated or delayed.
	loss     int
	lastConn core.ConnID
	requests map[core.ConnID]*callerRequest
	results  map[core.ConnID]core.Result
	// stateByIndex holds the state at each applied index, which is the same on all replicas.
	stateByIndex map[core.Index]string
	// accepted is the newest revision that was acknowledged to an operator, at acceptedAt.
	accepted   config.Revision
	acceptedAt time.Time
	// acks are the changes that were acknowledged and that some VM may lack.
	acks []acknowledged
	// faultAt is when a VM or one of its links last had a fault, coreFaultAt when a control VM did.
	faultAt     map[core.VMName]time.Time
	coreFaultAt time.Time
	// minRevisions holds, for each statement, the newest revision that had been
	// acknowledged when it was sent. The answer may not be older.
	minRevisions map[core.ConnID]config.Revision
	// sent holds the commands that have been sent before.
	sent map[string]bool
	dead map[string]bool
	// losesAnswers makes runners run calls and break off.
	losesAnswers bool
	// slow is the additional time that a submission takes at its runner.
	slow time.Duration
	// platform is the platform's list of leaving VMs and targets; leaves holds the
	// targets that report it themselves.
	platform []string
	leaves   map[string]bool
	// backoffs is the time until which a runner refuses calls and requests a backoff; reached
	// counts the calls that arrive at each runner, by the VM that sent them.
	backoffs map[string]time.Time
	reached  map[string]map[core.VMName]int
	// limits are the rate limits that runners report, in calls per second, and arrivals the
	// times at which calls reached each.
	limits   map[string]float64
	arrivals map[string][]time.Time
}

// vm is one VM: its process, its disk and its clock.
type vm struct {
	name    core.VMName
	node    *core.Node
	control bool
	entry   bool
	// rate is the speed of its clock, in thousandths of the simulated time.
	rate      int
	began     time.Time
	disk      disk
	suspended bool
	pending   []core.Event
	// stopped is set when a planned stop is complete.
	stopped bool
	// starts counts starts and crashes, so that deliveries to an earlier process are dropped.
	starts   int
	revision config.Revision
	// checkedIndex is the applied index at which the state was last compared.
	checkedIndex core.Index
	cluster      string
	notes        []string
}

// disk holds what a control VM has synced.
type disk struct {
	incarnation core.Incarnation
	recovered   core.Recovered
}

// delivery is an event or a function scheduled for a time.
type delivery struct {
	at     time.Time
	serial int
	to     core.VMName
	starts int
	event  core.Event
	run    func()
}

type engine struct {
	*fake.Engine
	name string
}

type runner struct{ runs map[core.RequestID]int }

var epochStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	worldLayers = 6
	worldTokens = 5
	worldKey    = "key"
)

// newWorld returns a world of VMs that all serve callers, the first ones of which
// are also control VMs, with engines for two chains, a spare engine and two runners.
func newWorld(t require.TestingT, seed uint64, controls, entries int) *world {
	w := &world{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), now: epochStart,
		vms: make(map[core.VMName]*vm), engines: make(map[string]*engine), limits: make(map[string]float64), arrivals: make(map[string][]time.Time), backoffs: make(map[string]time.Time), reached: make(map[string]map[core.VMName]int), runners: make(map[string]*runner),
		cut: make(map[[2]core.VMName]bool), requests: make(map[core.ConnID]*callerRequest), results: make(map[core.ConnID]core.Result),
		stateByIndex: make(map[core.Index]string), minRevisions: make(map[core.ConnID]config.Revision), sent: make(map[string]bool),
		dead: make(map[string]bool), leaves: make(map[string]bool), faultAt: make(map[core.VMName]time.Time),
	}
	for i := range controls + entries {
		name := core.VMName(fmt.Sprintf("vm%d", i+1))
		v := &vm{name: name, control: i < controls, entry: true, rate: 995 + w.rand.IntN(11)}
		w.vms[name] = v
		w.names = append(w.names, name)
	}
	first := w.vms["vm1"]
	first.disk.incarnation = w.incarnation()
	first.cluster = "c1"
	first.disk.recovered.Snapshot = core.Snapshot{Index: 1, Term: 1,
		Members: core.NewMembership(core.ReplicaID{VM: "vm1", Incarnation: first.disk.incarnation})}
	for _, name := range w.names {
		w.start(name)
	}
	for i := range 5 {
		name := fmt.Sprintf("e%d", i+1)
		w.engines[name] = &engine{name: name, Engine: fake.NewEngine(fake.EngineOptions{Name: name, Slots: 64, Fence: i%2 == 0, Transport: hops{w}})}
	}
	for i := range 2 {
		w.reached[fmt.Sprintf("s%d", i+1)] = make(map[core.VMName]int)
		w.runners[fmt.Sprintf("s%d", i+1)] = &runner{runs: make(map[core.RequestID]int)}
	}
	return w
}

func (w *world) incarnation() core.Incarnation { return core.Incarnation(w.rand.Uint64()) }

func testTiming() core.Timing {
	t := core.DefaultTiming()
	t.ReplaceAfter = 6 * time.Second
	return t
}

// start starts a process on a VM's disk.
func (w *world) start(name core.VMName) {
	v := w.vms[name]
	w.markFault(name)
	v.starts++
	v.suspended, v.pending = false, nil
	v.began = w.now
	v.revision = 0
	self := core.ReplicaID{VM: name, Incarnation: w.incarnation()}
	if v.control {
		if v.disk.incarnation == 0 {
			v.disk.incarnation = w.incarnation()
		}
		self.Incarnation = v.disk.incarnation
	}
	v.node = core.New(core.Settings{
		Self: self, Cluster: v.cluster, Control: v.control, Entry: v.entry,
		Address:    core.EntryAddress{VM: name, Hall: "hall", Callers: string(name), Peers: string(name)},
		ControlVMs: w.controlVMs(), Voters: 3, SnapshotEvery: 40, Timing: testTiming(), Seed: w.rand.Uint64(),
	}, copyRecovered(v.disk.recovered), w.clock(v))
	w.tick(name)
}

// copyRecovered simulates reading the disk: the copy shares no entries with a Node.
func copyRecovered(r core.Recovered) core.Recovered {
	r.Entries = slices.Clone(r.Entries)
	return r
}

func (w *world) controlVMs() []core.VMName {
	var names []core.VMName
	for _, name := range w.names {
		if w.vms[name].control {
			names = append(names, name)
		}
	}
	return names
}

// clock returns a VM's own time.
func (w *world) clock(v *vm) time.Time {
	return epochStart.Add(w.now.Sub(epochStart) * time.Duration(v.rate) / 1000)
}

func (w *world) push(d delivery) {
	w.serial++
	d.serial = w.serial
	at, _ := slices.BinarySearchFunc(w.queue, d, func(a, b delivery) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.serial, b.serial))
	})
	w.queue = slices.Insert(w.queue, at, d)
}

func (w *world) after(delay time.Duration, to core.VMName, event core.Event) {
	w.push(delivery{at: w.now.Add(delay), to: to, starts: w.vms[to].starts, event: event})
}

const tickEvery = 20 * time.Millisecond

func (w *world) tick(name core.VMName) {
	starts := w.vms[name].starts
	w.push(delivery{at: w.now.Add(tickEvery), run: func() {
		if v := w.vms[name]; v.starts == starts && v.node != nil {
			w.step(name, core.Tick{})
			w.tick(name)
		}
	}})
}

// advance runs the simulation for d.
func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := w.queue[0]
		w.queue = w.queue[1:]
		w.now = next.at
		if next.run != nil {
			next.run()
			continue
		}
		if v := w.vms[next.to]; v.starts == next.starts && v.node != nil {
			w.step(next.to, next.event)
		}
	}
	w.now = end
}

// until runs the simulation until done returns true, and fails after limit.
func (w *world) until(what string, limit time.Duration, done func() bool) time.Duration {
	began := w.now
	for !done() {
		if w.now.Sub(began) > limit {
			require.FailNow(w.t, "not in time: "+what, w.describe())
		}
		w.advance(tickEvery)
	}
	return w.now.Sub(began)
}

func (w *world) describe() string {
	var b strings.Builder
	for _, name := range w.names {
		v := w.vms[name]
		if v.node == nil {
			fmt.Fprintf(&b, "%s: dead\n", name)
			continue
		}
		s := v.node.Status()
		fmt.Fprintf(&b, "%s: suspended %v %s term %d commit %d/%d synced %d members %v lease %v entry lease %v rev %d/%d streams %d calls %d queued %d\n  %s\n",
			name, v.suspended, s.Role, s.Term, s.Applied, s.Commit, s.Synced, s.Members, s.HoldsLease, s.HasLease, s.Revision, s.EntryRevision, s.Streams, s.Calls, s.Queued,
			strings.Join(v.notes[max(0, len(v.notes)-6):], "; "))
	}
	return b.String()
}

func (w *world) step(name core.VMName, event core.Event) {
	v := w.vms[name]
	if v.suspended {
		if _, tick := event.(core.Tick); !tick {
			v.pending = append(v.pending, event)
		}
		return
	}
	for _, effect := range slices.Clone(v.node.Step(w.clock(v), event)) {
		w.execute(v, effect)
	}
	w.check(v)
}

func (w *world) execute(v *vm, effect core.Effect) {
	switch e := effect.(type) {
	case core.Send:
		w.send(v, e.Envelope)
	case core.Persist:
		w.persist(v, e.Sequence, func(d *disk) { applyPersist(&d.recovered, e) })
	case core.SaveSnapshot:
		w.persist(v, e.Sequence, func(d *disk) {
			d.recovered = core.Recovered{Hard: e.Hard, Snapshot: e.Snapshot, Entries: slices.Clone(e.Tail)}
		})
	case core.Stopped:
		v.stopped = true
		for _, a := range w.requests {
			require.True(w.t, a.vm != v.name || a.ended(), "%s stopped while it served %s", v.name, a.id)
		}
	case core.Joined:
		v.cluster = e.Cluster
	case core.Answer:
		w.answered(e)
	case core.Emit, core.Refuse, core.Finish:
		w.deliver(effect)
	case core.Run:
		w.run(v, e)
	case core.Rebuild:
		w.rebuild(v, e)
	case core.Release:
		for _, s := range e.Chain {
			if w.reachable(s.Target) {
				w.engines[s.Target].Release(context.Background(), target.ReleaseOrder{Stream: e.Stream, Epoch: e.Epoch})
			}
		}
	case core.Dispatch:
		w.dispatch(v, e)
	case core.Watch:
		w.watch(v, e)
	case core.ListPlatform:
		w.after(w.latency(), v.name, core.PlatformListed{Leaving: w.platform})
	case core.Order:
		w.order(v, e)
	case core.Note:
		v.notes = append(v.notes, e.Text+" "+e.Subject)
	}
}

func (w *world) latency() time.Duration {
	return time.Millisecond/2 + time.Duration(w.rand.IntN(1000))*time.Microsecond
}

func (w *world) chance() bool { return w.rand.IntN(1000) < w.loss }

func (w *world) send(v *vm, e core.Envelope) {
	to, ok := w.vms[e.To]
	if !ok {
		return
	}
	if w.cut[[2]core.VMName{v.name, e.To}] || w.chance() {
		w.markFault(v.name, e.To)
		return
	}
	delay := w.latency()
	if w.chance() {
		w.markFault(v.name, e.To)
		delay += time.Duration(w.rand.IntN(2000)) * time.Millisecond
	}
	w.push(delivery{at: w.now.Add(delay), to: e.To, starts: to.starts, event: core.Received{Envelope: e}})
	if w.chance() {
		w.push(delivery{at: w.now.Add(2 * delay), to: e.To, starts: to.starts, event: core.Received{Envelope: e}})
	}
}

// persist syncs a record after 2ms; a crash before that loses it.
func (w *world) persist(v *vm, sequence uint64, write func(*disk)) {
	starts := v.starts
	w.push(delivery{at: w.now.Add(2 * time.Millisecond), run: func() {
		if v.starts == starts && v.node != nil {
			write(&v.disk)
			w.step(v.name, core.Persisted{Sequence: sequence})
		}
	}})
}

func applyPersist(r *core.Recovered, p core.Persist) {
	if p.Hard != nil {
		r.Hard = *p.Hard
	}
	base := r.Snapshot.Index
	if from := p.TruncateFrom; from > base && int(from-base-1) < len(r.Entries) {
		r.Entries = slices.Clone(r.Entries[:from-base-1])
	}
	for _, e := range p.Entries {
		if e.Index > base {
			r.Entries = append(r.Entries, e)
		}
	}
}

// crash kills a process; its disk keeps the synced records.
func (w *world) crash(name core.VMName) {
	v := w.vms[name]
	w.markFault(name)
	v.node = nil
	v.starts++
	for conn, a := range w.requests {
		if a.vm == name && !a.finished && a.refusal == nil && a.answer == nil {
			w.requests[conn].cut = true
		}
	}
}

// loseDisk clears the data folder of a crashed VM.
func (w *world) loseDisk(name core.VMName) {
	w.vms[name].disk = disk{}
	w.vms[name].cluster = ""
}

func (w *world) suspend(name core.VMName) {
	w.markFault(name)
	w.vms[name].suspended = true
}

// resume resumes a suspended process, which receives all events that arrived meanwhile.
func (w *world) resume(name core.VMName) {
	v := w.vms[name]
	w.markFault(name)
	pending := v.pending
	v.suspended, v.pending = false, nil
	for _, event := range pending {
		w.step(name, event)
	}
}

// isolate cuts the links between a VM and all others, or restores them.
func (w *world) isolate(name core.VMName, cut bool) {
	for _, other := range w.names {
		w.cut[[2]core.VMName{name, other}] = cut
		w.cut[[2]core.VMName{other, name}] = cut
	}
}

package core_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// engineFleet is a fleet of VMs with engines that register, load the layers that they are
// ordered to hold and report them.
type engineFleet struct {
	*hallFleet
	engines map[relay.TargetID]*loadingEngine
	ids     []relay.TargetID
	// loads counts the accepted orders, loading those in progress.
	loads, loading int
	// atOnce is the number of engines that load at full speed; 0 if all do.
	atOnce int
}

// loadingEngine is an engine that may be applying an order.
type loadingEngine struct {
	target relay.Target
	// reportsTo is the control VM that the engine reports to.
	reportsTo core.VMName
	order     core.OrderLayers
	// remaining is the remaining time of a load at full speed.
	remaining   time.Duration
	heartbeatAt time.Time
}

const (
	// heartbeatInterval is the users' heartbeat interval.
	heartbeatInterval = 1200 * time.Millisecond
	// engineLoad is the load time of all layers before the first request: a tenth of
	// the users' 14 s.
	engineLoad = 1400 * time.Millisecond
)

// fullDocument returns a document with the users' engines: three kinds that share 80 layers.
func fullDocument([]byte) (*relay.Document, error) {
	return &relay.Document{Version: 1, Services: []relay.Service{{
		Name: "s", MaxConns: 1348, Engine: &relay.Engine{
			Slots: 192, Layers: 80, LayerBytes: 1750e6, TokenBytes: 590e3, Load: 14 * time.Second,
			Accelerators: []relay.Accelerator{
				{Name: "a100", Bytes: 72e9, StepFactor: 2.4, ReadFactor: 3.2}, {Name: "l40s", Bytes: 43.2e9, StepFactor: 5.6, ReadFactor: 2.7}, {Name: "l4", Bytes: 21.6e9, StepFactor: 16, ReadFactor: 8.2},
			},
			UsualPrompt: 765, UsualAnswer: 230,
		},
	}}}, nil
}

// newEngineFleet starts VMs, and engines that have not registered yet.
func newEngineFleet(t require.TestingT, size fleetSize, engines int) *engineFleet {
	f := &engineFleet{hallFleet: newHallFleet(t, size), engines: make(map[relay.TargetID]*loadingEngine)}
	f.decode = fullDocument
	f.pass = f.run
	for i := range engines {
		kind := "l4"
		switch {
		case i%10 == 0:
			kind = "a100"
		case i%10 < 4:
			kind = "l40s"
		}
		id := relay.TargetID(fmt.Sprintf("i-%08x", i*2654435761%(1<<32)))
		hall := i / 10 % size.halls
		f.ids = append(f.ids, id)
		f.engines[id] = &loadingEngine{
			target:      relay.Target{ID: id, Service: "s", Address: fmt.Sprintf("10.1.%d.%d:8607", i/250, i%250), Hall: fmt.Sprintf("hall%d", hall), Accelerator: kind, Slots: 192},
			reportsTo:   core.VMName(fmt.Sprintf("c%d-%d", hall, i/10/size.halls%size.controls)),
			heartbeatAt: f.now.Add(heartbeatInterval * time.Duration(i) / time.Duration(engines)),
		}
	}
	slices.Sort(f.ids)
	return f
}

// run advances time in ticks, in which engines send heartbeats and load.
func (f *engineFleet) run(d time.Duration) {
	for until := f.now.Add(d); f.now.Before(until); {
		f.hallFleet.run(tickEvery)
		f.takeOrders()
		for _, id := range f.ids {
			f.tickEngine(f.engines[id])
		}
	}
}

func (f *engineFleet) takeOrders() {
	orders := f.orders
	f.orders = nil
	for _, o := range orders {
		e := f.engines[o.Target]
		outcome := core.OrderRefused
		if e.remaining <= 0 {
			outcome = core.OrderBegun
			e.order = o.OrderLayers
			e.remaining = engineLoad * time.Duration(o.Layers.Len()) / 80
			f.loads++
			f.loading++
		}
		f.step(o.by, core.LayersOrdered{Target: o.Target, Outcome: outcome})
	}
}

func (f *engineFleet) tickEngine(e *loadingEngine) {
	f.load(e)
	if f.now.Before(e.heartbeatAt) {
		return
	}
	e.heartbeatAt = f.now.Add(heartbeatInterval)
	e.target.Call++
	f.step(e.reportsTo, core.TargetSpoke{Conn: 1, Target: e.target})
}

// load advances a load by one tick.
func (f *engineFleet) load(e *loadingEngine) {
	if e.remaining <= 0 {
		return
	}
	e.remaining -= tickEvery / time.Duration(max(1, (f.loading+f.atOnce-1)/max(f.atOnce, 1)*min(f.atOnce, 1)))
	if e.remaining <= 0 {
		e.target.Layers = e.order.Layers
		e.heartbeatAt = f.now
		f.loading--
	}
}

// copies returns the number of engines in a hall that hold its least replicated layer.
func (f *engineFleet) copies(hall string) int {
	counts := make([]int, 80)
	for _, id := range f.ids {
		if t := f.engines[id].target; t.Hall == hall {
			for i := t.Layers.First; i < t.Layers.Last; i++ {
				counts[i]++
			}
		}
	}
	return slices.Min(counts)
}

// loaded reports whether every engine holds layers.
func (f *engineFleet) loaded() bool {
	return !slices.ContainsFunc(f.ids, func(id relay.TargetID) bool { return f.engines[id].target.Layers.Len() == 0 })
}

// busiest returns the VM that has sent the most bytes, of those whose name begins with a letter.
func (f *engineFleet) busiest(role byte) core.VMName {
	vms := slices.DeleteFunc(slices.Clone(f.names), func(vm core.VMName) bool { return vm[0] != role })
	return slices.MaxFunc(vms, func(a, b core.VMName) int { return cmp.Compare(f.bytes[a], f.bytes[b]) })
}

// fleetOf300 has 300 VMs in three halls. With ten engines for each VM it has a tenth of
// the engines per VM of the fleet size to support in two years, as in the users' sweep.
var fleetOf300 = fleetSize{halls: 3, controls: 6, disks: 2, entries: 94}

// Guards against target updates that saturate links when all engines of a starting fleet load
// within seconds. Each VM was sent the full state of an engine at each of its reports, again
// while that was in flight, and all loading engines with each lease: 298 MB in 2.6 s, and
// 9.5 MB/s at the busiest control VM, whose link carries 12.5 MB/s. With deltas it is 97 MB
// and 3.3 MB/s.
func TestTargetUpdateTrafficIsBoundedWhileFleetLoads(t *testing.T) {
	f := newEngineFleet(t, fleetOf300, 3000)
	f.until("all have a lease", 10*time.Second, func() bool { return f.leased(0) })
	f.run(time.Second)
	f.put(1)
	f.measured = true
	took := f.until("all engines hold layers", 20*time.Second, f.loaded)
	f.run(time.Second)
	seconds := (took + time.Second).Seconds()
	require.Equal(t, len(f.ids), f.loads, "each engine loads once")
	require.Less(t, float64(f.bytes[f.busiest('c')])/seconds, 4e6, "bytes a second of the busiest control VM")
	require.Less(t, float64(f.bytes[f.busiest('e')])/seconds, 3e3, "bytes a second of the busiest entry VM")
	t.Log("bytes of messages on targets", f.kinds["TargetNews"])
	require.Less(t, f.kinds["TargetNews"], 120_000_000, "bytes of messages on targets")
	for _, vm := range f.entries() {
		f.requireShortlist(vm)
	}
}

// requireShortlist checks that an entry VM knows the current state of the engines on the
// shortlists, and few others.
func (f *engineFleet) requireShortlist(vm core.VMName) {
	document, err := f.decode(nil)
	require.NoError(f.t, err)
	var engines []relay.Target
	for _, id := range f.ids {
		if target := f.engines[id].target; target.AcceptsWork() {
			engines = append(engines, target)
		}
	}
	for _, id := range document.Services[0].Engine.Shortlist(engines, 0) {
		require.Contains(f.t, f.learned[vm], id, vm)
	}
	for id, known := range f.learned[vm] {
		require.Equal(f.t, f.engines[id].target.Layers, known.Layers, "%s at %s", id, vm)
		require.Equal(f.t, f.engines[id].target.Leaving, known.Leaving, "%s at %s", id, vm)
	}
	require.Less(f.t, len(f.learned[vm]), 3*3*relay.MinShortlist, "the shortlists of three halls, and two replacements for each engine")
}

// Guards against late first copies of the model when 3,000 empty engines start and the weight
// store serves 14 loads at full speed. If all were ordered at once, no hall would have its
// first copy before all halls have theirs, after 45 s (computed).
func TestFirstCopiesPerHallLoadFirst(t *testing.T) {
	f := newEngineFleet(t, fleetOf300, 3000)
	f.atOnce = 14
	f.decode = func(text []byte) (*relay.Document, error) {
		d, err := fullDocument(text)
		d.Services[0].Engine.LoadsAtOnce = f.atOnce
		return d, err
	}
	f.until("all have a lease", 10*time.Second, func() bool { return f.leased(0) })
	f.run(time.Second)
	f.put(1)
	took := f.until("each hall has three copies", 10*time.Second, func() bool {
		return f.copies("hall0") >= 3 && f.copies("hall1") >= 3 && f.copies("hall2") >= 3
	})
	t.Logf("three copies in each hall after %s and %d loads", took, f.loads)
	require.Less(t, took, 7*time.Second)
}

// Guards against a first plan that waits until all engines have registered. 3,000 engines
// register at 320 a second, right up to the first request. The plan was made 10.7 s after the
// first registration, and 47 engines were ordered to load 2 s after the first request.
func TestLoadsBeginWhileEnginesRegister(t *testing.T) {
	f := newEngineFleet(t, fleetOf300, 3000)
	f.atOnce = 14
	f.decode = func(text []byte) (*relay.Document, error) {
		d, err := fullDocument(text)
		d.Services[0].Engine.LoadsAtOnce = f.atOnce
		return d, err
	}
	for i, id := range f.ids {
		f.engines[id].heartbeatAt = f.now.Add(5*time.Second + time.Second*time.Duration(i)/320)
	}
	f.until("all have a lease", 10*time.Second, func() bool { return f.leased(0) })
	f.run(time.Second)
	f.put(1)
	f.run(f.engines[f.ids[0]].heartbeatAt.Sub(f.now))
	took := f.until("each hall has three copies", 20*time.Second, func() bool {
		return f.copies("hall0") >= 3 && f.copies("hall1") >= 3 && f.copies("hall2") >= 3
	})
	t.Logf("three copies in each hall %s after the first engine registered, and %d loads", took, f.loads)
	require.Less(t, took, 8*time.Second, "before the last has registered")
}

// A fleet with ten times the required capacity starts no further loads, since each load takes
// a part of the store's bandwidth from others.
func TestSufficientCapacityStartsNoLoads(t *testing.T) {
	f := newEngineFleet(t, smallFleet, 900)
	f.decode = func(text []byte) (*relay.Document, error) {
		d, err := fullDocument(text)
		d.Services[0].Engine.LoadsAtOnce = 1
		return d, err
	}
	f.atOnce = 1
	f.until("all have a lease", 10*time.Second, func() bool { return f.leased(0) })
	f.run(4 * time.Second)
	f.put(1)
	enough := func() bool { return f.copies("hall0") >= 3 && f.copies("hall1") >= 3 && f.copies("hall2") >= 3 }
	f.until("each hall has three copies", 90*time.Second, enough)
	busy := f.ids[slices.IndexFunc(f.ids, func(id relay.TargetID) bool { return f.engines[id].target.Layers.Len() > 0 })]
	f.work["e0-0"] = map[relay.TargetKey]relay.Work{busy.Key(): {Requests: 2, Tokens: 2000}}
	f.run(3 * time.Second)
	loads := f.loads
	f.run(20 * time.Second)
	require.Equal(t, loads, f.loads)
	f.work["e0-0"] = map[relay.TargetKey]relay.Work{busy.Key(): {Requests: 90, Tokens: 200_000_000}}
	f.run(10 * time.Second)
	require.Greater(t, f.loads, loads, "under load, further engines load")
}

// Guards against full target updates after a failover between control VMs. When the entry VMs
// of a hall lose its control VMs, they fail over to those of other halls, each of which sent
// them all targets again: 21.3 MB in 4 s.
func TestControlVMFailoverSendsDeltas(t *testing.T) {
	f := newEngineFleet(t, fleetOf300, 3000)
	f.until("all have a lease", 10*time.Second, func() bool { return f.leased(0) })
	f.run(time.Second)
	f.put(1)
	f.until("all engines hold layers", 20*time.Second, f.loaded)
	f.run(2 * time.Second)
	for _, entry := range f.names {
		for _, control := range f.names {
			if entry[0] == 'e' && control[0] == 'c' && f.halls[entry] == "hall2" && f.halls[control] == "hall2" {
				f.apart[[2]core.VMName{entry, control}] = true
				f.apart[[2]core.VMName{control, entry}] = true
			}
		}
	}
	f.measured = true
	f.run(3 * time.Second)
	leaving := f.engines[f.ids[7]]
	leaving.target.Leaving = true
	leaving.heartbeatAt = f.now
	f.run(time.Second)
	t.Log("bytes of messages on targets in 4 s", f.kinds["TargetNews"])
	require.Less(t, f.kinds["TargetNews"], 6_000_000, "bytes of messages on targets in 4 s")
	for _, vm := range f.entries() {
		f.requireShortlist(vm)
		require.True(t, f.learned[vm][f.ids[7]].Leaving, vm)
	}
}

package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// restart restarts all engines under their names, and returns the last reports of their
// previous incarnations, which haven't arrived yet.
func (f *engineFleet) restart(born uint64) []relay.Target {
	var late []relay.Target
	for i, id := range f.ids {
		e := f.engines[id]
		last := e.target
		last.Call += 5
		late = append(late, last)
		delete(f.engines, id)
		e.target.ID = relay.NewTargetID(id.Name(), born)
		e.target.Call, e.target.Layers, e.remaining = 0, config.Range{}, 0
		f.ids[i] = e.target.ID
		f.engines[e.target.ID] = e
	}
	return late
}

// covered reports whether each layer is held by an engine.
func (f *engineFleet) covered() bool {
	held := make(map[int]bool)
	for _, e := range f.engines {
		for i := e.target.Layers.First; i < e.target.Layers.Last; i++ {
			held[i] = true
		}
	}
	return len(held) == 80
}

// requireIncarnations requires that each entry VM knows exactly the running incarnations, with
// their layers.
func (f *engineFleet) requireIncarnations(t *testing.T) {
	t.Helper()
	for _, vm := range f.entries() {
		require.Len(t, f.learned[vm], len(f.ids), vm)
		for id, e := range f.engines {
			require.Equal(t, e.target.Layers, f.learned[vm][id].Layers, "%s of %s", id, vm)
		}
	}
}

// Restarted engines receive placement orders again, even if the leader changes and the last
// reports of their previous incarnations arrive late, at other control VMs.
func TestRestartedEnginesReceiveOrders(t *testing.T) {
	f := newEngineFleet(t, smallFleet, 30)
	f.until("all have a lease", 10*time.Second, func() bool { return f.leased(0) })
	f.run(4 * time.Second)
	f.put(1)
	f.until("engines hold all layers", time.Minute, f.covered)
	f.run(2 * time.Second)
	f.requireIncarnations(t)

	old := f.leader()
	late := f.restart(200)
	f.run(700 * time.Millisecond)
	f.dead[old] = true
	for _, e := range f.engines {
		if e.reportsTo == old {
			e.reportsTo = f.otherControl(old)
		}
	}
	for i, message := range late {
		f.sendReport(f.controlsBut(old)[i%5], message)
		f.step(f.controlsBut(old)[0], core.LayersOrdered{Target: message.ID, Outcome: core.OrderBegun})
	}
	f.until("another leads", 10*time.Second, func() bool { return f.leaderBut(old) != "" })
	f.until("engines hold all layers again", time.Minute, f.covered)
	for i, message := range late {
		message.Call++
		f.sendReport(f.controlsBut(old)[(i+1)%5], message)
	}
	f.run(2 * time.Second)
	f.requireIncarnations(t)
}

func (f *hallFleet) controlsBut(one core.VMName) []core.VMName {
	return slices.DeleteFunc(slices.Clone(f.names), func(vm core.VMName) bool { return vm[0] != 'c' || vm == one })
}

func (f *hallFleet) otherControl(than core.VMName) core.VMName { return f.controlsBut(than)[0] }

func incarnationOf(born, call uint64) relay.Target {
	return relay.Target{ID: relay.NewTargetID("i-1", born), Service: "s", Address: "10.0.0.1:80", Call: call}
}

// A hint has the incarnation that was current when it was saved. That one may have ended since,
// or may outdate the reports that arrive late.
func TestLaterIncarnationReplacesHint(t *testing.T) {
	for name, messages := range map[string]struct {
		hint, message relay.Target
		want          relay.TargetID
	}{
		"hint of the previous incarnation":   {hint: incarnationOf(100, 50), message: incarnationOf(200, 1), want: incarnationOf(200, 0).ID},
		"report of the previous incarnation": {hint: incarnationOf(200, 1), message: incarnationOf(100, 50), want: incarnationOf(200, 0).ID},
		"no start time":                      {hint: incarnationOf(0, 7), message: incarnationOf(0, 8), want: "i-1"},
	} {
		t.Run(name, func(t *testing.T) {
			n := controlNode([]relay.Target{messages.hint}, time.Unix(100, 0))
			now := lead(n, time.Unix(100, 0).Add(-2*time.Second))
			effects := n.Step(now, core.TargetSpoke{Conn: 1, Target: messages.message})
			learned := follow(n, now)
			require.Len(t, learned, 1)
			require.Equal(t, messages.want, learned[0].ID)
			for _, effect := range effects {
				if saved, ok := effect.(core.SaveTargets); ok {
					require.NotContains(t, saved.Targets, messages.hint)
				}
			}
		})
	}
}

// The end of an incarnation is reported once, with the VM that reported it.
func TestEndOfIncarnationIsReportedOnce(t *testing.T) {
	n := controlNode(nil, time.Unix(100, 0))
	now := lead(n, time.Unix(100, 0))
	ended := func(target relay.Target) (all []core.TargetsEnded) {
		for _, effect := range n.Step(now, core.TargetSpoke{Conn: 1, Target: target}) {
			if e, ok := effect.(core.TargetsEnded); ok {
				all = append(all, e)
			}
		}
		return all
	}
	require.Empty(t, ended(incarnationOf(100, 5)))
	require.Equal(t, []core.TargetsEnded{{Ended: []relay.Succession{{Old: incarnationOf(100, 0).ID, New: incarnationOf(200, 0).ID}}, ReportedBy: "c1"}}, ended(incarnationOf(200, 1)))
	require.Empty(t, ended(incarnationOf(100, 6)))
	require.Empty(t, ended(incarnationOf(200, 2)))
}

// Orders to ended incarnations must not take up the limit of loads at once, which only the
// orders to running incarnations count against.
func TestOrdersToEndedIncarnationsAreDropped(t *testing.T) {
	const engines = 12
	f := newEngineFleet(t, smallFleet, 0)
	f.decode = func(text []byte) (*relay.Document, error) {
		d, err := fullDocument(text)
		d.Services[0].Engine.LoadsAtOnce = 1
		return d, err
	}
	f.until("all have a lease", 10*time.Second, func() bool { return f.leased(0) })
	f.run(4 * time.Second)
	f.put(1)
	// ordered has all engines report for the given time, and returns the start times of the
	// engines that received orders.
	call := uint64(0)
	ordered := func(born uint64, d time.Duration) (borns []uint64) {
		for until := f.now.Add(d); f.now.Before(until); {
			call++
			for i := range engines {
				f.sendReport("c1-0", relay.Target{
					ID: relay.NewTargetID(fmt.Sprint("i-", i), born), Service: "s", Address: fmt.Sprint("10.1.0.", i, ":80"),
					Hall: "hall1", Accelerator: "a100", Slots: 192, Call: call,
				})
			}
			f.hallFleet.run(500 * time.Millisecond)
			for _, o := range f.orders {
				borns = append(borns, o.Target.StartMillis())
			}
			f.orders = nil
		}
		return borns
	}
	require.Len(t, ordered(100, 6*time.Second), 8)
	require.Equal(t, slices.Repeat([]uint64{200}, 8), ordered(200, 4*time.Second))
}

// incarnationRun simulates targets that restart under their names.
type incarnationRun struct {
	*registryCluster
	born map[string]uint64
	// late are reports that may still arrive.
	late []relay.Target
}

func (l *incarnationRun) id(name string) relay.TargetID { return relay.NewTargetID(name, l.born[name]) }

// report makes the running incarnation of a target report its layers. The report is received by a
// control VM, or stays in flight.
func (l *incarnationRun) report(name string, heard bool, to core.VMName) {
	id := l.id(name)
	t := l.truth[id]
	t.Call++
	l.truth[id] = t
	l.late = append(l.late, t)
	if heard {
		l.step(to, core.TargetSpoke{Conn: 1, Target: t})
	}
}

func (l *incarnationRun) startIncarnation(name string, born uint64, layers int) {
	l.born[name] = born
	id := l.id(name)
	if _, known := l.truth[id]; known {
		return // no two incarnations start at the same time
	}
	l.truth[id] = relay.Target{ID: id, Service: "s", Address: "10.0.0.1:" + name, Layers: config.Range{First: 0, Last: layers}}
}

// Whatever is lost, delayed or restarted, every entry VM receives the running incarnation of
// each target, and keeps no earlier one next to it.
func TestRunningIncarnationReachesEveryEntryVM(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &incarnationRun{registryCluster: newRegistryCluster(t), born: make(map[string]uint64)}
		control := rapid.SampledFrom(spreadControls)
		names := []string{"i-1", "i-2"}
		// Where clocks are set back, control VMs don't restart and lose their state: no VM
		// might be left that knows that the incarnation with the later start is silent.
		setBack := rapid.Bool().Draw(t, "clocks are set back")
		for i, name := range names {
			l.startIncarnation(name, uint64(100+i), 10)
		}
		l.lossy = true
		for range rapid.IntRange(1, 14).Draw(t, "events") {
			name := rapid.SampledFrom(names).Draw(t, "name")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				l.report(name, rapid.IntRange(0, 3).Draw(t, "heard") > 0, control.Draw(t, "to"))
			case 2:
				born := l.born[name] + uint64(rapid.IntRange(1, 9).Draw(t, "later"))
				if setBack && rapid.Bool().Draw(t, "set back") {
					born = l.born[name] - uint64(rapid.IntRange(1, 9).Draw(t, "earlier"))
				}
				l.startIncarnation(name, born, rapid.IntRange(1, 80).Draw(t, "layers"))
			case 3:
				if len(l.late) > 0 {
					l.step(control.Draw(t, "to"), core.TargetSpoke{Conn: 1, Target: rapid.SampledFrom(l.late).Draw(t, "late")})
				}
			case 4:
				if !setBack {
					l.start(control.Draw(t, "control VM"))
				}
			case 5:
				l.start(rapid.SampledFrom(spreadEntries).Draw(t, "entry VM"))
			}
			l.run(time.Duration(rapid.IntRange(1, 30).Draw(t, "time")) * 50 * time.Millisecond)
		}
		l.lossy = false
		for range 8 {
			for _, name := range names {
				l.report(name, true, control.Draw(t, "at last to"))
			}
			l.run(1200 * time.Millisecond)
		}
		for _, vm := range spreadEntries {
			for _, name := range names {
				id := l.id(name)
				require.Equal(t, l.truth[id].Layers, l.learned[vm][id].Layers, "%s of %s", id, vm)
				for other := range l.learned[vm] {
					beside := other.Name() == name && other.StartMillis() < id.StartMillis()
					require.False(t, beside, "%s counts beside %s at %s", other, id, vm)
				}
			}
		}
	})
}

package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// sizedFleet is a hallFleet of five halls with two control VMs each, and three engines per VM
// that each report to a control VM of their hall.
type sizedFleet struct {
	*hallFleet
	engines  []relay.Target
	reported int
	// rounds counts the rounds of work.
	rounds int
}

const (
	sizedHalls    = 5
	sizedControls = 2
	// sizedHeartbeat is the interval at which engines report.
	sizedHeartbeat = 3 * time.Second
	// answersPerSecond is the number of answers that all VMs together begin per second,
	// answerTime the duration of one, and stagesOfAnswer the engines that it needs. The load of
	// a fleet doesn't depend on its size.
	answersPerSecond = 200
	answerTime       = 4 * time.Second
	stagesOfAnswer   = 10
)

func newSizedFleet(t *testing.T, vms int) *sizedFleet {
	f := &sizedFleet{hallFleet: newHallFleet(t, fleetSize{halls: sizedHalls, controls: sizedControls, disks: sizedControls, entries: vms/sizedHalls - sizedControls})}
	f.decode = fullDocument
	f.pass = f.live
	for i := range 3 * vms {
		kind := "l4"
		if i/sizedHalls%10 < 1 {
			kind = "a100"
		}
		f.engines = append(f.engines, relay.Target{
			ID: relay.TargetID(fmt.Sprintf("i-%08d", i)), Service: "s", Address: fmt.Sprintf("10.9.%d.%d:8080", i/250, i%250),
			Hall: fmt.Sprintf("hall%d", i%sizedHalls), Accelerator: kind, Slots: 192,
		})
	}
	return f
}

// live advances time while engines report in turn.
func (f *sizedFleet) live(d time.Duration) {
	each := int(int64(len(f.engines)) * int64(tickEvery) / int64(sizedHeartbeat))
	for until := f.now.Add(d); f.now.Before(until); {
		for range each {
			f.sendReport(f.reported % len(f.engines))
			f.reported++
		}
		f.run(tickEvery)
	}
}

func (f *sizedFleet) sendReport(i int) {
	e := &f.engines[i]
	e.Call++
	to := core.VMName(fmt.Sprintf("c%d-%d", i%sizedHalls, i/sizedHalls%sizedControls))
	if f.dead[to] {
		to = core.VMName(fmt.Sprintf("c%d-%d", (i+1)%sizedHalls, i/sizedHalls%sizedControls))
	}
	f.step(to, core.TargetSpoke{Conn: 1, Target: *e})
}

// load gives layers to every engine.
func (f *sizedFleet) load() {
	for i := range f.engines {
		first := i / sizedHalls % 10 * 8
		f.engines[i].Layers.First, f.engines[i].Layers.Last = first, first+8
	}
}

// serve advances time while entry VMs have answers in progress at engines that they know.
func (f *sizedFleet) serve(d time.Duration) {
	const round = 200 * time.Millisecond
	entries := f.entries()
	for until := f.now.Add(d); f.now.Before(until); {
		f.rounds++
		share := int(answerTime / round)
		for i, vm := range entries {
			if i%share != f.rounds%share {
				continue
			}
			f.work[vm] = f.answers(vm, i, len(entries))
		}
		f.live(round)
	}
}

// answers returns the work of one entry VM in progress.
func (f *sizedFleet) answers(vm core.VMName, i, vms int) map[relay.TargetKey]relay.Work {
	work := make(map[relay.TargetKey]relay.Work)
	var known []relay.TargetID
	for id := range f.learned[vm] {
		known = append(known, id)
	}
	slices.Sort(known)
	inProgress := answersPerSecond * int(answerTime.Seconds())
	for answer := i; answer < inProgress && len(known) > 0; answer += vms {
		for stage := range stagesOfAnswer {
			key := known[(answer*31+stage*17+f.rounds*7)%len(known)].Key()
			work[key] = work[key].Plus(relay.Work{Requests: 1, Tokens: 900 * 8})
		}
	}
	return work
}

// traffic is the traffic during a phase, in bytes.
type traffic struct {
	// entry is the mean that an entry VM received and sent, leader what the leader sent, and
	// control the most that any other control VM sent.
	entry, leader, control int
}

// measure measures the traffic during a phase.
func (f *sizedFleet) measure(part func()) traffic {
	f.measured = true
	clear(f.bytes)
	clear(f.received)
	part()
	f.measured = false
	var s traffic
	leader := f.leader()
	for vm, sent := range f.bytes {
		switch {
		case vm[0] == 'e':
			s.entry += sent + f.received[vm]
		case vm == leader:
			s.leader = sent
		default:
			s.control = max(s.control, sent)
		}
	}
	s.entry /= len(f.entries())
	return s
}

// setEveryThird kills or restarts every third entry VM.
func (f *sizedFleet) setEveryThird(alive bool) {
	for i, vm := range f.names {
		switch {
		case vm[0] != 'e' || i%3 != 0:
		case alive:
			f.restart(vm)
		default:
			f.dead[vm] = true
		}
	}
}

// measureAll measures all phases.
func (f *sizedFleet) measureAll() map[string]traffic {
	const settled = 4 * time.Second
	scenes := make(map[string]traffic)
	f.until("all have a lease", 20*time.Second, func() bool { return f.leased(0) })
	f.live(time.Second)
	f.put(1)
	scenes["start"] = f.measure(func() {
		f.live(sizedHeartbeat + time.Second)
		f.load()
		f.live(sizedHeartbeat + time.Second)
	})
	f.serve(settled)
	scenes["steady"] = f.measure(func() { f.serve(settled) })
	scenes["storm"] = f.measure(func() {
		for version := uint64(2); version < 12; version++ {
			f.put(version)
			f.serve(settled / 20)
		}
	})
	scenes["third lost"] = f.measure(func() { f.setEveryThird(false); f.serve(settled) })
	scenes["third back"] = f.measure(func() { f.setEveryThird(true); f.serve(settled) })
	scenes["new leader"] = f.measure(func() { f.dead[f.leader()] = true; f.serve(settled) })
	return scenes
}

// Covers a fleet that grows while its load stays the same. What an entry VM receives, and what
// the leader sends beside its work for the entry VMs of its hall, must follow the requests and
// the changes: entry VMs must not receive all engines and every change of them.
func TestEntryVMTrafficIsIndependentOfFleetSize(t *testing.T) {
	const smaller = 200
	// Only the list of entry VMs covers the whole fleet. It is sent in full at a start, and
	// changes much where many VMs join and leave.
	const flat, withList = 1.25, 1.6
	most := map[string]float64{
		"start": withList, "steady": flat, "storm": flat, "third lost": flat, "third back": withList, "new leader": flat,
	}
	small := newSizedFleet(t, smaller)
	large := newSizedFleet(t, 2*smaller)
	before, after := small.measureAll(), large.measureAll()
	for name, factor := range most {
		t.Logf("%s: entry VM %d and %d B, leader %d and %d B, other control VMs %d and %d B at most", name,
			before[name].entry, after[name].entry, before[name].leader, after[name].leader, before[name].control, after[name].control)
		require.LessOrEqual(t, float64(after[name].entry), factor*float64(before[name].entry), "%s: bytes of an entry VM", name)
		// Twice as many entry VMs renew in each hall, and each receives as much as before.
		require.LessOrEqual(t, float64(after[name].control), 2*factor*float64(before[name].control), "%s: bytes of a control VM", name)
	}
	for _, f := range []*sizedFleet{small, large} {
		for _, vm := range f.entries() {
			require.Less(t, len(f.learned[vm]), 3*sizedHalls*relay.MinShortlist, vm)
		}
	}
}

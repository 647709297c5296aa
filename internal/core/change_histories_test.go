package core_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
)

// Histories of changes of the configuration and faults are drawn from seeds; each must hold for
// any seed.
var (
	changeHistories    = flag.Int("change-histories", 8, "number of histories of changes")
	firstChangeHistory = flag.Uint64("change-history", 1, "seed of the first one")
	largestChange      = flag.Int("change-size", 256<<10, "size of the largest document in bytes")
)

// smallChangeFleet has three control and three entry VMs.
var smallChangeFleet = fleetSize{halls: 3, controls: 1, disks: 1, entries: 1}

// arrivalAim is the aim for a change to arrive at a VM in touch.
const arrivalAim = 700 * time.Millisecond

// Regression: a change whose sending was lost was not sent again while others followed it, and an
// entry VM refused requests by a configuration that was 3.7 s old.
func TestLostChangeArrivesWhileOthersFollow(t *testing.T) {
	for _, every := range []time.Duration{50 * time.Millisecond, 150 * time.Millisecond, 330 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second} {
		t.Run(every.String(), func(t *testing.T) {
			w := newChangeWorld(t, smallChangeFleet, 1)
			w.losesPush = "e1-0"
			began := w.now
			w.until("the lost change", 5*time.Second, func() bool {
				if w.now.Sub(began)%every < tickEvery {
					w.change(0)
				}
				return w.lostPush > 0 && w.nodes["e1-0"].Status().EntryRevision >= w.lostPush
			})
			require.Less(t, w.longest, arrivalAim)
			require.True(t, w.nodes["e1-0"].Status().HasLease)
		})
	}
}

// Regression: a control VM that had installed a snapshot sent the changes before and after it as
// if none were missing, and its entry VMs could apply none of them.
func TestEntryVMsGetChangesFromControlVMThatInstalledSnapshot(t *testing.T) {
	w := newChangeWorld(t, fleetSize{halls: 3, controls: 1, disks: 1, entries: 2}, 2)
	follower := core.VMName("c1-0")
	if w.leader() == follower {
		follower = "c2-0"
	}
	hall := w.halls[follower]
	entry := core.VMName("e" + string(follower[1:]))
	w.losesPush = entry
	w.change(0)
	w.until("a change is lost", time.Second, func() bool { return w.lostPush > 0 })
	w.cutHall(hall, true)
	for range 300 {
		w.change(0)
		w.live(tickEvery)
	}
	for _, vm := range w.names {
		if vm[0] == 'c' {
			w.apart[[2]core.VMName{vm, follower}] = false
			w.apart[[2]core.VMName{follower, vm}] = false
		}
	}
	w.until("the control VM has caught up", 10*time.Second, func() bool {
		return w.nodes[follower].Status().Revision == w.nodes[w.leader()].Status().Revision
	})
	require.True(t, slices.ContainsFunc(w.notes, func(n core.Note) bool { return strings.HasPrefix(n.Text, "state is replaced by a snapshot") }))
	first := w.nodes[follower].Status().Revision
	began := w.now
	w.until("the changes before and after the snapshot", 5*time.Second, func() bool {
		if w.now.Sub(began)%(300*time.Millisecond) < tickEvery {
			w.change(0)
		}
		s := w.nodes[entry].Status()
		return s.HasLease && s.LeaseBy == follower && s.EntryRevision >= first
	})
	require.Less(t, w.now.Sub(began), arrivalAim)
}

// cutHall cuts or restores the links between a data hall and the others.
func (w *changeWorld) cutHall(hall string, cut bool) {
	for _, vm := range w.names {
		for _, other := range w.names {
			if w.halls[vm] == hall && w.halls[other] != hall {
				w.apart[[2]core.VMName{vm, other}] = cut
				w.apart[[2]core.VMName{other, vm}] = cut
			}
		}
	}
}

// Regression: an entry VM ignored the changes in a grant of an earlier leader, or with the number
// of a renewal that it no longer remembered.
func TestChangeIsAppliedWhateverLeaseItComesWith(t *testing.T) {
	for name, spoil := range map[string]func(*core.Grant){
		"earlier term":   func(g *core.Grant) { g.Term-- },
		"unknown number": func(g *core.Grant) { g.Number += 1000 },
	} {
		t.Run(name, func(t *testing.T) {
			w := newChangeWorld(t, smallChangeFleet, 3)
			revision := w.nodes["e1-0"].Status().EntryRevision
			before := w.nodes["e1-0"].Status().EntryLease
			transmits := w.loses
			w.loses = func(e core.Envelope) bool {
				if e.To != "e1-0" || e.Body.Grant == nil {
					return transmits(e)
				}
				g := *e.Body.Grant
				spoil(&g)
				e.Body.Grant = &g
				return transmits(e)
			}
			w.change(0)
			w.until("the change", arrivalAim, func() bool { return w.nodes["e1-0"].Status().EntryRevision > revision })
			require.LessOrEqual(t, w.nodes["e1-0"].Status().EntryLease, before, "such a grant extends no lease")
		})
	}
}

// Guards against an entry VM that doesn't know the control VMs: their list was lost on its way, and
// counted as received when it was sent.
func TestLostListOfControlVMsIsSentAgain(t *testing.T) {
	w := newChangeWorld(t, fleetSize{halls: 3, controls: 2, disks: 1, entries: 1}, 6)
	const vm = core.VMName("e1-0")
	lost, received := 0, 0
	transmit := w.loses
	w.loses = func(e core.Envelope) bool {
		if e.To == vm && e.Body.Grant != nil && len(e.Body.Grant.ControlVMs) > 0 {
			if lost == 0 {
				lost++
				return true
			}
			received++
		}
		return transmit(e)
	}
	w.kill("c2-1")
	w.until("a list is lost", 5*time.Second, func() bool { return lost > 0 })
	w.until("it is sent again", time.Second, func() bool { return received > 0 })
	w.live(time.Second)
	sent := received
	w.live(time.Second)
	require.Equal(t, sent, received, "it is sent until it is acknowledged")
}

// Guards against final refusals by a configuration that may be outdated: the caller is asked to
// come back once the VM knows that it lacks a change, or isn't confirmed to have all of them.
func TestRequestIsNotRefusedForGoodByOutdatedConfig(t *testing.T) {
	const vm = core.VMName("e1-0")
	refusal := func(w *changeWorld) core.Refusal {
		for _, effect := range w.nodes[vm].Step(w.now, core.StreamAsked{Conn: 9, ID: "r", Key: "unknown"}) {
			if r, ok := effect.(core.Refuse); ok {
				return r.Refusal
			}
		}
		return core.Refusal{}
	}
	t.Run("confirmed", func(t *testing.T) {
		w := newChangeWorld(t, smallChangeFleet, 5)
		require.Equal(t, core.RefusedKey, refusal(w).Kind)
	})
	t.Run("a change is missing", func(t *testing.T) {
		w := newChangeWorld(t, smallChangeFleet, 5)
		w.losesPush = vm
		w.change(0)
		w.until("a change is lost", time.Second, func() bool { return w.lostPush > 0 })
		require.Equal(t, core.RefusedKey, refusal(w).Kind, "it doesn't know")
		w.until("a gap", time.Second, func() bool { return w.nodes[vm].Status().GrantsUnapplied > 0 })
		r := refusal(w)
		require.Equal(t, core.RefusedOutdated, r.Kind)
		require.Equal(t, core.RanNo, r.Ran)
		require.True(t, r.RetryAt.After(w.now))
		w.until("the change", time.Second, func() bool { return w.nodes[vm].Status().EntryRevision >= w.lostPush })
		require.Equal(t, core.RefusedKey, refusal(w).Kind)
	})
	t.Run("not confirmed", func(t *testing.T) {
		w := newChangeWorld(t, smallChangeFleet, 5)
		for _, other := range w.names {
			w.apart[[2]core.VMName{other, vm}] = true
		}
		w.live(time.Second)
		require.Equal(t, core.RefusedKey, refusal(w).Kind)
		w.live(time.Second)
		require.True(t, w.nodes[vm].Status().HasLease)
		require.Equal(t, core.RefusedOutdated, refusal(w).Kind)
	})
}

// Guards against an entry VM that stays with a control VM which delivers changes and confirms no
// lease: each change counted as an answer to its renewals.
func TestEntryVMTurnsToControlVMThatConfirms(t *testing.T) {
	w := newChangeWorld(t, smallChangeFleet, 4)
	follower := core.VMName("c1-0")
	if w.leader() == follower {
		follower = "c2-0"
	}
	entry := core.VMName("e" + string(follower[1:]))
	require.Equal(t, follower, w.nodes[entry].Status().LeaseBy)
	w.apart[[2]core.VMName{follower, w.leader()}] = true
	for began := w.now; w.now.Sub(began) < 8*time.Second; {
		w.change(0)
		w.live(140 * time.Millisecond)
		require.True(t, w.nodes[entry].Status().HasLease, "after %s", w.now.Sub(began))
	}
}

// An entry VM in touch has each change within the bound, whatever happened more than three
// seconds before.
func TestChangesArriveInRandomHistories(t *testing.T) {
	longest, unconfirmed := time.Duration(0), time.Duration(0)
	for i := range *changeHistories {
		seed := *firstChangeHistory + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			h := newChangeHistory(t, seed)
			h.play()
			t.Logf("%d control and %d entry VMs: longest %s at %s, %d bytes in %d deliveries for %d changes", h.size.halls*h.size.controls, h.size.halls*h.size.entries, h.longest, h.longestAt, h.grantBytes, h.deliveries, h.commands)
			longest, unconfirmed = max(longest, h.longest), max(unconfirmed, h.unconfirmed)
		})
	}
	require.Less(t, unconfirmed, platformTiming().ConfirmWithin)
	t.Logf("longest of all: %s without a change, %s without a confirmation", longest, unconfirmed)
}

// changeHistory is what is drawn of one seed.
type changeHistory struct {
	*changeWorld
	size fleetSize
	// every is the time between two changes, and bytes the size of a document; 0 for small changes.
	every time.Duration
	bytes int
	steps []historyStep
	// wiped is set if a control VM loses its disk.
	wiped bool
}

type historyStep struct {
	at  time.Time
	run func()
}

const (
	faultyTime = 2 * time.Second
	// observedTime is how long changes follow after the last fault.
	observedTime = 8 * time.Second
)

func newChangeHistory(t require.TestingT, seed uint64) *changeHistory {
	size := fleetSize{halls: 3, controls: 1, disks: 1, entries: 1}
	switch seed % 8 {
	case 3, 5:
		size = fleetSize{halls: 3, controls: 2, disks: 1, entries: 2}
	case 6:
		size = fleetSize{halls: 5, controls: 1, disks: 1, entries: 4}
	case 7:
		size = fleetSize{halls: 3, controls: 3, disks: 1, entries: 8}
	}
	if seed%64 == 0 {
		size = fleetSize{halls: 5, controls: 1, disks: 1, entries: 12}
	}
	h := &changeHistory{changeWorld: newChangeWorld(t, size, seed), size: size}
	h.every = 50*time.Millisecond + time.Duration(h.random.Int64N(int64(950*time.Millisecond)))
	if h.random.IntN(4) == 0 {
		h.every = time.Second + time.Duration(h.random.Int64N(int64(2*time.Second)))
	}
	if h.random.IntN(3) == 0 {
		h.bytes = 60 << h.random.IntN(18)
		h.bytes = min(h.bytes, *largestChange)
	}
	for range 1 + h.random.IntN(5) {
		h.drawFault()
	}
	return h
}

func (h *changeHistory) randomTime(most time.Duration) time.Duration {
	return time.Duration(h.random.Int64N(int64(most)))
}

func (h *changeHistory) randomVM(kind byte) core.VMName {
	for {
		if vm := h.names[h.random.IntN(len(h.names))]; kind == 0 || vm[0] == kind {
			return vm
		}
	}
}

func (h *changeHistory) at(delay time.Duration, run func()) {
	h.steps = append(h.steps, historyStep{at: h.now.Add(delay), run: run})
}

// drawFault draws a fault that ends within faultyTime.
func (h *changeHistory) drawFault() {
	begin := h.randomTime(faultyTime)
	length := min(h.randomTime(1500*time.Millisecond), faultyTime-begin)
	vm, other := h.randomVM(0), h.randomVM(0)
	entry := h.randomVM('e')
	switch h.random.IntN(10) {
	case 0, 1:
		// A link breaks: what is sent within a moment is lost.
		h.at(begin, func() { h.link(h.nodes[entry].Status().LeaseBy, entry).losesUntil = h.now.Add(3 * tickEvery) })
	case 2:
		h.at(begin, func() { h.cutFrom(entry, true, true) })
		h.at(begin+length, func() { h.cutFrom(entry, false, false) })
	case 3:
		into := h.random.IntN(2) == 0
		h.at(begin, func() { h.cutFrom(vm, into, !into) })
		h.at(begin+length, func() { h.cutFrom(vm, false, false) })
	case 4:
		every := 1 + h.random.IntN(20)
		h.at(begin, func() { h.spoilLinks(func(l *faultyLink) { l.losesUntil, l.lossEvery = h.now.Add(length), every }) })
	case 5:
		delay := h.randomTime(time.Second)
		h.at(begin, func() { h.spoilLinks(func(l *faultyLink) { l.delayedUntil, l.delay = h.now.Add(length), delay }) })
	case 6:
		h.at(begin, func() { h.freeze(vm) })
		h.at(begin+length, func() { h.thaw(vm) })
	case 7:
		h.at(begin, func() { h.kill(vm) })
		h.at(begin+length, func() { h.revive(vm) })
	case 8:
		h.at(begin, func() { h.link(vm, other).losesUntil = h.now.Add(length) })
	case 9:
		// The process is back without its disk, as another replica, which installs a snapshot.
		wiped := h.randomVM('c')
		if _, disk := h.disks[wiped]; disk && wiped != h.names[0] && !h.wiped {
			h.wiped = true
			h.at(begin, func() { h.kill(wiped) })
			h.at(begin+length, func() { h.startEmpty(wiped) })
		}
	}
}

// cutFrom cuts or restores the links of a VM, in either direction.
func (h *changeHistory) cutFrom(vm core.VMName, into, out bool) {
	for _, other := range h.names {
		h.apart[[2]core.VMName{other, vm}] = into
		h.apart[[2]core.VMName{vm, other}] = out
	}
}

func (h *changeHistory) spoilLinks(spoil func(*faultyLink)) {
	for _, from := range h.names {
		for _, to := range h.names {
			spoil(h.link(from, to))
		}
	}
}

func (h *changeHistory) revive(vm core.VMName) {
	if _, frozen := h.frozen[vm]; frozen || !h.dead[vm] {
		return
	}
	h.restart(vm)
	h.markFault(vm)
}

func (h *changeHistory) startEmpty(vm core.VMName) {
	if h.dead[vm] {
		h.start(vm, true)
		h.markFault(vm)
	}
}

func (h *changeHistory) play() {
	end := h.now.Add(faultyTime + observedTime)
	next := h.now
	for h.now.Before(end) {
		for i := range h.steps {
			if s := &h.steps[i]; s.run != nil && !s.at.After(h.now) {
				s.run()
				s.run = nil
			}
		}
		if !h.now.Before(next) {
			h.change(h.bytes)
			next = h.now.Add(h.every)
		}
		h.live(tickEvery)
	}
}

package core_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/query"
)

// The bounds are those of the platform's rules.
const (
	// applyBound is how long after its acknowledgement a change may be missing at a VM in touch.
	applyBound = 2 * time.Second
	// touchTime is how long a VM and the control VMs have to be free of faults to be in touch.
	touchTime = 3 * time.Second
	// congestedAfter is the wait of messages for a link from which the link counts as faulty.
	congestedAfter = 500 * time.Millisecond
)

// changeWorld is a fleet whose messages take time on links with a bandwidth and with faults, and
// whose operators change the configuration. It checks that the changes arrive.
type changeWorld struct {
	*hallFleet
	random *rand.Rand
	links  map[[2]core.VMName]*faultyLink
	// outFree and inFree are when a VM's own link has sent and received everything.
	outFree, inFree map[core.VMName]time.Time
	inTransit       []transit
	frozen          map[core.VMName][]core.Envelope
	// faultAt is when a VM last had a fault, coreFaultAt when a control VM did.
	faultAt     map[core.VMName]time.Time
	coreFaultAt time.Time
	acks        []acknowledged
	commands    uint64
	document    uint64
	// longest is the longest time for which a change was missing at a VM in touch, in the whole run.
	longest   time.Duration
	longestAt string
	// unconfirmed is the longest time for which a VM in touch had no confirmation of its
	// configuration.
	unconfirmed time.Duration
	// losesPush is the entry VM whose next change is lost, and lostPush the revision that was.
	losesPush core.VMName
	lostPush  config.Revision
	// grantBytes counts the bytes of configuration in grants, deliveries the grants with any.
	grantBytes, deliveries int
}

// faultyLink is what happens to the messages from one VM to another.
type faultyLink struct {
	// losesUntil is when the link stops losing messages; it loses one of lossEvery.
	losesUntil time.Time
	lossEvery  int
	// delayedUntil is when the link stops delaying messages by delay.
	delayedUntil time.Time
	delay        time.Duration
	freeAt       time.Time
}

type transit struct {
	at time.Time
	e  core.Envelope
}

// acknowledged is a change that was acknowledged to an operator.
type acknowledged struct {
	revision config.Revision
	at       time.Time
}

const (
	// linkRate is the bandwidth of a VM's link in bytes per second, messageBytes the size of a message
	// without configuration.
	linkRate     = 12_500_000
	messageBytes = 300
)

// platformTiming is the timing on the platform.
func platformTiming() core.Timing {
	t := core.DefaultTiming()
	t.LeaseDuration = 4 * time.Second
	t.RenewInterval = 300 * time.Millisecond
	return t
}

func newChangeWorld(t require.TestingT, size fleetSize, seed uint64) *changeWorld {
	size.timing = platformTiming()
	w := &changeWorld{
		hallFleet: newHallFleet(t, size), random: rand.New(rand.NewPCG(seed, 76)),
		links: make(map[[2]core.VMName]*faultyLink), frozen: make(map[core.VMName][]core.Envelope),
		outFree: make(map[core.VMName]time.Time), inFree: make(map[core.VMName]time.Time), faultAt: make(map[core.VMName]time.Time),
	}
	w.loses = func(e core.Envelope) bool {
		w.transmit(e)
		return true
	}
	w.pass = w.live
	w.markFault(w.names...)
	w.until("all have a lease", 20*time.Second, func() bool { return w.leased(0) })
	w.live(touchTime)
	return w
}

func (w *changeWorld) link(from, to core.VMName) *faultyLink {
	key := [2]core.VMName{from, to}
	if w.links[key] == nil {
		w.links[key] = &faultyLink{lossEvery: 1}
	}
	return w.links[key]
}

// sizeOf estimates the size of a message by its documents.
func sizeOf(e core.Envelope) int {
	size := messageBytes
	add := func(changes []config.Change) {
		for _, c := range changes {
			if c.Document != nil {
				size += len(c.Document.Source)
			}
			if c.Patch != nil {
				size += len(c.Patch.Patch)
			}
		}
	}
	switch b := e.Body; {
	case b.Grant != nil:
		for _, d := range b.Grant.Deltas {
			add(d.Changes)
		}
		if b.Grant.State != nil {
			size += len(b.Grant.State.Document.Source)
		}
	case b.Append != nil:
		for _, entry := range b.Append.Entries {
			add(entry.Changes)
		}
	case b.Install != nil:
		size += len(b.Install.Snapshot.Machine.Config.Document.Source)
	}
	return size
}

// transmit sends a message over its link, in the order of sending.
func (w *changeWorld) transmit(e core.Envelope) {
	from, to := e.From.VM, e.To
	if _, known := w.nodes[to]; !known {
		return
	}
	link := w.link(from, to)
	size := sizeOf(e)
	if g := e.Body.Grant; g != nil && (g.State != nil || len(g.Deltas) > 0) {
		w.grantBytes += size
		w.deliveries++
	}
	if g := e.Body.Grant; g != nil && to == w.losesPush && len(g.Deltas) > 0 {
		w.losesPush, w.lostPush = "", g.Revision
		return
	}
	transfer := time.Duration(size) * time.Second / linkRate
	w.outFree[from] = latest(w.outFree[from], w.now).Add(transfer)
	w.inFree[to] = latest(w.inFree[to], w.outFree[from].Add(-transfer)).Add(transfer)
	if lost := w.now.Before(link.losesUntil) && w.random.IntN(link.lossEvery) == 0; lost || w.apart[[2]core.VMName{from, to}] || w.dead[to] {
		w.markFault(from, to)
		return
	}
	at := w.inFree[to]
	if w.now.Before(link.delayedUntil) {
		at = at.Add(link.delay)
		w.markFault(from, to)
	}
	link.freeAt = latest(link.freeAt, at)
	if link.freeAt.Sub(w.now) > congestedAfter {
		w.markFault(from, to)
	}
	w.inTransit = append(w.inTransit, transit{at: link.freeAt, e: e})
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (w *changeWorld) markFault(vms ...core.VMName) {
	for _, vm := range vms {
		w.faultAt[vm] = w.now
		if vm[0] == 'c' {
			w.coreFaultAt = w.now
		}
	}
}

// live advances time.
func (w *changeWorld) live(d time.Duration) {
	for until := w.now.Add(d); w.now.Before(until); {
		w.run(tickEvery)
		for link, cut := range w.apart {
			if cut {
				w.markFault(link[0], link[1])
			}
		}
		arriving := w.inTransit
		w.inTransit = nil
		for _, t := range arriving {
			if t.at.After(w.now) {
				w.inTransit = append(w.inTransit, t)
				if t.at.Sub(w.now) > congestedAfter {
					w.markFault(t.e.From.VM, t.e.To)
				}
				continue
			}
			w.arrive(t.e)
		}
		w.checkChanges()
	}
}

func (w *changeWorld) arrive(e core.Envelope) {
	if held, frozen := w.frozen[e.To]; frozen {
		w.frozen[e.To] = append(held, e)
		return
	}
	w.step(e.To, core.Received{Envelope: e})
}

// change has an operator make a small change, or send a document of the given size.
func (w *changeWorld) change(size int) {
	leader := w.leader()
	if leader == "" {
		return
	}
	w.commands++
	conn := core.ConnID(w.commands)
	w.answered = func(a core.Answer) {
		if a.Result.Kind == core.ResultAccepted {
			w.acks = append(w.acks, acknowledged{revision: a.Result.Revision, at: w.now})
		}
	}
	if size > 0 {
		w.document++
		text := make([]byte, size)
		_, _ = rand.NewChaCha8([32]byte{byte(w.document), byte(w.document >> 8)}).Read(text) // never fails
		w.step(leader, core.DocumentPut{Conn: conn, Document: config.Document{Version: w.document, Source: text}})
		return
	}
	statement, err := query.Parse(fmt.Sprintf("declare organisation o%d key=k%d weight=1", w.commands%50, w.commands))
	require.NoError(w.t, err)
	w.step(leader, core.Operated{Conn: conn, Statement: statement, Operator: "op", Number: w.commands, Digest: fmt.Sprint(w.commands)})
}

// checkChanges verifies that VMs in touch have the changes that were acknowledged.
func (w *changeWorld) checkChanges() {
	oldest := config.Revision(1<<62 - 1)
	for _, vm := range w.names {
		if vm[0] == 'e' {
			oldest = min(oldest, w.nodes[vm].Status().EntryRevision)
		}
	}
	w.acks = slices.DeleteFunc(w.acks, func(a acknowledged) bool { return a.revision <= oldest })
	for _, vm := range w.entries() {
		if !w.inTouch(vm) {
			continue
		}
		s := w.nodes[vm].Status()
		w.unconfirmed = max(w.unconfirmed, w.now.Sub(s.EntryConfirmed))
		missing := time.Duration(0)
		for _, a := range w.acks {
			if a.revision > s.EntryRevision {
				missing = max(missing, w.now.Sub(a.at))
			}
		}
		if missing > w.longest {
			w.longest, w.longestAt = missing, string(vm)
		}
		require.LessOrEqual(w.t, missing, applyBound, "%s has revision %d and a lease: %v; %s ago a newer one was acknowledged", vm, s.EntryRevision, s.HasLease, missing)
	}
}

func (w *changeWorld) inTouch(vm core.VMName) bool {
	calm := func(fault time.Time) bool { return w.now.Sub(fault) > touchTime }
	return calm(w.faultAt[vm]) && calm(w.coreFaultAt)
}

// freeze stops a process for a while; messages to it wait.
func (w *changeWorld) freeze(vm core.VMName) {
	w.frozen[vm] = nil
	w.dead[vm] = true
	w.markFault(vm)
}

func (w *changeWorld) thaw(vm core.VMName) {
	held, frozen := w.frozen[vm]
	if !frozen {
		return
	}
	delete(w.frozen, vm)
	w.dead[vm] = false
	w.markFault(vm)
	for _, e := range held {
		w.step(vm, core.Received{Envelope: e})
	}
}

func (w *changeWorld) kill(vm core.VMName) {
	delete(w.frozen, vm)
	w.dead[vm] = true
	w.markFault(vm)
	w.inTransit = slices.DeleteFunc(w.inTransit, func(t transit) bool { return t.e.To == vm || t.e.From.VM == vm })
}

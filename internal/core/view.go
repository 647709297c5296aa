package core

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// entryList is a list of entry VMs, as callers are told of them: the leader's, or that of a
// control VM for those that renew with it. It remembers at which version each line changed, so
// that a holder gets only what it lacks: the whole list for every change would cost more than
// all other control messages.
type entryList struct {
	version uint64
	// first is the version that the list began with. A holder of an earlier one gets
	// the whole list.
	first uint64
	lines map[VMName]entryLine
	// names holds the keys of lines, sorted.
	names []VMName
	// sum is that of all lines, by which two lists are compared without sending them.
	sum       uint64
	gone      map[VMName]uint64
	refreshAt time.Time
}

type entryLine struct {
	view    EntryView
	changed uint64
}

// newEntryList returns an empty list whose numbers are above first.
func newEntryList(first uint64) entryList {
	return entryList{version: first, first: first, lines: make(map[VMName]entryLine), gone: make(map[VMName]uint64)}
}

// set takes what is now said of a VM.
func (l *entryList) set(view EntryView) {
	vm := view.Address.VM
	if line, ok := l.lines[vm]; ok && line.view == view {
		return
	}
	l.version++
	at, known := slices.BinarySearch(l.names, vm)
	if !known {
		l.names = slices.Insert(l.names, at, vm)
	} else {
		l.sum ^= l.lines[vm].view.hash()
	}
	l.sum ^= view.hash()
	l.lines[vm] = entryLine{view: view, changed: l.version}
	delete(l.gone, vm)
}

func (l *entryList) remove(vm VMName) {
	if _, ok := l.lines[vm]; !ok {
		return
	}
	l.version++
	at, _ := slices.BinarySearch(l.names, vm)
	l.names = slices.Delete(l.names, at, at+1)
	l.sum ^= l.lines[vm].view.hash()
	delete(l.lines, vm)
	l.gone[vm] = l.version
}

// hash covers a line as a whole.
func (v EntryView) hash() uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, v.Address.VM, "|", v.Address.Hall, "|", v.Address.Callers, "|", v.Address.Peers, "|", v.Incarnation, v.Leaving, v.LoadLevel) // a hash takes everything
	return h.Sum64()
}

// hashOf is the sum of some lines.
func hashOf(view []EntryView) uint64 {
	sum := uint64(0)
	for _, v := range view {
		sum ^= v.hash()
	}
	return sum
}

// grantTo puts into a grant what its holder lacks of the list. One whose list came from another
// control VM, and is the same, is told so: when a hall's control VMs are lost, all of its VMs turn
// to others, and back.
func (l *entryList) grantTo(held Renew, g *Grant) {
	if len(l.lines) > 0 && held.ViewSum == l.sum && held.ViewVersion != l.version {
		g.ViewVersion, g.ViewSame = l.version, true
		return
	}
	l.since(held.ViewVersion, g)
}

// since puts into a grant what has changed after a holder's version.
func (l *entryList) since(version uint64, g *Grant) {
	if len(l.lines) == 0 {
		return // no leader has said it yet: the holder keeps what it has
	}
	g.ViewVersion = l.version
	if version == l.version {
		return
	}
	g.ViewWhole = version < l.first || version > l.version
	for _, vm := range l.names {
		if line := l.lines[vm]; g.ViewWhole || line.changed > version {
			g.View = append(g.View, line.view)
		}
	}
	for _, vm := range slices.Sorted(maps.Keys(l.gone)) {
		if l.gone[vm] > version && !g.ViewWhole {
			g.Gone = append(g.Gone, vm)
		}
	}
}

// sinceBatch puts into a batch what has changed after a control VM's version.
func (l *entryList) sinceBatch(version uint64, b *GrantBatch) {
	var g Grant
	l.since(version, &g)
	b.ViewVersion, b.View, b.Gone, b.ViewWhole = g.ViewVersion, g.View, g.Gone, g.ViewWhole
}

// merge takes what has changed of another list, or all of it. Lines that are as they were keep
// their numbers.
func (l *entryList) merge(view []EntryView, gone []VMName, whole bool) {
	if whole {
		named := make(map[VMName]bool, len(view))
		for _, v := range view {
			named[v.Address.VM] = true
		}
		for _, vm := range slices.Clone(l.names) {
			if !named[vm] {
				l.remove(vm)
			}
		}
	}
	for _, v := range view {
		l.set(v)
	}
	for _, vm := range gone {
		l.remove(vm)
	}
}

// refreshEvery is the interval between two looks at all lines.
const refreshEvery = 100 * time.Millisecond

// refreshView drops the VMs whose lease has run out.
func (n *Node) refreshView() {
	l := &n.leading.view
	if n.now.Before(l.refreshAt) {
		return
	}
	l.refreshAt = n.now.Add(refreshEvery)
	for _, vm := range slices.Sorted(maps.Keys(n.leading.leases)) {
		lease := n.leading.leases[vm]
		if !n.now.Before(lease.until) || n.now.After(lease.renewedAt.Add(n.settings.Timing.listedFor())) {
			l.remove(vm)
			continue
		}
		l.set(n.viewOf(lease))
	}
}

func (n *Node) viewOf(l *lease) EntryView {
	return EntryView{
		Address:     l.renewal.Address,
		Incarnation: l.holder.Incarnation,
		Leaving:     n.isLeaving(l),
		LoadLevel:   loadLevel(l.renewal.Load),
	}
}

// listNumberBits is the number of low bits in which the numbers of one list differ. Those above
// are of the leader's term, or of the life of the control VM that numbers the list.
const listNumberBits = 32

// newerView reports whether a grant brings a newer list than is held here. Numbers of two lists
// say nothing of which is newer: a whole one counts where it answers a later renewal.
func (n *Node) newerView(g Grant) bool {
	held := n.entry.viewVersion
	if g.ViewVersion>>listNumberBits == held>>listNumberBits {
		return g.ViewVersion > held
	}
	return (g.ViewWhole || g.ViewSame) && g.Number >= n.entry.viewNumber
}

// takeView brings the list of entry VMs to the grant's version.
func (n *Node) takeView(g Grant) {
	if !n.newerView(g) {
		return
	}
	n.entry.viewNumber = g.Number
	if g.ViewSame {
		n.entry.viewVersion = g.ViewVersion
		return
	}
	lines := make(map[VMName]EntryView, len(n.entry.view)+len(g.View))
	if !g.ViewWhole {
		for _, v := range n.entry.view {
			lines[v.Address.VM] = v
		}
	}
	for _, v := range g.View {
		lines[v.Address.VM] = v
		if v.Address.VM != n.settings.Self.VM {
			n.emit(PeerFound{VM: v.Address.VM, Address: v.Address.Peers})
		}
	}
	for _, vm := range g.Gone {
		delete(lines, vm)
	}
	n.noteLost(lines)
	n.entry.view = n.entry.view[:0:0]
	n.entry.halls = make(map[VMName]string, len(lines))
	for _, vm := range slices.Sorted(maps.Keys(lines)) {
		n.entry.view = append(n.entry.view, lines[vm])
		n.entry.halls[vm] = lines[vm].Address.Hall
	}
	n.entry.viewVersion = g.ViewVersion
	n.entry.viewSum = hashOf(n.entry.view)
	n.findKeepers()
}

const (
	// lossCounts is how long a VM that has vanished from the list counts as lost: one that
	// was killed is back before, and one that was taken away is asked no more.
	lossCounts = 20 * time.Second
	// lossShare is the part of all entry VMs that must be lost for answers to be kept
	// longer: one look-up in twenty then meets a VM that does not answer.
	lossShare = 0.05
)

// noteLost compares the list of entry VMs with the next one: who is gone without having
// said so is lost.
func (n *Node) noteLost(next map[VMName]EntryView) {
	for _, v := range n.entry.view {
		if _, stays := next[v.Address.VM]; !stays && !v.Leaving {
			n.entry.lost[v.Address.VM] = n.now
		}
	}
	for vm, at := range n.entry.lost {
		if _, back := next[vm]; back || n.now.After(at.Add(lossCounts)) {
			delete(n.entry.lost, vm)
		}
	}
}

// keepEntries is how long a caller should keep the addresses that it is given now.
func (n *Node) keepEntries() time.Duration {
	lost := 0
	for _, at := range n.entry.lost {
		if !n.now.After(at.Add(lossCounts)) {
			lost++
		}
	}
	if float64(lost) >= lossShare*float64(lost+len(n.entry.view)) && lost > 0 {
		return max(n.settings.Timing.KeepEntries, n.settings.Timing.KeepEntriesAfterLoss)
	}
	return n.settings.Timing.KeepEntries
}

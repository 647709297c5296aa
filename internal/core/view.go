package core

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// entryList is a list of entry VMs as reported to callers: the leader's, or that of a control
// VM for its holders. It records the version at which each line changed, so that a holder
// receives only the lines that it lacks: sending the whole list for every change would cost
// more than all other control messages.
type entryList struct {
	version uint64
	// first is the initial version of the list. A holder of an earlier version receives the
	// whole list.
	first uint64
	lines map[VMName]entryLine
	// names holds the keys of lines, sorted.
	names []VMName
	// sum is the checksum of all lines, which compares two lists without sending them.
	sum       uint64
	removed   map[VMName]uint64
	refreshAt time.Time
}

type entryLine struct {
	view    EntryView
	changed uint64
}

// newEntryList returns an empty list whose versions are above first.
func newEntryList(first uint64) entryList {
	return entryList{version: first, first: first, lines: make(map[VMName]entryLine), removed: make(map[VMName]uint64)}
}

// set records the current line of a VM.
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
	delete(l.removed, vm)
}

// remove removes the line of a VM.
func (l *entryList) remove(vm VMName) {
	if _, ok := l.lines[vm]; !ok {
		return
	}
	l.version++
	at, _ := slices.BinarySearch(l.names, vm)
	l.names = slices.Delete(l.names, at, at+1)
	l.sum ^= l.lines[vm].view.hash()
	delete(l.lines, vm)
	l.removed[vm] = l.version
}

// hash covers all fields of a line.
func (v EntryView) hash() uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, v.Address.VM, "|", v.Address.Hall, "|", v.Address.Callers, "|", v.Address.Peers, "|", v.Incarnation, v.Leaving, v.LoadLevel) // writing to a hash never fails
	return h.Sum64()
}

// checksum returns the checksum of a list of lines.
func checksum(view []EntryView) uint64 {
	sum := uint64(0)
	for _, v := range view {
		sum ^= v.hash()
	}
	return sum
}

// addToGrant adds to a grant the changes that its holder lacks. A holder with the same list from
// another control VM is only sent the version: when the control VMs of a hall are lost, all VMs
// of the hall switch to others, and later back.
func (l *entryList) addToGrant(held Renew, g *Grant) {
	if len(l.lines) > 0 && held.ViewSum == l.sum && held.ViewVersion != l.version {
		g.ViewVersion, g.ViewSame = l.version, true
		return
	}
	l.addChangesSince(held.ViewVersion, g)
}

// addChangesSince adds to a grant the changes after a holder's version.
func (l *entryList) addChangesSince(version uint64, g *Grant) {
	if len(l.lines) == 0 {
		return // no list received from a leader yet: the holder keeps its own
	}
	g.ViewVersion = l.version
	if version == l.version {
		return
	}
	g.ViewComplete = version < l.first || version > l.version
	for _, vm := range l.names {
		if line := l.lines[vm]; g.ViewComplete || line.changed > version {
			g.View = append(g.View, line.view)
		}
	}
	for _, vm := range slices.Sorted(maps.Keys(l.removed)) {
		if l.removed[vm] > version && !g.ViewComplete {
			g.Removed = append(g.Removed, vm)
		}
	}
}

// addToBatch adds to a batch the changes after a control VM's version.
func (l *entryList) addToBatch(version uint64, b *GrantBatch) {
	var g Grant
	l.addChangesSince(version, &g)
	b.ViewVersion, b.View, b.Removed, b.ViewComplete = g.ViewVersion, g.View, g.Removed, g.ViewComplete
}

// merge applies the changes of another list, or the whole of it. Unchanged lines keep their
// versions.
func (l *entryList) merge(view []EntryView, removed []VMName, complete bool) {
	if complete {
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
	for _, vm := range removed {
		l.remove(vm)
	}
}

// refreshEvery is the interval between two refreshes of all lines.
const refreshEvery = 100 * time.Millisecond

// refreshView updates all lines and removes the VMs whose lease has expired or that haven't
// renewed for listedDuration.
func (n *Node) refreshView() {
	l := &n.leader.view
	if n.now.Before(l.refreshAt) {
		return
	}
	l.refreshAt = n.now.Add(refreshEvery)
	for _, vm := range slices.Sorted(maps.Keys(n.leader.leases)) {
		lease := n.leader.leases[vm]
		if !n.now.Before(lease.until) || n.now.After(lease.renewedAt.Add(n.settings.Timing.listedDuration())) {
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

// listNumberBits is the number of low bits that count the versions of one list. The bits above
// identify the leader's term, or the incarnation of the control VM that keeps the list.
const listNumberBits = 32

// newerView reports whether a grant has a newer list than this VM. The versions of two
// different lists can't be compared: a whole list counts as newer if it doesn't answer an
// earlier renewal.
func (n *Node) newerView(g Grant) bool {
	held := n.entry.viewVersion
	if g.ViewVersion>>listNumberBits == held>>listNumberBits {
		return g.ViewVersion > held
	}
	return (g.ViewComplete || g.ViewSame) && g.Number >= n.entry.viewNumber
}

// applyView brings the list of entry VMs to the grant's version.
func (n *Node) applyView(g Grant) {
	if !n.newerView(g) {
		return
	}
	n.entry.viewNumber = g.Number
	if g.ViewSame {
		n.entry.viewVersion = g.ViewVersion
		return
	}
	lines := make(map[VMName]EntryView, len(n.entry.view)+len(g.View))
	if !g.ViewComplete {
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
	for _, vm := range g.Removed {
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
	n.entry.viewSum = checksum(n.entry.view)
	n.assignKeepers()
}

const (
	// lossExpiry is how long a VM that disappeared from the list counts as lost: a killed VM is
	// back before then, and one that was removed is no longer asked.
	lossExpiry = 20 * time.Second
	// lossRatio is the fraction of all entry VMs that must be lost for answers to be kept
	// longer: one lookup in twenty then meets a VM that doesn't answer.
	lossRatio = 0.05
)

// noteLost compares the list of entry VMs with the next one: a VM that disappeared without
// draining is lost.
func (n *Node) noteLost(next map[VMName]EntryView) {
	for _, v := range n.entry.view {
		if _, stays := next[v.Address.VM]; !stays && !v.Leaving {
			n.entry.lost[v.Address.VM] = n.now
		}
	}
	for vm, at := range n.entry.lost {
		if _, back := next[vm]; back || n.now.After(at.Add(lossExpiry)) {
			delete(n.entry.lost, vm)
		}
	}
}

// addressCacheTime returns how long a caller should keep the addresses that it is given now.
func (n *Node) addressCacheTime() time.Duration {
	lost := 0
	for _, at := range n.entry.lost {
		if !n.now.After(at.Add(lossExpiry)) {
			lost++
		}
	}
	if float64(lost) >= lossRatio*float64(lost+len(n.entry.view)) && lost > 0 {
		return max(n.settings.Timing.KeepEntries, n.settings.Timing.KeepEntriesAfterLoss)
	}
	return n.settings.Timing.KeepEntries
}

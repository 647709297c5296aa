package core

import (
	"maps"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file is the teller's side of the registry: what a control VM tells those that follow
// it, and when. registry.go has the problem and the algorithm as a whole.

// followAsked answers one who follows this VM's registry. Who asks under another
// incarnation is told from the beginning.
func (n *Node) followAsked(id ReplicaID, f Follow) {
	if !n.settings.Control {
		return
	}
	if f.Came {
		n.newsAcknowledged(id, f)
		return
	}
	if !f.Heartbeats && len(n.elsewhere(f.Hall, f.Away)) > 0 {
		return
	}
	from := id.VM
	present, ok := n.registry.followers[from]
	if !ok || present.id != id {
		present = &follower{id: id}
		n.registry.followers[from] = present
	}
	present.until = n.now.Add(followLife)
	present.askedAt = n.now
	present.hall = f.Hall
	present.control = f.Heartbeats
	if !present.acknowledge(f.positionIn(n.settings.Seed), n.now) && !present.overdue(n.now) {
		n.tellHeartbeats(from, present)
		return
	}
	if !f.OwnOnly {
		n.tellAll(from, present, f.Digest)
		return
	}
	n.tell(from, present, n.newsAfter(present.after, true), TargetNews{})
}

// newsAcknowledged takes a follower's acknowledgement. What changed meanwhile goes out with
// the next push, with what else changes until then: sent at once, each of 3,000 targets that
// load would be a message of its own to each follower. A VM that follows another one by now
// may still acknowledge, and does not become a follower again by it.
func (n *Node) newsAcknowledged(id ReplicaID, f Follow) {
	present, ok := n.registry.followers[id.VM]
	if !ok || present.id != id || !present.acknowledge(f.positionIn(n.settings.Seed), n.now) {
		return
	}
	n.registry.news = n.registry.news || n.registry.targets.Change() > present.after
}

// positionIn returns the last change of an incarnation that the asker has, 0 where it has none.
func (f Follow) positionIn(incarnation uint64) uint64 {
	if f.Incarnation != incarnation {
		return 0
	}
	return f.After
}

// acknowledge takes the last change that a follower says it has, and reports whether more
// may be sent: nothing is while earlier news are on their way.
func (f *follower) acknowledge(after uint64, now time.Time) bool {
	if after >= f.sent {
		f.resendAt = time.Time{}
		f.lost = 0
	}
	f.acknowledged = after
	if now.Before(f.resendAt) {
		return false
	}
	f.after = after
	return true
}

// overdue reports whether what is on its way to a follower that has just asked for what it
// has not got counts as lost: it reaches this VM, and what it lacks has had time to come.
func (f *follower) overdue(now time.Time) bool {
	if now.Before(f.overdueAt) {
		return false
	}
	f.resendAt = time.Time{}
	f.lost = 0
	f.after = f.acknowledged
	return true
}

// tellHeartbeats sends a control VM the signs of life that are due, while other news are on their
// way to it: targets whose signs of life stay away count as silent. Those of targets on their
// way wait: a sign of life bears the number of its message, and what the message says would
// count as late once it comes.
func (n *Node) tellHeartbeats(vm VMName, f *follower) {
	if !f.control {
		return
	}
	onTheirWay := make(map[relay.TargetID]bool)
	for _, t := range n.newsAfter(f.acknowledged, true) {
		onTheirWay[t.ID] = true
	}
	beats := slices.DeleteFunc(n.registry.targets.HeartbeatsSince(f.heartbeatsAt), func(b relay.Heartbeat) bool { return onTheirWay[b.ID] })
	n.send(vm, Message{TargetNews: &TargetNews{Incarnation: n.settings.Seed, After: f.acknowledged, Upto: f.acknowledged, Heartbeats: beats}})
}

// noteLeaving notes that targets among some leave.
func (n *Node) noteLeaving(targets []relay.Target) {
	if slices.ContainsFunc(targets, func(t relay.Target) bool { return !t.Takes() }) {
		n.registry.leftAt = n.registry.targets.Change()
	}
}

// tellLeaving sends a follower the targets that leave, while other news are on their way to
// it: they get no new work from it within the drain bound, however long those take. Its place
// stays, and they come again with what follows.
func (n *Node) tellLeaving(vm VMName, f *follower) {
	after := max(f.after, f.leaving)
	if n.registry.leftAt <= after {
		return // it costs nothing while none leaves
	}
	f.leaving = n.registry.targets.Change()
	leaving := slices.DeleteFunc(n.newsAfter(after, f.control), func(t relay.Target) bool { return t.Takes() })
	if len(leaving) > 0 {
		n.send(vm, Message{TargetNews: &TargetNews{Incarnation: n.settings.Seed, After: f.acknowledged, Upto: f.acknowledged, Targets: leaving}})
	}
}

// tellAll sends a follower all that is new to it. Who has nothing from this VM is told of
// the targets that live, or of those that its digest lacks.
func (n *Node) tellAll(vm VMName, f *follower, d relay.Digest) {
	whole := f.after == 0
	n.listEngines()
	targets := n.newsAfter(f.after, false)
	switch {
	case f.control:
		targets = n.live(n.registry.targets.Since(f.after))
	case whole && len(d) > 0:
		targets = n.registry.targets.Unlike(d)
	case whole:
		targets = n.live(targets)
	}
	n.tell(vm, f, targets, TargetNews{Whole: whole})
}

// push sends what is new to all who follow: to entry VMs all of it, to control VMs what
// this one has heard. Most of them are at the same change, so that what is new is looked up
// once for each change.
func (n *Node) push() {
	type place struct {
		after uint64
		own   bool
	}
	// News are on their way until the follower acknowledges them: one that is slow, or behind
	// a full link, then gets all that changed meanwhile at once. Were each change sent as it
	// happens, and again for each ask that crossed it, a leader whose targets load would send
	// several times what is new.
	news := make(map[place][]relay.Target)
	n.listEngines()
	for _, vm := range slices.Sorted(maps.Keys(n.registry.followers)) {
		f := n.registry.followers[vm]
		if n.now.After(f.until) {
			delete(n.registry.followers, vm)
			continue
		}
		if n.now.Before(f.resendAt) {
			n.tellLeaving(vm, f)
			continue
		}
		if f.lost > 0 {
			f.after = f.acknowledged
		}
		if f.after == 0 && !f.control {
			n.tellAll(vm, f, nil)
			continue
		}
		at := place{after: f.after, own: f.control}
		targets, known := news[at]
		if !known {
			targets = n.newsAfter(at.after, at.own)
			news[at] = targets
		}
		if len(targets) > 0 {
			n.tell(vm, f, targets, TargetNews{})
		}
	}
}

// newsAfter returns the targets that changed after a change: for a control VM those that speak
// to this VM, for an entry VM those that are listed.
func (n *Node) newsAfter(change uint64, control bool) []relay.Target {
	if change > 0 && change == n.registry.targets.Change() {
		return nil
	}
	if control {
		return n.registry.targets.OwnSince(change)
	}
	return n.registry.targets.ListedSince(change)
}

const (
	// resendFirst is the wait for an acknowledgement before news are sent again: far longer
	// than they take on a link that is not full, and short enough for news of a target that
	// leaves to be sent twice within the 2 s that they may take. Each loss in a row doubles
	// it, resendDoublings times at the most and up to resendMost.
	resendFirst     = 700 * time.Millisecond
	resendDoublings = 3
	resendMost      = 5 * time.Second
	// resendEach is added for each target in the news: some 70 bytes, over a link of 20
	// Mbit/s that 15 followers share.
	resendEach = 500 * time.Microsecond
)

// tell sends a follower news of targets, which bring it to the newest change.
func (n *Node) tell(vm VMName, f *follower, targets []relay.Target, news TargetNews) {
	news.Incarnation = n.settings.Seed
	news.After = f.after
	news.Upto = n.registry.targets.Change()
	news.Missed = n.registry.targets.Missed()
	for _, t := range targets {
		if n.registry.targets.Introduced(t.ID, f.after) {
			news.Updates = append(news.Updates, t.Update())
			continue
		}
		news.Targets = append(news.Targets, t)
	}
	if f.control {
		news.Heartbeats = n.registry.targets.HeartbeatsSince(f.heartbeatsAt)
		f.heartbeatsAt = n.now
	}
	f.after = news.Upto
	if len(targets) > 0 {
		f.sent = news.Upto
		way := time.Duration(len(targets)) * resendEach
		f.resendAt = n.now.Add(min(resendFirst<<min(f.lost, resendDoublings), resendMost) + way)
		f.overdueAt = n.now.Add(resendFirst + way)
		f.lost++
	}
	n.send(vm, Message{TargetNews: &news})
}

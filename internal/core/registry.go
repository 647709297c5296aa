package core

import (
	"maps"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file spreads what targets say of themselves.
//
// Problem: targets register with any control VM, and each entry VM must know
// within the drain bound that a target leaves, also while there is no leader.
//
// Algorithm: soft state, without the log. A control VM keeps what targets told
// it and pushes each change to all who follow it, other control VMs among them.
// Control VMs follow each other, and each is told what the other has heard itself: were
// each of k control VMs to tell all that it knows, every one would get every message k times.
// An entry VM follows the control VM that it renews with, which tells it all that it knows:
// a message needs two hops, and an entry VM has one peer for it.
// Messages of one incarnation of a target are ordered by its own numbering; leaving is
// never taken back. Which of its lives counts, each VM finds out from those that it knows
// (relay/incarnation.go). A follower names the last change that it has. One that has just
// started has one control VM tell it what that knows of all targets, hints among it.
//
// A control VM saves what it knows now and then, without a sync. After a loss of
// power of all VMs the hints let them serve before the targets have spoken again,
// which takes up to 3 s. A hint counts as long as a message that comes at the start: one
// that counted for half as long was void while live targets still looked for a control
// VM, and what ran there was given up. A target that is gone is found dead by its use.
//
// Invariants: a control VM that has not heard the leader lately takes no message,
// so that a target goes to one whose followers can hear it; what is pushed is
// what targets said, never a guess.
//
// Limits: a message that only one control VM has heard is lost with it if it dies
// within one push; targets repeat what they say until they end, and a control VM that
// a target turns to tells of it again.

// TargetSpoke is a message of a target that came to this VM.
type TargetSpoke struct {
	Conn   ConnID
	Target relay.Target
}

// TargetDrains is what a target has said to this VM with an answer to something other than a
// request: that it leaves. An entry VM reports it with its renewals too.
type TargetDrains struct{ Target relay.TargetID }

// TargetHeard answers TargetSpoke. Taken is false where the target should tell
// another control VM.
type TargetHeard struct {
	Conn  ConnID
	Taken bool
	// HeldBack says that no document names the target's service.
	HeldBack bool
}

// WorkCounted is what this VM has under way at targets, and which of them it has
// lately found dead or well.
type WorkCounted struct {
	Work map[relay.TargetKey]relay.Work
	// Usage is what this VM has asked and repeated in the last window, by service.
	Usage    map[string]relay.Usage
	Findings relay.Findings
	// Limits is what the leader is to be told of targets with limits.
	Limits []relay.PermitAsk
}

// SeedsRead are the control VMs that the settings name now.
type SeedsRead struct{ VMs []VMName }

// TargetsLearned tells the runtime what targets have newly said.
type TargetsLearned struct{ Targets []relay.Target }

// TargetsEnded tells the runtime of incarnations of targets that have ended because others have
// begun, and who told: a control VM, or this one where a target spoke to it.
type TargetsEnded struct {
	Ended  []relay.Succession
	Teller VMName
}

// FleetLearned tells the runtime of an entry VM what the leader knows of all.
type FleetLearned struct {
	// LeaseUntil is when this VM's right to act by its document ends.
	LeaseUntil time.Time
	VMs        int
	// Others is what other VMs have under way at targets: of all of them, or of those
	// where it has changed much.
	Others      map[relay.TargetKey]relay.Work
	OthersWhole bool
	// OthersReported says that the leader knows what others have under way.
	OthersReported bool
	// Usage is what UsageBy entry VMs have asked and repeated in the last window, by
	// service; it counts where OthersReported is set.
	Usage   map[string]relay.Usage
	UsageBy int
	// Marks are those of targets that have changed; MarksWhole says that all others have
	// none.
	Marks      map[relay.TargetKey]relay.Mark
	MarksWhole bool
}

func (TargetSpoke) isEvent()  {}
func (WorkCounted) isEvent()  {}
func (SeedsRead) isEvent()    {}
func (TargetDrains) isEvent() {}

func (TargetHeard) isEffect()    {}
func (TargetsLearned) isEffect() {}
func (TargetsEnded) isEffect()   {}
func (FleetLearned) isEffect()   {}

const (
	// followEvery is the interval between two asks of an entry VM, and heartbeatsEvery of
	// a control VM, which brings signs of life; a change is pushed at once. An ask
	// that is lost delays a change by as much, of the 2 s that it may take.
	followEvery     = 1500 * time.Millisecond
	heartbeatsEvery = 500 * time.Millisecond
	// followFirst is that interval until a control VM has told all that it knows: where
	// all VMs start together, the one that is asked first may not listen yet, and callers
	// wait. A control VM that hears 300 followers ten times a second is busy for a part of
	// one second.
	followFirst = 100 * time.Millisecond
	// followLife is how long a follower that has not asked again is pushed to.
	followLife = 4 * followEvery
	// forgetAfter is the silence after which a target is dropped: far longer than
	// a cut between VMs lasts.
	forgetAfter = 60 * time.Second
	// deadAtLeast is the number of entry VMs that must find a target dead, and
	// deadRatio how many must for each that finds it well. VMs that are cut off from
	// targets find all of them dead, and are fewer than the others.
	deadAtLeast = 2
	deadRatio   = 2
	// pushCost is the wait between two pushes for each follower, so that pushes take a part of
	// the processor that does not grow with the followers, well within the 2 s that a message may
	// take.
	pushCost = time.Millisecond
	// deafAfter is the silence of the leader after which a control VM takes no
	// message: an election ends within it.
	deafAfter = 1500 * time.Millisecond
)

// registry is a Node's part in spreading the messages of targets.
type registry struct {
	targets   *relay.Registry
	followers map[VMName]*follower
	// followed is how far this VM has followed each control VM.
	followed map[VMName]position
	followAt time.Time
	forgetAt time.Time
	// wholeFrom picks, by its remainder, the control VM that is asked for all that it
	// knows; whole says that one has answered.
	wholeFrom int
	whole     bool
	// news says that followers are to be told of changes at the next push: thousands of
	// targets may speak within a second, and each push goes to hundreds of followers.
	news   bool
	pushAt time.Time
	// completeAt is when every target that lives has spoken since this process began:
	// before, what it holds may be known from hints only, or not at all.
	completeAt time.Time
	// saved is the last change that hints were saved of, and savedSilent how many targets
	// were silent then.
	saved       uint64
	savedSilent int
	saveAt      time.Time
	// silentAt is when to look again whether other targets are silent.
	silentAt time.Time
	unnamed  unnamed
	// shortlist is kept by a control VM.
	shortlist shortlist
	// leftAt is the change at which it was last heard that a target leaves.
	leftAt uint64
}

// follower is a VM that is pushed to.
type follower struct {
	id    ReplicaID
	after uint64
	until time.Time
	// acknowledged is the last change that it has said it has.
	acknowledged uint64
	// sent is the change that the news on their way bring it to, and resendAt when those
	// count as lost, zero where none are on their way. lost counts the news that were sent
	// since all were last acknowledged, those on their way included.
	sent     uint64
	resendAt time.Time
	lost     int
	// overdueAt is when that counts as lost where the follower asks, and says that it lacks it.
	overdueAt time.Time
	// leaving is the change up to which it was told of targets that leave beside that.
	leaving uint64
	// askedAt is when it last asked, hall the one that it said it is in.
	askedAt time.Time
	hall    string
	// control says that it is a control VM, which is told what this one has heard itself.
	control      bool
	heartbeatsAt time.Time
}

func (n *Node) startRegistry(hints []relay.Target) {
	silence := n.settings.Timing.targetSilence()
	n.registry = registry{
		targets:   relay.NewRegistry(silence),
		followers: make(map[VMName]*follower),
		followed:  make(map[VMName]position),
		unnamed:   unnamed{targets: relay.NewRegistry(silence)},
	}
	if n.settings.Control {
		n.registry.targets.WithholdEngines()
	}
	n.registry.completeAt = n.now.Add(silence)
	for _, t := range hints {
		n.registry.targets.Learn(t, n.now)
	}
	n.registry.targets.TakeTransitions() // nothing has run yet
	n.registry.saved = n.registry.targets.Change()
}

// SaveTargets asks the runtime to keep hints for the next start. They may be lost.
type SaveTargets struct{ Targets []relay.Target }

func (SaveTargets) isEffect() {}

// saveEvery is the least time between two savings of hints, unless a target leaves.
const saveEvery = 3 * time.Second

// saveTargets saves hints when something has changed: of the targets that live. What is
// known of a dead one would count as much as the message of its successor at its address.
func (n *Node) saveTargets(atOnce bool) {
	r := &n.registry
	changed := r.saved != r.targets.Change()
	if !n.settings.Control || changed && !atOnce && n.now.Before(r.saveAt) || !changed && n.now.Before(r.silentAt) {
		return
	}
	r.silentAt = n.now.Add(saveEvery)
	silent := n.silentTargets()
	if !changed && r.savedSilent == len(silent) {
		return
	}
	r.saveAt = n.now.Add(saveEvery)
	r.saved = r.targets.Change()
	r.savedSilent = len(silent)
	n.emit(SaveTargets{Targets: n.live(r.targets.All())})
}

// live drops the silent ones of some targets.
func (n *Node) live(targets []relay.Target) []relay.Target {
	silent := n.silentTargets()
	return slices.DeleteFunc(targets, func(t relay.Target) bool {
		_, is := slices.BinarySearch(silent, t.ID)
		return is
	})
}

// silentTargets returns the targets that have told no VM of late that they live, sorted.
func (n *Node) silentTargets() []relay.TargetID {
	return n.registry.targets.Silent(n.now, n.settings.Timing.replacedSilence())
}

// targetSpoke takes a target's own message.
func (n *Node) targetSpoke(s TargetSpoke) {
	if !n.hearsLeader() {
		n.emit(TargetHeard{Conn: s.Conn})
		return
	}
	heldBack := n.heldBack(s.Target)
	if !heldBack {
		n.hear(s.Target)
	}
	n.emit(TargetHeard{Conn: s.Conn, Taken: true, HeldBack: heldBack})
}

// hear spreads a target's own message.
func (n *Node) hear(t relay.Target) {
	news := n.registry.targets.Hear(t, n.now)
	ended, again := n.registry.targets.TakeTransitions()
	n.endIncarnations(ended, n.settings.Self.VM)
	if !news && len(again) == 0 {
		return
	}
	n.note("target said something new", string(t.ID))
	n.noteLeaving([]relay.Target{t})
	n.registry.news = true
	n.saveTargets(t.Leaving)
}

// drainingHeard takes that targets have said to a VM with their answers that they leave: the
// same as a heartbeat that says so.
func (n *Node) drainingHeard(ids []relay.TargetID, teller VMName) {
	for _, id := range ids {
		if !n.registry.targets.Drain(id) {
			continue
		}
		n.note("target leaves, as it said with an answer to "+string(teller), string(id))
		n.registry.leftAt = n.registry.targets.Change()
		n.registry.news = true
		n.saveTargets(true)
	}
}

// hearsLeader reports whether this control VM is in touch with a quorum: it
// leads with a lease, or has heard the one who leads.
func (n *Node) hearsLeader() bool {
	if n.replica.role == Leader {
		return n.holdsLease()
	}
	return n.replica.leader.VM != "" && n.now.Before(n.replica.heardAt.Add(deafAfter))
}

// controlVMs returns the control VMs that this VM knows of, from its settings,
// the members of the log and the last lease, sorted.
func (n *Node) controlVMs() []VMName {
	known := make(map[VMName]bool)
	for _, vm := range n.settings.ControlVMs {
		known[vm] = true
	}
	for _, m := range n.replica.members.Members {
		known[m.ID.VM] = true
	}
	for _, c := range n.entry.controls {
		known[c.VM] = true
	}
	return slices.Sorted(maps.Keys(known))
}

// followsTargets reports whether this deployment has targets that register.
func (n *Node) followsTargets() bool { return n.settings.DecodeDocument != nil }

func (n *Node) tickRegistry() {
	if !n.followsTargets() {
		return
	}
	if !n.now.Before(n.registry.followAt) {
		n.registry.followAt = n.now.Add(n.followInterval())
		n.follow()
	}
	if n.settings.Control {
		n.tickUnnamed()
		n.listEngines()
	}
	n.saveTargets(false)
	n.registry.news = n.registry.news || n.newsLost()
	if n.registry.news && !n.now.Before(n.registry.pushAt) {
		n.registry.news = false
		n.registry.pushAt = n.now.Add(time.Duration(len(n.registry.followers)) * pushCost)
		n.push()
	}
	if !n.now.Before(n.registry.forgetAt) {
		n.registry.forgetAt = n.now.Add(forgetAfter / 10)
		n.registry.targets.Forget(n.now.Add(-forgetAfter))
	}
}

// newsLost reports whether news to a follower were not acknowledged in time.
func (n *Node) newsLost() bool {
	for _, f := range n.registry.followers {
		if f.lost > 0 && !n.now.Before(f.resendAt) {
			return true
		}
	}
	return false
}

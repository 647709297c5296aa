package relay

import (
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// Target is what a target says of itself.
type Target struct {
	// The fields are sent without their names: at a start every VM is told of all targets.
	_           struct{} `cbor:",toarray"`
	ID          TargetID `cbor:"id"`
	Service     string   `cbor:"service"`
	Address     string   `cbor:"address"`
	Hall        string   `cbor:"hall"`
	Accelerator string   `cbor:"accelerator,omitempty"`
	Slots       int      `cbor:"slots"`
	// Call is the number of the message that said so; a higher one is newer.
	Call uint64 `cbor:"call"`
	// Leaving targets take no new work. Gone ones have signed off. Neither is
	// ever taken back by the incarnation.
	Leaving bool `cbor:"leaving,omitempty"`
	Gone    bool `cbor:"gone,omitempty"`
	// Layers is what an engine holds. Loading says that it is carrying out an
	// order.
	Layers  config.Range `cbor:"layers"`
	Loading bool         `cbor:"loading,omitempty"`
	// Load is what all VMs have under way at it, in tokens, where a planner needs
	// it; targets do not say it themselves.
	Load int `cbor:"-"`
}

// TargetUpdate is what an incarnation of a target says that changes, for those who have been told
// the rest: a third of the bytes of a Target.
type TargetUpdate struct {
	_       struct{}     `cbor:",toarray"`
	ID      TargetID     `cbor:"id"`
	Call    uint64       `cbor:"call"`
	Leaving bool         `cbor:"leaving"`
	Gone    bool         `cbor:"gone"`
	Layers  config.Range `cbor:"layers"`
	Loading bool         `cbor:"loading"`
}

// Update returns what may change of a target.
func (t Target) Update() TargetUpdate {
	return TargetUpdate{ID: t.ID, Call: t.Call, Leaving: t.Leaving, Gone: t.Gone, Layers: t.Layers, Loading: t.Loading}
}

// With returns the target as an update says that it is now.
func (t Target) With(u TargetUpdate) Target {
	t.Call, t.Leaving, t.Gone, t.Layers, t.Loading = u.Call, u.Leaving, u.Gone, u.Layers, u.Loading
	return t
}

// sameBesides reports whether nothing differs that an update does not say.
func (t Target) sameBesides(o Target) bool { return t.With(TargetUpdate{}) == o.With(TargetUpdate{}) }

// Takes reports whether the target may be given new work.
func (t Target) Takes() bool { return !t.Leaving && !t.Gone }

// merge returns the newer of two messages of the same incarnation, with the marks that
// are never taken back.
func (t Target) merge(other Target) Target {
	newer := t
	if other.Call > t.Call {
		newer = other
		if newer.Address == "" {
			// A message that only signs off says nothing else.
			newer = t
			newer.Call = other.Call
		}
	}
	newer.Leaving = t.Leaving || other.Leaving
	newer.Gone = t.Gone || other.Gone
	return newer
}

// silentLeast is the least silence after which a target counts as lost: a heartbeat may
// arrive seconds late, however often targets send one.
const silentLeast = 3 * time.Second

// SilentAfter returns the silence after which a target counts as lost that says so often
// that it lives: two heartbeats and a half, so that one late heartbeat does no harm.
func SilentAfter(heartbeat time.Duration) time.Duration {
	return max(2*heartbeat+heartbeat/2, silentLeast)
}

// Registry holds the targets by incarnation. The zero value is not usable.
type Registry struct {
	targets map[TargetID]entry
	// names holds the keys of targets, sorted: they are gone through several times a second.
	names        []TargetID
	incarnations incarnations
	// change numbers what was taken, for those who follow the registry.
	change uint64
	// silence is that after which a target counts as lost.
	silence time.Duration
	// withholds says that engines are withheld until they are listed: see shortlist.go.
	withholds bool
}

type entry struct {
	target Target
	// heardAt is when the target last spoke to any VM, as far as is known here, and
	// registered when it was first known here.
	heardAt, registered time.Time
	// changed is the number of the change that last altered target, and introduced of that
	// which altered more of it than an update says.
	changed, introduced uint64
	// turned is the number of the change that made this VM the one that it speaks to.
	turned uint64
	// firstHand says that the target spoke to this VM last.
	firstHand bool
	// draining says that this VM was told by one that the target has answered that it leaves.
	draining bool
	// void says that another incarnation runs in the place of this one.
	void bool
	// withheld says that those who follow for themselves are not told of it.
	withheld bool
}

// NewRegistry returns an empty registry, in which targets count as lost after a silence.
func NewRegistry(silence time.Duration) *Registry {
	return &Registry{targets: make(map[TargetID]entry), incarnations: newIncarnations(), silence: silence}
}

// Hear takes a target's own message, and reports whether followers are to be told of it
// before they ask.
func (r *Registry) Hear(t Target, now time.Time) bool {
	if !t.Gone {
		return r.take(t, now, true)
	}
	news := false
	for _, message := range r.signOff(t) {
		news = r.take(message, now, true) || news
	}
	return news
}

// Learn takes what another VM was told, and reports whether it is new. A void incarnation is not.
func (r *Registry) Learn(t Target, now time.Time) bool { return r.take(t, now, false) }

func (r *Registry) take(t Target, now time.Time, firstHand bool) bool {
	present, known := r.targets[t.ID]
	next := t
	if known {
		next = present.target.merge(t)
	}
	differs := !known || differs(present.target, next)
	e := present
	e.target, e.heardAt, e.firstHand = next, now, firstHand
	if !known {
		e.registered = now
		e.withheld = r.withholds && next.isEngine()
	}
	late := known && t.Call <= present.target.Call
	if late {
		e.heardAt = present.heardAt
		e.firstHand = present.firstHand || firstHand && differs
	}
	// A target that turns to this VM is told of again to other control VMs, also where it
	// says nothing new: the VM that it spoke to before may have died with its last message. It
	// can wait for them to ask, unless the target leaves: after a loss of all VMs every
	// target turns to one that it has not spoken to. Who follows this VM alone has been told.
	turned := firstHand && !present.firstHand && !late
	if differs || turned || known && !late && r.isSilent(present, now) {
		r.change++
		e.turned = r.change
	}
	if differs || turned && next.Leaving || known && !late && r.isSilent(present, now) {
		e.changed = r.change
	}
	// Who asked for all targets while this one was silent was not told of it.
	if !known || !present.target.sameBesides(next) || !late && r.isSilent(present, now) {
		e.introduced = r.change
	}
	if at, known := slices.BinarySearch(r.names, t.ID); !known {
		r.names = slices.Insert(r.names, at, t.ID)
	}
	r.targets[t.ID] = e
	spokeAgain := r.refile(present.target, next, known)
	if firstHand && !late && !t.Gone && r.targets[t.ID].void {
		r.missSilent(next, now)
	}
	return !r.targets[t.ID].void && (differs || turned && next.Leaving || spokeAgain || present.void)
}

// Depart takes that a target has said to another VM with an answer that it leaves, and reports
// whether that is new. It says nothing of when the target spoke.
func (r *Registry) Drain(id TargetID) bool {
	e, known := r.targets[id]
	if !known || e.void || e.target.Leaving {
		return false
	}
	r.change++
	e.target.Leaving = true
	e.draining = true
	e.changed, e.turned = r.change, r.change
	r.targets[id] = e
	return true
}

// isSilent reports whether a target counts as lost: who asks for all targets is not told of
// it, so that its next message is news.
func (r *Registry) isSilent(e entry, now time.Time) bool { return now.Sub(e.heardAt) > r.silence }

// differs compares all but the number of the message.
func differs(a, b Target) bool {
	a.Call = b.Call
	return a != b
}

// Alive notes that a target has spoken to another VM. Only who is told of all signs of life
// can tell whether a target is silent.
func (r *Registry) Alive(id TargetID, call uint64, now time.Time) {
	if e, ok := r.targets[id]; ok && call > e.target.Call {
		if r.isSilent(e, now) {
			r.change++
			e.changed, e.introduced = r.change, r.change
		}
		before := e.target
		e.target.Call = call
		e.heardAt = now
		e.firstHand = false
		r.targets[id] = e
		r.refile(before, e.target, true)
		if r.targets[id].void {
			r.missSilent(e.target, now)
		}
	}
}

// Get returns the newest message of a target.
func (r *Registry) Get(id TargetID) (Target, bool) {
	e, ok := r.targets[id]
	return e.target, ok
}

// Len returns the number of targets.
func (r *Registry) Len() int { return len(r.targets) }

// Drop forgets a target.
func (r *Registry) Drop(id TargetID) {
	if at, known := slices.BinarySearch(r.names, id); known {
		dropped := r.targets[id].target
		r.names = slices.Delete(r.names, at, at+1)
		delete(r.targets, id)
		delete(r.incarnations.missed, id)
		r.incarnations.unfile(dropped)
		r.settle(r.incarnations.rivals(dropped))
	}
}

// Change returns the number of the newest change.
func (r *Registry) Change() uint64 { return r.change }

// Since returns the targets that changed after a change, sorted by identity.
func (r *Registry) Since(change uint64) []Target {
	return r.find(func(e entry) bool { return e.changed > change })
}

// ListedSince is Since without the engines that are withheld.
func (r *Registry) ListedSince(change uint64) []Target {
	return r.find(func(e entry) bool { return e.changed > change && e.listed() })
}

// OwnSince returns the targets that speak to this very VM, or of whose draining notice it was told,
// and that have changed after a change or have turned to it since.
func (r *Registry) OwnSince(change uint64) []Target {
	return r.find(func(e entry) bool { return max(e.changed, e.turned) > change && (e.firstHand || e.draining) })
}

// Introduced reports whether one who was told all up to a change knows what an update does
// not say of a target.
func (r *Registry) Introduced(id TargetID, change uint64) bool {
	e, ok := r.targets[id]
	return ok && e.introduced <= change
}

// find returns the targets that a condition holds for, sorted by identity. Void incarnations are
// not among them.
func (r *Registry) find(wanted func(entry) bool) []Target {
	var targets []Target
	for _, id := range r.names {
		if e := r.targets[id]; !e.void && wanted(e) {
			targets = append(targets, e.target)
		}
	}
	return targets
}

// Heartbeat is a sign that a target lives.
type Heartbeat struct {
	// The fields are sent without their names: each control VM is told of all targets by
	// each other, every beat, and the names took as much as the start does in an ID.
	_    struct{} `cbor:",toarray"`
	ID   TargetID `cbor:"id"`
	Call uint64   `cbor:"call"`
}

// HeartbeatsSince returns who spoke to this very VM after a time.
func (r *Registry) HeartbeatsSince(after time.Time) []Heartbeat {
	var heartbeats []Heartbeat
	for _, id := range r.names {
		if e := r.targets[id]; !e.void && e.firstHand && e.heardAt.After(after) {
			heartbeats = append(heartbeats, Heartbeat{ID: id, Call: e.target.Call})
		}
	}
	return heartbeats
}

// All returns every target that counts, sorted by identity.
func (r *Registry) All() []Target { return r.Since(0) }

// Silent returns the targets that have said nothing for the silence of the registry and have
// not signed off, and the void ones. Where another target at the same address has spoken since,
// the silence replaced is enough: an address has one target at a time, and messages of one that
// died may still come late.
func (r *Registry) Silent(now time.Time, replaced time.Duration) []TargetID {
	var silent []TargetID
	after, replacedAfter := now.Add(-r.silence), now.Add(-replaced)
	for _, id := range r.names {
		e := r.targets[id]
		if !e.target.Gone && (e.void || e.heardAt.Before(after) || r.replaced(e, after, replacedAfter)) {
			silent = append(silent, id)
		}
	}
	return silent
}

// replaced reports whether another target runs at the address of one that has spoken after
// a time. Where their starts do not tell, the other one has spoken later, and a while ago; or
// it registered later and has spoken again since, so that only a late message of the first is
// newer.
func (r *Registry) replaced(e entry, after, replacedAfter time.Time) bool {
	for _, id := range r.incarnations.byAddress[e.target.Address] {
		other := r.targets[id]
		if id == e.target.ID || other.void {
			continue
		}
		spokeLater := e.heardAt.Before(replacedAfter) && e.heardAt.Before(other.heardAt)
		if other.outlives(e, after, replacedAfter) || spokeLater && !e.outlives(other, after, replacedAfter) {
			return true
		}
	}
	return false
}

// outlives reports whether a target registered after another one and lives.
func (e entry) outlives(o entry, after, replacedAfter time.Time) bool {
	lives := !e.heardAt.Before(after) && e.heardAt.After(e.registered)
	return lives && e.registered.After(o.registered) && e.registered.Before(replacedAfter)
}

// Forget drops the targets that have said nothing after a time.
func (r *Registry) Forget(after time.Time) {
	var forgotten []Target
	for id, e := range r.targets {
		if e.heardAt.Before(after) {
			forgotten = append(forgotten, e.target)
			delete(r.targets, id)
		}
	}
	r.forgetIncarnations(forgotten, after)
	r.names = slices.DeleteFunc(r.names, func(id TargetID) bool {
		_, kept := r.targets[id]
		return !kept
	})
}

package relay

import (
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// Target is what a target reports of itself.
type Target struct {
	// Encoded as an array: at a start every VM receives all targets.
	_           struct{} `cbor:",toarray"`
	ID          TargetID `cbor:"id"`
	Service     string   `cbor:"service"`
	Address     string   `cbor:"address"`
	Hall        string   `cbor:"hall"`
	Accelerator string   `cbor:"accelerator,omitempty"`
	Slots       int      `cbor:"slots"`
	// Call is the number of the message with this report; a higher one is newer.
	Call uint64 `cbor:"call"`
	// Leaving targets accept no new work; Gone ones have signed off. Neither is ever reset for
	// this incarnation.
	Leaving bool `cbor:"leaving,omitempty"`
	Gone    bool `cbor:"gone,omitempty"`
	// Layers is what an engine holds. Loading indicates that it is carrying out an order.
	Layers  config.Range `cbor:"layers"`
	Loading bool         `cbor:"loading,omitempty"`
	// Load is what all VMs have in flight at the target, in tokens, where a planner needs it;
	// targets do not report it themselves.
	Load int `cbor:"-"`
}

// TargetUpdate is the part of a Target that changes within an incarnation, for receivers that
// have the rest: a third of the bytes of a Target.
type TargetUpdate struct {
	_       struct{}     `cbor:",toarray"`
	ID      TargetID     `cbor:"id"`
	Call    uint64       `cbor:"call"`
	Leaving bool         `cbor:"leaving"`
	Gone    bool         `cbor:"gone"`
	Layers  config.Range `cbor:"layers"`
	Loading bool         `cbor:"loading"`
}

// Update returns the part of a target that may change.
func (t Target) Update() TargetUpdate {
	return TargetUpdate{ID: t.ID, Call: t.Call, Leaving: t.Leaving, Gone: t.Gone, Layers: t.Layers, Loading: t.Loading}
}

// With returns the target with an update applied.
func (t Target) With(u TargetUpdate) Target {
	t.Call, t.Leaving, t.Gone, t.Layers, t.Loading = u.Call, u.Leaving, u.Gone, u.Layers, u.Loading
	return t
}

// sameExceptUpdate reports whether the targets differ at most in what an update contains.
func (t Target) sameExceptUpdate(o Target) bool {
	return t.With(TargetUpdate{}) == o.With(TargetUpdate{})
}

// AcceptsWork reports whether the target accepts new work.
func (t Target) AcceptsWork() bool { return !t.Leaving && !t.Gone }

// merge returns the newer of two messages of the same incarnation. Leaving and Gone stay set once
// either message sets them.
func (t Target) merge(other Target) Target {
	newer := t
	if other.Call > t.Call {
		newer = other
		if newer.Address == "" {
			// A sign-off contains nothing else.
			newer = t
			newer.Call = other.Call
		}
	}
	newer.Leaving = t.Leaving || other.Leaving
	newer.Gone = t.Gone || other.Gone
	return newer
}

// minLossTimeout is the least silence after which a target counts as lost: a heartbeat may arrive
// seconds late, however short the heartbeat interval.
const minLossTimeout = 3 * time.Second

// LossTimeout returns the silence after which a target with a heartbeat interval counts as lost:
// two and a half heartbeats, so that one late heartbeat does no harm.
func LossTimeout(heartbeat time.Duration) time.Duration {
	return max(2*heartbeat+heartbeat/2, minLossTimeout)
}

// Registry holds the targets by incarnation. Use NewRegistry.
type Registry struct {
	targets map[TargetID]entry
	// sortedIDs holds the keys of targets, sorted: they are iterated over several times a second.
	sortedIDs    []TargetID
	incarnations incarnations
	// change is the number of the last change, for those who follow the registry.
	change uint64
	// lossTimeout is the time without a report after which a target counts as lost.
	lossTimeout time.Duration
	// withholdEngines indicates that engines are withheld until they are listed: see shortlist.go.
	withholdEngines bool
}

type entry struct {
	target Target
	// reportedAt is when any VM last received a report of the target, as far as is known here,
	// and registered when the target was first known here.
	reportedAt, registered time.Time
	// changed is the number of the last change of target, and fullyChanged that of the last
	// one that an update does not cover.
	changed, fullyChanged uint64
	// directChanged is the number of the last change for DirectChangedSince, which includes that
	// the target began to report to this VM.
	directChanged uint64
	// direct indicates that the last report of the target came to this VM.
	direct bool
	// draining indicates that a VM that received a draining notice from the target reported it to
	// this VM.
	draining bool
	// superseded indicates that another incarnation runs in place of this one.
	superseded bool
	// withheld indicates that entry VMs that follow are not sent the target unless it leaves.
	withheld bool
}

// NewRegistry returns an empty registry. Targets without a report for lossTimeout count as lost.
func NewRegistry(lossTimeout time.Duration) *Registry {
	return &Registry{targets: make(map[TargetID]entry), incarnations: newIncarnations(), lossTimeout: lossTimeout}
}

// ReceiveReport processes a report that the target itself sent to this VM, and returns whether it
// is to be sent to followers at once, before they ask for changes.
func (r *Registry) ReceiveReport(t Target, now time.Time) bool {
	if !t.Gone {
		return r.applyReport(t, now, true)
	}
	isNew := false
	for _, message := range r.signOffs(t) {
		isNew = r.applyReport(message, now, true) || isNew
	}
	return isNew
}

// ReceiveForwarded processes a report forwarded by another VM, and returns whether it is new. That
// of a superseded incarnation is not.
func (r *Registry) ReceiveForwarded(t Target, now time.Time) bool {
	return r.applyReport(t, now, false)
}

// applyReport merges a report with what is known of its target, and returns whether it is new or to
// be sent to followers at once. direct indicates that the target sent it to this VM.
func (r *Registry) applyReport(t Target, now time.Time, direct bool) bool {
	present, known := r.targets[t.ID]
	next := t
	if known {
		next = present.target.merge(t)
	}
	differs := !known || differs(present.target, next)
	e := present
	e.target, e.reportedAt, e.direct = next, now, direct
	if !known {
		e.registered = now
		e.withheld = r.withholdEngines && next.isEngine()
	}
	late := known && t.Call <= present.target.Call
	if late {
		e.reportedAt = present.reportedAt
		e.direct = present.direct || direct && differs
	}
	// A target that begins to report to this VM is sent again to other control VMs, even if its
	// report is not new: the VM that it reported to before may have failed with its last message.
	// Unless the target is leaving, it is sent only when they ask, since after a loss of all VMs
	// every target reports to another VM than before. Followers of this VM have been sent it.
	reattached := direct && !present.direct && !late
	if differs || reattached || known && !late && r.isSilent(present, now) {
		r.change++
		e.directChanged = r.change
	}
	if differs || reattached && next.Leaving || known && !late && r.isSilent(present, now) {
		e.changed = r.change
	}
	// Those who asked for all targets while this one was silent were not sent it.
	if !known || !present.target.sameExceptUpdate(next) || !late && r.isSilent(present, now) {
		e.fullyChanged = r.change
	}
	if at, known := slices.BinarySearch(r.sortedIDs, t.ID); !known {
		r.sortedIDs = slices.Insert(r.sortedIDs, at, t.ID)
	}
	r.targets[t.ID] = e
	reappeared := r.reindex(present.target, next, known)
	if direct && !late && !t.Gone && r.targets[t.ID].superseded {
		r.noteAbsent(next, now)
	}
	return !r.targets[t.ID].superseded && (differs || reattached && next.Leaving || reappeared || present.superseded)
}

// RecordDraining records that a target has sent another VM a draining notice with an answer, and
// reports whether that is new. It does not count as a heartbeat.
func (r *Registry) RecordDraining(id TargetID) bool {
	e, known := r.targets[id]
	if !known || e.superseded || e.target.Leaving {
		return false
	}
	r.change++
	e.target.Leaving = true
	e.draining = true
	e.changed, e.directChanged = r.change, r.change
	r.targets[id] = e
	return true
}

// isSilent reports whether a target counts as lost: it is not sent to those who ask for all
// targets, so that its next message is new to them.
func (r *Registry) isSilent(e entry, now time.Time) bool {
	return now.Sub(e.reportedAt) > r.lossTimeout
}

// differs compares all but the number of the message.
func differs(a, b Target) bool {
	a.Call = b.Call
	return a != b
}

// ReceiveHeartbeat records a heartbeat that the target sent to another VM. Whether a target is
// silent is known only where all heartbeats are received.
func (r *Registry) ReceiveHeartbeat(id TargetID, call uint64, now time.Time) {
	if e, ok := r.targets[id]; ok && call > e.target.Call {
		if r.isSilent(e, now) {
			r.change++
			e.changed, e.fullyChanged = r.change, r.change
		}
		before := e.target
		e.target.Call = call
		e.reportedAt = now
		e.direct = false
		r.targets[id] = e
		r.reindex(before, e.target, true)
		if r.targets[id].superseded {
			r.noteAbsent(e.target, now)
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

// Remove removes a target.
func (r *Registry) Remove(id TargetID) {
	if at, known := slices.BinarySearch(r.sortedIDs, id); known {
		dropped := r.targets[id].target
		r.sortedIDs = slices.Delete(r.sortedIDs, at, at+1)
		delete(r.targets, id)
		delete(r.incarnations.absent, id)
		r.incarnations.unindex(dropped)
		r.updateSuperseded(r.incarnations.conflicting(dropped))
	}
}

// Change returns the number of the newest change.
func (r *Registry) Change() uint64 { return r.change }

// ChangedSince returns the targets that changed after a change, sorted by identity.
func (r *Registry) ChangedSince(change uint64) []Target {
	return r.find(func(e entry) bool { return e.changed > change })
}

// ListedChangedSince is ChangedSince without the engines that are withheld.
func (r *Registry) ListedChangedSince(change uint64) []Target {
	return r.find(func(e entry) bool { return e.changed > change && e.advertised() })
}

// DirectChangedSince returns the targets that report to this very VM, or whose draining notice was
// reported to it, and that have changed or begun to report to it after a change.
func (r *Registry) DirectChangedSince(change uint64) []Target {
	return r.find(func(e entry) bool { return max(e.changed, e.directChanged) > change && (e.direct || e.draining) })
}

// UpdateSuffices reports whether an update suffices for a receiver that has all changes up to a
// change: the rest of the target has not changed since.
func (r *Registry) UpdateSuffices(id TargetID, change uint64) bool {
	e, ok := r.targets[id]
	return ok && e.fullyChanged <= change
}

// find returns the targets that meet a condition, sorted by identity, without superseded ones.
func (r *Registry) find(wanted func(entry) bool) []Target {
	var targets []Target
	for _, id := range r.sortedIDs {
		if e := r.targets[id]; !e.superseded && wanted(e) {
			targets = append(targets, e.target)
		}
	}
	return targets
}

// Heartbeat is a sign that a target is alive.
type Heartbeat struct {
	// Encoded as an array: twice a second each control VM receives all targets from each other
	// one, and field names would take as many bytes as the start does in an ID.
	_    struct{} `cbor:",toarray"`
	ID   TargetID `cbor:"id"`
	Call uint64   `cbor:"call"`
}

// HeartbeatsSince returns the heartbeats that this very VM received after a time.
func (r *Registry) HeartbeatsSince(after time.Time) []Heartbeat {
	var heartbeats []Heartbeat
	for _, id := range r.sortedIDs {
		if e := r.targets[id]; !e.superseded && e.direct && e.reportedAt.After(after) {
			heartbeats = append(heartbeats, Heartbeat{ID: id, Call: e.target.Call})
		}
	}
	return heartbeats
}

// All returns every target that is not superseded, sorted by identity.
func (r *Registry) All() []Target { return r.ChangedSince(0) }

// SilentTargets returns the targets that have not signed off and that are superseded or have not
// reported for lossTimeout. Where another target at the same address has reported since, the
// shorter time replacedTimeout is enough: an address has one target at a time, and late messages of
// one that died may still arrive.
func (r *Registry) SilentTargets(now time.Time, replacedTimeout time.Duration) []TargetID {
	var silent []TargetID
	after, replacedAfter := now.Add(-r.lossTimeout), now.Add(-replacedTimeout)
	for _, id := range r.sortedIDs {
		e := r.targets[id]
		if !e.target.Gone && (e.superseded || e.reportedAt.Before(after) || r.replaced(e, after, replacedAfter)) {
			silent = append(silent, id)
		}
	}
	return silent
}

// replaced reports whether another target, not superseded, runs at the address of e. Where their
// starts do not decide, either the other one has reported after the last report of e, which came
// before replacedAfter; or it registered later, but before replacedAfter, and has reported again
// since, so that only a late message of e can be newer. The former does not count if the latter
// holds for e against the other one.
func (r *Registry) replaced(e entry, after, replacedAfter time.Time) bool {
	for _, id := range r.incarnations.byAddress[e.target.Address] {
		other := r.targets[id]
		if id == e.target.ID || other.superseded {
			continue
		}
		reportedLater := e.reportedAt.Before(replacedAfter) && e.reportedAt.Before(other.reportedAt)
		if other.outlives(e, after, replacedAfter) || reportedLater && !e.outlives(other, after, replacedAfter) {
			return true
		}
	}
	return false
}

// outlives reports whether a target registered after another one and is alive.
func (e entry) outlives(o entry, after, replacedAfter time.Time) bool {
	alive := !e.reportedAt.Before(after) && e.reportedAt.After(e.registered)
	return alive && e.registered.After(o.registered) && e.registered.Before(replacedAfter)
}

// Expire removes the targets that have not reported after a time.
func (r *Registry) Expire(after time.Time) {
	var removed []Target
	for id, e := range r.targets {
		if e.reportedAt.Before(after) {
			removed = append(removed, e.target)
			delete(r.targets, id)
		}
	}
	r.removeIncarnations(removed, after)
	r.sortedIDs = slices.DeleteFunc(r.sortedIDs, func(id TargetID) bool {
		_, kept := r.targets[id]
		return !kept
	})
}

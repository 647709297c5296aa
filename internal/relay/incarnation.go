package relay

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"time"
)

// This file distinguishes the incarnations of a target. One that restarts under its name knows
// nothing of the requests of the previous one and holds none of its layers.
//
// Problem: messages of an incarnation that has ended may arrive after those of the next one, by
// any path and in any order, and must not revive it.
//
// Algorithm: the start is part of the identity, so that all state kept by TargetID belongs to one
// incarnation. Of the incarnations of one name, and of those at one address, the one with the
// latest start is current and supersedes the others. Each registry derives this from the
// incarnations that it knows, so that neither the order of arrival nor its own clock matters.
//
// After a clock was set back, the running incarnation does not have the latest start. It becomes
// current once the later ones have been silent for the time after which a target counts as lost:
// the control VM that receives its report notes them as absent, up to the last message that it
// has of each, and forwards the notes. An absent incarnation supersedes nothing. Its next message,
// which is newer than the note, ends that.
//
// Invariants: what is current depends on the incarnations and notes that are known, not on the
// order in which they arrived; a superseded incarnation is sent to no VM, saved nowhere and
// given no work.
//
// Limits: if a message of an earlier incarnation arrives when the later one has been silent for
// that time, the earlier one is current until the later one reports or the earlier one has been
// silent for as long. A target at an address where one with a later start, by another machine's
// clock, ran before is accepted up to that time late.

// TargetID identifies one incarnation of a target: by its name and, where it is known, its start.
type TargetID string

// startSeparator separates the name and the start in a TargetID, and startBase is the base of the
// start: a start in milliseconds takes 9 bytes with the separator, and 14 in decimal.
const (
	startSeparator = "@"
	startBase      = 36
)

// NewTargetID returns the identity of the incarnation of a target that began at a start, in Unix
// milliseconds; 0 if it is not known. Two different pairs have different identities.
func NewTargetID(name string, startMillis uint64) TargetID {
	if startMillis == 0 && !strings.Contains(name, startSeparator) {
		return TargetID(name)
	}
	return TargetID(name + startSeparator + strconv.FormatUint(startMillis, startBase))
}

// Name returns the name that all incarnations of the target have.
func (id TargetID) Name() string {
	if at := strings.LastIndex(string(id), startSeparator); at >= 0 {
		return string(id[:at])
	}
	return string(id)
}

// StartMillis returns the start of this incarnation in Unix milliseconds, or 0 if it is not known.
func (id TargetID) StartMillis() uint64 {
	at := strings.LastIndex(string(id), startSeparator)
	if at < 0 {
		return 0
	}
	startMillis, err := strconv.ParseUint(string(id[at+len(startSeparator):]), startBase, 64)
	if err != nil {
		return 0 // not created by NewTargetID
	}
	return startMillis
}

// OtherIncarnation reports whether a start belongs to another incarnation than this one. It
// returns false if either start is not known.
func (id TargetID) OtherIncarnation(startMillis uint64) bool {
	own := id.StartMillis()
	return own != 0 && startMillis != 0 && own != startMillis
}

// TargetKey represents a TargetID in messages that VMs send each other several times a second: it
// takes 5 bytes there, and the identity 22. Two of 3,000 targets have the same key once in 1,000
// deployments; one of them is then treated as busy or avoided whenever the other is.
type TargetKey uint32

// String returns the key for logs and operators.
func (k TargetKey) String() string { return fmt.Sprintf("key-%08x", uint32(k)) }

// Key returns the key of this incarnation: that of another incarnation of the same name differs.
func (id TargetID) Key() TargetKey {
	h := fnv.New32a()
	h.Write([]byte(id)) // a hash accepts any write
	return TargetKey(h.Sum32())
}

// Succession indicates that an incarnation of a target, or the target at an address, has ended
// because another one has begun.
type Succession struct{ Old, New TargetID }

// AbsenceNote notes that an incarnation with a later start was silent when one with an earlier
// start reported: it is no longer current unless it has sent a message after Call.
type AbsenceNote struct {
	_    struct{} `cbor:",toarray"`
	ID   TargetID `cbor:"id"`
	Call uint64   `cbor:"call"`
}

// absence is an AbsenceNote with the time at which it was recorded here.
type absence struct {
	call uint64
	at   time.Time
}

// incarnations is what a Registry keeps to determine which incarnation is current.
type incarnations struct {
	// byName and byAddress hold the incarnations of which only one can run.
	byName    map[string][]TargetID
	byAddress map[string][]TargetID
	absent    map[TargetID]absence
	// ended and revived are the changes since the last PopTransitions.
	ended   []Succession
	revived []TargetID
}

func newIncarnations() incarnations {
	return incarnations{byName: make(map[string][]TargetID), byAddress: make(map[string][]TargetID), absent: make(map[TargetID]absence)}
}

// index adds an incarnation to its name and address.
func (l *incarnations) index(t Target) {
	l.byName[t.ID.Name()] = appendUnique(l.byName[t.ID.Name()], t.ID)
	if t.Address != "" {
		l.byAddress[t.Address] = appendUnique(l.byAddress[t.Address], t.ID)
	}
}

// unindex removes an incarnation from its name and address.
func (l *incarnations) unindex(t Target) {
	removeID(l.byName, t.ID.Name(), t.ID)
	removeID(l.byAddress, t.Address, t.ID)
}

// appendUnique adds an identity to others unless it is among them.
func appendUnique(ids []TargetID, id TargetID) []TargetID {
	if slices.Contains(ids, id) {
		return ids
	}
	return append(ids, id)
}

// removeID removes an identity from those at a key.
func removeID(index map[string][]TargetID, key string, id TargetID) {
	left := slices.DeleteFunc(index[key], func(o TargetID) bool { return o == id })
	index[key] = left
	if len(left) == 0 {
		delete(index, key)
	}
}

// conflicting returns the incarnations of which at most one runs beside a target: those of its
// name, and those at its address.
func (l *incarnations) conflicting(t Target) []TargetID {
	all := l.byName[t.ID.Name()]
	if t.Address == "" {
		return all
	}
	for _, id := range l.byAddress[t.Address] {
		all = appendUnique(slices.Clip(all), id)
	}
	return all
}

// isAbsent reports whether an incarnation has sent nothing since it was noted as absent.
func (r *Registry) isAbsent(t Target) bool {
	note, noted := r.incarnations.absent[t.ID]
	return noted && t.Call <= note.call
}

// reindex determines again which incarnations are current where a target's message may change
// that: the target was not known, has another address, or was absent and reports again. It
// returns whether it was absent.
func (r *Registry) reindex(before, after Target, known bool) (reappeared bool) {
	note, noted := r.incarnations.absent[after.ID]
	reappeared = noted && after.Call > note.call
	if known && before.Address == after.Address && !reappeared {
		return false
	}
	r.incarnations.index(after)
	switch {
	case !known:
		// An incarnation that was never current here does not end.
		e := r.targets[after.ID]
		_, e.superseded = r.supersedingIncarnation(after)
		r.targets[after.ID] = e
	case before.Address != after.Address:
		removeID(r.incarnations.byAddress, before.Address, before.ID)
		r.updateSuperseded(r.incarnations.byAddress[before.Address])
	}
	if reappeared {
		delete(r.incarnations.absent, after.ID)
		r.markChanged(after.ID)
	}
	r.updateSuperseded(r.incarnations.conflicting(after))
	return reappeared
}

// markChanged marks an incarnation as changed, so that followers are sent it again.
func (r *Registry) markChanged(id TargetID) {
	r.change++
	e := r.targets[id]
	e.changed = r.change
	r.targets[id] = e
}

// updateSuperseded determines which of some incarnations are superseded, and records those that
// have become superseded or current.
func (r *Registry) updateSuperseded(ids []TargetID) {
	for _, id := range ids {
		e, known := r.targets[id]
		if !known {
			continue
		}
		by, superseded := r.supersedingIncarnation(e.target)
		if superseded == e.superseded {
			continue
		}
		e.superseded = superseded
		r.change++
		if superseded {
			r.incarnations.ended = append(r.incarnations.ended, Succession{Old: id, New: by})
			if e.advertised() {
				r.AddToShortlist(by)
			}
		} else {
			e.changed, e.fullyChanged = r.change, r.change
			r.incarnations.revived = append(r.incarnations.revived, id)
		}
		r.targets[id] = e
	}
}

// supersedingIncarnation returns the incarnation with the latest start that supersedes a target,
// if there is one.
func (r *Registry) supersedingIncarnation(t Target) (by TargetID, superseded bool) {
	latest := t.ID.StartMillis()
	for _, id := range r.incarnations.conflicting(t) {
		if startMillis := id.StartMillis(); startMillis > latest && !r.isAbsent(r.targets[id].target) {
			by, latest, superseded = id, startMillis, true
		}
	}
	return by, superseded
}

// noteAbsent notes the silent ones of the incarnations with a later start than one that has just
// reported, to this VM or to another one that forwards all heartbeats to it.
func (r *Registry) noteAbsent(t Target, now time.Time) {
	noted := false
	for _, id := range r.incarnations.conflicting(t) {
		e := r.targets[id]
		if id.StartMillis() <= t.ID.StartMillis() || !r.isSilent(e, now) || r.isAbsent(e.target) {
			continue
		}
		r.incarnations.absent[id] = absence{call: e.target.Call, at: now}
		noted = true
	}
	if noted {
		r.updateSuperseded(r.incarnations.conflicting(t))
	}
}

// ReceiveAbsence records the note of another VM.
func (r *Registry) ReceiveAbsence(m AbsenceNote, now time.Time) {
	e, known := r.targets[m.ID]
	if note, noted := r.incarnations.absent[m.ID]; noted && note.call >= m.Call || known && e.target.Call > m.Call {
		return
	}
	r.incarnations.absent[m.ID] = absence{call: m.Call, at: now}
	if known {
		r.updateSuperseded(r.incarnations.conflicting(e.target))
	}
}

// AbsenceNotes returns the notes on incarnations that have sent nothing since, sorted. A note on an
// incarnation that has been removed here is no longer sent: two VMs would keep it alive between
// them.
func (r *Registry) AbsenceNotes() []AbsenceNote {
	var notes []AbsenceNote
	for id, note := range r.incarnations.absent {
		if _, known := r.targets[id]; !known {
			continue
		}
		notes = append(notes, AbsenceNote{ID: id, Call: note.call})
	}
	slices.SortFunc(notes, func(a, b AbsenceNote) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return notes
}

// PopTransitions returns the incarnations that have ended, and those that have become current
// again, since its last call. One that did both is returned only for the state that holds now.
func (r *Registry) PopTransitions() (ended []Succession, revived []Target) {
	for _, s := range r.incarnations.ended {
		if r.targets[s.Old].superseded {
			ended = append(ended, s)
		}
	}
	for _, id := range r.incarnations.revived {
		if e, known := r.targets[id]; known && !e.superseded {
			revived = append(revived, e.target)
		}
	}
	r.incarnations.ended, r.incarnations.revived = nil, nil
	return ended, revived
}

// IsCurrent reports whether an incarnation is known and not superseded.
func (r *Registry) IsCurrent(id TargetID) bool {
	e, known := r.targets[id]
	return known && !e.superseded
}

// signOffs returns the sign-offs that follow from one message: for the incarnation whose start it
// contains or, without a start, for those of its name that are current here at this moment.
func (r *Registry) signOffs(t Target) []Target {
	messages := []Target{t}
	if t.ID.StartMillis() != 0 {
		return messages
	}
	for _, id := range r.incarnations.byName[t.ID.Name()] {
		if id != t.ID && !r.targets[id].superseded {
			other := t
			other.ID = id
			messages = append(messages, other)
		}
	}
	return messages
}

// removeIncarnations removes the incarnations that the registry no longer knows, and notes from
// before a time.
func (r *Registry) removeIncarnations(removed []Target, after time.Time) {
	for _, t := range removed {
		r.incarnations.unindex(t)
	}
	for id, note := range r.incarnations.absent {
		if _, known := r.targets[id]; !known && note.at.Before(after) {
			delete(r.incarnations.absent, id)
		}
	}
	for _, t := range removed {
		r.updateSuperseded(r.incarnations.conflicting(t))
	}
}

// SupersededBy returns the incarnations known here that end with the first messages of others. A VM
// that follows a registry for long may know targets that its own registry has removed.
func (r *Router) SupersededBy(messages []Target) (ended []Succession) {
	names, addresses := make(map[string]TargetID), make(map[string]TargetID)
	for _, t := range messages {
		if _, known := r.targets[t.ID]; !known && t.ID.StartMillis() > 0 {
			keepLatest(names, t.ID.Name(), t.ID)
			keepLatest(addresses, t.Address, t.ID)
		}
	}
	if len(names) == 0 {
		return nil
	}
	for id, t := range r.targets {
		next := later(names[id.Name()], addresses[t.Address])
		if !t.superseded && next.StartMillis() > id.StartMillis() {
			ended = append(ended, Succession{Old: id, New: next})
		}
	}
	slices.SortFunc(ended, func(a, b Succession) int { return strings.Compare(string(a.Old), string(b.Old)) })
	return ended
}

// keepLatest keeps the incarnation with the later start at a key.
func keepLatest(latest map[string]TargetID, key string, id TargetID) {
	latest[key] = later(latest[key], id)
}

// later returns the incarnation with the later start.
func later(a, b TargetID) TargetID {
	if b.StartMillis() > a.StartMillis() {
		return b
	}
	return a
}

// EndIncarnations ends incarnations: they get no new work, what runs there counts as lost, and no
// state of them is carried over. It returns the addresses of those that this VM knew.
func (r *Router) EndIncarnations(ended []Succession) (addresses []string) {
	for _, s := range ended {
		t, known := r.targets[s.Old]
		if !known || t.superseded {
			continue
		}
		t.superseded = true
		r.removeMember(t)
		if t.ownWork.Requests <= 0 {
			delete(r.targets, t.ID)
		}
		addresses = append(addresses, t.Address)
	}
	return addresses
}

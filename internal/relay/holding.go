package relay

import (
	"cmp"
	"slices"
	"time"
)

// This file accounts for the bytes that a VM buffers for others, and decides who waits and who is
// evicted when there are too many.
//
// Problem: callers and targets may read slowly or not at all. What is buffered for them takes
// memory of the VM, and a VM that exceeds its memory loses all its work in flight.
//
// Algorithm: each request has a holding. A part of it is reserved while the request is open: its
// body, and what the kernel may buffer of it. The other part is the answer that its caller has
// not read yet. All holdings together are within a bound; the unread answers are within a part of
// it, so that slow callers leave room for new requests. Above the bound, holdings whose callers
// have read nothing for a while are evicted, in the order of bytes times the time that they have
// been unread; callers that read wait.
//
// Invariants: the holdings never exceed the bound that applied when they last grew; a caller that
// has read within the grace time is never evicted to make room.

// Side is whether bytes are held for callers or for targets.
type Side int

// The sides.
const (
	SideCallers Side = iota
	SideTargets
	sides
)

// String returns the side's name.
func (s Side) String() string { return [...]string{"callers", "targets"}[s] }

// HoldingID identifies one holding.
type HoldingID uint64

// HoldingTerms bound what is held.
type HoldingTerms struct {
	// Each bounds the unread answer of one holding, in bytes.
	Each int64
	// Grace is how long nothing may be read before a holding may be evicted to make room.
	Grace time.Duration
	// Unread is how long nothing may be read before a holding ends in any case.
	Unread time.Duration
}

// unreadShare is the part of the bound that unread answers may take: the rest is for new
// requests, whose callers may well read.
const unreadShare = 0.75

type holding struct {
	// reserved and unread are in bytes.
	reserved [sides]int64
	unread   int64
	// blockedAt is since when the kernel accepts nothing more for the caller, zero while it does
	// or was not asked.
	blockedAt time.Time
}

// Holdings are all that a VM holds for others. They are not safe for concurrent use.
type Holdings struct {
	terms    HoldingTerms
	bound    int64
	last     HoldingID
	all      map[HoldingID]*holding
	reserved [sides]int64
	unread   int64
	// behind counts the holdings with unread bytes.
	behind int
	// sending holds the bytes of bodies in transit, by the address of their target.
	sending map[string]int64
}

// NewHoldings returns Holdings without any, within a bound in bytes.
func NewHoldings(t HoldingTerms, bound int64) *Holdings {
	return &Holdings{terms: t, bound: bound, all: make(map[HoldingID]*holding), sending: make(map[string]int64)}
}

// SetBound sets a new bound, in bytes. What is held above it stays until it is read or evicted.
func (h *Holdings) SetBound(bytes int64) { h.bound = bytes }

// Bound returns the bound, in bytes.
func (h *Holdings) Bound() int64 { return h.bound }

// Held returns what is held for a side, in bytes.
func (h *Holdings) Held(s Side) int64 {
	if s == SideCallers {
		return h.reserved[s] + h.unread
	}
	return h.reserved[s]
}

// Behind returns how many callers have a part of their answer unread here.
func (h *Holdings) Behind() int { return h.behind }

func (h *Holdings) total() int64 { return h.reserved[SideCallers] + h.reserved[SideTargets] + h.unread }

// Open begins a holding.
func (h *Holdings) Open() HoldingID {
	h.last++
	h.all[h.last] = &holding{}
	return h.last
}

// perTargetShare is the part of the bound that bodies in transit to one target may take: one that
// does not read leaves room for the others.
const perTargetShare = 0.25

// Send records a body in transit to a target, and reports whether there is room for it. A target
// may be sent one body however large.
func (h *Holdings) Send(address string, bytes int64) bool {
	inTransit := h.sending[address]
	if inTransit > 0 && inTransit+bytes > int64(perTargetShare*float64(h.bound)) {
		return false
	}
	h.sending[address] = inTransit + bytes
	return true
}

// Sent records that a body is no longer in transit to a target.
func (h *Holdings) Sent(address string, bytes int64) {
	h.sending[address] -= bytes
	if h.sending[address] <= 0 {
		delete(h.sending, address)
	}
}

// Close ends a holding.
func (h *Holdings) Close(id HoldingID) {
	one, ok := h.all[id]
	if !ok {
		return
	}
	for s := range one.reserved {
		h.reserved[s] -= one.reserved[s]
	}
	h.unread -= one.unread
	if one.unread > 0 {
		h.behind--
	}
	delete(h.all, id)
}

// Reserve adds bytes to what is reserved for a holding, or none if there is no room for them. It
// returns the holdings that are evicted to make room.
func (h *Holdings) Reserve(id HoldingID, s Side, bytes int64, now time.Time) (ok bool, evicted []HoldingID) {
	one, known := h.all[id]
	if !known {
		return false, nil
	}
	room, evicted := h.makeRoom(id, bytes, h.bound-h.total(), now)
	if room < bytes {
		return false, evicted
	}
	one.reserved[s] += bytes
	h.reserved[s] += bytes
	return true, evicted
}

// Buffer adds bytes of an answer that its caller has not read, as many as there is room for. It
// returns their number and the holdings that are evicted to make room.
func (h *Holdings) Buffer(id HoldingID, bytes int64, now time.Time) (taken int64, evicted []HoldingID) {
	one, known := h.all[id]
	if !known {
		return 0, nil
	}
	wanted := min(bytes, h.terms.Each-one.unread)
	free := min(h.bound-h.total(), int64(unreadShare*float64(h.bound))-h.unread)
	room, evicted := h.makeRoom(id, wanted, free, now)
	taken = max(min(wanted, room), 0)
	if taken > 0 && one.unread == 0 {
		h.behind++
	}
	one.unread += taken
	h.unread += taken
	return taken, evicted
}

// Read records that a caller reads, and that bytes of its answer need no longer be held.
func (h *Holdings) Read(id HoldingID, bytes int64) {
	one, ok := h.all[id]
	if !ok {
		return
	}
	one.blockedAt = time.Time{}
	bytes = min(bytes, one.unread)
	if bytes > 0 && bytes == one.unread {
		h.behind--
	}
	one.unread -= bytes
	h.unread -= bytes
}

// Full reports whether a holding has as much unread as one may have.
func (h *Holdings) Full(id HoldingID) bool {
	one, ok := h.all[id]
	return ok && one.unread >= h.terms.Each
}

// Blocked records that the kernel accepts nothing more for a caller. Its time counts only from then
// on: if this VM is too busy to write, callers are not to blame.
func (h *Holdings) Blocked(id HoldingID, now time.Time) {
	if one, ok := h.all[id]; ok && one.blockedAt.IsZero() {
		one.blockedAt = now
	}
}

// makeRoom evicts holdings until there is room for bytes, or none is left that may be evicted,
// and returns the room. If all of them together would not make enough, none is evicted.
func (h *Holdings) makeRoom(id HoldingID, bytes, free int64, now time.Time) (room int64, evicted []HoldingID) {
	if free >= bytes || bytes <= 0 {
		return free, nil
	}
	candidates := h.evictable(id, now)
	room = free
	for room < bytes && len(candidates) > 0 {
		first := slices.MinFunc(candidates, func(a, b unreadCost) int {
			return cmp.Or(cmp.Compare(b.cost, a.cost), cmp.Compare(a.id, b.id))
		})
		candidates = slices.DeleteFunc(candidates, func(c unreadCost) bool { return c.id == first.id })
		room += h.all[first.id].unread
		evicted = append(evicted, first.id)
	}
	if room < bytes {
		return free, nil
	}
	for _, e := range evicted {
		h.Close(e)
	}
	return room, evicted
}

// unreadCost is a holding that may be evicted, with its cost to the others: its unread bytes
// times the seconds that they have been unread. The highest cost is evicted first, and of equal
// costs the older holding.
type unreadCost struct {
	id   HoldingID
	cost float64
}

// evictable returns the holdings, except one, that may be evicted to make room, in no order.
func (h *Holdings) evictable(except HoldingID, now time.Time) []unreadCost {
	var candidates []unreadCost
	for id, one := range h.all {
		since := now.Sub(one.blockedAt)
		if id != except && one.unread > 0 && !one.blockedAt.IsZero() && since >= h.terms.Grace {
			candidates = append(candidates, unreadCost{id, float64(one.unread) * since.Seconds()})
		}
	}
	return candidates
}

// EndOverdue ends the holdings whose callers have read nothing for HoldingTerms.Unread, and
// returns them, sorted.
func (h *Holdings) EndOverdue(now time.Time) []HoldingID {
	var overdue []HoldingID
	for id, one := range h.all {
		if one.unread > 0 && !one.blockedAt.IsZero() && now.Sub(one.blockedAt) >= h.terms.Unread {
			overdue = append(overdue, id)
		}
	}
	for _, id := range overdue {
		h.Close(id)
	}
	slices.Sort(overdue)
	return overdue
}

// Memory is what a VM may use and what it uses beside its holdings, in bytes.
type Memory struct {
	// Limit is what the process may use, or 0 for no limit.
	Limit int64
	// Program is what the program itself uses, and InUse what else it has in use.
	Program, InUse int64
}

const (
	// memoryParts is the number of equal parts of the memory that is left: one may be held, one
	// is for what is no longer held and not collected yet, and one for what is not measured and
	// for the growth of the VM's own state until the next measurement.
	memoryParts = 3
	// minBoundParts is the number of equal parts of the limit of which one may be held however
	// much seems in use: the measurement includes garbage, which is collected when the memory is
	// needed.
	minBoundParts = 16
)

// Unbounded is the bound if there is no limit.
const Unbounded = int64(1) << 50

// HoldingBound returns the bound on what is held.
func (m Memory) HoldingBound() int64 {
	if m.Limit <= 0 {
		return Unbounded
	}
	return max((m.Limit-m.Program-m.InUse)/memoryParts, m.Limit/minBoundParts)
}

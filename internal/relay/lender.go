package relay

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
)

// This file divides the limits of targets among entry VMs.
//
// Problem: a target accepts so many requests a second from all VMs together. A VM on its own can
// only keep to a fixed part, and most of the limit goes unused where callers use few VMs.
//
// Algorithm: the leader keeps a token bucket for each such target and grants its permits, one for
// each request, to the VMs that want them. With its renewals a VM reports how many requests
// wanted the target recently, how many permits it has left or given back, and which grant it
// received last; it sends no request without a permit (limits.go). Permits are granted for
// PermitTTL. Those given back can be granted again; those used or lost are replaced at the rate
// of the limit.
//
// Invariant: permits that can still be used, here and at VMs, never exceed the burst of their
// limit, and new ones are added at no more than the rate of the limit. So any span of time brings
// at most the burst and what the limit allows in it. Lost, late and repeated messages only lower
// that: a grant counts as outstanding from its sending until the VM acknowledges it or a later
// one, or until it has expired by a clock that counts suspensions. A new leader grants nothing
// until the permits of the previous leader have expired.
//
// Permits for repeats are granted in the same way (budget.go). In place of a token bucket, a ledger
// of the fixed number bounds them, in which permits count as used until they are given back.
//
// Limits: a VM that loses contact with the leader has its permits until they expire, and then
// none. An equal part of the limit for each VM would be less than one request in the time until
// its lease ends.
// Reports, orders and new paths of answers need no permit and are paid for later.

const (
	// PermitTTL is how long a permit may be used: three renewals, so that the loss of one costs
	// nothing, and the permits of a VM that died are soon available again.
	PermitTTL = 1500 * time.Millisecond
	// burstBasePermits and burstSpan make up the burst of a limit: a few requests, and what the
	// limit allows in the time that a VM takes to report what it has used.
	burstBasePermits = 4.0
	burstSpan        = time.Second
	// minLimitPerSecond is the least limit that is granted: with none at all, a target would
	// never be found to accept requests again.
	minLimitPerSecond = 0.1
	// sweepInterval is the time between two checks for expired state of holders: a check costs as
	// much as there are holders.
	sweepInterval = 100 * time.Millisecond
	// demandWindow is how long what a VM wanted counts.
	demandWindow = time.Second
	// answerOrderMargin is by how much answers to two VMs must differ for one to count as the
	// later: messages between VMs take up to that long.
	answerOrderMargin = 100 * time.Millisecond
	// limitIdleTimeout is how long after the last report on it a limit is kept.
	limitIdleTimeout = time.Minute
)

// LimitAnswer is what an answer of a target states about its limit.
type LimitAnswer struct {
	// Limited indicates that it names one, of PerSecond requests a second.
	Limited   bool
	PerSecond float64
	// SentAt is when the request was sent, and ReceivedAt when the answer was received: the target
	// wrote it in between.
	SentAt, ReceivedAt time.Time
}

// isForRepeats reports whether permits are requested for repeats: these have a rate, but it is not
// that of a target.
func (a LimitAnswer) isForRepeats() bool { return !a.Limited && a.PerSecond > 0 }

// after reports whether an answer was certainly given after another one was received.
func (a LimitAnswer) after(o LimitAnswer, margin time.Duration) bool {
	return a.SentAt.After(o.ReceivedAt.Add(margin))
}

// merge combines two answers: the later one counts, or the stricter one if it is not known which
// was later.
func (a LimitAnswer) merge(o LimitAnswer, margin time.Duration) LimitAnswer {
	switch {
	case a.ReceivedAt.IsZero() || o.after(a, margin):
		return o
	case o.ReceivedAt.IsZero() || a.after(o, margin):
		return a
	}
	if o.stricter(a) {
		a, o = o, a
	}
	if o.SentAt.After(a.SentAt) && o.Limited == a.Limited && o.PerSecond == a.PerSecond {
		a.SentAt = o.SentAt
	}
	if o.ReceivedAt.After(a.ReceivedAt) {
		a.ReceivedAt = o.ReceivedAt
	}
	return a
}

func (a LimitAnswer) stricter(o LimitAnswer) bool {
	return a.Limited && (!o.Limited || a.PerSecond < o.PerSecond)
}

// PermitRequest is what an entry VM reports of one target with a limit.
type PermitRequest struct {
	Target TargetKey
	// Answer is the newest answer of the target to this VM; its ReceivedAt is zero if there is none.
	Answer LimitAnswer
	// Wanted counts the requests of the last second that wanted the target.
	Wanted int
	// Left is the permits that it holds, and LastGrant the number of the last grant that
	// it accepted.
	Left      int
	LastGrant uint64
	// Unpaid counts what it has sent without a permit since it began to keep the limit, and
	// Returned the permits that it has given back unused.
	Unpaid, Returned uint64
}

// Permits is what an entry VM receives for a limit.
type Permits struct {
	// Encoded as an array: these values are sent often.
	_      struct{}  `cbor:",toarray"`
	Target TargetKey `cbor:"target"`
	// Over indicates that the target no longer has a limit.
	Over      bool    `cbor:"over"`
	PerSecond float64 `cbor:"per_second"`
	// Count is the number of new permits. The grant also extends those that are left of earlier
	// ones.
	Count int `cbor:"count"`
}

// PermitAllocator grants the permits of limited targets to holders. It is not safe for concurrent
// use.
type PermitAllocator[Holder comparable] struct {
	rand *rand.Rand
	ttl  time.Duration
	// repeats is the budget of repeats, whose fixed number is granted by service.
	repeats BudgetTerms
	// readyAt is when the permits of the previous allocator have expired.
	readyAt time.Time
	limits  map[TargetKey]*sharedLimit[Holder]
}

// sharedLimit is the limit of one target.
type sharedLimit[Holder comparable] struct {
	answer LimitAnswer
	// free is the permits that are granted to no holder, as of refilledAt. It is below 0 where more
	// was sent without a permit.
	free       float64
	refilledAt time.Time
	holders    map[Holder]*allocation
	// wanted is the sum of what holders want, granted that of the permits that they may still
	// use.
	wanted, granted int
	// sweepAt is when expired state of holders is next removed.
	sweepAt time.Time
	// askedAt is when a holder last reported on the limit.
	askedAt time.Time
	// repeats is set if the permits are for repeats of a service: it holds what the fixed number
	// allows, and the permits that were used.
	repeats *repeatLimit
}

// repeatLimit is the fixed number of repeats of a service.
type repeatLimit struct {
	terms BudgetTerms
	ledger
}

// allocation is what a holder has of a limit.
type allocation struct {
	// number is that of its newest renewal, and left the permits that it reported.
	number uint64
	left   int
	// unacknowledged are the grants that it has not reported as accepted.
	unacknowledged []pendingGrant
	// until is when all that it holds expires.
	until  time.Time
	wanted int
	// wantedAt is when it reported wanted.
	wantedAt time.Time
	// unpaid and returned are as the holder last reported them.
	unpaid, returned uint64
}

type pendingGrant struct {
	number uint64
	count  int
}

// NewPermitAllocator returns a PermitAllocator that knows no limit and replaces another one. ttl is
// how long it counts a permit as outstanding: PermitTTL, lengthened by the bound on clock drift.
func NewPermitAllocator[Holder comparable](seed uint64, ttl time.Duration, now time.Time) *PermitAllocator[Holder] {
	return &PermitAllocator[Holder]{rand: rand.New(rand.NewPCG(seed, 1)), ttl: ttl, readyAt: now.Add(ttl), limits: make(map[TargetKey]*sharedLimit[Holder])}
}

// GrantRepeats makes the allocator grant permits for repeats by the fixed number of a budget.
func (l *PermitAllocator[Holder]) GrantRepeats(terms BudgetTerms) { l.repeats = terms }

// Limited returns the targets that have a limit, sorted.
func (l *PermitAllocator[Holder]) Limited() []TargetKey {
	var limited []TargetKey
	for key, limit := range l.limits {
		if limit.answer.Limited {
			limited = append(limited, key)
		}
	}
	slices.Sort(limited)
	return limited
}

// Forget removes the limits that no holder has reported on for long.
func (l *PermitAllocator[Holder]) Forget(now time.Time) {
	for key, limit := range l.limits {
		if limit.repeats == nil && !now.Before(limit.askedAt.Add(limitIdleTimeout)) {
			delete(l.limits, key)
		}
	}
}

// Charge counts a message that was sent to a target without a permit.
func (l *PermitAllocator[Holder]) Charge(key TargetKey) {
	if limit, ok := l.limits[key]; ok {
		limit.free--
	}
}

// Request processes what a holder reports with its renewal of a number, and returns what it is
// granted. It returns false for a target of which no answer is known, and for a renewal that is
// not newer than the last.
func (l *PermitAllocator[Holder]) Request(h Holder, number uint64, request PermitRequest, now time.Time) (Permits, bool) {
	limit := l.getOrCreate(request, now)
	if limit == nil {
		return Permits{}, false
	}
	limit.askedAt = now
	limit.refill(now)
	limit.answer = limit.answer.merge(request.Answer, answerOrderMargin)
	if !limit.answer.Limited && limit.repeats == nil {
		return Permits{Target: request.Target, Over: true}, true
	}
	held, ok := limit.holders[h]
	if !ok {
		held = &allocation{unpaid: request.Unpaid, returned: request.Returned}
		limit.holders[h] = held
	}
	if number <= held.number {
		return Permits{}, false
	}
	limit.applyRequest(held, number, request, now)
	limit.refill(now)
	count := l.allocate(limit, held)
	if count > 0 {
		held.unacknowledged = append(held.unacknowledged, pendingGrant{number: number, count: count})
		limit.free -= float64(count)
		limit.granted += count
	}
	held.until = now.Add(l.ttl)
	return Permits{Target: request.Target, PerSecond: limit.answer.PerSecond, Count: count}, true
}

// getOrCreate returns the limit that a request refers to. One that is not kept yet is created if
// the request contains an answer of the target; otherwise the result is nil.
func (l *PermitAllocator[Holder]) getOrCreate(request PermitRequest, now time.Time) *sharedLimit[Holder] {
	limit, ok := l.limits[request.Target]
	if !ok && !request.Answer.ReceivedAt.IsZero() {
		limit = &sharedLimit[Holder]{refilledAt: laterTime(now, l.readyAt), holders: make(map[Holder]*allocation)}
		if request.Answer.isForRepeats() && l.repeats.Fixed > 0 {
			limit.repeats = &repeatLimit{terms: l.repeats}
			limit.refilledAt = l.readyAt // nothing was granted since
		}
		l.limits[request.Target] = limit
	}
	return limit
}

// rate is the number of permits that are added in a second.
func (l *sharedLimit[Holder]) rate() float64 {
	return max(l.answer.PerSecond, minLimitPerSecond)
}

// burst bounds the permits that can be used.
func (l *sharedLimit[Holder]) burst() float64 {
	if l.repeats != nil {
		return carriedShare * l.repeats.terms.Fixed
	}
	return burstBasePermits + l.answer.PerSecond*burstSpan.Seconds()
}

// refill adds the permits of the time since the last refill.
func (l *sharedLimit[Holder]) refill(now time.Time) {
	if !now.Before(l.sweepAt) {
		l.sweepAt = now.Add(sweepInterval)
		l.sweep(now)
	}
	if l.repeats != nil {
		l.refillRepeats(now)
		return
	}
	if now.After(l.refilledAt) {
		l.free += l.rate() * now.Sub(l.refilledAt).Seconds()
		l.refilledAt = now
	}
	l.clampToBurst()
}

// refillRepeats sets free to what the fixed number of repeats leaves. Permits may be used in any
// window that is not over yet.
func (l *sharedLimit[Holder]) refillRepeats(now time.Time) {
	b := l.repeats
	if now.After(l.refilledAt) {
		b.earnEvenly(b.terms.Fixed/b.terms.Window.Seconds(), clock.InstantOf(l.refilledAt), clock.InstantOf(now), b.terms.Window)
		l.refilledAt = now
	}
	l.free = b.room(1, clock.InstantOf(now), b.terms.Window) - float64(l.granted)
}

// sweep removes the holders whose permits have all expired, and demand that was reported longer
// than demandWindow ago.
func (l *sharedLimit[Holder]) sweep(now time.Time) {
	for h, held := range l.holders {
		if !now.Before(held.until) {
			l.wanted -= held.wanted
			l.granted -= held.outstanding()
			l.recordUse(held.outstanding(), now)
			delete(l.holders, h)
			continue
		}
		if held.wanted > 0 && !now.Before(held.wantedAt.Add(demandWindow)) {
			l.wanted -= held.wanted
			held.wanted = 0
		}
	}
}

// recordUse records permits for repeats that were used, or may have been.
func (l *sharedLimit[Holder]) recordUse(permits int, now time.Time) {
	if l.repeats != nil {
		l.repeats.spend(permits, clock.InstantOf(now), l.repeats.terms.Window)
	}
}

// clampToBurst keeps the permits that can be used within the burst.
func (l *sharedLimit[Holder]) clampToBurst() {
	l.free = min(l.free, l.burst()-float64(l.granted))
}

// outstanding is the permits that the holder may still use.
func (h *allocation) outstanding() int {
	outstanding := h.left
	for _, g := range h.unacknowledged {
		outstanding += g.count
	}
	return outstanding
}

// applyRequest updates the state of a holder from its report.
func (l *sharedLimit[Holder]) applyRequest(held *allocation, number uint64, request PermitRequest, now time.Time) {
	before := held.outstanding()
	held.number = number
	held.left = request.Left
	held.unacknowledged = slices.DeleteFunc(held.unacknowledged, func(g pendingGrant) bool { return g.number <= request.LastGrant })
	// No more than the decrease since: a request that arrives twice may contain returns that were
	// counted the first time.
	decrease := max(before-held.outstanding(), 0)
	l.granted += held.outstanding() - before
	returned := min(request.Returned-min(held.returned, request.Returned), uint64(decrease))
	l.free += float64(returned)
	l.recordUse(decrease-int(returned), now)
	l.free -= float64(request.Unpaid - min(held.unpaid, request.Unpaid))
	held.unpaid, held.returned = request.Unpaid, request.Returned
	l.wanted += request.Wanted - held.wanted
	held.wanted, held.wantedAt = request.Wanted, now
}

// allocate returns how many permits a holder is granted: what it wants, up to its part of the
// burst in proportion to what all want. A fraction of a permit is drawn at random.
func (l *PermitAllocator[Holder]) allocate(limit *sharedLimit[Holder], held *allocation) int {
	if held.wanted <= 0 || limit.free < 1 {
		return 0
	}
	part := limit.burst() * float64(held.wanted) / float64(limit.wanted)
	fair := min(float64(held.wanted), part)
	count := math.Floor(fair)
	if l.rand.Float64() < fair-count {
		count++
	}
	return max(int(min(count-float64(held.outstanding()), math.Floor(limit.free))), 0)
}

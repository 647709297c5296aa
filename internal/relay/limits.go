package relay

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// This file holds what an entry VM knows of the limits of targets, and the permits that it is
// granted for them; lender.go describes the problem and the leader's side.
//
// Algorithm: a target is limited once one of its answers to this VM names a limit, or the leader
// reports that an answer to another VM did. From then on each request to it takes a permit: where
// the target is chosen, so that one without a permit counts as full, and again whenever the
// request is sent once more. The limit ends once the target answers a request that was sent after
// that without naming one, or the leader reports its end.
//
// Invariants: what this VM reports as left it has not used; a permit is used before it expires.

const (
	// limitTTL is how long a limit that no answer to this VM has named counts after the leader
	// last reported it: as long as a lease, without which this VM sends nothing.
	limitTTL = 3 * time.Second
	// maxPermitRequests bounds the limits in one renewal: 16 are some 0.5 KB.
	maxPermitRequests = 16
	// maxLimits bounds the limits that are kept: as many as backoffs.
	maxLimits = maxBackoffs
	// unlimitedFromPerSecond is the limit, in requests a second, from which on a target counts as
	// unlimited: no target runs as many.
	unlimitedFromPerSecond = 1000.0
)

// limit is what is known of the limit of one target, and what this VM holds of it.
type limit struct {
	id TargetID
	// answer is the newest answer of the target to this VM.
	answer LimitAnswer
	// perSecond is the limit that was last received from the target or the leader.
	perSecond float64
	// knownUntil is when the limit that the leader has last reported expires. marked is set while
	// the leader marks the target as limited, which has no expiry.
	knownUntil time.Time
	marked     bool
	heldPermits
	limitCounts
}

// heldPermits are the permits of a limit, or for repeats, that were granted to this VM.
type heldPermits struct {
	// left are those that no request has, and reserved those of requests whose target was chosen
	// and that are not sent yet. All expire at until.
	left, reserved int
	expiresAt      time.Time
	// lastGrant is the number of the last grant that was accepted.
	lastGrant uint64
	// unpaid counts what was sent without a permit, returned the permits that were given back.
	unpaid, returned uint64
}

// limitCounts count the outcomes of requests that wanted a target.
type limitCounts struct {
	// wanted counts those of the last second, and granted the permits that were received in it.
	wanted, granted window
	// used counts those that were sent, and heldBack those that found no permit.
	used, heldBack int
}

// RateLimits keeps the limits of targets for one entry VM. It is not safe for concurrent use.
type RateLimits struct {
	rand *rand.Rand
	// byTarget holds them by the key of an incarnation: they do not apply to another one.
	byTarget map[TargetKey]*limit
}

// NewRateLimits returns RateLimits without any.
func NewRateLimits(seed uint64) *RateLimits {
	return &RateLimits{rand: rand.New(rand.NewPCG(seed, 2)), byTarget: make(map[TargetKey]*limit)}
}

// Observe records what an answer of a target states about its limit, and reports whether that
// is new here.
func (l *RateLimits) Observe(id TargetID, answer LimitAnswer) bool {
	known, ok := l.byTarget[id.Key()]
	if answer.Limited && answer.PerSecond >= unlimitedFromPerSecond {
		answer.Limited, answer.PerSecond = false, 0
	}
	if !ok {
		if !answer.Limited {
			return false
		}
		known = l.add(id.Key())
	}
	known.id = id
	before, wasLimited := known.perSecond, known.limited(answer.ReceivedAt)
	known.answer = known.answer.merge(answer, 0)
	if known.answer.Limited {
		known.setRate(known.answer.PerSecond)
	} else if !known.marked {
		known.knownUntil = time.Time{}
	}
	return wasLimited != known.limited(answer.ReceivedAt) || !ok || before != known.perSecond
}

// get returns the limit of a target, or nil.
func (l *RateLimits) get(key TargetKey) *limit {
	if len(l.byTarget) == 0 {
		return nil
	}
	return l.byTarget[key]
}

// add begins to keep a limit.
func (l *RateLimits) add(key TargetKey) *limit {
	known := &limit{}
	l.byTarget[key] = known
	return known
}

// setRate sets the rate of a limit. If it is lower than before, the permits of this VM are
// reduced in proportion.
func (m *limit) setRate(perSecond float64) {
	if perSecond < m.perSecond {
		m.left = int(float64(m.left) * perSecond / m.perSecond)
	}
	m.perSecond = perSecond
}

// limited reports whether the target is limited, as far as is known here.
func (m *limit) limited(now time.Time) bool {
	return m != nil && (m.answer.Limited || m.marked || now.Before(m.knownUntil))
}

// ApplyMarks applies the leader's marks of limited targets. complete indicates that all other
// targets are unlimited.
func (l *RateLimits) ApplyMarks(marks map[TargetKey]Mark, complete bool, now time.Time) {
	for key, m := range marks {
		l.setMarked(key, m.Has(MarkLimited), now)
	}
	if !complete {
		return
	}
	for key := range l.byTarget {
		l.setMarked(key, marks[key].Has(MarkLimited), now)
	}
}

func (l *RateLimits) setMarked(key TargetKey, marked bool, now time.Time) {
	known, ok := l.byTarget[key]
	switch {
	case !ok && !marked:
		return
	case !ok:
		known = l.add(key)
	case known.marked && !marked:
		// A new leader does not mark the target either, until the limit is reported to it.
		known.knownUntil = laterTime(known.knownUntil, now.Add(limitTTL))
	}
	known.marked = marked
}

// Grant processes the leader's answer to the renewal of a number, whose permits expire at a time.
func (l *RateLimits) Grant(number uint64, permits []Permits, until, now time.Time) {
	for _, p := range permits {
		known, ok := l.byTarget[p.Target]
		if !ok || number <= known.lastGrant {
			continue
		}
		if p.Over {
			if !known.answer.Limited || known.answer.ReceivedAt.Add(answerOrderMargin).Before(now) {
				delete(l.byTarget, p.Target)
			}
			continue
		}
		known.expire(now)
		known.setRate(p.PerSecond)
		known.accept(number, p.Count, until, now)
		if until.After(now) {
			known.noteGranted(p.Count, now)
		}
		known.knownUntil = laterTime(known.knownUntil, now.Add(limitTTL))
	}
}

func (c *limitCounts) noteGranted(permits int, now time.Time) {
	for range permits {
		c.granted.add(now, demandWindow)
	}
}

// expire removes permits that have expired.
func (h *heldPermits) expire(now time.Time) {
	if !now.Before(h.expiresAt) {
		h.left = 0
	}
}

// hasPermit reports whether a permit is left.
func (h *heldPermits) hasPermit(now time.Time) bool {
	h.expire(now)
	return h.left > 0
}

// accept adds the permits that answer the renewal of a number, which is newer than the last one.
func (h *heldPermits) accept(number uint64, count int, until, now time.Time) {
	h.expire(now)
	h.lastGrant = number
	if until.After(now) {
		h.left += count
	}
	h.expiresAt = laterTime(h.expiresAt, until)
}

// giveBack gives back the permits that are left beyond those wanted.
func (h *heldPermits) giveBack(wanted int) {
	if h.left > wanted {
		h.returned += uint64(h.left - wanted)
		h.left = wanted
	}
}

// NoteDemand counts a request that wants a target.
func (l *RateLimits) NoteDemand(id TargetID, now time.Time) {
	if m := l.get(id.Key()); m.limited(now) {
		m.wanted.add(now, demandWindow)
	}
}

// Available reports whether a target may be sent one more request.
func (l *RateLimits) Available(id TargetID, now time.Time) bool {
	m := l.get(id.Key())
	return !m.limited(now) || m.hasPermit(now)
}

// Rate returns the permits of a target that this VM receives in a second: those of the last one,
// and at least an equal part of the limit among so many VMs.
func (l *RateLimits) Rate(id TargetID, vms int, now time.Time) float64 {
	if m := l.get(id.Key()); m.limited(now) {
		return m.rate(vms, now)
	}
	return 0
}

func (m *limit) rate(vms int, now time.Time) float64 {
	return max(float64(m.granted.total(now, demandWindow)), max(m.perSecond, minLimitPerSecond)/float64(vms))
}

// Acquire takes a permit for one request to a target, and reports whether there is one or none is
// needed.
func (l *RateLimits) Acquire(id TargetID, now time.Time) bool {
	known, ok := l.byTarget[id.Key()]
	if !ok || !known.limited(now) {
		return true
	}
	known.expire(now)
	if known.left <= 0 {
		known.heldBack++
		return false
	}
	known.left--
	known.used++
	return true
}

// Charge counts a message to a target that precedes requests and needs no permit.
func (l *RateLimits) Charge(id TargetID, now time.Time) {
	known, ok := l.byTarget[id.Key()]
	if !ok || !known.limited(now) {
		return
	}
	known.used++
	if known.expire(now); known.left > 0 {
		known.left--
		return
	}
	known.unpaid++
}

// reserve keeps a permit for a request whose target was chosen.
func (m *limit) reserve() {
	m.left--
	m.reserved++
}

// EndReservation ends a reservation. sent indicates that its request is about to be sent to the
// target: the result then reports whether it may be sent, and a permit is acquired for it.
func (l *RateLimits) EndReservation(id TargetID, sent bool, now time.Time) bool {
	known, ok := l.byTarget[id.Key()]
	if !ok {
		return true
	}
	if known.reserved > 0 { // otherwise the limit has been removed and named again since
		known.reserved--
		known.left++
	}
	if !sent {
		return true
	}
	return l.Acquire(id, now)
}

// PermitRequests returns what the next renewal reports to the leader, and gives back the permits
// that no request has wanted recently. Limits that have ended are removed.
func (l *RateLimits) PermitRequests(now time.Time) []PermitRequest {
	l.bound()
	var requests []PermitRequest
	for key, m := range l.byTarget {
		if !m.limited(now) && now.After(m.answer.ReceivedAt.Add(limitTTL)) {
			delete(l.byTarget, key)
			continue
		}
		m.expire(now)
		wanted := m.wanted.total(now, demandWindow)
		m.giveBack(wanted)
		requests = append(requests, PermitRequest{Target: key, Answer: m.answer, Wanted: wanted, Left: m.left + m.reserved, LastGrant: m.lastGrant, Unpaid: m.unpaid, Returned: m.returned})
	}
	slices.SortFunc(requests, func(a, b PermitRequest) int { return cmp.Compare(a.Target, b.Target) })
	if len(requests) > maxPermitRequests {
		l.rand.Shuffle(len(requests), func(i, j int) { requests[i], requests[j] = requests[j], requests[i] })
		slices.SortStableFunc(requests, func(a, b PermitRequest) int { return cmp.Compare(min(b.Wanted, 1), min(a.Wanted, 1)) })
		requests = requests[:maxPermitRequests]
	}
	return requests
}

// bound keeps the number of limits within maxLimits by removing those with the oldest answers.
func (l *RateLimits) bound() {
	for len(l.byTarget) > maxLimits {
		var oldest TargetKey
		for key, m := range l.byTarget {
			if first, ok := l.byTarget[oldest]; !ok || m.answer.ReceivedAt.Before(first.answer.ReceivedAt) {
				oldest = key
			}
		}
		delete(l.byTarget, oldest)
	}
}

// forget removes the limits of targets that are no longer known, some time after their last
// answer.
func (l *RateLimits) forget(known func(TargetKey) bool, now time.Time) {
	for key, m := range l.byTarget {
		if !known(key) && !now.Before(m.answer.ReceivedAt.Add(noticeTTL)) {
			delete(l.byTarget, key)
		}
	}
}

// PerSecond returns the limit of a target, 0 if it has none.
func (l *RateLimits) PerSecond(id TargetID, now time.Time) float64 {
	if m, ok := l.byTarget[id.Key()]; ok && m.limited(now) {
		return m.perSecond
	}
	return 0
}

// LimitedTarget is a target with a limit, for operators.
type LimitedTarget struct {
	Key TargetKey
	// Target is empty if only the leader has reported the limit to this VM.
	Target    TargetID
	PerSecond float64
	// Left is the permits that this VM holds. Used counts the requests that it has sent, and
	// HeldBack those that found no permit.
	Left, Used, HeldBack int
}

// Limited returns the targets with limits, sorted.
func (l *RateLimits) Limited(now time.Time) []LimitedTarget {
	var limited []LimitedTarget
	for key, m := range l.byTarget {
		if m.limited(now) {
			limited = append(limited, LimitedTarget{Key: key, Target: m.id, PerSecond: m.perSecond, Left: m.left + m.reserved, Used: m.used, HeldBack: m.heldBack})
		}
	}
	slices.SortFunc(limited, func(a, b LimitedTarget) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Key, b.Key))
	})
	return limited
}

func laterTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

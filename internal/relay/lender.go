package relay

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// This file shares out the limits of targets among entry VMs.
//
// Problem: a target takes so many requests a second from all VMs together. No VM can keep to that
// by what it knows alone, unless each keeps to a fixed part, of which most goes unused where callers
// come to few VMs.
//
// Algorithm: the leader keeps a token bucket for each such target and lends its permits, one for each
// request, to the VMs that want them. A VM says with its renewals how many requests wanted the target
// of late, how many permits it has left or given up, and which grant it took last; it sends no request
// without a permit (limits.go). Permits are lent for PermitLife. What is given up can be lent again,
// and what is used or lost comes anew at the rate of the limit.
//
// Invariant: permits that can still be used, here and at VMs, are never more than the burst of their
// limit, and no more than the limit come anew in any second. So any span of time brings at most
// the burst and what the limit allows in it. Lost, late and repeated messages only lower that:
// a grant counts as lent from its sending until the VM names it or a later one as taken, or its time
// is over by a clock that counts suspensions. A new leader lends nothing until the permits of the
// leader before are void.
//
// Limits: who hears of the leader no more has what it was lent until that is void, and then nothing:
// an equal part for each VM is less than a request in the time until its lease ends. Reports, orders
// and new paths of answers pass without a permit and are paid for later.

const (
	// PermitLife is how long a permit may be used: three renewals, so that one that is lost
	// costs nothing, and what a VM that died held is back soon.
	PermitLife = 1500 * time.Millisecond
	// burstBase and burstSpan make the burst of a limit: a few requests, and what the limit
	// allows in the time that it takes a VM to report what it has used.
	burstBase = 4.0
	burstSpan = time.Second
	// limitLeast is the least limit that is lent, in requests a second: a target that takes
	// none would never be found to take some again.
	limitLeast = 0.1
	// lendSweep is the time between two looks at what holders have too long: it costs as much as
	// there are holders.
	lendSweep = 100 * time.Millisecond
	// wantedKept is how long what a VM wanted counts.
	wantedKept = time.Second
	// orderMargin is by how much two answers that two VMs have heard must differ for one to
	// count as the later: messages between VMs take up to that long.
	orderMargin = 100 * time.Millisecond
	// limitForgotten is how long after it was asked of last a limit is kept.
	limitForgotten = time.Minute
)

// LimitAnswer is what an answer of a target has said of its limit.
type LimitAnswer struct {
	// Limited says that it named one, of PerSecond requests a second.
	Limited   bool
	PerSecond float64
	// SentAt is when its request was sent, and HeardAt when it was heard: the target said it
	// in between.
	SentAt, HeardAt time.Time
}

// after reports whether an answer was certainly given after another one was heard.
func (a LimitAnswer) after(o LimitAnswer, margin time.Duration) bool {
	return a.SentAt.After(o.HeardAt.Add(margin))
}

// merge returns what two answers say together: the later one counts, and the stricter one where
// which was later is not known.
func (a LimitAnswer) merge(o LimitAnswer, margin time.Duration) LimitAnswer {
	switch {
	case a.HeardAt.IsZero() || o.after(a, margin):
		return o
	case o.HeardAt.IsZero() || a.after(o, margin):
		return a
	}
	if o.stricter(a) {
		a, o = o, a
	}
	if o.SentAt.After(a.SentAt) && o.Limited == a.Limited && o.PerSecond == a.PerSecond {
		a.SentAt = o.SentAt
	}
	if o.HeardAt.After(a.HeardAt) {
		a.HeardAt = o.HeardAt
	}
	return a
}

func (a LimitAnswer) stricter(o LimitAnswer) bool {
	return a.Limited && (!o.Limited || a.PerSecond < o.PerSecond)
}

// PermitAsk is what an entry VM says of one target with a limit.
type PermitAsk struct {
	Target TargetKey
	// Answer is the newest answer that it has heard itself; its HeardAt is zero where it has
	// heard none.
	Answer LimitAnswer
	// Wanted counts the requests of the last second that wanted the target.
	Wanted int
	// Left is the permits that it holds, and Taken the number of the grant that it took last.
	Left  int
	Taken uint64
	// Unpaid counts what it has sent without a permit since it began to keep the limit, and
	// Returned the permits that it has given up unused.
	Unpaid, Returned uint64
}

// Permits is what an entry VM is told of a limit.
type Permits struct {
	// The fields are sent without their names: these values are sent often.
	_      struct{}  `cbor:",toarray"`
	Target TargetKey `cbor:"target"`
	// Over says that the target has no limit any more.
	Over      bool    `cbor:"over"`
	PerSecond float64 `cbor:"per_second"`
	// Count is the permits that are lent anew. The grant also renews what is left of others.
	Count int `cbor:"count"`
}

// Lender lends the permits of limited targets to holders. It is not safe for use by several
// goroutines at once.
type Lender[Holder comparable] struct {
	rand *rand.Rand
	life time.Duration
	// readyAt is when permits of another lender before are void.
	readyAt time.Time
	limits  map[TargetKey]*lentLimit[Holder]
}

// lentLimit is the limit of one target.
type lentLimit[Holder comparable] struct {
	answer LimitAnswer
	// free is the permits that are lent to nobody, as of at. It is below 0 where more
	// was sent without a permit.
	free    float64
	at      time.Time
	holders map[Holder]*loan
	// wanted is the sum of what holders want, lent that of the permits that they may still use.
	wanted, lent int
	// sweepAt is when what holders have too long is looked for again.
	sweepAt time.Time
	// askedAt is when it was asked of last.
	askedAt time.Time
}

// loan is what a holder has of a limit.
type loan struct {
	// number is that of its newest renewal, and left what that said.
	number uint64
	left   int
	// onWay are the grants that it has not named as taken.
	onWay []lentGrant
	// until is when all that it holds is void.
	until  time.Time
	wanted int
	// wantedAt is when it said so.
	wantedAt time.Time
	// unpaid and returned are as the holder said last.
	unpaid, returned uint64
}

type lentGrant struct {
	number uint64
	count  int
}

// NewLender returns a Lender that knows no limit, and takes the place of another one. Life is how
// long it counts a permit as lent: PermitLife, lengthened by the bound on the drift of clocks.
func NewLender[Holder comparable](seed uint64, life time.Duration, now time.Time) *Lender[Holder] {
	return &Lender[Holder]{rand: rand.New(rand.NewPCG(seed, 1)), life: life, readyAt: now.Add(life), limits: make(map[TargetKey]*lentLimit[Holder])}
}

// Limited returns the targets that have a limit, sorted.
func (l *Lender[Holder]) Limited() []TargetKey {
	var limited []TargetKey
	for key, limit := range l.limits {
		if limit.answer.Limited {
			limited = append(limited, key)
		}
	}
	slices.Sort(limited)
	return limited
}

// Forget drops the limits that nobody has asked of for long.
func (l *Lender[Holder]) Forget(now time.Time) {
	for key, limit := range l.limits {
		if !now.Before(limit.askedAt.Add(limitForgotten)) {
			delete(l.limits, key)
		}
	}
}

// Charge counts something that was sent to a target without a permit.
func (l *Lender[Holder]) Charge(key TargetKey) {
	if limit, ok := l.limits[key]; ok {
		limit.free--
	}
}

// Ask takes what a holder says with its renewal of a number, and returns what it is lent. It is
// told nothing of a target that nobody has heard of.
func (l *Lender[Holder]) Ask(h Holder, number uint64, ask PermitAsk, now time.Time) (Permits, bool) {
	limit := l.limit(ask, now)
	if limit == nil {
		return Permits{}, false
	}
	limit.askedAt = now
	limit.refill(now)
	limit.answer = limit.answer.merge(ask.Answer, orderMargin)
	if !limit.answer.Limited {
		return Permits{Target: ask.Target, Over: true}, true
	}
	held, ok := limit.holders[h]
	if !ok {
		held = &loan{unpaid: ask.Unpaid, returned: ask.Returned}
		limit.holders[h] = held
	}
	if number <= held.number {
		return Permits{}, false
	}
	limit.hear(held, number, ask, now)
	limit.trim()
	count := l.lend(limit, held)
	if count > 0 {
		held.onWay = append(held.onWay, lentGrant{number: number, count: count})
		limit.free -= float64(count)
		limit.lent += count
	}
	held.until = now.Add(l.life)
	return Permits{Target: ask.Target, PerSecond: limit.answer.PerSecond, Count: count}, true
}

// limit returns the limit that an ask is of, or nil where there is none.
func (l *Lender[Holder]) limit(ask PermitAsk, now time.Time) *lentLimit[Holder] {
	limit, ok := l.limits[ask.Target]
	if !ok && !ask.Answer.HeardAt.IsZero() {
		limit = &lentLimit[Holder]{at: laterTime(now, l.readyAt), holders: make(map[Holder]*loan)}
		l.limits[ask.Target] = limit
	}
	return limit
}

// rate is the permits that come anew in a second.
func (l *lentLimit[Holder]) rate() float64 {
	return max(l.answer.PerSecond, limitLeast)
}

// burst bounds the permits that can be used.
func (l *lentLimit[Holder]) burst() float64 {
	return burstBase + l.answer.PerSecond*burstSpan.Seconds()
}

// refill adds what has come anew.
func (l *lentLimit[Holder]) refill(now time.Time) {
	if !now.Before(l.sweepAt) {
		l.sweepAt = now.Add(lendSweep)
		l.sweep(now)
	}
	if now.After(l.at) {
		l.free += l.rate() * now.Sub(l.at).Seconds()
		l.at = now
	}
	l.trim()
}

// sweep drops what holders have too long.
func (l *lentLimit[Holder]) sweep(now time.Time) {
	for h, held := range l.holders {
		if !now.Before(held.until) {
			l.wanted -= held.wanted
			l.lent -= held.lent()
			delete(l.holders, h)
			continue
		}
		if held.wanted > 0 && !now.Before(held.wantedAt.Add(wantedKept)) {
			l.wanted -= held.wanted
			held.wanted = 0
		}
	}
}

// trim keeps what can be used within the burst.
func (l *lentLimit[Holder]) trim() {
	l.free = min(l.free, l.burst()-float64(l.lent))
}

// lent is the permits that the holder may still use.
func (h *loan) lent() int {
	lent := h.left
	for _, g := range h.onWay {
		lent += g.count
	}
	return lent
}

// hear takes what a holder says of itself.
func (l *lentLimit[Holder]) hear(held *loan, number uint64, ask PermitAsk, now time.Time) {
	before := held.lent()
	held.number = number
	held.left = ask.Left
	held.onWay = slices.DeleteFunc(held.onWay, func(g lentGrant) bool { return g.number <= ask.Taken })
	// No more than has gone since: an ask that comes twice may name returns that were counted
	// when it came first.
	gone := max(before-held.lent(), 0)
	l.lent += held.lent() - before
	l.free += float64(min(ask.Returned-min(held.returned, ask.Returned), uint64(gone)))
	l.free -= float64(ask.Unpaid - min(held.unpaid, ask.Unpaid))
	held.unpaid, held.returned = ask.Unpaid, ask.Returned
	l.wanted += ask.Wanted - held.wanted
	held.wanted, held.wantedAt = ask.Wanted, now
}

// lend returns how many permits a holder is lent: what it wants, up to its part of the burst by
// what all want. A part of a permit is drawn for.
func (l *Lender[Holder]) lend(limit *lentLimit[Holder], held *loan) int {
	if held.wanted <= 0 || limit.free < 1 {
		return 0
	}
	part := limit.burst() * float64(held.wanted) / float64(limit.wanted)
	fair := min(float64(held.wanted), part)
	count := math.Floor(fair)
	if l.rand.Float64() < fair-count {
		count++
	}
	return max(int(min(count-float64(held.lent()), math.Floor(limit.free))), 0)
}

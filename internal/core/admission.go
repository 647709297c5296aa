package core

import (
	"maps"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// This file decides whether a request is taken, and in which order what was
// taken is begun.
//
// A request that can't be served before its deadline is refused the moment it
// comes, with the time at which to come back; one that waits and has lost its
// chance is refused within sweepEvery. A refusal here precedes every dispatch,
// so it says ran: no, and the request has left the queue for good.

// waiting is work that waits for a route: a stream or a call.
type waiting struct {
	organisation string
	class        config.Class
	// weight is the organisation's share; cost is what it asks for.
	weight   float64
	cost     float64
	deadline time.Time
	// avoid is a target that has just refused it.
	avoid string
	// gone says that it has been refused or its caller has left.
	gone bool
	// stream or call is the work itself.
	stream *stream
	call   *call
}

func (w *waiting) isGone() bool { return w.gone }

// rankCount is the number of ranks of a queue: two for each class.
const rankCount = 2 * config.ClassCount

// rank is the place of work among what waits: by class, and inside a class what
// may not be repeated after all else, so that lookups are to be had when
// submissions pile up.
func (w *waiting) rank() int {
	rank := 2 * int(w.class)
	if w.isSubmission() {
		rank++
	}
	return rank
}

// isSubmission reports whether the work is a call that may not be repeated.
func (w *waiting) isSubmission() bool { return w.call != nil && !w.call.repeatable }

// queueLimit bounds what waits in one pool.
const queueLimit = 20000

// checkTenure returns the refusal that a VM without a lease, or one about to
// go, gives to any new work.
func (n *Node) checkTenure() (Refusal, bool) {
	if n.stopping && !n.now.Before(n.entry.leaveAt) {
		return refusal(RefusedLeaving, RanNo, "this entry VM is being stopped", "send the request to one of the other addresses").
			WithRetryAt(n.now).WithOthers(n.others()), false
	}
	if !n.hasLease() {
		return refusal(RefusedNoLease, RanNo, "this entry VM has no lease from the control VMs", "send the request to one of the other addresses, or come back").
			WithRetryAt(n.now.Add(n.settings.Timing.RenewEvery)).WithOthers(n.others()), false
	}
	return Refusal{}, true
}

// weightOf returns an organisation's share in its class.
func (n *Node) weightOf(organisation string) float64 {
	org, _ := n.entry.config.Organisations.Get(organisation)
	return float64(max(org.Weight, 1))
}

// organisationOf returns the organisation of an API key.
func (n *Node) organisationOf(key string) (config.Organisation, bool) {
	return n.entry.config.Organisations.Get(n.entry.keys[config.HashKey(key)])
}

// admit queues work, or returns why it is refused.
func (n *Node) admit(p *pool, w *waiting) (Refusal, bool) {
	org, _ := n.entry.config.Organisations.Get(w.organisation)
	if !n.now.Before(w.deadline) {
		return refusal(RefusedDeadline, RanNo, "the deadline has passed", "send it again with a later deadline"), false
	}
	if org.Limit > 0 && n.entry.inProgress[w.organisation] >= org.Limit {
		return refusal(RefusedLimit, RanNo, "the organisation has as many requests in progress as its limit allows", "wait for one of them, or ask the operators for a higher limit").
			WithRetryAt(n.comeBack(p)), false
	}
	wait := p.wait(n.now, p.queue.ahead(w.rank(), w.organisation, w.weight))
	if p.queue.length >= queueLimit || n.now.Add(wait).After(p.latest(w)) {
		return refusal(RefusedOverload, RanNo, "it could not be served before its deadline", "come back at the given time, or give a later deadline").
			WithRetryAt(n.comeBack(p)), false
	}
	if refusal, backoffs := n.poolBackoffs(p, w); backoffs {
		return refusal, false
	}
	n.wantPermits(p)
	if refusal, limited := n.poolLimited(p, w, float64(p.queue.length)); limited {
		return refusal, false
	}
	p.queue.push(w.rank(), w.organisation, w.weight, w.cost, w)
	n.entry.inProgress[w.organisation]++
	n.pump(p)
	return Refusal{}, true
}

// readmit puts work that had its turn and was refused by a target back in line.
// It is not charged again, so that it goes to the front of its flow's share.
func (p *pool) readmit(w *waiting, avoid string) *waiting {
	again := *w
	again.avoid = avoid
	p.queue.push(again.rank(), again.organisation, again.weight, 0, &again)
	return &again
}

// leave uncounts a request that has got its final answer.
func (n *Node) leave(organisation string) {
	n.entry.inProgress[organisation]--
	if n.entry.inProgress[organisation] <= 0 {
		delete(n.entry.inProgress, organisation)
	}
}

// comeBack is when the queue will have drained, spread over as long again so
// that those who are sent away do not return together.
func (n *Node) comeBack(p *pool) time.Time {
	wait := max(p.wait(n.now, p.queued()), time.Second)
	return n.now.Add(wait + time.Duration(n.rand.Int64N(int64(wait))))
}

// pump begins what waits while there are routes with room.
func (n *Node) pump(p *pool) {
	for len(p.open) > 0 {
		w, ok := p.queue.peek()
		if !ok {
			return
		}
		r := n.choose(p, w)
		if r == nil {
			return
		}
		p.queue.pop()
		n.begin(p, r, w)
	}
}

func (n *Node) begin(p *pool, r *route, w *waiting) {
	name, stages := r.name, r.stages
	n.take(p.name, name, stages)
	if w.stream != nil {
		n.beginStream(w.stream, p.name, name, stages)
		return
	}
	n.beginCall(w.call, p.name, name, stages)
}

// sweep refuses what waits in vain and forgets what is no longer of use.
func (n *Node) sweep() {
	for _, name := range n.poolNames() {
		n.sweepPool(n.entry.pools[name])
	}
	n.sweepStreams()
	n.sweepCalls()
	n.sweepKept()
	n.sweepRecords()
}

func (n *Node) poolNames() []string { return slices.Sorted(maps.Keys(n.entry.pools)) }

func (n *Node) sweepPool(p *pool) {
	for i := range p.queue.classes {
		for _, name := range slices.Sorted(maps.Keys(p.queue.classes[i].flows)) {
			if f := p.queue.classes[i].flows[name]; f != nil {
				for _, item := range f.items {
					n.expire(p, item.value)
				}
			}
		}
	}
	n.pump(p)
}

// latest is when work must begin to end before its deadline. What begins later
// would take room from work that can still be of use, and then be thrown away.
func (p *pool) latest(w *waiting) time.Time { return w.deadline.Add(-p.service(w.cost)) }

func (n *Node) expire(p *pool, w *waiting) {
	if refusal, backoffs := n.poolBackoffs(p, w); backoffs && !w.gone {
		n.dropWaiting(w, refusal)
		return
	}
	if w.gone || n.now.Before(p.latest(w)) {
		return
	}
	n.dropWaiting(w, refusal(RefusedDeadline, RanNo, "it waited until it could no longer be served before its deadline", "come back at the given time").WithRetryAt(n.comeBack(p)))
}

// dropWaiting refuses work that has not begun.
func (n *Node) dropWaiting(w *waiting, r Refusal) {
	w.gone = true
	if w.stream != nil {
		n.failStream(w.stream, r)
		return
	}
	n.refuseCall(w.call, r)
}

// retryBudget bounds retries to a share of all requests, so that they can't
// feed on themselves.
type retryBudget struct{ tokens float64 }

const (
	budgetAtMost     = 50
	budgetPerRequest = 0.2
)

func newRetryBudget() retryBudget { return retryBudget{tokens: budgetAtMost} }

func (b *retryBudget) earn() { b.tokens = min(b.tokens+budgetPerRequest, budgetAtMost) }

func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

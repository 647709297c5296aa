package core

import (
	"maps"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// This file decides whether a request is admitted, and in which order admitted
// requests begin.
//
// A request that can't be served before its deadline is refused on arrival, with
// a retry time. A queued one that can no longer meet its deadline is refused
// within sweepEvery. A refusal here precedes every dispatch, so it states "ran: no",
// and the request has left the queue for good.

// queuedWork is work queued for a route: a stream or a call.
type queuedWork struct {
	organisation string
	class        config.Class
	// weight is the organisation's share; cost is the requested amount of work.
	weight   float64
	cost     float64
	deadline time.Time
	// avoid is a target that has just refused it.
	avoid string
	// dropped is set when it was refused or its caller has disconnected.
	dropped bool
	// stream or call is the work itself.
	stream *stream
	call   *call
}

func (w *queuedWork) isDropped() bool { return w.dropped }

// rankCount is the number of priorities of a queue: two for each class.
const rankCount = 2 * config.ClassCount

// rank returns the priority of queued work: by class, and within a class calls
// that may not be repeated last, so that lookups are served while submissions
// pile up.
func (w *queuedWork) rank() int {
	rank := 2 * int(w.class)
	if w.isSubmission() {
		rank++
	}
	return rank
}

// isSubmission reports whether the work is a call that may not be repeated.
func (w *queuedWork) isSubmission() bool { return w.call != nil && !w.call.repeatable }

// queueLimit bounds the queued work of one pool.
const queueLimit = 20000

// checkServing returns the refusal for new work while this VM has no lease, or is
// about to stop, and reports whether it accepts new work.
func (n *Node) checkServing() (Refusal, bool) {
	if n.stopping && !n.now.Before(n.entry.leaveAt) {
		return refusal(RefusedLeaving, RanNo, "this entry VM is being stopped", "send the request to one of the other addresses").
			WithRetryAt(n.now).WithOthers(n.otherEntryAddresses()), false
	}
	if !n.hasLease() {
		return refusal(RefusedNoLease, RanNo, "this entry VM has no lease from the control VMs", "send the request to one of the other addresses, or come back").
			WithRetryAt(n.now.Add(n.settings.Timing.RenewInterval)).WithOthers(n.otherEntryAddresses()), false
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

// admit queues work, or returns the refusal.
func (n *Node) admit(p *pool, w *queuedWork) (Refusal, bool) {
	org, _ := n.entry.config.Organisations.Get(w.organisation)
	if !n.now.Before(w.deadline) {
		return refusal(RefusedDeadline, RanNo, "the deadline has passed", "send it again with a later deadline"), false
	}
	if org.Limit > 0 && n.entry.inProgress[w.organisation] >= org.Limit {
		return refusal(RefusedLimit, RanNo, "the organisation has as many requests in progress as its limit allows", "wait for one of them, or ask the operators for a higher limit").
			WithRetryAt(n.retryTime(p)), false
	}
	wait := p.waitTime(n.now, p.queue.costAhead(w.rank(), w.organisation, w.weight))
	if p.queue.length >= queueLimit || n.now.Add(wait).After(p.latestStart(w)) {
		return refusal(RefusedOverload, RanNo, "it could not be served before its deadline", "come back at the given time, or give a later deadline").
			WithRetryAt(n.retryTime(p)), false
	}
	if refusal, backedOff := n.poolBackoffRefusal(p, w); backedOff {
		return refusal, false
	}
	n.recordPermitDemand(p)
	if refusal, limited := n.poolLimitRefusal(p, w, float64(p.queue.length)); limited {
		return refusal, false
	}
	p.queue.push(w.rank(), w.organisation, w.weight, w.cost, w)
	n.entry.inProgress[w.organisation]++
	n.startQueued(p)
	return Refusal{}, true
}

// readmit queues work again after a target refused it. It has no cost this time,
// since its flow has already been charged for it.
func (p *pool) readmit(w *queuedWork, avoid string) *queuedWork {
	again := *w
	again.avoid = avoid
	p.queue.push(again.rank(), again.organisation, again.weight, 0, &again)
	return &again
}

// uncount removes a request that got its final answer from the requests in progress.
func (n *Node) uncount(organisation string) {
	n.entry.inProgress[organisation]--
	if n.entry.inProgress[organisation] <= 0 {
		delete(n.entry.inProgress, organisation)
	}
}

// retryTime returns a retry time after the queue is expected to be empty, with
// jitter of the same length so that refused callers do not return together.
func (n *Node) retryTime(p *pool) time.Time {
	wait := max(p.waitTime(n.now, p.queued()), time.Second)
	return n.now.Add(wait + time.Duration(n.rand.Int64N(int64(wait))))
}

// startQueued starts queued work while there are routes with free capacity.
func (n *Node) startQueued(p *pool) {
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
		n.startWork(p, r, w)
	}
}

func (n *Node) startWork(p *pool, r *route, w *queuedWork) {
	name, stages := r.name, r.stages
	n.reserve(p.name, name, stages)
	if w.stream != nil {
		n.beginStream(w.stream, p.name, name, stages)
		return
	}
	n.beginCall(w.call, p.name, name, stages)
}

// sweep refuses queued work that can't meet its deadline and removes expired state.
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
					n.refuseIfTooLate(p, item.value)
				}
			}
		}
	}
	n.startQueued(p)
}

// latestStart returns the latest start that meets the deadline. Work started later would
// take capacity from work that can still succeed, and then be discarded.
func (p *pool) latestStart(w *queuedWork) time.Time { return w.deadline.Add(-p.serviceTime(w.cost)) }

// refuseIfTooLate refuses queued work that can't start in time, because of its deadline or the
// backoffs of all its routes.
func (n *Node) refuseIfTooLate(p *pool, w *queuedWork) {
	if refusal, backedOff := n.poolBackoffRefusal(p, w); backedOff && !w.dropped {
		n.refuseQueued(w, refusal)
		return
	}
	if w.dropped || n.now.Before(p.latestStart(w)) {
		return
	}
	n.refuseQueued(w, refusal(RefusedDeadline, RanNo, "it waited until it could no longer be served before its deadline", "come back at the given time").WithRetryAt(n.retryTime(p)))
}

// refuseQueued refuses work that has not begun.
func (n *Node) refuseQueued(w *queuedWork, r Refusal) {
	w.dropped = true
	if w.stream != nil {
		n.failStream(w.stream, r)
		return
	}
	n.refuseCall(w.call, r)
}

// retryBudget bounds retries to a share of all requests, to prevent retry storms.
type retryBudget struct{ tokens float64 }

const (
	maxRetryTokens        = 50
	retryTokensPerRequest = 0.2
)

func newRetryBudget() retryBudget { return retryBudget{tokens: maxRetryTokens} }

func (b *retryBudget) earn() { b.tokens = min(b.tokens+retryTokensPerRequest, maxRetryTokens) }

func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

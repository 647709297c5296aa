package core

import (
	"maps"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// This file routes calls to plain services.
//
// A repeatable call is dispatched to a runner and, when that fails, to another
// one. Any other call runs at most once: before the dispatch the entry VM
// obtains a claim that is durable on a quorum of control VMs, and only its
// holder may dispatch the call, once. A resend to any entry VM finds the claim.
// It gets the recorded answer, waits for the holder, or, when the holder is
// lost, gets a refusal that states that the outcome is unknown. No VM runs it again.
//
// Invariants: a claimed call is dispatched again only after a target has
// provably not run it. A call that was refused with "ran: no" has no claim, or
// its claim is returned before any other VM can see it. A claim is bound to the
// digest of the content, so an identity can't be used for two different calls.

// call is one request for a plain service.
type call struct {
	request      CallAsked
	organisation string
	service      config.Service
	repeatable   bool
	phase        phase
	queued       *queuedWork
	pool         string
	route        string
	stages       []Stage
	reserved     bool
	// permitted is set when a permit was used for it, where the runner has a limit.
	permitted bool
	beganAt   time.Time
	// attempt numbers the claim; retryAt is when the claim is requested again, or a
	// peek times out.
	attempt uint64
	retryAt time.Time
	claimed bool
	// busy is set when another VM was seen to hold the claim.
	busy bool
	// refusal is sent to the caller once a peek has confirmed it.
	refusal *Refusal
	// disconnected is set when the caller has disconnected; the call still runs to its end.
	disconnected bool
	// mayHaveRun is set once a runner has broken off: what others state later doesn't change that.
	mayHaveRun bool
}

// pendingRecord is a record that the control VMs have not acknowledged.
type pendingRecord struct {
	request RecordRequest
	retryAt time.Time
}

// callCost is the cost of a call in its service's queue.
const callCost = 1

// claimRetryInterval is the delay before a claim or record request is resent.
const claimRetryInterval = 200 * time.Millisecond

// callAsked handles a request for a plain service.
func (n *Node) callAsked(a CallAsked) {
	org, ok := n.organisationOf(a.Key)
	if !ok {
		n.refuseKey(a.Conn, a.ID)
		return
	}
	a.ID = requestKey(org.Name, string(a.ID))
	service, ok := n.entry.config.Services.Get(a.Service)
	p := n.entry.pools[a.Service]
	if !ok || p == nil {
		if r, ok := n.checkServing(); !ok {
			if a.Returnable {
				r = r.WithUnknownOutcome()
			}
			n.emit(Refuse{Conn: a.Conn, ID: a.ID, Refusal: r})
			return
		}
		n.emit(Refuse{Conn: a.Conn, ID: a.ID, Refusal: n.disallowed(RefusedService, "there is no service of that name", "name one that the operators have declared")})
		return
	}
	c := &call{request: a, organisation: org.Name, service: service, repeatable: service.IsRepeatable(a.Method, a.Path), phase: phaseQueued}
	if !c.repeatable && (n.reattachCall(c) || n.answerPending(c)) {
		return
	}
	n.entry.calls[a.Conn] = c
	if !c.repeatable {
		n.entry.connByCall[a.ID] = a.Conn
	}
	if r, ok := n.checkServing(); !ok {
		n.refuseCall(c, r)
		return
	}
	n.entry.budget.earn()
	c.queued = &queuedWork{
		organisation: org.Name,
		class:        service.Class,
		weight:       n.weightOf(org.Name),
		cost:         callCost,
		deadline:     a.Deadline,
		call:         c,
	}
	if r, ok := n.admit(p, c.queued); !ok {
		c.queued = nil
		n.refuseCall(c, r)
	}
}

// reattachCall attaches a call in progress on this VM to the caller that resends it.
func (n *Node) reattachCall(c *call) bool {
	old, ok := n.entry.connByCall[c.request.ID]
	if !ok {
		return false
	}
	present := n.entry.calls[old]
	if present.request.Digest != c.request.Digest {
		n.emit(Refuse{Conn: c.request.Conn, ID: c.request.ID, Refusal: conflictRefusal()})
		return true
	}
	if !present.disconnected {
		n.emit(Refuse{Conn: old, ID: c.request.ID, Refusal: movedRefusal()})
	}
	delete(n.entry.calls, old)
	present.disconnected = false
	present.request.Conn = c.request.Conn
	n.entry.calls[c.request.Conn] = present
	n.entry.connByCall[c.request.ID] = c.request.Conn
	return true
}

func conflictRefusal() Refusal {
	return refusal(RefusedConflict, RanNo, "the identity was used for a request with other content", "give each request an identity of its own")
}

// beginCall starts a call on a runner with free capacity.
func (n *Node) beginCall(c *call, poolName, route string, stages []Stage) {
	c.pool = poolName
	c.route = route
	c.stages = stages
	c.reserved = true
	// The permit is used here, since it could expire while the claim is pending.
	c.permitted = n.takeRoutePermit(stages)
	if c.repeatable || c.claimed {
		n.dispatchCall(c)
		return
	}
	c.phase = phaseClaiming
	n.entry.claimAttempts++
	c.attempt = n.entry.claimAttempts
	n.requestClaim(c)
}

func (n *Node) requestClaim(c *call) {
	c.retryAt = n.now.Add(claimRetryInterval)
	leader := n.entry.lease.leader
	if leader == "" {
		return
	}
	n.deliver(leader, Message{Claim: &ClaimRequest{ID: c.request.ID, Attempt: c.attempt, Digest: c.request.Digest}})
}

// answerPending answers a resend from a record that is not durable yet. Until
// it is durable, no new attempt may begin here, unless the record states "ran: no".
func (n *Node) answerPending(c *call) bool {
	p, ok := n.entry.pendingRecords[c.request.ID]
	if !ok || p.request.Ran == RanNo {
		return false
	}
	if p.request.Ran == RanUnknown {
		n.emit(Refuse{Conn: c.request.Conn, ID: c.request.ID, Refusal: unknownRefusal()})
		return true
	}
	n.emit(Finish{Conn: c.request.Conn, ID: c.request.ID, Answer: p.request.Answer, Recorded: true})
	return true
}

// handleClaimReply continues a call whose claim was decided. A claim that arrives
// after its call was refused is returned. That is safe, since the record of an
// attempt that was dispatched is either pending here or already durable.
func (n *Node) handleClaimReply(r ClaimReply) {
	conn, ok := n.entry.connByCall[r.ID]
	c := n.entry.calls[conn]
	if !ok || c == nil {
		if _, pending := n.entry.pendingRecords[r.ID]; !pending && r.Outcome == ClaimGranted {
			n.record(RecordRequest{ID: r.ID, Attempt: r.Attempt, Ran: RanNo})
		}
		return
	}
	if c.phase == phasePeeking {
		n.claimPeeked(c, r)
		return
	}
	if c.phase != phaseClaiming || c.attempt != r.Attempt {
		return
	}
	switch r.Outcome {
	case ClaimGranted:
		c.claimed = true
		n.dispatchCall(c)
	case ClaimRecorded:
		n.finishCall(c, *r.Answer, true)
	case ClaimUnknown:
		n.refuseCall(c, unknownRefusal())
	case ClaimConflict:
		n.refuseCall(c, conflictRefusal())
	case ClaimBusy:
		// Another entry VM holds the claim; retry until its record is durable.
		c.busy = true
	}
}

func unknownRefusal() Refusal {
	return refusal(RefusedUnknown, RanUnknown, "it may have run, and its answer is not known", "look it up at the service before sending it under a new identity")
}

// dispatchCall sends a call to its runner. The call goes to another runner when this one has
// asked to back off since it was picked, or has set a limit since and this VM has no permit.
func (n *Node) dispatchCall(c *call) {
	runner := c.stages[0].Target
	if n.backedOff(runner) || !c.permitted && !n.entry.limits.Acquire(runnerID(runner), n.now) {
		n.retryCall(c, runner)
		return
	}
	c.phase = phaseDispatched
	c.beganAt = n.now
	n.emit(Dispatch{
		Conn:     c.request.Conn,
		ID:       c.request.ID,
		Target:   c.stages[0].Target,
		Address:  c.stages[0].Address,
		Deadline: c.request.Deadline,
		NotAfter: n.entry.lease.until,
	})
}

// dispatchEnded handles the result of a dispatch to a runner.
func (n *Node) dispatchEnded(e DispatchEnded) {
	c := n.callOf(e)
	if c == nil || c.phase != phaseDispatched {
		return
	}
	n.backOffTarget(e.Target, e.BackoffUntil)
	n.recordLimit(e.Target, e.Limit)
	p := n.entry.pools[c.pool]
	switch e.Result {
	case ResultDone:
		n.clearFailures(e.Target)
		if p != nil {
			p.recordSuccess(c.route)
			p.recordEnd(callCost, callCost, n.now.Sub(c.beganAt), n.now)
		}
		if !c.repeatable {
			n.record(RecordRequest{ID: c.request.ID, Attempt: c.attempt, Ran: RanYes, Answer: e.Answer})
		}
		n.finishCall(c, e.Answer, false)
	case ResultRefused:
		if p != nil {
			p.recordRefusal(c.route)
		}
		n.retryCall(c, e.Target)
	default:
		n.suspect(e.Target)
		c.mayHaveRun = true
		if c.repeatable {
			n.retryCall(c, e.Target)
			return
		}
		n.record(RecordRequest{ID: c.request.ID, Attempt: c.attempt, Ran: RanUnknown})
		n.refuseCall(c, unknownRefusal())
	}
}

// callOf returns the call of a dispatch. Its caller may have reconnected on
// another connection since.
func (n *Node) callOf(e DispatchEnded) *call {
	if c, ok := n.entry.calls[e.Conn]; ok {
		return c
	}
	if conn, ok := n.entry.connByCall[e.ID]; ok {
		return n.entry.calls[conn]
	}
	return nil
}

// retryCall sends a call that did not run, or is repeatable, to another runner.
func (n *Node) retryCall(c *call, avoid string) {
	p := n.entry.pools[c.pool]
	if p == nil || !n.entry.budget.take() || !n.now.Before(c.request.Deadline) {
		n.failCall(c)
		return
	}
	pool, route, stages := c.pool, c.route, c.stages
	c.reserved = false
	c.phase = phaseQueued
	c.queued = p.readmit(c.queued, avoid)
	n.release(pool, route, stages)
}

// failCall refuses a call that no runner served. A repeatable call may have
// run on a runner that failed, but may be sent again.
func (n *Node) failCall(c *call) {
	ran := RanNo
	if c.repeatable {
		ran = RanUnknown
	}
	r := refusal(RefusedBroken, ran, "no runner of the service took it", "come back at the given time")
	n.refuseCall(c, r.WithRetryAt(n.now.Add(time.Second)))
}

func (n *Node) finishCall(c *call, answer CallAnswer, recorded bool) {
	if !c.disconnected {
		n.emit(Finish{Conn: c.request.Conn, ID: c.request.ID, Answer: answer, Recorded: recorded})
	}
	n.removeCall(c)
}

// refuseCall ends a call with a refusal. The claim of a call that did not run is
// returned.
//
// An identity chosen by the caller may have been sent to another entry VM
// before. A refusal with "ran: no" states that no attempt under the identity has
// run, so the control VMs are first asked for the state of its claim. Without
// their answer the refusal states that the outcome is unknown.
func (n *Node) refuseCall(c *call, r Refusal) {
	if c.mayHaveRun {
		r = r.WithUnknownOutcome()
	}
	unsettled := !c.repeatable && c.request.Returnable && !c.claimed && !c.disconnected
	if unsettled && r.Ran == RanNo && r.Kind != RefusedConflict {
		n.peek(c, r)
		return
	}
	n.endCall(c, r)
}

// peek queries the state of a claim before a refusal is sent.
func (n *Node) peek(c *call, r Refusal) {
	leader := n.entry.lease.leader
	if leader == "" || c.busy || c.phase == phaseClaiming {
		n.endCall(c, r.WithUnknownOutcome())
		return
	}
	c.phase = phasePeeking
	c.refusal = &r
	c.retryAt = n.now.Add(n.settings.Timing.PeerReplyTimeout)
	n.deliver(leader, Message{Claim: &ClaimRequest{ID: c.request.ID, Digest: c.request.Digest, Peek: true}})
}

// claimPeeked sends the refusal, or the result of an earlier attempt.
func (n *Node) claimPeeked(c *call, r ClaimReply) {
	switch r.Outcome {
	case ClaimNone:
		n.endCall(c, *c.refusal)
	case ClaimRecorded:
		n.finishCall(c, *r.Answer, true)
	case ClaimConflict:
		n.endCall(c, conflictRefusal())
	case ClaimUnknown:
		n.endCall(c, unknownRefusal())
	default:
		n.endCall(c, c.refusal.WithUnknownOutcome())
	}
}

func (n *Node) endCall(c *call, r Refusal) {
	if !c.disconnected {
		n.emit(Refuse{Conn: c.request.Conn, ID: c.request.ID, Refusal: r})
	}
	if c.phase == phaseClaiming || c.claimed && r.Ran == RanNo {
		n.record(RecordRequest{ID: c.request.ID, Attempt: c.attempt, Ran: RanNo})
	}
	n.removeCall(c)
}

func (n *Node) removeCall(c *call) {
	delete(n.entry.calls, c.request.Conn)
	if n.entry.connByCall[c.request.ID] == c.request.Conn {
		delete(n.entry.connByCall, c.request.ID)
	}
	if c.queued != nil {
		c.queued.dropped = true
		n.uncount(c.organisation)
	}
	c.phase = phaseDone
	if c.reserved {
		c.reserved = false
		n.release(c.pool, c.route, c.stages)
	}
}

// callDisconnected handles a caller that has closed its connection. A call that
// has not begun is removed. One that may have begun runs to its end, so that a
// resend gets its answer.
func (n *Node) callDisconnected(c *call) {
	c.disconnected = true
	if c.phase == phaseQueued && !c.claimed {
		n.removeCall(c)
	}
}

func (n *Node) sweepCalls() {
	for _, conn := range slices.Sorted(maps.Keys(n.entry.calls)) {
		c := n.entry.calls[conn]
		if c.phase == phasePeeking && !n.now.Before(c.retryAt) {
			n.endCall(c, c.refusal.WithUnknownOutcome())
			continue
		}
		if c.phase != phaseClaiming {
			continue
		}
		if !n.now.Before(c.request.Deadline) {
			n.refuseCall(c, refusal(RefusedControl, RanNo, "the control VMs did not decide the claim before the deadline", "send it again under the same identity").WithRetryAt(n.now.Add(time.Second)))
			continue
		}
		if !n.now.Before(c.retryAt) {
			n.requestClaim(c)
		}
	}
}

// record stores the outcome of a claimed call, and resends it until it is durable.
func (n *Node) record(r RecordRequest) {
	if len(r.Answer.Body) > maxRecordBytes {
		r.Answer = CallAnswer{Status: r.Answer.Status, ContentType: "text/plain", Body: []byte("the answer was given once and was too large to be kept")}
	}
	n.entry.pendingRecords[r.ID] = &pendingRecord{request: r}
	n.sendRecord(n.entry.pendingRecords[r.ID])
}

// maxRecordBytes bounds the body of a recorded answer.
const maxRecordBytes = 64 << 10

func (n *Node) sendRecord(p *pendingRecord) {
	p.retryAt = n.now.Add(claimRetryInterval)
	if leader := n.entry.lease.leader; leader != "" {
		request := p.request
		n.deliver(leader, Message{Record: &request})
	}
}

func (n *Node) handleRecordReply(r RecordReply) {
	if p, ok := n.entry.pendingRecords[r.ID]; ok && p.request.Attempt == r.Attempt {
		delete(n.entry.pendingRecords, r.ID)
	}
}

func (n *Node) sweepRecords() {
	for _, id := range slices.Sorted(maps.Keys(n.entry.pendingRecords)) {
		if p := n.entry.pendingRecords[id]; !n.now.Before(p.retryAt) {
			n.sendRecord(p)
		}
	}
}

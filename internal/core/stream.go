package core

import (
	"maps"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// This file runs the stream of one answer of a model pipeline.
//
// The core drives a stream position by position. It orders the first stage to
// run the next position and commits the token that the last stage returns. The
// stages forward activations directly to each other, so an entry VM transfers
// only tokens (docs/DESIGN.md compares this with sending the activations
// through the entry VM).
//
// Invariants: at most one run of a stream is in flight. Only an answer with
// the stream's current epoch and position is accepted, so late, reordered and
// duplicate answers have no effect. A token is sent to the caller only after
// the keeper has it. Nothing is dispatched before the keeper has the request.
//
// An engine incarnation runs a position once. It returns the stored result when
// asked again, and refuses epochs before the newest one it has seen.

// phase is the processing state of a request.
type phase string

// The phases of streams and calls.
const (
	phaseFinding     phase = "finding"
	phaseQueued      phase = "queued"
	phaseRegistering phase = "registering"
	phaseRunning     phase = "running"
	phaseRepairing   phase = "repairing"
	phaseClaiming    phase = "claiming"
	phasePeeking     phase = "peeking"
	phaseDispatched  phase = "dispatched"
	phaseDone        phase = "done"
)

// stream is one answer in progress, or a finished one that is kept for its caller.
type stream struct {
	id       RequestID
	request  StreamRequest
	pipeline config.Pipeline
	phase    phase
	conn     ConnID
	// disconnectedAt is when the caller disconnected, zero while it is connected.
	disconnectedAt time.Time
	queued         *queuedWork
	epoch          Epoch
	pool           string
	route          string
	chain          []Stage
	// reserved is set while the chain is counted against its targets.
	reserved bool
	position int
	inFlight bool
	// beganAt is when the stream was assigned its route.
	beganAt time.Time
	// sentAt is when the run in flight was ordered.
	sentAt time.Time
	// dispatched is set when an engine may have run a part of the stream.
	dispatched bool
	tokens     []Token
	finish     string
	// acked is the number of tokens that the keeper has, emitted the number sent to the caller.
	acked   int
	emitted int
	// finishAcked is set when the keeper has the end, finishEmitted when the caller has it.
	finishAcked   bool
	finishEmitted bool
	// mayHaveRunBefore is set when an earlier attempt could not be ruled out.
	mayHaveRunBefore bool
	keeper           VMName
	// registered is set once the request has been sent to a keeper, where there is one.
	registered bool
	// rebuild lists the stages that must rebuild their KV cache, in order.
	rebuild []int
	// repairAt is when a repair that found no engine is retried.
	repairAt time.Time
	// dropAt is when a finished stream is removed.
	dropAt time.Time
}

// streamAsked handles a request for a model pipeline.
func (n *Node) streamAsked(a StreamAsked) {
	org, ok := n.organisationOf(a.Key)
	if !ok {
		n.refuseKey(a.Conn, a.ID)
		return
	}
	a.Request.Organisation = org.Name
	id := requestKey(org.Name, string(a.ID))
	if s, ok := n.entry.streams[id]; ok {
		n.reattach(s, a.Conn, a.After)
		return
	}
	if r, ok := n.checkServing(); !ok {
		if a.Request.Returnable {
			r = r.WithUnknownOutcome()
		}
		n.emit(Refuse{Conn: a.Conn, ID: id, Refusal: r})
		return
	}
	pipeline, ok := n.entry.config.Pipelines.Get(a.Request.Pipeline)
	if !ok {
		n.emit(Refuse{Conn: a.Conn, ID: id, Refusal: n.disallowed(RefusedPipeline, "there is no pipeline of that name", "name one that the operators have declared")})
		return
	}
	s := &stream{id: id, request: a.Request, pipeline: pipeline, conn: a.Conn, emitted: a.After, epoch: Epoch{Holder: holderHash(n.settings.Self)}}
	s.request.MaxTokens = min(max(a.Request.MaxTokens, 1), pipeline.MaxTokens)
	n.entry.streams[id] = s
	n.entry.streamByConn[a.Conn] = id
	n.entry.budget.earn()
	if a.Request.Returnable && n.startFind(s) {
		return
	}
	n.queueStream(s)
}

func (n *Node) refuseKey(conn ConnID, id RequestID) {
	if r, ok := n.checkServing(); !ok {
		n.emit(Refuse{Conn: conn, ID: id, Refusal: r})
		return
	}
	n.emit(Refuse{Conn: conn, ID: id, Refusal: n.disallowed(RefusedKey, "the API key is not known", "send the organisation's key as a bearer token")})
}

// queueStream queues a new stream. It fails when the caller already has tokens of
// an answer that no VM keeps, since the rest can't be supplied.
func (n *Node) queueStream(s *stream) {
	if s.emitted > 0 {
		n.failStream(s, refusal(RefusedLost, RanUnknown, "the rest of the answer is no longer kept", "ask again under a new identity, and drop the part that was received"))
		return
	}
	s.pipeline.Version = n.servingVersion(s.pipeline)
	p, ok := n.entry.pools[poolOf(s.pipeline)]
	if !ok {
		n.failStream(s, refusal(RefusedNoTarget, RanNo, "no engine holds the model yet", "come back later").WithRetryAt(n.now.Add(time.Second)))
		return
	}
	s.phase = phaseQueued
	s.queued = n.streamQueueEntry(s)
	if r, ok := n.admit(p, s.queued); !ok {
		// It was not added to the requests in progress, so it must not be subtracted.
		s.queued = nil
		n.failStream(s, r)
	}
}

// streamQueueEntry returns the queue entry of a stream.
func (n *Node) streamQueueEntry(s *stream) *queuedWork {
	return &queuedWork{
		organisation: s.request.Organisation,
		class:        s.pipeline.Class,
		weight:       n.weightOf(s.request.Organisation),
		cost:         float64(s.request.MaxTokens),
		deadline:     s.request.Deadline,
		stream:       s,
	}
}

// beginStream starts a stream on a route with free capacity. The keeper gets the
// request first, so that it knows of every dispatch.
func (n *Node) beginStream(s *stream, poolName, route string, stages []Stage) {
	s.pool = poolName
	s.route = route
	s.chain = stages
	s.reserved = true
	s.beganAt = n.now
	if s.registered {
		n.runNext(s)
		return
	}
	s.phase = phaseRegistering
	n.register(s)
}

// runNext orders the next position, unless a run is in flight or the answer has ended.
func (n *Node) runNext(s *stream) {
	if s.inFlight || s.finish != "" {
		return
	}
	s.phase = phaseRunning
	s.inFlight = true
	s.dispatched = true
	s.sentAt = n.now
	run := Run{
		Stream:        s.id,
		Epoch:         s.epoch,
		Position:      s.position,
		Model:         s.model(),
		Chain:         s.chain,
		Class:         s.pipeline.Class,
		Deadline:      s.request.Deadline,
		ReplyDeadline: n.now.Add(n.settings.Timing.StageTimeout),
		NotAfter:      n.now.Add(n.settings.Timing.StageTimeout),
	}
	if s.position == 0 {
		run.Prompt = s.request.Prompt
	} else {
		run.Token = s.tokens[len(s.tokens)-1]
	}
	n.emit(run)
}

func (s *stream) model() ModelRef {
	return ModelRef{Model: s.pipeline.Model, Version: s.pipeline.Version, Adapter: s.pipeline.Adapter}
}

// runEnded handles the answer of a chain if it matches the run in flight.
func (n *Node) runEnded(e RunEnded) {
	s, ok := n.entry.streams[e.Stream]
	if !ok || !s.inFlight || s.epoch != e.Epoch || s.position != e.Position {
		return
	}
	s.inFlight = false
	switch e.Result {
	case ResultDone:
		n.commitToken(s, e)
	case ResultRefused:
		n.stageRefused(s, e.Target)
	case ResultBroken:
		s.mayHaveRunBefore = true
		n.suspect(e.Target)
		n.repair(s, e.Target)
	case ResultGap:
		n.rebuildStage(s, e.Target)
	case ResultStale:
		n.relinquishStream(s)
	}
}

func (n *Node) commitToken(s *stream, e RunEnded) {
	if s.position > 0 {
		p := n.poolOfStream(s)
		p.recordRun(s.route, n.now.Sub(s.sentAt), n.now)
		n.startQueued(p)
	}
	s.tokens = append(s.tokens, e.Token)
	s.position = e.Next
	s.finish = e.Finish
	if s.finish == "" && len(s.tokens) >= s.request.MaxTokens {
		s.finish = FinishLength
	}
	n.keepToken(s)
	if s.finish == "" {
		n.runNext(s)
		return
	}
	n.releaseEngines(s)
}

// FinishStop and FinishLength state why an answer ended.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

func (n *Node) poolOfStream(s *stream) *pool {
	p, ok := n.entry.pools[s.pool]
	if !ok {
		return &pool{}
	}
	return p
}

// releaseEngines releases the engines of a stream.
func (n *Node) releaseEngines(s *stream) {
	if !s.reserved {
		return
	}
	s.reserved = false
	n.emit(Release{Stream: s.id, Epoch: s.epoch, Chain: s.chain})
	n.poolOfStream(s).recordEnd(float64(s.request.MaxTokens), float64(len(s.tokens)), n.now.Sub(s.beganAt), n.now)
	for _, stage := range s.chain {
		n.clearFailures(stage.Target)
	}
	n.release(s.pool, s.route, s.chain)
}

// emitTokens sends the caller the tokens that the keeper has and the caller lacks.
func (n *Node) emitTokens(s *stream) {
	finish := ""
	if s.finishAcked {
		finish = s.finish
	}
	ended := finish != "" && !s.finishEmitted
	if s.conn == 0 || s.acked <= s.emitted && !ended {
		return
	}
	from := min(s.emitted, s.acked)
	n.emit(Emit{Conn: s.conn, ID: s.id, From: from, Tokens: slices.Clone(s.tokens[from:s.acked]), Finish: finish})
	s.emitted = s.acked
	if ended {
		n.finishStream(s)
	}
}

// finishStream keeps a complete answer for a caller that may reconnect.
func (n *Node) finishStream(s *stream) {
	s.finishEmitted = true
	s.phase = phaseDone
	s.dropAt = n.now.Add(n.settings.Timing.AnswerRetention)
	n.detach(s)
	n.uncount(s.request.Organisation)
}

func (n *Node) detach(s *stream) {
	delete(n.entry.streamByConn, s.conn)
	s.conn = 0
}

// reattach attaches a stream to a caller that has reconnected.
func (n *Node) reattach(s *stream, conn ConnID, after int) {
	if s.conn != 0 {
		n.emit(Refuse{Conn: s.conn, ID: s.id, Refusal: movedRefusal()})
		n.detach(s)
	}
	s.conn = conn
	s.disconnectedAt = time.Time{}
	n.entry.streamByConn[conn] = s.id
	s.emitted = after
	if s.phase == phaseDone {
		n.replay(s)
		return
	}
	n.emitTokens(s)
}

// replay sends the rest of a finished answer.
func (n *Node) replay(s *stream) {
	from := min(s.emitted, len(s.tokens))
	n.emit(Emit{Conn: s.conn, ID: s.id, From: from, Tokens: slices.Clone(s.tokens[from:]), Finish: s.finish})
	n.detach(s)
}

func movedRefusal() Refusal {
	return refusal(RefusedMoved, RanYes, "the caller took the answer up on another connection", "read it there")
}

// failStream sends a stream's caller the final refusal and removes the stream.
func (n *Node) failStream(s *stream, r Refusal) {
	if s.mayHaveRunBefore {
		r = r.WithUnknownOutcome()
	}
	if s.conn != 0 {
		n.emit(Refuse{Conn: s.conn, ID: s.id, Refusal: r})
	}
	n.removeStream(s)
}

// removeStream removes a stream and releases all that is held for it.
func (n *Node) removeStream(s *stream) {
	n.detach(s)
	if s.queued != nil {
		s.queued.dropped = true
		if s.phase != phaseDone {
			n.uncount(s.request.Organisation)
		}
	}
	delete(n.entry.streams, s.id)
	n.releaseEngines(s)
	if s.registered {
		n.dropAtKeeper(s)
	}
}

// relinquishStream ends a stream that another entry VM has taken over. Its
// engines now belong to that VM, so no release is sent.
func (n *Node) relinquishStream(s *stream) {
	n.note("stream taken over by another entry VM", string(s.id))
	if s.conn != 0 {
		n.emit(Refuse{Conn: s.conn, ID: s.id, Refusal: movedRefusal()})
	}
	wasReserved := s.reserved
	s.reserved = false
	s.registered = false
	n.removeStream(s)
	if wasReserved {
		n.release(s.pool, s.route, s.chain)
	}
}

// callerGone handles a closed connection. A stream that has begun continues for
// a time, since its caller may reconnect for the rest.
func (n *Node) callerGone(conn ConnID) {
	if c, ok := n.entry.calls[conn]; ok {
		n.callDisconnected(c)
		return
	}
	id, ok := n.entry.streamByConn[conn]
	if !ok {
		return
	}
	s := n.entry.streams[id]
	n.detach(s)
	s.disconnectedAt = n.now
	if s.phase == phaseQueued || s.phase == phaseFinding {
		n.removeStream(s)
	}
}

// reattachTimeout is how long a stream waits for its caller. A caller that never
// named its request is unlikely to reconnect.
func (n *Node) reattachTimeout(s *stream) time.Duration {
	if s.request.Returnable {
		return n.settings.Timing.ReattachTimeout
	}
	return n.settings.Timing.ReattachTimeout / 5
}

func (n *Node) sweepStreams() {
	for _, id := range slices.Sorted(maps.Keys(n.entry.streams)) {
		n.sweepStream(n.entry.streams[id])
	}
}

func (n *Node) sweepStream(s *stream) {
	switch {
	case s.phase == phaseDone:
		if !n.now.Before(s.dropAt) {
			n.removeStream(s)
		}
	case !s.disconnectedAt.IsZero() && !n.now.Before(s.disconnectedAt.Add(n.reattachTimeout(s))):
		n.note("stream dropped: its caller disconnected and did not return in time", string(s.id))
		n.removeStream(s)
	case s.phase != phaseQueued && s.phase != phaseFinding && !n.now.Before(s.request.Deadline):
		n.failStream(s, refusal(RefusedDeadline, s.ran(), "its deadline passed", "send it again with a later deadline"))
	case s.phase == phaseRepairing && !s.repairAt.IsZero() && !n.now.Before(s.repairAt):
		s.repairAt = time.Time{}
		n.repairNow(s)
	}
}

// ran reports whether a stream may have run. It has not while runNext has
// dispatched nothing that an engine accepted.
func (s *stream) ran() Ran {
	switch {
	case len(s.tokens) > 0:
		return RanYes
	case s.dispatched || s.epoch.Owner > 0:
		return RanUnknown
	}
	return RanNo
}

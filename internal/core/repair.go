package core

import (
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// This file replaces a stage of a stream that has failed, stalled or lost its
// state.
//
// Only the lost range of layers is rebuilt. Any engines that hold its layers
// can take it over, also several in a row and from other chains. Each of them
// rebuilds its KV cache from the activations kept by the stage before it, or,
// for the first layers, from the prompt and the tokens. The surviving stages
// run no committed position again: they are asked for the same position under
// the next epoch and return the stored result. docs/DESIGN.md compares the
// alternatives.
//
// The order of a repair matters: a source needs its own state before it can
// feed the next stage, so rebuilds run one after another from the front.

// repairRetryDelay is the delay before a repair that found no engine is retried.
const repairRetryDelay = 100 * time.Millisecond

// repair replaces the stage that target held.
func (n *Node) repair(s *stream, target string) {
	n.note("stage lost, repairing its stream", target)
	s.epoch = s.epoch.WithNextAttempt()
	s.phase = phaseRepairing
	s.rebuild = nil
	n.repairNow(s)
}

// repairNow finds replacements for each stage whose engine can't be used.
func (n *Node) repairNow(s *stream) {
	chain := make([]Stage, 0, len(s.chain)+1)
	var rebuild []int
	for _, stage := range s.chain {
		if !n.isSuspect(stage.Target) && !n.isRemovedOrDown(stage.Target) {
			chain = append(chain, stage)
			continue
		}
		cover := n.cover(s, stage.Layers)
		if cover == nil {
			s.repairAt = n.now.Add(repairRetryDelay)
			return
		}
		for _, c := range cover {
			rebuild = append(rebuild, len(chain))
			chain = append(chain, c)
		}
	}
	n.replaceChain(s, chain)
	s.rebuild = rebuild
	if s.position == 0 {
		// Nothing is committed yet, so there is no state to rebuild.
		s.rebuild = nil
	}
	n.keepChain(s)
	n.rebuildNext(s)
}

func (n *Node) isRemovedOrDown(target string) bool {
	t, ok := n.entry.config.Targets.Get(target)
	return !ok || t.Down
}

// replaceChain counts the stream against the targets of its new chain and
// releases those that it no longer uses.
func (n *Node) replaceChain(s *stream, chain []Stage) {
	var dropped []Stage
	for _, stage := range s.chain {
		n.target(stage.Target).inFlight--
		if !slices.Contains(chain, stage) {
			dropped = append(dropped, stage)
		}
	}
	for _, stage := range chain {
		n.target(stage.Target).inFlight++
	}
	if len(dropped) > 0 {
		n.emit(Release{Stream: s.id, Epoch: s.epoch, Chain: dropped})
	}
	s.chain = chain
}

// cover returns engines that together hold the layers, or nil. From the front
// it picks the engine that holds the most of the remaining layers, and among
// equals the least used.
func (n *Node) cover(s *stream, layers config.Range) []Stage {
	var cover []Stage
	next := layers.First
	for next < layers.Last {
		stage, ok := n.nextStage(s, next, layers.Last, cover)
		if !ok {
			return nil
		}
		cover = append(cover, stage)
		next = stage.Layers.Last
	}
	return cover
}

func (n *Node) nextStage(s *stream, first, last int, cover []Stage) (Stage, bool) {
	var best Stage
	bestUse := 0.0
	for _, p := range n.entry.config.Placements.Sorted() {
		t, ok := n.entry.config.Targets.Get(p.Target)
		if !ok || !t.Available() || !p.Ready || n.isSuspect(p.Target) {
			continue
		}
		if p.Model != s.pipeline.Model || p.Version != s.pipeline.Version || p.Layers.First > first || p.Layers.Last <= first {
			continue
		}
		if inChain(s.chain, p.Target) || inChain(cover, p.Target) {
			continue
		}
		candidate := Stage{Target: t.Name, Address: t.Address, Layers: config.Range{First: first, Last: min(last, p.Layers.Last)}}
		use := float64(n.target(t.Name).inFlight) / float64(t.Slots)
		further := candidate.Layers.Last > best.Layers.Last
		if best.Target == "" || further || candidate.Layers.Last == best.Layers.Last && use < bestUse {
			best, bestUse = candidate, use
		}
	}
	return best, best.Target != ""
}

func inChain(chain []Stage, target string) bool {
	return slices.ContainsFunc(chain, func(s Stage) bool { return s.Target == target })
}

// rebuildNext orders the next rebuild, or resumes the stream when none is left.
func (n *Node) rebuildNext(s *stream) {
	if len(s.rebuild) == 0 {
		n.runNext(s)
		return
	}
	i := s.rebuild[0]
	r := Rebuild{
		Stream:        s.id,
		Epoch:         s.epoch,
		Position:      s.position,
		Model:         s.model(),
		Stage:         s.chain[i],
		ReplyDeadline: n.now.Add(n.settings.Timing.StageTimeout),
	}
	if i > 0 {
		source := s.chain[i-1]
		r.Source = &source
	} else {
		r.Prompt = s.request.Prompt
		// The last token is not part of the state yet: the next position runs it.
		r.Tokens = slices.Clone(s.tokens[:len(s.tokens)-1])
	}
	n.emit(r)
}

// rebuildEnded handles the result of a rebuild and continues the repair.
func (n *Node) rebuildEnded(e RebuildEnded) {
	s, ok := n.entry.streams[e.Stream]
	if !ok || s.phase != phaseRepairing || s.epoch != e.Epoch || len(s.rebuild) == 0 {
		return
	}
	switch e.Result {
	case ResultDone:
		if e.Target == s.chain[s.rebuild[0]].Target {
			s.rebuild = s.rebuild[1:]
			n.rebuildNext(s)
		}
	case ResultGap:
		n.rebuildStage(s, e.Target)
	case ResultStale:
		n.relinquishStream(s)
	default:
		n.suspect(e.Target)
		n.repair(s, e.Target)
	}
}

// rebuildStage has a live stage that lacks the stream's state rebuild it, together
// with the rebuilds that are still pending.
func (n *Node) rebuildStage(s *stream, target string) {
	i := slices.IndexFunc(s.chain, func(stage Stage) bool { return stage.Target == target })
	if i < 0 || s.position == 0 {
		n.suspect(target)
		n.repair(s, target)
		return
	}
	n.note("stage lacks state, rebuilding it", target)
	s.epoch = s.epoch.WithNextAttempt()
	s.phase = phaseRepairing
	if !slices.Contains(s.rebuild, i) {
		s.rebuild = append(s.rebuild, i)
		slices.Sort(s.rebuild)
	}
	n.rebuildNext(s)
}

// stageRefused handles an engine that refused a stream. When the first stage
// refuses the first position, nothing has run, and the stream is queued again
// for another route if the retry budget allows. Otherwise earlier stages or
// positions have run, and only the stage that refused is replaced.
func (n *Node) stageRefused(s *stream, target string) {
	n.poolOfStream(s).recordRefusal(s.route)
	if s.position > 0 || target != s.chain[0].Target {
		n.suspect(target)
		n.repair(s, target)
		return
	}
	s.dispatched = false
	if !n.entry.budget.take() {
		r := refusal(RefusedOverload, RanNo, "the engines have no room", "come back at the given time")
		n.failStream(s, r.WithRetryAt(n.retryTime(n.poolOfStream(s))))
		return
	}
	n.requeue(s, target)
}

// requeue returns a stream that has not run to the queue.
func (n *Node) requeue(s *stream, avoid string) {
	pool, route, chain := s.pool, s.route, s.chain
	s.epoch = s.epoch.WithNextAttempt()
	n.emit(Release{Stream: s.id, Epoch: s.epoch, Chain: chain})
	s.reserved = false
	s.chain = nil
	s.phase = phaseQueued
	p := n.entry.pools[pool]
	if p == nil {
		n.failStream(s, refusal(RefusedNoTarget, RanNo, "no engine holds the model any more", "come back later").WithRetryAt(n.now.Add(time.Second)))
		return
	}
	s.queued = p.readmit(s.queued, avoid)
	n.release(pool, route, chain)
}

package relay

// This file counts the work in flight at targets, of this VM and of others.

// Work is the work in flight at a target.
type Work struct {
	// Encoded as an array: these values are sent most.
	_        struct{} `cbor:",toarray"`
	Requests int      `cbor:"requests"`
	// Tokens is the memory that the requests take: tokens times the layers that the target runs
	// of each.
	Tokens int `cbor:"tokens"`
	// Unread is the tokens of prompts whose answer has not begun.
	Unread int `cbor:"unread"`
}

// Plus returns the sum.
func (w Work) Plus(o Work) Work {
	return Work{Requests: w.Requests + o.Requests, Tokens: w.Tokens + o.Tokens, Unread: w.Unread + o.Unread}
}

// Minus returns the difference, with zero for each value that would be negative.
func (w Work) Minus(o Work) Work {
	return Work{
		Requests: max(w.Requests-o.Requests, 0),
		Tokens:   max(w.Tokens-o.Tokens, 0),
		Unread:   max(w.Unread-o.Unread, 0),
	}
}

// Times returns the work of n VMs that have this each.
func (w Work) Times(n int) Work {
	return Work{Requests: n * w.Requests, Tokens: n * w.Tokens, Unread: n * w.Unread}
}

// SetOthersWork sets the work in flight of other VMs. complete indicates that missing targets
// have none; otherwise they have about what they had.
func (r *Router) SetOthersWork(work map[TargetKey]Work, complete bool) {
	r.othersReported = r.othersReported || complete
	for _, t := range r.targets {
		if w, ok := work[t.key]; ok || complete {
			t.othersWork = w
		}
		t.ownWorkAtReport = t.ownWork
	}
}

const (
	// maxHerdVMs bounds how many other VMs are assumed to have acted as this one did since the
	// last report on them: with more, one request of this VM's own would weigh too much.
	maxHerdVMs = 10
	// herdTolerance is the increase of a VM's requests in flight that counts as chance: at ten
	// requests a second a VM begins and ends about two between two reports.
	herdTolerance = 2
)

// load estimates the work in flight at a target. The report on the other VMs is up to half a second
// old; since then they have most likely done what this VM did, above all when all leave a lost
// engine at once.
//
// A VM without any report has most likely started together with all others: it assumes that each
// of them has as much in flight as it has itself.
func (r *Router) load(t *target) Work {
	if !r.othersReported && r.settings.Policy.Has(StartSampling) {
		return t.ownWork.Times(r.vms)
	}
	load := t.ownWork.Plus(t.othersWork)
	excess := t.ownWork.Requests - t.ownWorkAtReport.Requests - herdTolerance
	if excess <= 0 || !r.settings.Policy.Has(HerdGuess) {
		return load
	}
	herd := min(r.vms-1, maxHerdVMs)
	load.Requests += herd * excess
	load.Tokens += herd * excess * t.ownWork.Tokens / t.ownWork.Requests
	return load
}

// OthersWorkKnown reports whether this VM has received the work in flight of others.
func (r *Router) OthersWorkKnown() bool { return r.othersReported }

// OwnWork returns the work in flight of this VM.
func (r *Router) OwnWork() map[TargetKey]Work {
	own := make(map[TargetKey]Work)
	for _, t := range r.targets {
		if t.ownWork.Requests > 0 {
			own[t.key] = t.ownWork
		}
	}
	return own
}

// RecordBegun records that the answer on a path has begun: its prompt has been read.
func (r *Router) RecordBegun(p Path) {
	for _, s := range p.Stages {
		if t, ok := r.targets[s.Target]; ok {
			t.ownWork.Unread -= p.prompt
		}
	}
}

// Release releases a path. begun indicates that RecordBegun was called for it.
func (r *Router) Release(p Path, begun bool) {
	if !begun {
		r.RecordBegun(p)
	}
	r.addInFlight(p, -1)
}

func (r *Router) addInFlight(p Path, sign int) {
	r.crossingsInFlight += sign * p.crossings
	for _, s := range p.Stages {
		t, ok := r.targets[s.Target]
		if !ok {
			continue
		}
		t.ownWork.Requests += sign
		t.ownWork.Tokens += sign * p.tokens * s.Layers.Len()
		if (t.Gone || t.superseded) && t.ownWork.Requests <= 0 {
			r.removeTarget(t)
		}
	}
}

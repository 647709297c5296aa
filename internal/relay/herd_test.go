package relay_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// whole is the users' fleet.
var whole = layout{
	"a": {"large": 14, "middle": 81, "small": 216, "tiny": 297},
	"b": {"large": 14, "middle": 27, "small": 257, "tiny": 297},
	"c": {"large": 14, "middle": 41, "small": 378, "tiny": 149},
	"d": {"middle": 68, "small": 203, "tiny": 284},
	"e": {"large": 14, "middle": 27, "small": 257, "tiny": 284},
}

// herd is many VMs that choose among the same engines, each by the last report that it has of the
// others.
type herd struct {
	routers []*relay.Router
	route   *relay.Route
	targets map[relay.TargetID]relay.Target
	work    map[relay.TargetID]relay.Work
	now     time.Time
	rand    *rand.Rand
	ends    []ending
	// asked, refused and over count the requests, those that found no capacity, and those that
	// reached an engine whose memory was full.
	asked, refused, over int
	// first counts the requests that began at each engine.
	first map[relay.TargetID]int
}

type ending struct {
	at   time.Time
	vm   int
	path relay.Path
}

func newHerd(vms int, e *relay.Engine, targets []relay.Target) *herd {
	h := &herd{targets: make(map[relay.TargetID]relay.Target), work: make(map[relay.TargetID]relay.Work), now: start, rand: rand.New(rand.NewPCG(1, 2)), first: make(map[relay.TargetID]int)}
	held := holding(targets, relay.Plan(e, targets))
	listed := e.Shortlist(held, 0)
	held = slices.DeleteFunc(held, func(t relay.Target) bool { return !slices.Contains(listed, t.ID) })
	for _, t := range held {
		h.targets[t.ID] = t
	}
	document := &relay.Document{
		Version:  1,
		Services: []relay.Service{{Name: "s", MaxConns: 2668, Engine: e}},
		Routes: []relay.Route{{
			Name: "r", Host: "h", Prefix: "/", Stream: true, Repeat: relay.RepeatResume, Timeout: time.Minute, MaxTargets: 2,
			Shares: []relay.Share{{Service: "s", Weight: 1}},
		}},
	}
	h.route = &document.Routes[0]
	for vm := range vms {
		r := relay.NewRouter(relay.Settings{Hall: string(rune('a' + vm%5)), Seed: uint64(vm), Started: start, Budget: relay.BudgetTerms{Share: 0.2, Fixed: 200, Window: 10 * time.Second}})
		r.SetDocument(document)
		r.UpdateTargets(held)
		r.SetVMCount(vms)
		h.routers = append(h.routers, r)
	}
	return h
}

// report sends every VM the work in flight of the others.
func (h *herd) report() {
	sum := make(map[relay.TargetKey]relay.Work)
	for _, r := range h.routers {
		for key, w := range r.OwnWork() {
			sum[key] = sum[key].Plus(w)
		}
	}
	for _, r := range h.routers {
		others := make(map[relay.TargetKey]relay.Work, len(sum))
		own := r.OwnWork()
		for key, w := range sum {
			others[key] = w.Minus(own[key])
		}
		r.SetOthersWork(others, true)
	}
}

func (h *herd) ask(e *relay.Engine, length time.Duration) {
	vm := h.rand.IntN(len(h.routers))
	h.asked++
	path, refusal := h.routers[vm].Choose(ask(h.route), h.now)
	if refusal != nil {
		h.refused++
		return
	}
	h.routers[vm].RecordBegun(path)
	h.first[path.Stages[0].Target]++
	full := false
	for _, s := range path.Stages {
		t := h.targets[s.Target]
		w := h.work[s.Target]
		full = full || w.Tokens+944*s.Layers.Len() > relay.MemoryOf(e, t)
		h.work[s.Target] = w.Plus(relay.Work{Requests: 1, Tokens: 900 * s.Layers.Len()})
	}
	if full {
		h.over++
	}
	h.ends = append(h.ends, ending{at: h.now.Add(length), vm: vm, path: path})
}

func (h *herd) end() {
	h.ends = slices.DeleteFunc(h.ends, func(e ending) bool {
		if h.now.Before(e.at) {
			return false
		}
		h.routers[e.vm].Release(e.path, true)
		for _, s := range e.path.Stages {
			h.work[s.Target] = h.work[s.Target].Minus(relay.Work{Requests: 1, Tokens: 900 * s.Layers.Len()})
		}
		return true
	})
}

// Six hundred VMs of five halls, each with a request every few seconds, choose among the same
// engines by sums up to 0.4 s old. They must not all choose the same ones: an engine whose memory
// is full drops what reaches it.
func TestManyVMsSpreadOverEngines(t *testing.T) {
	const (
		vms        = 600
		requests   = 1600
		every      = 5 * time.Millisecond
		answerTime = 3 * time.Second
		tellEvery  = 80
		// mostShare is the part of all requests that may begin at one engine: each hall has a
		// fifth, and three engines to begin at.
		mostShare = 0.1
	)
	e := engine()
	h := newHerd(vms, e, engines(whole))
	h.report()
	for i := range requests {
		h.now = h.now.Add(every)
		h.end()
		if i%tellEvery == tellEvery-1 {
			h.report()
		}
		h.ask(e, answerTime)
	}
	most := 0
	for _, n := range h.first {
		most = max(most, n)
	}
	require.Zero(t, h.refused)
	require.Zero(t, h.over, "requests that reached an engine without memory for them")
	require.Less(t, float64(most), mostShare*requests, "requests that began at the same engine")
}

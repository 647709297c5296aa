package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/core/plan"
)

// baseline is a router that does not use the core: it immediately sends each request
// to the chain that choose returns, and each position once the previous one is done.
type baseline struct {
	name   string
	choose func(b *testBed, chains []plan.Chain, open []int) int
}

var baselines = []baseline{
	{"random", func(b *testBed, chains []plan.Chain, _ []int) int { return b.rand.IntN(len(chains)) }},
	{"round robin", func(b *testBed, chains []plan.Chain, _ []int) int { return len(b.requests) % len(chains) }},
	{"least outstanding", func(_ *testBed, _ []plan.Chain, open []int) int { return slices.Index(open, slices.Min(open)) }},
}

func (b *testBed) submitToBaseline(l baseline, chains []plan.Chain, open []int, tokens int) {
	i := l.choose(b, chains, open)
	b.requests[core.ConnID(len(b.requests)+1)] = &bedRequest{asked: b.now}
	var stages []core.Stage
	for _, p := range chains[i].Stages {
		stages = append(stages, core.Stage{Target: p.Target, Layers: p.Layers})
	}
	open[i]++
	run := core.Run{Stream: core.RequestID(fmt.Sprint(len(b.requests))), Chain: stages}
	var next func(core.RunEnded)
	next = func(e core.RunEnded) {
		run.Position++
		if run.Position == tokens {
			open[i]--
			return
		}
		b.run(run, next)
	}
	b.run(run, next)
}

const (
	burstTokens  = 64
	burstSeconds = 60
)

// throughput measures the throughput as a share of the bound, over the last forty
// seconds of a minute in which callers request load times the bound.
func throughput(t require.TestingT, load float64, l *baseline) float64 {
	b := newTestBed(t, 4, 7)
	if l != nil {
		for _, e := range b.engines {
			e.slots = 1 << 20
		}
	}
	chains := plan.Chains(b.state, "m", "v1")
	open := make([]int, len(chains))
	requests := int(load * b.bound() * burstSeconds / burstTokens)
	for i := range requests {
		b.at(time.Duration(i)*burstSeconds*time.Second/time.Duration(requests), func() {
			if l != nil {
				b.submitToBaseline(*l, chains, open, burstTokens)
				return
			}
			b.submit(i%len(b.nodes), i%bedOrgs, 2, burstTokens, 30*time.Second)
		})
	}
	b.advance(20 * time.Second)
	before := b.tokens
	b.advance(40 * time.Second)
	return float64(b.tokens-before) / 40 / b.bound()
}

// BenchmarkOpenBurst measures the throughput at the open of an event, as a share of
// the bound.
func BenchmarkOpenBurst(b *testing.B) {
	for _, load := range []float64{1, 2} {
		b.Run(fmt.Sprintf("load=%v/core", load), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(throughput(b, load, nil), "share-of-bound")
			}
		})
		for _, l := range baselines {
			b.Run(fmt.Sprintf("load=%v/%s", load, l.name), func(b *testing.B) {
				for b.Loop() {
					b.ReportMetric(throughput(b, load, &l), "share-of-bound")
				}
			})
		}
	}
}

// overloadResult is the effect of a threefold overload on classes and shares.
type overloadResult struct {
	// firstRatio is the critical class's p95 time to the complete answer, relative
	// to that without load.
	firstRatio float64
	served     float64
	// shareError covers the whole run, laterError excludes the first five seconds,
	// in which the engines fill in order of arrival.
	shareError float64
	laterError float64
	// slowestRefusal is the longest delay of a refusal beyond the request's deadline.
	slowestRefusal time.Duration
}

func p95(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)*95/100]
}

// critical sends a request of the critical class every tenth of a second.
func (b *testBed) critical(seconds int) []*bedRequest {
	var requests []*bedRequest
	for i := range seconds * 10 {
		b.at(time.Duration(i)*100*time.Millisecond, func() { requests = append(requests, b.submit(i%len(b.nodes), 0, 0, 16, 30*time.Second)) })
	}
	b.advance(time.Duration(seconds) * time.Second)
	b.advance(30 * time.Second)
	return requests
}

func times(requests []*bedRequest) (whole []time.Duration) {
	for _, a := range requests {
		if !a.done.IsZero() {
			whole = append(whole, a.done.Sub(a.asked))
		}
	}
	return whole
}

// overload has organisation 9 request ten times as much as each other one, in the
// normal class. All requests together are three times the bound.
func overload(t require.TestingT) overloadResult {
	unloaded := p95(times(newTestBed(t, 4, 7).critical(30)))
	b := newTestBed(t, 4, 7)
	requests := int(3 * b.bound() * 30 / burstTokens)
	var normal []*bedRequest
	for i := range requests {
		organisation := i % 19
		if organisation > 9 {
			organisation = 9
		}
		b.at(time.Duration(i)*30*time.Second/time.Duration(requests), func() {
			normal = append(normal, b.submit(i/19%len(b.nodes), organisation, 2, burstTokens, 10*time.Second))
		})
	}
	critical := b.critical(30)
	whole := times(critical)
	var r overloadResult
	r.served = float64(len(whole)) / float64(len(critical))
	r.firstRatio = float64(p95(whole)) / float64(unloaded)
	r.shareError = shareError(normal)
	r.laterError = shareError(slices.DeleteFunc(slices.Clone(normal), func(a *bedRequest) bool {
		return a.asked.Before(b.now.Add(-55 * time.Second))
	}))
	for _, a := range normal {
		if a.refused != nil {
			late := min(a.refusedAt.Sub(a.asked), a.refusedAt.Sub(a.asked.Add(10*time.Second)))
			r.slowestRefusal = max(r.slowestRefusal, late)
		}
	}
	return r
}

// shareError returns how far the least served organisation is below an even share of
// what was served, for organisations that request more than that share.
func shareError(requests []*bedRequest) float64 {
	served := make([]float64, bedOrgs)
	total := 0.0
	for _, a := range requests {
		if !a.done.IsZero() {
			served[a.organisation]++
			total++
		}
	}
	return max(0, 1-slices.Min(served)*bedOrgs/total)
}

// BenchmarkOverload measures a threefold overload.
func BenchmarkOverload(b *testing.B) {
	for b.Loop() {
		r := overload(b)
		b.ReportMetric(r.firstRatio, "critical-p95-ratio")
		b.ReportMetric(r.served, "critical-served")
		b.ReportMetric(r.shareError, "share-error")
		b.ReportMetric(r.laterError, "share-error-after-5s")
		b.ReportMetric(r.slowestRefusal.Seconds(), "refusal-s")
	}
}

// lossResult is the effect of the loss of a stage.
type lossResult struct {
	hit      int
	worstGap time.Duration
	restart  time.Duration
	share    float64
	lost     int
}

// fault is a fault of engines in the middle of a burst.
type fault struct {
	name string
	// inject injects the fault, and returns the engines that the leader marks as down
	// a second later.
	inject func(b *testBed) []string
}

var faults = []fault{
	{"engine killed", func(b *testBed) []string {
		return b.kill(plan.Chains(b.state, "m", "v1")[1].Stages[1].Target)
	}},
	{"link 100 times slower", func(b *testBed) []string {
		b.engines[plan.Chains(b.state, "m", "v1")[1].Stages[1].Target].delay = 100 * bedLink
		return nil
	}},
	{"hall lost", func(b *testBed) []string {
		var lost []string
		for _, t := range b.state.Targets.Sorted() {
			if t.Hall == "hall1" {
				lost = append(lost, b.kill(t.Name)...)
			}
		}
		return lost
	}},
}

func (b *testBed) kill(name string) []string {
	b.engines[name].dead = true
	return []string{name}
}

// mark gives the Nodes the engines that are down and the resulting plan.
func (b *testBed) mark(down []string) {
	var changes []config.Change
	for _, name := range down {
		changes = append(changes, config.Change{Condition: &config.Condition{Target: name, Down: true}})
	}
	next, err := b.state.Apply(b.state.Revision+1, changes)
	require.NoError(b.t, err)
	b.state = b.planned(next)
}

// stageLoss injects a fault while streams of 64 tokens run at 0.8 of the bound that
// remains afterwards.
func stageLoss(t require.TestingT, f fault) lossResult {
	remaining := newTestBed(t, 4, 7)
	f.inject(remaining)
	offered := 0.8 * remaining.bound()
	b := newTestBed(t, 4, 7)
	requests := int(offered * 40 / burstTokens)
	var submitted []*bedRequest
	for i := range requests {
		b.at(time.Duration(i)*40*time.Second/time.Duration(requests), func() {
			submitted = append(submitted, b.submit(i%len(b.nodes), i%bedOrgs, 2, burstTokens, 60*time.Second))
		})
	}
	b.advance(15 * time.Second)
	down := f.inject(b)
	killed := b.now
	b.at(time.Second, func() { b.mark(down) })
	b.advance(5 * time.Second)
	before := b.tokens
	b.advance(20 * time.Second)
	share := float64(b.tokens-before) / 20 / offered
	b.advance(60 * time.Second)
	r := lossResult{share: share}
	for _, a := range submitted {
		switch {
		case a.done.IsZero():
			r.lost++
		case a.asked.Before(killed) && a.done.After(killed):
			r.hit++
			r.worstGap = max(r.worstGap, a.maxGap)
			r.restart = max(r.restart, killed.Sub(a.asked))
		}
	}
	return r
}

// BenchmarkLoss measures a loss under load. The baseline is a restart from the
// beginning: the elapsed time of the longest-running stream.
func BenchmarkLoss(b *testing.B) {
	for _, f := range faults {
		b.Run(f.name, func(b *testing.B) {
			for b.Loop() {
				r := stageLoss(b, f)
				b.ReportMetric(float64(r.hit), "running-streams")
				b.ReportMetric(r.worstGap.Seconds(), "worst-gap-s")
				b.ReportMetric(r.restart.Seconds(), "restart-s")
				b.ReportMetric(r.worstGap.Seconds()/r.restart.Seconds(), "gap-of-restart")
				b.ReportMetric(r.share, "share-of-offered")
				b.ReportMetric(float64(r.lost), "lost")
			}
		})
	}
}

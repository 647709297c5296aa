package relay

import (
	"cmp"
	"slices"
	"time"
)

// This file computes an upper bound on the capacity of any plan for a fleet.
//
// The number of answers in progress is bounded by the memory that is left beside one copy
// of the weights. For the rate, let an engine hold n of L layers and memory for b answers,
// and let D be the time of an answer that runs only on engines like it, with b answers on
// each. An answer occupies memory on all engines of its path for the mean of their D,
// weighted by their parts of the layers. It therefore occupies the sum of part/D over its
// engines for that long; by the Cauchy-Schwarz inequality, the product is at least 1. All
// engines together have the sum of n*b/(L*D), and no plan bears more answers a second. With
// few layers, memory is left for many answers, which make steps long; the bound uses the
// best n. Chains of similar engines come closest to the bound.
//
// Engines also do work for each token that they write or read, however many answers share a
// pass. This bounds the rate separately.
//
// Limits: each engine is assumed to hold what is best for itself, whether the layers add up
// or not; pipes and slots are assumed to be unlimited, and transfers between engines to
// take no time.

// UpperBound is an upper bound on the capacity of any plan for a fleet.
type UpperBound struct {
	// Answers is the number of answers in progress, by memory.
	Answers float64 `json:"answers"`
	// RateByMemory and RateByWork are answers a second: by memory and the time that it is
	// occupied, and by the work of engines for each token.
	RateByMemory float64 `json:"rate_by_memory"`
	RateByWork   float64 `json:"rate_by_work"`
}

// UpperBound returns the upper bound on the capacity of any plan for the targets.
func (e *Engine) UpperBound(targets []Target) UpperBound {
	var m UpperBound
	bytes := -float64(e.Layers) * e.LayerBytes
	for _, k := range e.kindsOf(targets) {
		bytes += k.Bytes
		m.RateByMemory += e.maxRateOf(k)
		m.RateByWork += 1 / max(e.workPerAnswer(k), 1/maxRate)
	}
	if bytes < 0 {
		return UpperBound{}
	}
	m.Answers = bytes / max(e.TokenBytes*e.usualTokens(), 1)
	return m
}

// UpperBoundAfterLosses returns the upper bound after the loss of the engines that add most to the
// rate.
func (e *Engine) UpperBoundAfterLosses(targets []Target, losses int) UpperBound {
	rate := func(t Target) float64 {
		kind, _ := e.accelerator(t.Accelerator)
		return e.maxRateOf(kind)
	}
	left := slices.Clone(targets)
	slices.SortStableFunc(left, func(a, b Target) int { return cmp.Compare(rate(b), rate(a)) })
	return e.UpperBound(left[min(losses, len(left)):])
}

// kindsOf returns the kinds of the targets that take work.
func (e *Engine) kindsOf(targets []Target) []Accelerator {
	var kinds []Accelerator
	for _, t := range targets {
		if kind, ok := e.accelerator(t.Accelerator); ok && t.AcceptsWork() {
			kinds = append(kinds, kind)
		}
	}
	return kinds
}

// maxRateOf returns the most that one engine adds to the rate of answers.
func (e *Engine) maxRateOf(k Accelerator) float64 {
	most := 0.0
	for n := 1; n <= min(e.maxLayers(k), e.Layers); n++ {
		answers := e.answersAt(k, n)
		step := float64(e.StepBase) + answers*e.perAnswer()
		alone := waitMultiple * step * k.StepFactor * float64(max(e.UsualAnswer, 1)) / float64(time.Second)
		most = max(most, float64(n)/float64(e.Layers)*answers/max(alone, 1/maxRate))
	}
	return most
}

// workPerAnswer returns the seconds of work of engines of a kind for one answer, beside
// others.
func (e *Engine) workPerAnswer(k Accelerator) float64 {
	write := e.perAnswer() * k.StepFactor * float64(e.UsualAnswer) / float64(time.Second)
	return write + float64(e.UsualPrompt)*k.ReadFactor/max(e.ReadPerSecond, 1)
}

// perAnswer returns what each answer adds to a step over all layers, in nanoseconds.
func (e *Engine) perAnswer() float64 {
	return float64(e.StepPerRequest) + float64(e.StepPerKilotoken)*e.usualTokens()/1000
}

// Capacity returns the capacity of a fleet with the layers that its targets report, over all
// halls.
func (e *Engine) Capacity(targets []Target) Capacity {
	return e.totalCapacity(e.groupsByHall(targets))
}

// CapacityAfterLosses returns the capacity after a number of losses over all halls. Each step loses
// the engine whose loss costs most.
func (e *Engine) CapacityAfterLosses(targets []Target, losses int) Capacity {
	halls := e.groupsByHall(targets)
	for range losses {
		e.loseWorst(halls)
	}
	return e.totalCapacity(halls)
}

// totalCapacity returns the capacity of halls together.
func (e *Engine) totalCapacity(halls [][]engineGroup) Capacity {
	var all Capacity
	for _, held := range halls {
		all = all.plus(e.capacity(held))
	}
	return all
}

// loseWorst removes the engine whose loss costs the most rate.
func (e *Engine) loseWorst(halls [][]engineGroup) {
	var lost *engineGroup
	most := -1.0
	g := newEstimator(e)
	for _, held := range halls {
		before := g.capacity(held).Rate
		for _, i := range e.criticalGroups(held) {
			held[i].count--
			if cost := before - g.capacity(held).Rate; cost > most {
				lost, most = &held[i], cost
			}
			held[i].count++
		}
	}
	if lost != nil {
		lost.count--
	}
}

// groupsByHall groups the targets that hold layers and take work, by hall, or as one hall
// if no hall holds the model by itself.
func (e *Engine) groupsByHall(targets []Target) [][]engineGroup {
	var units []unit
	for _, t := range targets {
		if kind, ok := e.accelerator(t.Accelerator); ok && t.AcceptsWork() {
			units = append(units, unit{target: t, kind: kind})
		}
	}
	var halls [][]engineGroup
	whole := false
	for _, hall := range hallNames(units) {
		held := e.groupsOf(inHall(units, hall))
		halls = append(halls, held)
		whole = whole || e.capacity(held).Answers > 0
	}
	if !whole {
		return [][]engineGroup{e.groupsOf(units)}
	}
	return halls
}

// AnswersAtRate returns the number of answers that are in progress on a fleet at a rate, by
// Little's law, and whether the fleet bears the rate.
func (e *Engine) AnswersAtRate(targets []Target, rate float64) (answers float64, borne bool) {
	most := e.Capacity(targets)
	if most.Rate <= 0 {
		return 0, false
	}
	// Each hall gets a part of the rate in proportion to the rate that it bears.
	for _, held := range e.groupsByHall(targets) {
		c := e.capacity(held)
		answers += e.answersFor(held, c, rate*c.Rate/most.Rate)
	}
	return answers, most.Rate >= rate
}

// bisections is the number of times that answersFor halves its interval: the rest is 1e-12
// of the first interval, far less than a hundredth of an answer.
const bisections = 40

// answersFor returns the fewest answers in progress in a hall that end at the given rate.
func (e *Engine) answersFor(held []engineGroup, most Capacity, rate float64) float64 {
	if most.Rate <= rate {
		return most.Answers
	}
	spans := newEstimator(e).spansOf(held)
	low, high := 0.0, most.Answers
	for range bisections {
		middle := (low + high) / 2
		if e.rateOf(spans, middle) < rate {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

package relay

import (
	"cmp"
	"slices"
	"time"
)

// This file says what any plan of a fleet could hold at most.
//
// Answers in progress are bounded by the memory that is left beside one copy of the
// weights. For the rate, let an engine hold n of L layers and memory for b answers, and let
// D be the time of an answer that ran on engines like it alone, with b on each. An answer
// takes memory on all engines of its path for the mean of their D, weighted by their parts
// of the layers; so it takes the sum of part/D over its engines for that long, which by the
// inequality of Cauchy and Schwarz is at least 1. The engines together have the sum of
// n*b/(L*D), and no plan bears more answers a second. Few layers leave memory for many
// answers, which make steps long; of all n the best counts. Chains of like engines come
// nearest to the bound.
//
// Engines also work for each token that they write or read, however many answers share a
// pass, which bounds the rate for itself.
//
// Limits: engines count as holding what is best for themselves, whether the layers add up
// or not, pipes and slots as without bound, and ways between engines as without time.

// Most is what any plan for a fleet could hold at most.
type Most struct {
	// Answers is the number in progress, by memory.
	Answers float64 `json:"answers"`
	// RateByMemory and RateByWork are answers a second: by memory and the time that it is
	// taken for, and by what engines work for each token.
	RateByMemory float64 `json:"rate_by_memory"`
	RateByWork   float64 `json:"rate_by_work"`
}

// MostOf returns what any plan for targets could hold at most.
func (e *Engine) MostOf(targets []Target) Most {
	var m Most
	bytes := -float64(e.Layers) * e.LayerBytes
	for _, k := range e.kindsOf(targets) {
		bytes += k.Bytes
		m.RateByMemory += e.mostRate(k)
		m.RateByWork += 1 / max(e.workFor(k), 1/maxRate)
	}
	if bytes < 0 {
		return Most{}
	}
	m.Answers = bytes / max(e.TokenBytes*e.usual(), 1)
	return m
}

// MostAfter returns what MostOf does once the engines are lost that add most to the rate.
func (e *Engine) MostAfter(targets []Target, losses int) Most {
	rate := func(t Target) float64 {
		kind, _ := e.accelerator(t.Accelerator)
		return e.mostRate(kind)
	}
	left := slices.Clone(targets)
	slices.SortStableFunc(left, func(a, b Target) int { return cmp.Compare(rate(b), rate(a)) })
	return e.MostOf(left[min(losses, len(left)):])
}

// kindsOf returns the kinds of the targets that take work.
func (e *Engine) kindsOf(targets []Target) []Accelerator {
	var kinds []Accelerator
	for _, t := range targets {
		if kind, ok := e.accelerator(t.Accelerator); ok && t.Takes() {
			kinds = append(kinds, kind)
		}
	}
	return kinds
}

// mostRate is the most that one engine adds to the rate of answers.
func (e *Engine) mostRate(k Accelerator) float64 {
	most := 0.0
	for n := 1; n <= min(e.maxLayers(k), e.Layers); n++ {
		answers := e.answersAt(k, n)
		step := float64(e.StepBase) + answers*e.perAnswer()
		alone := waitShare * step * k.Pace * float64(max(e.UsualAnswer, 1)) / float64(time.Second)
		most = max(most, float64(n)/float64(e.Layers)*answers/max(alone, 1/maxRate))
	}
	return most
}

// workFor is the seconds that engines of a kind work for one answer, beside others.
func (e *Engine) workFor(k Accelerator) float64 {
	write := e.perAnswer() * k.Pace * float64(e.UsualAnswer) / float64(time.Second)
	return write + float64(e.UsualPrompt)*k.Read/max(e.ReadPerSecond, 1)
}

// perAnswer is what each answer adds to a step over all layers, in nanoseconds.
func (e *Engine) perAnswer() float64 {
	return float64(e.StepPerRequest) + float64(e.StepPerKilotoken)*e.usual()/1000
}

// Hold returns what a fleet holds with the layers that its targets say, over all halls.
func (e *Engine) Hold(targets []Target) Capacity {
	return e.capacityOf(e.likesByHall(targets))
}

// HoldAfter returns what Hold does after a number of losses over all halls, each that of the
// engine whose loss costs most.
func (e *Engine) HoldAfter(targets []Target, losses int) Capacity {
	halls := e.likesByHall(targets)
	for range losses {
		e.loseWorst(halls)
	}
	return e.capacityOf(halls)
}

// capacityOf returns what halls hold together.
func (e *Engine) capacityOf(halls [][]like) Capacity {
	var all Capacity
	for _, held := range halls {
		all = all.plus(e.capacity(held))
	}
	return all
}

// loseWorst takes the engine away whose loss costs the most rate.
func (e *Engine) loseWorst(halls [][]like) {
	var lost *like
	most := -1.0
	g := newGauge(e)
	for _, held := range halls {
		before := g.capacity(held).Rate
		for _, i := range e.weighty(held) {
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

// likesByHall groups the targets that hold layers and take work, by hall; as one hall where
// none holds the model by itself.
func (e *Engine) likesByHall(targets []Target) [][]like {
	var units []unit
	for _, t := range targets {
		if kind, ok := e.accelerator(t.Accelerator); ok && t.Takes() {
			units = append(units, unit{target: t, kind: kind})
		}
	}
	var halls [][]like
	whole := false
	for _, hall := range hallNames(units) {
		held := e.likes(inHall(units, hall))
		halls = append(halls, held)
		whole = whole || e.capacity(held).Answers > 0
	}
	if !whole {
		return [][]like{e.likes(units)}
	}
	return halls
}

// Needed returns the answers that are in progress on a fleet at a rate, by Little's law,
// and whether it bears the rate.
func (e *Engine) Needed(targets []Target, rate float64) (answers float64, borne bool) {
	most := e.Hold(targets)
	if most.Rate <= 0 {
		return 0, false
	}
	// Each hall is given the rate in proportion to what it bears.
	for _, held := range e.likesByHall(targets) {
		c := e.capacity(held)
		answers += e.answersFor(held, c, rate*c.Rate/most.Rate)
	}
	return answers, most.Rate >= rate
}

// bisections is how often answersFor halves its interval: the rest of it is 1e-12 of the
// first, far less than a hundredth of an answer.
const bisections = 40

// answersFor returns the fewest answers in progress in a hall that end at a rate.
func (e *Engine) answersFor(held []like, most Capacity, rate float64) float64 {
	if most.Rate <= rate {
		return most.Answers
	}
	stretches := newGauge(e).stretch(held)
	low, high := 0.0, most.Answers
	for range bisections {
		middle := (low + high) / 2
		if e.rateOf(stretches, middle) < rate {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

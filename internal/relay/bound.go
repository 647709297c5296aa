package relay

import (
	"cmp"
	"slices"
	"time"
)

// This file says what any plan of a fleet could hold at most.
//
// Answers in progress are bounded by the memory that is left beside one copy of the
// weights. Let M be the answers that the engines of one kind have memory for over all
// layers, and D the time of an answer that runs on this kind alone. A path that runs a
// part x of its layers on each kind takes the sum of x*D, and the memory of each kind in
// the part x for that long; so each answer takes the sum of x/D, over the kinds, times that
// time of the sum of M/D, and by the inequality of Cauchy and Schwarz that is at least 1.
// No plan bears more than the sum of M/D answers a second, and chains of like engines come
// nearest to it. Engines also work for each token that they write or read, however many
// answers share a pass, which bounds the rate for itself.
//
// Limits: layers count as divisible, pipes and slots as without bound, and steps as with
// one answer alone: no plan reaches the bound.

// Most is what any plan for a fleet could hold at most.
type Most struct {
	// Answers is the number in progress, by memory.
	Answers float64 `json:"answers"`
	// RateByMemory and RateByWork are answers a second: by memory and the time that it is
	// taken for, and by what engines work for each token.
	RateByMemory float64 `json:"rate_by_memory"`
	RateByWork   float64 `json:"rate_by_work"`
	// Tokens is the tokens written a second, by work.
	Tokens float64 `json:"tokens"`
}

// MostOf returns what any plan for targets could hold at most.
func (e *Engine) MostOf(targets []Target) Most {
	var m Most
	spare := float64(e.Layers) * e.LayerBytes
	kinds := e.kindsOf(targets)
	// The copy of the weights takes the memory that is worth least.
	slices.SortFunc(kinds, func(a, b Accelerator) int { return cmp.Compare(b.Pace, a.Pace) })
	for _, k := range kinds {
		left := max(k.Bytes-spare, 0)
		spare = max(spare-k.Bytes, 0)
		answers := left / max(e.TokenBytes*e.usual(), 1)
		m.Answers += answers
		m.RateByMemory += answers / max(e.timeAlone(k), 1/maxRate)
		m.RateByWork += 1 / max(e.workFor(k), 1/maxRate)
	}
	if spare > 0 {
		return Most{}
	}
	m.Tokens = m.RateByWork * float64(e.UsualAnswer)
	return m
}

// MostAfter returns what MostOf does once the engines are lost whose memory is worth most.
func (e *Engine) MostAfter(targets []Target, losses int) Most {
	left := slices.Clone(targets)
	value := func(t Target) float64 {
		kind, _ := e.accelerator(t.Accelerator)
		return kind.Bytes / max(e.timeAlone(kind), 1/maxRate)
	}
	slices.SortStableFunc(left, func(a, b Target) int { return cmp.Compare(value(b), value(a)) })
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

// timeAlone is the time of an answer over all layers on one kind, in seconds, with no
// other answer there.
func (e *Engine) timeAlone(k Accelerator) float64 {
	step := float64(e.StepBase) + e.perAnswer()
	return waitShare * step * k.Pace * float64(max(e.UsualAnswer, 1)) / float64(time.Second)
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
	var all Capacity
	for _, held := range e.likesByHall(targets) {
		all = all.plus(e.capacity(held))
	}
	return all
}

// HoldAfter returns what Hold does once so many engines are lost in any hall, each time the
// one whose loss costs most.
func (e *Engine) HoldAfter(targets []Target, losses int) Capacity {
	halls := e.likesByHall(targets)
	for range losses {
		e.loseWorst(halls)
	}
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

// answersFor returns the fewest answers in progress in a hall that end at a rate.
func (e *Engine) answersFor(held []like, most Capacity, rate float64) float64 {
	if most.Rate <= rate {
		return most.Answers
	}
	stretches := newGauge(e).stretch(held)
	low, high := 0.0, most.Answers
	for range 40 {
		middle := (low + high) / 2
		if e.rateOf(stretches, middle) < rate {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

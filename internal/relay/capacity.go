package relay

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// This file computes the capacity of a plan: how many answers can be in progress, how long
// an answer takes, and the rate at which answers can arrive.
//
// An answer occupies memory on each layer for as long as it runs, so the layer with the
// least memory over all its holders limits the answers in progress. By Little's law, that
// number divided by the time of an answer is the rate that the plan bears: a slow stage
// occupies the memory of all other stages of its path for longer. Answers use the fastest
// holders with room first, as path selection does. The rate is the sum over the answers in
// progress, each with its own time.
//
// Limits: the model assumes that the memory of an engine is spread evenly over its layers,
// that each step takes as long as with all the answers that the engine has memory for, and
// that paths stay within a hall.

// Capacity is the capacity of engines, in usual requests.
type Capacity struct {
	// Answers is the number of answers that can be in progress.
	Answers float64 `json:"answers"`
	// Rate is the number of answers a second that can be borne.
	Rate float64 `json:"rate"`
	// Time is how long an answer takes at that rate.
	Time time.Duration `json:"time"`
	// Copies is the number of engines that hold a layer, for the layer with the fewest.
	Copies int `json:"copies"`
}

// plus returns the capacity of two halls together.
func (c Capacity) plus(o Capacity) Capacity {
	if c.Answers == 0 {
		return o
	}
	if o.Answers == 0 {
		return c
	}
	sum := Capacity{Answers: c.Answers + o.Answers, Rate: c.Rate + o.Rate, Copies: min(c.Copies, o.Copies)}
	sum.Time = answerTime(sum.Answers, sum.Rate)
	return sum
}

// answerTime returns the time of an answer by Little's law.
func answerTime(answers, rate float64) time.Duration {
	return time.Duration(min(answers/rate, maxAnswerSeconds) * float64(time.Second))
}

// maxAnswerSeconds bounds the time of an answer, which would be infinite for a model without a
// rate.
const maxAnswerSeconds = 3600

// engineGroup is a number of engines of one kind that hold the same layers.
type engineGroup struct {
	kind   *Accelerator
	layers config.Range
	count  int
	// perLayer is what each of them adds at each of its layers.
	perLayer layerCapacity
}

// layerCapacity is the memory at one layer, in answers to usual requests, and the time that a step
// of one of them takes there, in nanoseconds.
type layerCapacity struct{ answers, step float64 }

// groupsOf groups the engines that hold layers, the fastest kinds first.
func (e *Engine) groupsOf(units []unit) []engineGroup {
	var all []engineGroup
	for i := range units {
		if u := &units[i]; e.contains(u.target.Layers) {
			all = e.addToGroup(all, &u.kind, u.target.Layers, 1)
		}
	}
	return sortBySpeed(all)
}

// addToGroup adds engines to the group that they belong to.
func (e *Engine) addToGroup(all []engineGroup, kind *Accelerator, layers config.Range, count int) []engineGroup {
	for i := range all {
		if all[i].layers == layers && all[i].kind.Name == kind.Name {
			all[i].count += count
			return all
		}
	}
	return append(all, engineGroup{kind: kind, layers: layers, count: count, perLayer: e.layerCapacityOf(kind, layers.Len())})
}

// sortBySpeed sorts groups by speed.
func sortBySpeed(all []engineGroup) []engineGroup {
	slices.SortStableFunc(all, func(a, b engineGroup) int { return cmp.Compare(a.kind.StepFactor, b.kind.StepFactor) })
	return all
}

// headroomDeviations is the memory kept free at an engine, in standard deviations of the
// number of answers in progress there. That number varies by its square root, and answers
// beyond the memory are refused or evict others. With two, there is no room 1 time in 40.
const headroomDeviations = 2

// answersAt returns the mean number of usual requests in progress that one engine has
// memory for.
func (e *Engine) answersAt(kind Accelerator, layers int) float64 {
	most := max(maxMemoryShare*float64(e.tokens(kind, layers))/e.usualTokens(), 0)
	return max(most-headroomDeviations*math.Sqrt(most), 0)
}

// usualTokens returns the number of tokens of a usual request.
func (e *Engine) usualTokens() float64 { return float64(max(e.UsualPrompt+e.UsualAnswer, 1)) }

// layerCapacityOf returns what an engine with this many layers adds at each of them. A transfer
// between engines happens once for each stride of steps and is divided among the layers.
func (e *Engine) layerCapacityOf(kind *Accelerator, layers int) layerCapacity {
	answers := e.answersAt(*kind, layers)
	step := float64(e.StepBase) + answers*e.perAnswer()
	way := float64(sameHallDelay) / float64(max(e.Stride, 1)) / float64(layers)
	return layerCapacity{answers: answers, step: waitMultiple*step*kind.StepFactor/float64(e.Layers) + way}
}

// estimator computes the capacity of engines. It reuses its buffers from one plan to the
// next, since a search evaluates about a thousand plans.
type estimator struct {
	engine    *Engine
	spanIndex []int
	spans     []layerSpan
	buffer    []layerCapacity
}

func newEstimator(e *Engine) *estimator {
	return &estimator{engine: e, spanIndex: make([]int, e.Layers+1)}
}

// capacity returns the capacity of the engines of one hall, which are given in order of
// speed.
func (e *Engine) capacity(held []engineGroup) Capacity { return newEstimator(e).capacity(held) }

func (g *estimator) capacity(held []engineGroup) Capacity {
	e := g.engine
	most := e.startCapacity(held)
	copies := math.MaxInt
	spans := g.spansOf(held)
	for _, s := range spans {
		most = min(most, answersIn(s.holders))
		copies = min(copies, s.copies)
	}
	if most <= 0 {
		return Capacity{}
	}
	c := Capacity{Answers: most, Rate: e.rateOf(spans, most), Copies: copies}
	c.Time = answerTime(c.Answers, c.Rate)
	return c
}

// startCapacity returns the answers that the engines with the first layer can take.
func (e *Engine) startCapacity(held []engineGroup) float64 {
	total := 0.0
	for _, l := range held {
		if l.layers.First == 0 {
			total += float64(l.count) * min(l.perLayer.answers, float64(e.Slots))
		}
	}
	return total
}

// layerSpan is a run of layers that the same engines hold. holders has one element for each group
// of engines that holds it.
type layerSpan struct {
	layers  int
	copies  int
	holders []layerCapacity
}

// spansOf divides the layers at the ends of ranges and returns the spans in order. The
// result is valid until the next call.
func (g *estimator) spansOf(held []engineGroup) []layerSpan {
	count := g.numberSpans(held)
	g.spans = slices.Grow(g.spans[:0], count)[:count]
	clear(g.spans)
	for _, i := range g.spanIndex[:g.engine.Layers] {
		g.spans[i].layers++
	}
	entries := 0
	for _, l := range held {
		entries += g.spanIndex[l.layers.Last] - g.spanIndex[l.layers.First]
	}
	g.buffer = slices.Grow(g.buffer[:0], entries)[:entries]
	g.allocateHolders(held)
	for _, l := range held {
		r := layerCapacity{answers: float64(l.count) * l.perLayer.answers, step: l.perLayer.step}
		for i := g.spanIndex[l.layers.First]; i < g.spanIndex[l.layers.Last] && l.count > 0; i++ {
			g.spans[i].holders = append(g.spans[i].holders, r)
			g.spans[i].copies += l.count
		}
	}
	return g.spans
}

// numberSpans assigns each layer the index of its span and returns the number of spans.
func (g *estimator) numberSpans(held []engineGroup) int {
	clear(g.spanIndex)
	for _, l := range held {
		g.spanIndex[l.layers.First], g.spanIndex[l.layers.Last] = 1, 1
	}
	g.spanIndex[0] = 0
	count := 0
	for i := range g.spanIndex {
		count += g.spanIndex[i]
		g.spanIndex[i] = count
	}
	if layers := g.engine.Layers; g.spanIndex[layers] == g.spanIndex[layers-1] {
		// No engine holds the last layers.
		g.spanIndex[layers]++
	}
	return g.spanIndex[g.engine.Layers]
}

// allocateHolders gives each span its part of the buffer for holders.
func (g *estimator) allocateHolders(held []engineGroup) {
	sizes := make([]int, len(g.spans))
	for _, l := range held {
		for i := g.spanIndex[l.layers.First]; i < g.spanIndex[l.layers.Last]; i++ {
			sizes[i]++
		}
	}
	from := 0
	for i, n := range sizes {
		g.spans[i].holders = g.buffer[from : from : from+n]
		from += n
	}
}

func answersIn(holders []layerCapacity) float64 {
	total := 0.0
	for _, r := range holders {
		total += r.answers
	}
	return total
}

// rateShares is the number of equal shares into which the answers in progress are divided. Each
// share counts with the time of its slowest answer, so the rate is a lower bound that is
// too low by at most the rate of one share.
const rateShares = 16

// rateOf returns the rate at which the given number of answers in progress end.
func (e *Engine) rateOf(spans []layerSpan, answers float64) float64 {
	var steps [rateShares]float64
	for _, s := range spans {
		addStepTimes(&steps, s, answers/rateShares)
	}
	rate := 0.0
	for _, step := range steps {
		seconds := step * float64(max(e.UsualAnswer, 1)) / float64(time.Second)
		rate += answers / rateShares / max(seconds, 1/maxRate)
	}
	return rate
}

// maxRate bounds the rate of a model whose steps take no time, in answers a second.
const maxRate = 1e6

// rounding is the tolerance for sums of the same parts.
const rounding = 1e-9

// addStepTimes adds the time of a step over a span to that of each share of the answers.
// The first shares use the fastest engines.
func addStepTimes(steps *[rateShares]float64, s layerSpan, share float64) {
	at, upto := 0, s.holders[0].answers
	for k := range steps {
		place := share * float64(k+1)
		for place > upto*(1+rounding) && at+1 < len(s.holders) {
			at++
			upto += s.holders[at].answers
		}
		steps[k] += float64(s.layers) * s.holders[at].step
	}
}

// plannedLosses is the number of engines of a hall whose loss a plan is made to bear.
const plannedLosses = 3

// maxEnginesForLosses is the size of a hall above which losses are not tried: plannedLosses
// out of more than 200 engines are less than 2 in 100.
const maxEnginesForLosses = 200

// afterLosses returns the capacity of a hall with 0, 1 and up to plannedLosses engines lost.
// Each step loses the engine whose loss costs most of those that are tried.
func (g *estimator) afterLosses(held []engineGroup) [plannedLosses + 1]Capacity {
	var all [plannedLosses + 1]Capacity
	all[0] = g.capacity(held)
	left := slices.Clone(held)
	for n := 1; n <= plannedLosses && all[n-1].Answers > 0; n++ {
		worst := -1
		for _, i := range g.engine.criticalGroups(left) {
			left[i].count--
			c := g.capacity(left)
			if c.Answers == 0 && n == 1 {
				c = g.capacityAfterRepair(left)
			}
			left[i].count++
			if worst < 0 || c.Rate < all[n].Rate {
				worst, all[n] = i, c
			}
		}
		left[worst].count--
	}
	return all
}

// capacityAfterRepair returns the capacity that a hall that lacks layers has once its own engines
// have taken them over, times repairedShare for the time that this takes.
func (g *estimator) capacityAfterRepair(held []engineGroup) Capacity {
	e := g.engine
	units := unitsOf(held)
	if len(units) == 0 {
		return Capacity{}
	}
	moves, whole := e.closeGaps(units, int(minMemoryPart*float64(e.memoryGoal(units, ""))))
	if !whole {
		return Capacity{}
	}
	for _, m := range moves {
		i := slices.IndexFunc(units, func(u unit) bool { return u.target.ID == m.Target })
		units[i].target.Layers = m.Layers
	}
	c := g.capacity(e.groupsOf(units))
	c.Answers *= repairedShare
	c.Rate *= repairedShare
	return c
}

// unitsOf returns the engines described by groups, with generated names.
func unitsOf(held []engineGroup) []unit {
	var units []unit
	for _, l := range held {
		for range l.count {
			name := TargetID(strconv.Itoa(len(units)))
			units = append(units, unit{kind: *l.kind, target: Target{ID: name, Layers: l.layers}})
		}
	}
	return units
}

// maxLossCandidates bounds the number of groups for which the loss of one engine is tried. Groups
// with the only holder of a layer are tried in any case.
const maxLossCandidates = 8

// criticalGroups returns indices of groups, the most critical first: those where the loss
// of one engine leaves the least memory at some layer. Every group with the only holder of
// a layer is included.
func (e *Engine) criticalGroups(held []engineGroup) []int {
	level := make([]float64, e.Layers)
	copies := make([]int, e.Layers)
	for _, l := range held {
		for i := l.layers.First; i < l.layers.Last; i++ {
			level[i] += l.perLayer.answers * float64(l.count)
			copies[i] += l.count
		}
	}
	order := make([]int, 0, len(held))
	left := make([]float64, len(held))
	alone := 0
	for i, l := range held {
		if l.count == 0 {
			continue
		}
		order = append(order, i)
		left[i] = slices.Min(level[l.layers.First:l.layers.Last]) - l.perLayer.answers
		if slices.Min(copies[l.layers.First:l.layers.Last]) == 1 {
			left[i] = -1
			alone++
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(left[a], left[b]) })
	return order[:min(len(order), max(maxLossCandidates, alone))]
}

// addLevel adds answers at each layer of a range.
func addLevel(level []float64, layers config.Range, answers float64) {
	for i := layers.First; i < min(layers.Last, len(level)); i++ {
		level[i] += answers
	}
}

// repairedShare is the share that counts of the capacity of a hall that lacks layers and gets
// them back from its own engines: loads take seconds.
const repairedShare = 0.5

// planScore is what plans for a hall are compared by.
type planScore struct {
	// survivesLoss is set if the hall still holds the model after the loss of any one
	// engine, or gets it back from its own engines.
	survivesLoss bool
	// fullRate is the rate with all engines, and meanRate the mean of the rates after the
	// loss of 0, 1 and up to plannedLosses engines.
	fullRate, meanRate float64
}

// score returns the score of a plan for a hall.
func (g *estimator) score(held []engineGroup) planScore {
	engines := 0
	for _, l := range held {
		engines += l.count
	}
	if engines > maxEnginesForLosses {
		c := g.capacity(held)
		return planScore{survivesLoss: c.Copies > 1, fullRate: c.Rate, meanRate: c.Rate}
	}
	all := g.afterLosses(held)
	total := 0.0
	for _, c := range all {
		total += c.Rate
	}
	return planScore{survivesLoss: all[1].Rate > 0, fullRate: all[0].Rate, meanRate: total / (plannedLosses + 1)}
}

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
	sum.Time = littleTime(sum.Answers, sum.Rate)
	return sum
}

// littleTime returns the time of an answer by Little's law.
func littleTime(answers, rate float64) time.Duration {
	return time.Duration(min(answers/rate, hourSeconds) * float64(time.Second))
}

// hourSeconds bounds the time of an answer, which would be infinite for a model without a
// rate.
const hourSeconds = 3600

// engineGroup is a number of engines of one kind that hold the same layers.
type engineGroup struct {
	kind   *Accelerator
	layers config.Range
	count  int
	// room is what each of them adds at each of its layers.
	room room
}

// room is the memory at one layer, in usual requests, and the time that a step of one of
// them takes there, in nanoseconds.
type room struct{ answers, step float64 }

// groupsOf groups the engines that hold layers, the fastest kinds first.
func (e *Engine) groupsOf(units []unit) []engineGroup {
	var all []engineGroup
	for i := range units {
		if u := &units[i]; e.contains(u.target.Layers) {
			all = e.addToGroup(all, &u.kind, u.target.Layers, 1)
		}
	}
	return sortByPace(all)
}

// addToGroup adds engines to the group that they belong to.
func (e *Engine) addToGroup(all []engineGroup, kind *Accelerator, layers config.Range, count int) []engineGroup {
	for i := range all {
		if all[i].layers == layers && all[i].kind.Name == kind.Name {
			all[i].count += count
			return all
		}
	}
	return append(all, engineGroup{kind: kind, layers: layers, count: count, room: e.roomOf(kind, layers.Len())})
}

// sortByPace sorts groups by speed.
func sortByPace(all []engineGroup) []engineGroup {
	slices.SortStableFunc(all, func(a, b engineGroup) int { return cmp.Compare(a.kind.Pace, b.kind.Pace) })
	return all
}

// headroomDeviations is the memory kept free at an engine, in standard deviations of the
// number of answers in progress there. That number varies by its square root, and answers
// beyond the memory are refused or evict others. With two, there is no room 1 time in 40.
const headroomDeviations = 2

// answersAt returns the mean number of usual requests in progress that one engine has
// memory for.
func (e *Engine) answersAt(kind Accelerator, layers int) float64 {
	most := max(maxMemoryShare*float64(e.tokens(kind, layers))/e.usual(), 0)
	return max(most-headroomDeviations*math.Sqrt(most), 0)
}

// usual returns the number of tokens of a usual request.
func (e *Engine) usual() float64 { return float64(max(e.UsualPrompt+e.UsualAnswer, 1)) }

// roomOf returns what an engine with this many layers adds at each of them. A transfer
// between engines happens once for each stride of steps and is divided among the layers.
func (e *Engine) roomOf(kind *Accelerator, layers int) room {
	answers := e.answersAt(*kind, layers)
	step := float64(e.StepBase) + answers*e.perAnswer()
	way := float64(sameHallDelay) / float64(max(e.Stride, 1)) / float64(layers)
	return room{answers: answers, step: waitMultiple*step*kind.Pace/float64(e.Layers) + way}
}

// estimator computes the capacity of engines. It reuses its buffers from one plan to the
// next, since a search evaluates about a thousand plans.
type estimator struct {
	engine *Engine
	at     []int
	spans  []layerSpan
	rooms  []room
}

func newEstimator(e *Engine) *estimator { return &estimator{engine: e, at: make([]int, e.Layers+1)} }

// capacity returns the capacity of the engines of one hall, which are given in order of
// speed.
func (e *Engine) capacity(held []engineGroup) Capacity { return newEstimator(e).capacity(held) }

func (g *estimator) capacity(held []engineGroup) Capacity {
	e := g.engine
	most := e.startCapacity(held)
	copies := math.MaxInt
	spans := g.spansOf(held)
	for _, s := range spans {
		most = min(most, answersIn(s.rooms))
		copies = min(copies, s.copies)
	}
	if most <= 0 {
		return Capacity{}
	}
	c := Capacity{Answers: most, Rate: e.rateOf(spans, most), Copies: copies}
	c.Time = littleTime(c.Answers, c.Rate)
	return c
}

// startCapacity returns the answers that the engines with the first layer can take.
func (e *Engine) startCapacity(held []engineGroup) float64 {
	total := 0.0
	for _, l := range held {
		if l.layers.First == 0 {
			total += float64(l.count) * min(l.room.answers, float64(e.Slots))
		}
	}
	return total
}

// layerSpan is a run of layers that the same engines hold.
type layerSpan struct {
	layers int
	copies int
	rooms  []room
}

// spansOf divides the layers at the ends of ranges and returns the spans in order. The
// result is valid until the next call.
func (g *estimator) spansOf(held []engineGroup) []layerSpan {
	count := g.number(held)
	g.spans = slices.Grow(g.spans[:0], count)[:count]
	clear(g.spans)
	for _, i := range g.at[:g.engine.Layers] {
		g.spans[i].layers++
	}
	entries := 0
	for _, l := range held {
		entries += g.at[l.layers.Last] - g.at[l.layers.First]
	}
	g.rooms = slices.Grow(g.rooms[:0], entries)[:entries]
	g.allocateRooms(held)
	for _, l := range held {
		r := room{answers: float64(l.count) * l.room.answers, step: l.room.step}
		for i := g.at[l.layers.First]; i < g.at[l.layers.Last] && l.count > 0; i++ {
			g.spans[i].rooms = append(g.spans[i].rooms, r)
			g.spans[i].copies += l.count
		}
	}
	return g.spans
}

// number assigns each layer the index of its span and returns the number of spans.
func (g *estimator) number(held []engineGroup) int {
	clear(g.at)
	for _, l := range held {
		g.at[l.layers.First], g.at[l.layers.Last] = 1, 1
	}
	g.at[0] = 0
	count := 0
	for i := range g.at {
		count += g.at[i]
		g.at[i] = count
	}
	if layers := g.engine.Layers; g.at[layers] == g.at[layers-1] {
		// No engine holds the last layers.
		g.at[layers]++
	}
	return g.at[g.engine.Layers]
}

// allocateRooms gives each span its part of the buffer for rooms.
func (g *estimator) allocateRooms(held []engineGroup) {
	sizes := make([]int, len(g.spans))
	for _, l := range held {
		for i := g.at[l.layers.First]; i < g.at[l.layers.Last]; i++ {
			sizes[i]++
		}
	}
	from := 0
	for i, n := range sizes {
		g.spans[i].rooms = g.rooms[from : from : from+n]
		from += n
	}
}

func answersIn(rooms []room) float64 {
	total := 0.0
	for _, r := range rooms {
		total += r.answers
	}
	return total
}

// shares is the number of equal shares into which the answers in progress are divided. Each
// share counts with the time of its slowest answer, so the rate is a lower bound that is
// too low by at most the rate of one share.
const shares = 16

// rateOf returns the rate at which the given number of answers in progress end.
func (e *Engine) rateOf(spans []layerSpan, answers float64) float64 {
	var steps [shares]float64
	for _, s := range spans {
		addStepTimes(&steps, s, answers/shares)
	}
	rate := 0.0
	for _, step := range steps {
		seconds := step * float64(max(e.UsualAnswer, 1)) / float64(time.Second)
		rate += answers / shares / max(seconds, 1/maxRate)
	}
	return rate
}

// maxRate bounds the rate of a model whose steps take no time, in answers a second.
const maxRate = 1e6

// rounding is the tolerance for sums of the same parts.
const rounding = 1e-9

// addStepTimes adds the time of a step over a span to that of each share of the answers.
// The first shares use the fastest engines.
func addStepTimes(steps *[shares]float64, s layerSpan, share float64) {
	at, upto := 0, s.rooms[0].answers
	for k := range steps {
		place := share * float64(k+1)
		for place > upto*(1+rounding) && at+1 < len(s.rooms) {
			at++
			upto += s.rooms[at].answers
		}
		steps[k] += float64(s.layers) * s.rooms[at].step
	}
}

// lossesBorne is the number of engines of a hall whose loss a plan is made to bear.
const lossesBorne = 3

// maxEnginesForLosses is the size of a hall above which losses are not tried: lossesBorne
// out of more than 200 engines are less than 2 in 100.
const maxEnginesForLosses = 200

// afterLosses returns the capacity of a hall with 0, 1 and up to lossesBorne engines lost.
// Each step loses the engine whose loss costs most of those that are tried.
func (g *estimator) afterLosses(held []engineGroup) [lossesBorne + 1]Capacity {
	var all [lossesBorne + 1]Capacity
	all[0] = g.capacity(held)
	left := slices.Clone(held)
	for n := 1; n <= lossesBorne && all[n-1].Answers > 0; n++ {
		worst := -1
		for _, i := range g.engine.criticalGroups(left) {
			left[i].count--
			c := g.capacity(left)
			if c.Answers == 0 && n == 1 {
				c = g.restored(left)
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

// restored returns the capacity of a hall that lacks layers after its own engines have
// taken them over, reduced for the time that this takes.
func (g *estimator) restored(held []engineGroup) Capacity {
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
	c.Answers *= restoredPart
	c.Rate *= restoredPart
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

// lossesTried bounds the number of groups for which the loss of one engine is tried. Groups
// with the only holder of a layer are tried in any case.
const lossesTried = 8

// criticalGroups returns indices of groups, the most critical first: those where the loss
// of one engine leaves the least memory at some layer. Every group with the only holder of
// a layer is included.
func (e *Engine) criticalGroups(held []engineGroup) []int {
	level := make([]float64, e.Layers)
	copies := make([]int, e.Layers)
	for _, l := range held {
		for i := l.layers.First; i < l.layers.Last; i++ {
			level[i] += l.room.answers * float64(l.count)
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
		left[i] = slices.Min(level[l.layers.First:l.layers.Last]) - l.room.answers
		if slices.Min(copies[l.layers.First:l.layers.Last]) == 1 {
			left[i] = -1
			alone++
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(left[a], left[b]) })
	return order[:min(len(order), max(lossesTried, alone))]
}

// addLevel adds answers at each layer of a range.
func addLevel(level []float64, layers config.Range, answers float64) {
	for i := layers.First; i < min(layers.Last, len(level)); i++ {
		level[i] += answers
	}
}

// restoredPart is the part of its restored capacity that a hall counts for if it lacks
// layers and can get them back from its own engines: loads take seconds.
const restoredPart = 0.5

// planScore is what plans for a hall are compared by.
type planScore struct {
	// survivesLoss is set if the hall still holds the model after the loss of any one
	// engine, or gets it back from its own engines.
	survivesLoss bool
	// fullRate is the rate with all engines, and meanRate the mean of the rates after the
	// loss of 0, 1 and up to lossesBorne engines.
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
	return planScore{survivesLoss: all[1].Rate > 0, fullRate: all[0].Rate, meanRate: total / (lossesBorne + 1)}
}

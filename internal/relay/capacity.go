package relay

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// This file says what a plan holds: how many answers can be in progress, how long one
// takes, and at what rate they can come.
//
// An answer takes memory on each layer for as long as it runs, so that the layer with the
// least memory over all its holders bounds the answers in progress. By Little's law those
// divided by the time of an answer is the rate that the plan bears: a slow stage takes the
// memory of all other stages of its path for longer. Answers take the fastest holders that
// have room first, as the choice of paths does; the rate is the sum over the answers in
// progress, each by its own time.
//
// Limits: the memory of an engine counts as spread evenly over its layers, each step as
// long as with all the answers that its engine has memory for, and paths as within a hall.

// Capacity is what engines hold, in usual requests.
type Capacity struct {
	// Answers is the number that can be in progress.
	Answers float64 `json:"answers"`
	// Rate is the number a second that can be borne.
	Rate float64 `json:"rate"`
	// Time is how long one takes at that rate.
	Time time.Duration `json:"time"`
	// Copies is the least number of engines that hold a layer.
	Copies int `json:"copies"`
}

// plus returns what two halls hold together.
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

// littleTime is the time of an answer, by Little's law.
func littleTime(answers, rate float64) time.Duration {
	return time.Duration(min(answers/rate, hourSeconds) * float64(time.Second))
}

// hourSeconds keeps the time of an answer of a model without a rate finite.
const hourSeconds = 3600

// like are engines of one kind that hold the same layers.
type like struct {
	kind   *Accelerator
	layers config.Range
	count  int
	// room is what each of them adds at each of its layers.
	room room
}

// room is memory for so many usual requests at one layer, and the time that a step of one
// of them takes there, in nanoseconds.
type room struct{ answers, step float64 }

// likes groups the engines that hold layers, the fastest kinds first.
func (e *Engine) likes(units []unit) []like {
	var all []like
	for i := range units {
		if u := &units[i]; e.holds(u.target.Layers) {
			all = e.addLike(all, &u.kind, u.target.Layers, 1)
		}
	}
	return inOrder(all)
}

// addLike counts engines to the group that they belong to.
func (e *Engine) addLike(all []like, kind *Accelerator, layers config.Range, count int) []like {
	for i := range all {
		if all[i].layers == layers && all[i].kind.Name == kind.Name {
			all[i].count += count
			return all
		}
	}
	return append(all, like{kind: kind, layers: layers, count: count, room: e.roomOf(kind, layers.Len())})
}

// inOrder sorts groups by their speed.
func inOrder(all []like) []like {
	slices.SortStableFunc(all, func(a, b like) int { return cmp.Compare(a.kind.Pace, b.kind.Pace) })
	return all
}

// deviations is how many standard deviations of the answers in progress at an engine its
// memory is kept free for: their number varies by its root, and those above the memory are
// refused or evict others. Two leave 1 in 40 moments without room.
const deviations = 2

// answersAt is the usual requests in progress, in the mean, that one engine has memory for.
func (e *Engine) answersAt(kind Accelerator, layers int) float64 {
	most := max(maxMemoryShare*float64(e.tokens(kind, layers))/e.usual(), 0)
	return max(most-deviations*math.Sqrt(most), 0)
}

// usual is the tokens of a usual request.
func (e *Engine) usual() float64 { return float64(max(e.UsualPrompt+e.UsualAnswer, 1)) }

// roomOf is what an engine adds at each of so many layers. The way from engine to engine
// counts a part for each layer: it is taken once for each stride of steps.
func (e *Engine) roomOf(kind *Accelerator, layers int) room {
	answers := e.answersAt(*kind, layers)
	step := float64(e.StepBase) + answers*e.perAnswer()
	way := float64(sameHallDelay) / float64(max(e.Stride, 1)) / float64(layers)
	return room{answers: answers, step: waitShare*step*kind.Pace/float64(e.Layers) + way}
}

// gauge works out what engines hold. It keeps its memory from one plan to the next, of
// which a search looks at a thousand.
type gauge struct {
	engine    *Engine
	at        []int
	stretches []stretch
	rooms     []room
}

func newGauge(e *Engine) *gauge { return &gauge{engine: e, at: make([]int, e.Layers+1)} }

// capacity returns what the engines of one hall hold, given in order of their speed.
func (e *Engine) capacity(held []like) Capacity { return newGauge(e).capacity(held) }

func (g *gauge) capacity(held []like) Capacity {
	e := g.engine
	most := e.beginnings(held)
	copies := math.MaxInt
	stretches := g.stretch(held)
	for _, s := range stretches {
		most = min(most, answersIn(s.rooms))
		copies = min(copies, s.copies)
	}
	if most <= 0 {
		return Capacity{}
	}
	c := Capacity{Answers: most, Rate: e.rateOf(stretches, most), Copies: copies}
	c.Time = littleTime(c.Answers, c.Rate)
	return c
}

// beginnings returns the answers that the engines with the first layer take.
func (e *Engine) beginnings(held []like) float64 {
	total := 0.0
	for _, l := range held {
		if l.layers.First == 0 {
			total += float64(l.count) * min(l.room.answers, float64(e.Slots))
		}
	}
	return total
}

// stretch is layers that the same engines hold.
type stretch struct {
	layers int
	copies int
	rooms  []room
}

// stretch returns the layers in stretches between the ends of ranges, in order, until the
// next call.
func (g *gauge) stretch(held []like) []stretch {
	count := g.number(held)
	g.stretches = slices.Grow(g.stretches[:0], count)[:count]
	clear(g.stretches)
	for _, i := range g.at[:g.engine.Layers] {
		g.stretches[i].layers++
	}
	entries := 0
	for _, l := range held {
		entries += g.at[l.layers.Last] - g.at[l.layers.First]
	}
	g.rooms = slices.Grow(g.rooms[:0], entries)[:entries]
	g.divide(held)
	for _, l := range held {
		r := room{answers: float64(l.count) * l.room.answers, step: l.room.step}
		for i := g.at[l.layers.First]; i < g.at[l.layers.Last] && l.count > 0; i++ {
			g.stretches[i].rooms = append(g.stretches[i].rooms, r)
			g.stretches[i].copies += l.count
		}
	}
	return g.stretches
}

// number numbers the stretches by layer, and returns how many there are.
func (g *gauge) number(held []like) int {
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
		// Nobody holds the last layers.
		g.at[layers]++
	}
	return g.at[g.engine.Layers]
}

// divide gives each stretch its part of the memory for rooms.
func (g *gauge) divide(held []like) {
	sizes := make([]int, len(g.stretches))
	for _, l := range held {
		for i := g.at[l.layers.First]; i < g.at[l.layers.Last]; i++ {
			sizes[i]++
		}
	}
	from := 0
	for i, n := range sizes {
		g.stretches[i].rooms = g.rooms[from : from : from+n]
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

// shares is the number of equal shares of the answers in progress, each of which counts with
// the time of its slowest answer: the rate is at most what it says, and less by no more
// than one share's.
const shares = 16

// rateOf returns the rate at which so many answers in progress end.
func (e *Engine) rateOf(stretches []stretch, answers float64) float64 {
	var steps [shares]float64
	for _, s := range stretches {
		addSteps(&steps, s, answers/shares)
	}
	rate := 0.0
	for _, step := range steps {
		seconds := step * float64(max(e.UsualAnswer, 1)) / float64(time.Second)
		rate += answers / shares / max(seconds, 1/maxRate)
	}
	return rate
}

// maxRate keeps the rate of a model whose steps take no time finite, in answers a second.
const maxRate = 1e6

// rounding is how far sums of the same parts may differ.
const rounding = 1e-9

// addSteps adds the time of a step over a stretch to that of each share of the answers, of
// which the first take the fastest engines.
func addSteps(steps *[shares]float64, s stretch, share float64) {
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

// lossesMostEngines is the number of engines in a hall above which losses aren't tried:
// lossesBorne of more than 200 are under 2 in 100.
const lossesMostEngines = 200

// afterLosses returns what a hall holds with 0, 1 and up to lossesBorne engines lost, each
// time the one whose loss costs most of those that are tried.
func (g *gauge) afterLosses(held []like) [lossesBorne + 1]Capacity {
	var all [lossesBorne + 1]Capacity
	all[0] = g.capacity(held)
	left := slices.Clone(held)
	for n := 1; n <= lossesBorne && all[n-1].Answers > 0; n++ {
		worst := -1
		for _, i := range g.engine.weighty(left) {
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

// restored returns what a hall that lacks layers holds once its own engines have taken them
// over, less for the time that this takes.
func (g *gauge) restored(held []like) Capacity {
	e := g.engine
	units := unitsOf(held)
	if len(units) == 0 {
		return Capacity{}
	}
	moves, whole := e.closeGaps(units, int(squeezed*float64(e.wantedBy(units, ""))))
	if !whole {
		return Capacity{}
	}
	for _, m := range moves {
		i := slices.IndexFunc(units, func(u unit) bool { return u.target.ID == m.Target })
		units[i].target.Layers = m.Layers
	}
	c := g.capacity(e.likes(units))
	c.Answers *= restoredPart
	c.Rate *= restoredPart
	return c
}

// unitsOf returns engines as groups describe them, under names of their own.
func unitsOf(held []like) []unit {
	var units []unit
	for _, l := range held {
		for range l.count {
			name := TargetID(strconv.Itoa(len(units)))
			units = append(units, unit{kind: *l.kind, target: Target{ID: name, Layers: l.layers}})
		}
	}
	return units
}

// lossesTried bounds the groups of which the loss of one engine is tried, beside those
// that alone hold a layer.
const lossesTried = 8

// weighty returns indices of groups, the worst first: those where the loss of one engine
// leaves the least memory at some layer. All whose engine alone holds a layer are among
// them.
func (e *Engine) weighty(held []like) []int {
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

// restoredPart is what a hall counts for that lacks layers and can get them back from
// engines of its own: a part of what it then holds, since loads take seconds.
const restoredPart = 0.5

// planWorth is what plans for a hall are compared by.
type planWorth struct {
	// bears says that the hall still holds the model, or gets it back from engines of its
	// own, whichever engine is lost.
	bears bool
	// whole is the rate with all engines, and mean that over the losses of 0, 1 and up to
	// lossesBorne engines.
	whole, mean float64
}

// worth returns what a plan for a hall is worth.
func (g *gauge) worth(held []like) planWorth {
	engines := 0
	for _, l := range held {
		engines += l.count
	}
	if engines > lossesMostEngines {
		c := g.capacity(held)
		return planWorth{bears: c.Copies > 1, whole: c.Rate, mean: c.Rate}
	}
	all := g.afterLosses(held)
	total := 0.0
	for _, c := range all {
		total += c.Rate
	}
	return planWorth{bears: all[1].Rate > 0, whole: all[0].Rate, mean: total / (lossesBorne + 1)}
}

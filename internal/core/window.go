package core

import (
	"math"
	"time"
)

// This file sizes the window of each route: how much this entry VM may have in
// progress there.
//
// The problem: engines take many more streams into memory than they can run at
// a time. Beyond the point where all stages of a chain are at work, one more
// stream adds no throughput. It only makes every answer slower, those of the
// critical class too, and it takes room that fair shares then can't give to
// others. Slots and load reports don't show that point; the time of a run does.
//
// The algorithm: a window begins small. Once in as many runs as it is wide it
// grows by one when the mean time of a run is near the least one seen, and
// shrinks by a tenth when it is far above. A refusal halves it. Each entry VM
// does so by itself; they share a route because each of them sees the same
// delay. Growing by one for every run at first was tried: at an open it filled
// the engines to twice what they can run before the delay showed.
//
// Known limits: the least time is forgotten after delayMemory at the earliest,
// so a route that has become slower for good is used too little until then.

const (
	// delayMore and delayMost are the mean time of a run, over the least one,
	// below which a window grows and above which it shrinks.
	delayMore = 1.15
	delayMost = 1.3
	// delaySlack is what a run may take longer without meaning anything: the
	// noise of a busy machine. It is small beside what may pass between tokens.
	delaySlack = 2 * time.Millisecond
	// delayMemory is how long the least time is kept, once or twice over.
	delayMemory = 2 * time.Minute
	// windowShrink is what a delay, and windowHalve what a refusal leaves.
	windowShrink = 0.9
	windowHalve  = 0.5
	// firstPart is the part of an even share that a window begins with.
	firstPart = 0.125
	delayPart = 0.125
)

// delayMeter keeps the times of a route's runs.
type delayMeter struct {
	least    time.Duration
	leastNow time.Duration
	leastAt  time.Time
	mean     float64
	// count is the number of runs since the window was last looked at.
	count int
}

// add takes the time of one run, and returns the mean over the least.
func (d *delayMeter) add(took time.Duration, now time.Time) float64 {
	if d.leastAt.IsZero() || now.Sub(d.leastAt) > delayMemory {
		d.least = d.leastNow
		d.leastNow = took
		d.leastAt = now
	}
	d.leastNow = min(d.leastNow, took)
	if d.mean == 0 {
		d.mean = float64(took)
	}
	d.mean += delayPart * (float64(took) - d.mean)
	d.count++
	least := d.leastNow
	if d.least > 0 {
		least = min(least, d.least)
	}
	return d.mean / float64(least+delaySlack)
}

// firstWindow is a small part of an even share of the route's slots.
func (p *pool) firstWindow(r *route) float64 {
	if len(r.stages) == 1 && r.stages[0].Layers.Len() == 0 {
		// A runner of a plain service says itself when it has no room.
		return math.Max(1, math.Ceil(float64(r.slots)/max(p.sharers, 1)))
	}
	return math.Max(1, math.Ceil(firstPart*float64(r.slots)/max(p.sharers, 1)))
}

// ran moves a route's window by the time that a run took.
func (p *pool) ran(name string, took time.Duration, now time.Time) {
	r := p.byName[name]
	if r == nil {
		return
	}
	ratio := r.delay.add(took, now)
	full := float64(p.used[name]) >= r.window-1
	due := r.delay.count >= int(r.window)
	switch {
	case ratio < delayMore && full && due:
		r.window++
		r.delay.count = 0
	case ratio > delayMost && due:
		r.window *= windowShrink
		r.delay.count = 0
	case due:
		r.delay.count = 0
	}
	r.window = min(max(r.window, p.firstWindow(r)), float64(r.slots))
	p.reopen(r)
}

// refused halves a route's window.
func (p *pool) refused(name string) {
	r := p.byName[name]
	if r == nil {
		return
	}
	r.window = max(r.window*windowHalve, 1)
	p.reopen(r)
}

// taken lets the window of a plain service's runner grow again after refusals.
func (p *pool) taken(name string) {
	r := p.byName[name]
	if r == nil {
		return
	}
	r.window = min(r.window+1/r.window, float64(r.slots))
	p.reopen(r)
}

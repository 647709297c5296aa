package core

import (
	"math"
	"time"
)

// This file sizes the window of each route: how much this entry VM may have in
// progress on it.
//
// The problem: engines accept many more streams into memory than they can run
// concurrently. Once all stages of a chain are busy, another stream adds no
// throughput. It slows down every answer, also those of the critical class, and
// takes capacity that fair sharing then can't give to others. Slots and load
// reports don't show that point, but the latency of a run does.
//
// The algorithm: a window starts small. It is adjusted after as many runs as its
// size: it grows by one when it is used in full and the mean latency of a run is
// near the minimum seen, and shrinks by a tenth when the mean is far above. A
// refusal halves it. Each entry VM does so on its own; they share a route since
// all of them see the same delay. The window doesn't grow faster at first: at the
// start of an event, growth by one for every run would fill the engines to twice
// what they can run before the delay shows.
//
// Known limits: the minimum expires after minDelayLifetime at the earliest, so a
// route that has become permanently slower is underused until then.

const (
	// growBelow and shrinkAbove are the ratios of the mean run latency to the
	// minimum below which a window grows and above which it shrinks.
	growBelow   = 1.15
	shrinkAbove = 1.3
	// delaySlack is added to the minimum to tolerate the jitter of a busy machine.
	// It is small compared to the time allowed between tokens.
	delaySlack = 2 * time.Millisecond
	// minDelayLifetime is how long the minimum is kept: at least once, at most twice
	// this time.
	minDelayLifetime = 2 * time.Minute
	// delayFactor scales a window after a delay, refusalFactor after a refusal.
	delayFactor   = 0.9
	refusalFactor = 0.5
	// initialShare is the fraction of an even share that a window starts with.
	initialShare = 0.125
	// delayWeight is the weight of a new sample in the mean latency.
	delayWeight = 0.125
)

// delayMeter tracks the latencies of a route's runs.
type delayMeter struct {
	previousMin  time.Duration
	currentMin   time.Duration
	currentSince time.Time
	mean         float64
	// count is the number of runs since the window was last adjusted.
	count int
}

// add records the latency of one run and returns the ratio of the mean to the minimum.
func (d *delayMeter) add(took time.Duration, now time.Time) float64 {
	if d.currentSince.IsZero() || now.Sub(d.currentSince) > minDelayLifetime {
		d.previousMin = d.currentMin
		d.currentMin = took
		d.currentSince = now
	}
	d.currentMin = min(d.currentMin, took)
	if d.mean == 0 {
		d.mean = float64(took)
	}
	d.mean += delayWeight * (float64(took) - d.mean)
	d.count++
	lowest := d.currentMin
	if d.previousMin > 0 {
		lowest = min(lowest, d.previousMin)
	}
	return d.mean / float64(lowest+delaySlack)
}

// initialWindow returns the starting size of a window. For a chain it is a small
// fraction of an even share of the route's slots.
func (p *pool) initialWindow(r *route) float64 {
	if len(r.stages) == 1 && r.stages[0].Layers.Len() == 0 {
		// A runner of a plain service refuses work itself when it is full.
		return math.Max(1, math.Ceil(float64(r.slots)/max(p.vmsPerRoute, 1)))
	}
	return math.Max(1, math.Ceil(initialShare*float64(r.slots)/max(p.vmsPerRoute, 1)))
}

// recordRun adjusts a route's window by the latency of a run.
func (p *pool) recordRun(name string, took time.Duration, now time.Time) {
	r := p.byName[name]
	if r == nil {
		return
	}
	ratio := r.delay.add(took, now)
	full := float64(p.used[name]) >= r.window-1
	due := r.delay.count >= int(r.window)
	switch {
	case ratio < growBelow && full && due:
		r.window++
		r.delay.count = 0
	case ratio > shrinkAbove && due:
		r.window *= delayFactor
		r.delay.count = 0
	case due:
		r.delay.count = 0
	}
	r.window = min(max(r.window, p.initialWindow(r)), float64(r.slots))
	p.updateOpen(r)
}

// recordRefusal halves a route's window.
func (p *pool) recordRefusal(name string) {
	r := p.byName[name]
	if r == nil {
		return
	}
	r.window = max(r.window*refusalFactor, 1)
	p.updateOpen(r)
}

// recordSuccess lets the window of a plain service's runner grow again after refusals.
func (p *pool) recordSuccess(name string) {
	r := p.byName[name]
	if r == nil {
		return
	}
	r.window = min(r.window+1/r.window, float64(r.slots))
	p.updateOpen(r)
}

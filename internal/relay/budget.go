package relay

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"
)

// This file bounds repeats over all VMs without a message for each of them.
//
// The bound is on a service, over all VMs: in any window, repeats are at most a
// share of the requests and a fixed number. The leader is told with each lease what a VM
// has asked and repeated in the last window, and tells the sums. What they leave is
// divided by the VMs that are in them: each may take its part of it within the time in
// which the sums get old, so that all together keep the bound, and one that meets a lost
// target may repeat far more than its own part of the whole. The parts of the fixed number
// of VMs that are not in the sums are left to them.
//
// A part may be less than one repeat: a fleet of more VMs than there are repeats. Were each VM
// to keep to whole ones, none would repeat anything, though all of them together may. Each VM
// draws once for each service whether the fraction of its part is one to it, so that the parts
// of all add up to what they were in the mean.
//
// A VM without fresh sums keeps to its part of the fixed number and to the share of its own
// requests. A VM that knows too low a number of VMs would take too large a
// part; the fixed number is therefore divided by the most that were ever known.
//
// Limits: what a process has repeated is gone from the sums once it has died, until its
// window is over.

const (
	// budgetCaution is the part of the bound that is used: the rest covers VMs
	// that have just joined and are not known everywhere.
	budgetCaution = 0.95
	// notBegunShare is the part of a VM's own budget for requests whose callers have got
	// nothing yet: they can be told to come back, and a stream in the middle can't.
	// pooledNotBegunShare is that of what all VMs have together, which is divided more
	// finely: what is kept back covers the loss of an engine that 130 streams pass, of a
	// bound of 900.
	notBegunShare       = 0.6
	pooledNotBegunShare = 0.85
	// youngShare is the part of the fixed number that a process has at its start; it
	// grows to the whole within a window. What the process before it on this VM has
	// used is not known.
	youngShare = 0.3
	// sumsKept is the age up to which the sums over all VMs count: two renewals and the
	// way to the leader and back. What a VM repeats in as long is not in them yet.
	sumsKept = time.Second
	// budgetBuckets divides the window; a bucket leaves it as a whole.
	budgetBuckets = 20
)

// BudgetTerms bound the repeats of one service.
type BudgetTerms struct {
	Share  float64
	Fixed  float64
	Window time.Duration
}

// Usage is what was asked of a service and repeated in the last window.
type Usage struct {
	// The fields are sent without their names: these values are sent most.
	_        struct{} `cbor:",toarray"`
	Requests int      `cbor:"requests"`
	Repeats  int      `cbor:"repeats"`
}

// Plus returns the sum.
func (s Usage) Plus(o Usage) Usage {
	return Usage{Requests: s.Requests + o.Requests, Repeats: s.Repeats + o.Repeats}
}

// budget counts the requests and repeats of one service on this VM.
type budget struct {
	requests window
	repeats  window
	// recent counts the repeats of sumsKept.
	recent window
	// drawn is from 0 to 1: the fraction of a part counts as one repeat where it is above
	// the rest.
	drawn float64
}

// sums are what the VMs of the fleet have used together.
type sums struct {
	usage map[string]Usage
	// vms is the number of VMs in them, and until when they count.
	vms   int
	until time.Time
}

// TakeUsage takes what all VMs that the leader hears of have used, by service.
func (r *Router) TakeUsage(usage map[string]Usage, vms int, now time.Time) {
	r.sums = sums{usage: usage, vms: vms, until: now.Add(sumsKept)}
}

// Usage returns what this VM has used, by service.
func (r *Router) Usage(now time.Time) map[string]Usage {
	usage := make(map[string]Usage, len(r.budgets))
	for service, b := range r.budgets {
		s := Usage{Requests: b.requests.total(now, r.settings.Budget.Window), Repeats: b.repeats.total(now, r.settings.Budget.Window)}
		if s != (Usage{}) {
			usage[service] = s
		}
	}
	return usage
}

// window counts what happened lately.
type window struct {
	buckets [budgetBuckets]int
	at      int64
}

func (w *window) advance(now time.Time, span time.Duration) {
	at := now.UnixNano() / int64(span/budgetBuckets)
	for steps := min(at-w.at, budgetBuckets); steps > 0; steps-- {
		w.buckets[(at-steps+1)%budgetBuckets] = 0
	}
	w.at = max(w.at, at)
}

func (w *window) add(now time.Time, span time.Duration) {
	w.advance(now, span)
	w.buckets[w.at%budgetBuckets]++
}

func (w *window) total(now time.Time, span time.Duration) int {
	w.advance(now, span)
	total := 0
	for _, n := range w.buckets {
		total += n
	}
	return total
}

// takeOfSums takes one repeat, if what all VMs have left has it. Whole says that it may
// take the last one.
func (b *budget) takeOfSums(now time.Time, t BudgetTerms, usage Usage, heard, vms int, whole bool) bool {
	known := float64(max(vms, heard, 1))
	allowed := budgetCaution * (t.Share*float64(usage.Requests) + t.Fixed*float64(heard)/known)
	if !whole {
		allowed *= pooledNotBegunShare
	}
	part := (allowed - float64(usage.Repeats)) / float64(max(heard, 1))
	if float64(b.recent.total(now, sumsKept)+1) > math.Floor(part+b.drawn) {
		return false
	}
	b.note(now, t)
	return true
}

// note counts a repeat.
func (b *budget) note(now time.Time, t BudgetTerms) {
	b.repeats.add(now, t.Window)
	b.recent.add(now, sumsKept)
}

// drawn returns a number from 0 to 1 that this VM keeps for a service.
func (r *Router) drawn(service string) float64 {
	h := fnv.New64a()
	h.Write([]byte(service)) // a hash takes everything
	return rand.New(rand.NewPCG(r.settings.Seed, h.Sum64())).Float64()
}

// take takes one repeat, if the budget has it. Whole says that it may take the last one.
func (b *budget) take(now time.Time, t BudgetTerms, vms int, age time.Duration, whole bool) bool {
	grown := min(max(float64(age)/float64(t.Window), youngShare), 1)
	allowed := budgetCaution * (t.Share*float64(b.requests.total(now, t.Window)) + grown*t.Fixed/float64(max(vms, 1)))
	if !whole {
		allowed *= notBegunShare
	}
	if float64(b.repeats.total(now, t.Window)+1) > math.Floor(allowed+b.drawn) {
		return false
	}
	b.note(now, t)
	return true
}

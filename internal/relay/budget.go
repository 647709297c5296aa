package relay

import "time"

// This file bounds repeats over all VMs without a message for each of them.
//
// The bound is on a service, over all VMs: in any window, repeats are at most a
// share of the requests and a fixed number. Each VM keeps its part of the fixed
// number and the share of its own requests, so that the sum over all VMs keeps
// the whole. A VM that knows too low a number of VMs would take too large a
// part; the fixed number is therefore divided by the most that were ever known.

const (
	// budgetCaution is the part of the bound that is used: the rest covers VMs
	// that have just joined and are not known everywhere.
	budgetCaution = 0.95
	// notBegunShare is the part of a VM's budget for requests whose callers have got
	// nothing yet: they can be told to come back, and a stream in the middle can't.
	notBegunShare = 0.6
	// youngShare is the part of the fixed number that a process has at its start; it
	// grows to the whole within a window. What the process before it on this VM has
	// spent is not known.
	youngShare = 0.3
	// budgetBuckets divides the window; a bucket leaves it as a whole.
	budgetBuckets = 20
)

// BudgetTerms bound the repeats of one service.
type BudgetTerms struct {
	Share  float64
	Fixed  float64
	Window time.Duration
}

// budget counts the requests and repeats of one service on this VM.
type budget struct {
	requests window
	repeats  window
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

// spend takes one repeat, if the budget has it. Whole says that it may take the last one.
func (b *budget) spend(now time.Time, t BudgetTerms, vms int, age time.Duration, whole bool) bool {
	grown := min(max(float64(age)/float64(t.Window), youngShare), 1)
	allowed := budgetCaution * (t.Share*float64(b.requests.total(now, t.Window)) + grown*t.Fixed/float64(max(vms, 1)))
	if !whole {
		allowed *= notBegunShare
	}
	if float64(b.repeats.total(now, t.Window)+1) > allowed {
		return false
	}
	b.repeats.add(now, t.Window)
	return true
}

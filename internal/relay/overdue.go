package relay

import "time"

// This file determines when the next event of an answer is overdue.
//
// Problem: an engine that dies falls silent, and so does every answer that passes it. Callers
// accept a pause of about four times the usual one; a fixed time for all paths is either longer
// than that, or counts slow paths as lost.
//
// Algorithm: the pauses of one answer are alike, since it passes the same stages each time. Each
// answer has its own mean pause, and the next event is overdue after a multiple of it that all
// but one in pausesPerOverdue pauses of this VM's answers stay within. The estimate of that
// multiple follows the quantile: a longer pause raises it by a step, a shorter one lowers it by
// the fraction of the step that keeps both in balance.
//
// Invariant: an answer with fewer than minPaceEvents events is never overdue.
//
// Limits: a slowdown of all answers at once by more than that multiple, within one pause, looks
// like the loss of an engine to each of them.

const (
	// minPaceEvents is the number of events after which an answer's mean pause counts as known:
	// four pauses, since one answer in ten has no more than 13 events.
	minPaceEvents = 5
	// pausesPerOverdue is the number of pauses of which one is longer than the multiple: a check
	// costs a short message to each engine of a path, and with this value there is one in 22
	// answers of 46 events.
	pausesPerOverdue = 1000
	// initialOverdueMultiple is the multiple until pauses have changed it: few answers of healthy
	// engines have a longer pause. minOverdueMultiple and maxOverdueMultiple bound it.
	initialOverdueMultiple = 2.0
	minOverdueMultiple     = 1.6
	maxOverdueMultiple     = 5.0
	// firstEventMultiple is the multiple of the recent mean after which a first event is overdue:
	// one in a hundred takes longer.
	firstEventMultiple = 3.5
	// overdueMultipleStep is what one longer pause raises it by.
	overdueMultipleStep = 0.1
)

// Pace is the pace of one answer so far. The zero value is that of one that has not begun.
type Pace struct {
	began, last time.Time
	events      int
}

// With returns the pace after events that arrived together.
func (p Pace) With(events int, at time.Time) Pace {
	if p.events == 0 {
		p.began = at
	}
	p.events += events
	p.last = at
	return p
}

// Mean returns the mean pause between two events; zero before there are enough.
func (p Pace) Mean() time.Duration {
	if p.events < minPaceEvents {
		return 0
	}
	return p.last.Sub(p.began) / time.Duration(p.events-1)
}

// OverdueAfter returns the pause after which the next event of an answer is overdue, and whether
// that is known yet.
func (r *Router) OverdueAfter(p Pace) (time.Duration, bool) {
	mean := p.Mean()
	return time.Duration(r.overdue.multiple() * float64(mean)), mean > 0 && r.settings.Policy.Has(OverdueRepair)
}

// OverdueMultiple returns the multiple of its mean after which a pause is overdue.
func (r *Router) OverdueMultiple() float64 { return r.overdue.multiple() }

// ObserveFirstEvent records the time from the sending of a request to its first event.
func (r *Router) ObserveFirstEvent(wait time.Duration) {
	if r.meanFirstEvent.value == 0 {
		r.meanFirstEvent.value = float64(wait)
	}
	r.meanFirstEvent = r.meanFirstEvent.With(float64(wait), meanWeight)
}

// FirstOverdueAfter returns the time after which a first event is overdue: where prompts queue up
// all first events take long, and no engine is at fault.
func (r *Router) FirstOverdueAfter() time.Duration {
	return time.Duration(firstEventMultiple * r.meanFirstEvent.value)
}

// ObservePause records the pause before an event of an answer over healthy engines, which moves the
// estimate of pauses. Where pauses differ much, as under more requests than there is capacity
// for, ten needless checks are enough to raise the multiple by one.
func (r *Router) ObservePause(before Pace, pause time.Duration) {
	if mean := before.Mean(); mean > 0 {
		r.overdue = r.overdue.With(float64(pause) / float64(mean))
	}
}

// overdueMultiple estimates a high quantile of pauses, as multiples of their mean.
type overdueMultiple struct{ estimate float64 }

func (o overdueMultiple) multiple() float64 {
	if o.estimate == 0 {
		return initialOverdueMultiple
	}
	return o.estimate
}

// With returns the estimate after a pause.
func (o overdueMultiple) With(multiple float64) overdueMultiple {
	next := o.multiple() - overdueMultipleStep/pausesPerOverdue
	if multiple > o.multiple() {
		next = o.multiple() + overdueMultipleStep
	}
	return overdueMultiple{estimate: min(max(next, minOverdueMultiple), maxOverdueMultiple)}
}

package relay

import "time"

// This file says when the next event of an answer is overdue.
//
// Problem: an engine that dies falls silent, and so does every answer over it. Callers
// accept a pause of about four usual ones; a span that holds for every path is either past
// that, or taken for a loss on slow paths.
//
// Algorithm: the pauses of one answer are alike, since it goes round the same stages. Each
// answer has its own mean pause, and the next event is overdue after so many times that as
// all but one in overdueOne pauses of this VM's answers took. The estimate of that multiple
// follows the quantile: a pause above it moves it up by a step, one below it down by the
// step's part that keeps both in balance.
//
// Invariant: an answer of which fewer than paceEvents events came is never overdue.
//
// Limits: what slows all answers down at once by more than that multiple, within one pause,
// looks like the loss of an engine to each of them.

const (
	// paceEvents is the events after which an answer's mean pause counts as known: four
	// pauses, since one answer in ten has no more than 13 events.
	paceEvents = 5
	// overdueOne is the number of pauses of which one is longer than the multiple: a check
	// costs a short question to each engine of a path, so that there is one in 22 answers of
	// 46 events.
	overdueOne = 1000
	// overdueFirst is the multiple until pauses have moved it: few answers of sound engines
	// have a longer pause. overdueLeast and overdueMost bound it.
	overdueFirst = 2.0
	overdueLeast = 1.6
	overdueMost  = 5.0
	// firstTimes is how many times the mean of late a first event takes to be overdue: one
	// in a hundred takes longer.
	firstTimes = 3.5
	// overdueStep is what one longer pause moves it by.
	overdueStep = 0.1
)

// Pace is the pace of one answer so far. The zero value is that of one that has not begun.
type Pace struct {
	began, last time.Time
	events      int
}

// With returns the pace after events that came together.
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
	if p.events < paceEvents {
		return 0
	}
	return p.last.Sub(p.began) / time.Duration(p.events-1)
}

// OverdueAfter returns the pause after which the next event of an answer is overdue, and
// whether that can be said yet.
func (r *Router) OverdueAfter(p Pace) (time.Duration, bool) {
	mean := p.Mean()
	return time.Duration(r.overdue.times() * float64(mean)), mean > 0 && r.settings.Policy.Has(OverdueRepair)
}

// OverdueTimes returns how many times its mean a pause takes to be overdue.
func (r *Router) OverdueTimes() float64 { return r.overdue.times() }

// FirstTaken takes the time from the sending of a request to its first event.
func (r *Router) FirstTaken(wait time.Duration) {
	if r.firstMean.value == 0 {
		r.firstMean.value = float64(wait)
	}
	r.firstMean = r.firstMean.With(float64(wait), waitWeight)
}

// FirstOverdueAfter returns the time after which a first event is overdue: where prompts
// queue up all first events take long, and no engine is at fault.
func (r *Router) FirstOverdueAfter() time.Duration {
	return time.Duration(firstTimes * r.firstMean.value)
}

// Paused takes the pause before an event of an answer over engines that are sound, which
// moves the estimate of pauses. Where pauses differ much, as under more requests than there
// is room for, ten checks in vain are enough for the multiple to grow by one.
func (r *Router) Paused(before Pace, pause time.Duration) {
	if mean := before.Mean(); mean > 0 {
		r.overdue = r.overdue.With(float64(pause) / float64(mean))
	}
}

// overdueTimes estimates a high quantile of pauses, as multiples of their mean.
type overdueTimes struct{ estimate float64 }

func (o overdueTimes) times() float64 {
	if o.estimate == 0 {
		return overdueFirst
	}
	return o.estimate
}

// With returns the estimate after a pause.
func (o overdueTimes) With(times float64) overdueTimes {
	next := o.times() - overdueStep/overdueOne
	if times > o.times() {
		next = o.times() + overdueStep
	}
	return overdueTimes{estimate: min(max(next, overdueLeast), overdueMost)}
}

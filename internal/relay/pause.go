package relay

import (
	"math"
	"time"
)

// This file forecasts the pauses between the events of an answer, and admits requests by them.
//
// Problem: each request that is admitted to a path lengthens the pauses of all that run there.
// Past a point, none of them is in time any more: where engines are slow or a hall has lost its
// fastest, every answer there is late for as long as engines are filled up to their memory.
//
// Algorithm: the cost model of the engines gives the time of one pass over all stages of a path
// at their present load. It is corrected by the measured pauses of the answers of a hall, as a
// multiple of their forecast at admission. A request is admitted while the forecast is within the
// part of its route's bound that a mean pause may take. Where even a nearly empty path is slower
// than that, no answer is in time, and the path accepts requests until its pauses are
// maxEmptyMultiple times those of an empty one: more would hardly raise what it serves.
//
// Limits: the forecast is of the moment of admission; what is admitted elsewhere in the next
// tenths of a second is not in it.

const (
	// meanPauseShare is the part of a route's bound on pauses that the mean pause may take: the
	// worst pause of an answer is twice its mean.
	meanPauseShare = 0.5
	// minHeadroom is the part of that time by which the mean pause on an empty path must be
	// shorter, so that other requests can be admitted, for its answers to count as able to be
	// in time.
	minHeadroom = 0.2
	// maxEmptyMultiple is how many times longer than on an empty path pauses may get where none
	// is in time: an engine whose steps take twice as long as empty ones serves half of what it
	// could with any number of requests.
	maxEmptyMultiple = 2.0
	// waitMultiple is the time of a pass with the waits before it, as a multiple of the pass alone:
	// a request reaches each stage in the middle of the previous pass. Measured answers adjust
	// it.
	waitMultiple = 1.5
	// maxWaitMultiple bounds what measured answers may adjust it to.
	maxWaitMultiple = 8.0
	// meanWeight is the weight of the newest answer: 14 answers make up half.
	meanWeight = 0.05
)

// passTimes are the times of one pass over the stages of a path.
type passTimes struct {
	// loaded is at the present load, empty without other requests.
	loaded, empty time.Duration
}

func (p passTimes) plus(o passTimes) passTimes {
	return passTimes{loaded: p.loaded + o.loaded, empty: p.empty + o.empty}
}

// average is a moving mean whose newest value has a fixed weight.
type average struct{ value float64 }

func (a average) With(value, weight float64) average {
	a.value += weight * (value - a.value)
	return a
}

// hallWait returns how many times longer a pass takes with the waits before it in a hall.
func (r *Router) hallWait(hall string) float64 {
	if w, ok := r.waitFactors[hall]; ok {
		return w.value
	}
	return waitMultiple
}

// ObserveMeanPause records the mean pause between the events of an answer that has ended.
func (r *Router) ObserveMeanPause(p Path, mean time.Duration) {
	if p.pass.loaded <= 0 || mean <= 0 {
		return
	}
	if r.meanPause.value == 0 {
		r.meanPause.value = float64(mean)
	}
	r.meanPause = r.meanPause.With(float64(mean), meanWeight)
	hall := p.Stages[0].hall
	measured := min(max(float64(mean)/float64(p.pass.loaded), 1), maxWaitMultiple)
	r.waitFactors[hall] = average{value: r.hallWait(hall)}.With(measured, meanWeight)
}

// AnswerTime returns how long an answer of so many tokens takes by recent pauses, from its first
// event on; zero before any was measured.
func (r *Router) AnswerTime(service string, tokens int) time.Duration {
	s, ok := r.services[service]
	if !ok || s.Engine == nil {
		return 0
	}
	return time.Duration(float64(tokens) / float64(max(s.Engine.Stride, 1)) * r.meanPause.value)
}

// inTime reports whether a path may accept one more request without making the answers there
// late.
func (r *Router) inTime(a PathRequest, p Path) bool {
	if a.Resumed || a.Route.Pause <= 0 || !r.settings.Policy.Has(PauseAdmission) {
		return true
	}
	wait := r.hallWait(p.Stages[0].hall)
	most := meanPauseShare * float64(a.Route.Pause)
	empty := wait * float64(p.pass.empty)
	if empty > (1-minHeadroom)*most {
		most = maxEmptyMultiple * empty
	}
	return wait*float64(p.pass.loaded) <= most
}

// passOf returns the time of a pass over one layer, at the load of a target and empty.
func (e *Engine) passOf(kind Accelerator, load Work, layers int) passTimes {
	context := float64(load.Tokens) / max(float64(layers), 1)
	steps := float64(max(e.Stride, 1)) * kind.StepFactor / float64(max(e.Layers, 1))
	empty := float64(e.StepBase)
	loaded := empty + float64(e.StepPerRequest)*float64(load.Requests+1) + float64(e.StepPerKilotoken)*context/1000
	return passTimes{loaded: time.Duration(math.Ceil(steps * loaded)), empty: time.Duration(math.Ceil(steps * empty))}
}

// times returns the pass over n layers.
func (p passTimes) times(n int) passTimes {
	return passTimes{loaded: time.Duration(n) * p.loaded, empty: time.Duration(n) * p.empty}
}

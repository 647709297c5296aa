package daemon

import (
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file counts and logs repeats.

// repeatState is the state of the repeat that a request has taken or wants.
type repeatState struct {
	// repeatUntil is until when the repeat that was taken and not sent yet may be sent, or zero.
	repeatUntil time.Time
	// repeatExpired is set if that has passed and there was no other repeat.
	repeatExpired bool
	// repeatWantedUntil is until when the request counts as one that waits for a repeat.
	repeatWantedUntil time.Time
}

// RepeatCause is the cause of a repeat.
type RepeatCause string

// The causes.
const (
	// RepeatAfterTry: a try has ended without a whole answer.
	RepeatAfterTry RepeatCause = "try failed"
	// RepeatInsteadOfRun: another path takes the place of a run in progress.
	RepeatInsteadOfRun RepeatCause = "run replaced"
	// RepeatOnNewConn: a reused connection is gone or silent.
	RepeatOnNewConn RepeatCause = "connection lost"
)

// recordChosenRepeat records whether the budget allowed another try. The denials of a request that
// waits for a repeat are recorded once per repeatDemandInterval.
func (f *forwarding) recordChosenRepeat(refusal *relay.Refusal) {
	if f.count == 0 || !f.attempts.NeedsRepeat() {
		return
	}
	now := clock.Now()
	switch {
	case refusal == nil:
		f.recordRepeat(RepeatAfterTry, relay.NotDenied)
	case refusal.Denial == relay.DeniedBudget && !now.Before(f.repeatWantedUntil):
		f.repeatWantedUntil = now.Add(repeatDemandInterval)
		f.recordRepeat(RepeatAfterTry, refusal.Denial)
	}
}

// repeatDemandInterval is the interval at which a request that waits for a repeat is counted and
// logged as one that wants it.
const repeatDemandInterval = time.Second

// recordRepeat counts a repeat that was taken or denied. Where few or none are left, it logs the
// account of the budget and asks the leader for permits at once.
func (f *forwarding) recordRepeat(cause RepeatCause, denial relay.Denial) {
	f.g.meter.repeated(f.service, cause, denial == relay.NotDenied)
	f.g.mu.Lock()
	now := clock.Now()
	account := f.g.router.RepeatAccount(f.service, now)
	low := denial != relay.NotDenied || account.Left < lowRepeats
	var requests []relay.PermitRequest
	if low {
		requests = f.g.router.PermitRequests(now)
	}
	f.g.mu.Unlock()
	if low {
		f.g.daemon.post(core.PermitsWanted{Requests: requests})
	}
	if denial == relay.DeniedBudget {
		f.g.log.Info("repeat denied", "request", f.call.ID, "cause", string(cause), "begun", f.headSent, "service", f.service, "budget", account.String())
		return
	}
	f.logRepeat(cause, f.attempts.Ran)
	if account.Left < lowRepeats {
		f.g.log.Info("repeat budget is low", "request", f.call.ID, "cause", string(cause), "begun", f.headSent, "service", f.service, "budget", account.String())
	}
}

// lowRepeats is the number of repeats left below which each use is logged.
const lowRepeats = 2

// logRepeat logs a repeat that was taken after targets may have run the request.
func (f *forwarding) logRepeat(cause RepeatCause, ran relay.Runs) {
	f.g.log.Info("repeat taken", "request", f.call.ID, "cause", string(cause), "service", f.service, "try", f.count, "may_have_run", ran.String(),
		"left_ms", f.deadline.Sub(clock.Now()).Milliseconds())
}

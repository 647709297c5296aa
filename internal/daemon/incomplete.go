package daemon

import (
	"fmt"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file counts and logs answers that end before they are whole, by cause.
//
// Each accepted request whose caller gets no whole answer of a target is counted once, except those
// that were refused as not run. The log line explains the end by itself, since
// the lines before it may be lost; the sums since the start of the process are repeated in the line
// on the cost of control.

// EndCause is the cause of the end of an incomplete answer.
type EndCause string

// The causes.
const (
	// EndNoPath: no targets that could run the rest of it had room.
	EndNoPath EndCause = "no path"
	// EndBudget: the repeat budget was used up.
	EndBudget EndCause = "budget"
	// EndRoute: its route allows no more targets.
	EndRoute EndCause = "route"
	// EndRunsOnce: it may have run, and may run only once.
	EndRunsOnce EndCause = "runs once"
	// EndBrokenOff: its target broke off inside an answer that can't be continued.
	EndBrokenOff EndCause = "broken off"
	// EndTimeout: its deadline passed.
	EndTimeout EndCause = "timeout"
	// EndQuarantine: it is in quarantine.
	EndQuarantine EndCause = "quarantine"
	// EndCallerLeft: the caller's connection ended, or could not be written to.
	EndCallerLeft EndCause = "caller left"
	// EndNotReading: the caller did not read.
	EndNotReading EndCause = "caller not reading"
	// EndNoMemory: this VM had no memory for it.
	EndNoMemory EndCause = "no memory"
	// EndStopped: a planned stop of this VM ended it.
	EndStopped EndCause = "stopped"
	// EndPanic: this process failed to serve it.
	EndPanic EndCause = "panic"
)

// endCauses are all causes, in the order of log lines.
var endCauses = []EndCause{
	EndNoPath, EndBudget, EndRoute, EndRunsOnce, EndBrokenOff, EndTimeout, EndQuarantine, EndCallerLeft, EndNotReading, EndNoMemory, EndStopped, EndPanic,
}

// causeOf returns the cause of an end by refusal.
func (f *forwarding) causeOf(r *relay.Refusal) EndCause {
	switch {
	case f.endCause != "":
		return f.endCause
	case r.Kind == relay.RefusedTimeout:
		return EndTimeout
	case r.Kind == relay.RefusedCrashes || r.Kind == relay.RefusedQuarantined:
		return EndQuarantine
	case r.Denial == relay.DeniedBudget:
		return EndBudget
	case r.Denial == relay.DeniedRunsOnce:
		return EndRunsOnce
	case r.Denial != relay.NotDenied:
		return EndRoute
	}
	return EndNoPath
}

const (
	// maxLoggedTries bounds the tries that a log line describes: the last ones.
	maxLoggedTries = 6
	// maxLoggedCauseBytes bounds the cause of each of them.
	maxLoggedCauseBytes = 80
)

// ending is what is known of the end of an incomplete answer.
type ending struct {
	// tried describes the last tries.
	tried []triedTarget
	// abandoned is set if this VM ended the present run while its target kept the connection open.
	abandoned bool
	// endCause is why the caller gets no whole answer after the present try, if that is known.
	endCause EndCause
}

// triedTarget is one try without a whole answer, for the log.
type triedTarget struct {
	target relay.TargetID
	result result
	cause  string
	took   time.Duration
	// abandoned is set if this VM ended the run.
	abandoned bool
}

// String formats the try.
func (t triedTarget) String() string {
	by := ""
	if t.abandoned {
		by = " by this VM"
	}
	return fmt.Sprintf("%s %s%s after %dms: %s", t.target, t.result, by, t.took.Milliseconds(), t.cause[:min(len(t.cause), maxLoggedCauseBytes)])
}

// recordTry records a try for the log line of an incomplete answer.
func (f *forwarding) recordTry(r result, path relay.Path) {
	f.tried = append(f.tried, triedTarget{
		target: path.First().Target, result: r, cause: f.lastCause, took: clock.Since(f.pickedAt), abandoned: f.abandoned,
	})
	f.tried = f.tried[max(0, len(f.tried)-maxLoggedTries):]
}

// incompleteAnswers counts the incomplete answers of a process.
type incompleteAnswers struct {
	mu     sync.Mutex
	counts map[EndCause]int
	// last describes the last one that had begun and whose caller had not left.
	last string
}

// add counts an incomplete answer.
func (i *incompleteAnswers) add(cause EndCause, description string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.counts == nil {
		i.counts = make(map[EndCause]int)
	}
	i.counts[cause]++
	if description != "" {
		i.last = description
	}
}

// String sums up the incomplete answers.
func (i *incompleteAnswers) String() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	var text []string
	for _, c := range endCauses {
		if n := i.counts[c]; n > 0 {
			text = append(text, fmt.Sprintf("%s=%d", c, n))
		}
	}
	if i.last != "" {
		text = append(text, "last: "+i.last)
	}
	return strings.Join(text, " ")
}

// recordIncomplete counts and logs the end of an answer that is not whole.
func (f *forwarding) recordIncomplete(message string, cause EndCause, reason string) {
	now := clock.Now()
	g := f.g
	g.mu.Lock()
	shortage := g.router.Shortage(f.pathRequest(f.attempts, false), now)
	document, age := 0, time.Duration(0)
	if d := g.router.Document(); d != nil {
		document, age = int(d.Version), now.Sub(g.documentAt)
	}
	g.mu.Unlock()
	quiet := now.Sub(f.call.Arrived)
	if f.headSent {
		quiet = now.Sub(f.lastEvent)
	}
	var tried []string
	for _, t := range f.tried {
		tried = append(tried, t.String())
	}
	g.meter.incomplete(cause, f.headSent)
	description := ""
	if cause != EndCallerLeft && f.headSent {
		description = fmt.Sprintf("%s %s, quiet_ms=%d left_ms=%d document=%d age_ms=%d %s", f.call.ID, cause, quiet.Milliseconds(), f.deadline.Sub(now).Milliseconds(), document, age.Milliseconds(), shortage)
	}
	g.incomplete.add(cause, description)
	g.log.Info(message, "request", f.call.ID, "cause", string(cause), "begun", f.headSent, "quiet_ms", quiet.Milliseconds(), "left_ms", f.deadline.Sub(now).Milliseconds(),
		"reason", reason, "shortage", shortage.String(), "document", document, "document_age_ms", age.Milliseconds(), "fingerprint", f.fingerprints[0].Fingerprint,
		"after", f.lastID, "events", f.events, "after_ms", now.Sub(f.call.Arrived).Milliseconds(), "tries", f.count, "ran", f.attempts.Ran.Len(), "may_have_run", f.attempts.Ran.String(), "tried", tried, "path", f.lastPath.String())
}

// recordPanic logs a panic while a request is served, and ends its connection. A call that is cut
// off on purpose panics as well.
func (f *forwarding) recordPanic() {
	failed := recover()
	if failed == nil {
		return
	}
	if failed != http.ErrAbortHandler { //nolint:errorlint // net/http compares it the same way
		f.g.log.Error(fmt.Errorf("panic: %v", failed), "request failed", "request", f.call.ID, "stack", string(debug.Stack()))
		f.recordIncomplete("answer incomplete", EndPanic, fmt.Sprint(failed))
	}
	panic(http.ErrAbortHandler)
}

// connectionEnd returns why a caller's connection ended: by the caller, unless a planned stop has
// closed all connections.
func (g *Gateway) connectionEnd() EndCause {
	if g.closed.Load() {
		return EndStopped
	}
	return EndCallerLeft
}

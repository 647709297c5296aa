package daemon

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/internal/target"
)

// This file sends callers their final answers.

// wholeAnswer is an answer that was read completely.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// recordServed records an answer that was sent completely.
func (f *forwarding) recordServed(path relay.Path) {
	f.g.meter.served(f.call.Arrived)
	first := int64(-1)
	if !f.firstEventAt.IsZero() {
		first = f.firstEventAt.Sub(f.call.Arrived).Milliseconds()
	}
	f.g.log.Info("request served", "request", f.call.ID, "held_ms", f.firstPickedAt.Sub(f.call.Arrived).Milliseconds(), "first_ms", first, "events", f.events, "worst_pause_ms", f.worstPause.Milliseconds(), "took_ms", clock.Since(f.call.Arrived).Milliseconds(),
		"tries", f.count, "prompt", f.call.PromptTokens, "answer", f.call.AnswerTokens, "hint", f.call.LengthHint, "forecast_us", path.Forecast().Microseconds(), "path", path.String())
}

// recordPauses reports to the router the mean pause of a whole answer that came from one path.
func (f *forwarding) recordPauses(path relay.Path) {
	if f.count > 1 || f.events < 2 {
		return
	}
	mean := (f.lastEvent.Sub(f.firstEventAt) - f.callerStall) / time.Duration(f.events-1)
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	f.g.router.ObserveMeanPause(path, mean)
}

// end sends the caller a final answer other than a served one.
func (f *forwarding) end(ctx context.Context, refusal *relay.Refusal) {
	if callerLeft(ctx) {
		f.g.meter.callerLeft()
		f.recordIncomplete("caller left", f.g.connectionEnd(), context.Cause(ctx).Error())
		panic(http.ErrAbortHandler)
	}
	if f.headSent {
		f.g.meter.refused(relay.RefusedUnknownRun)
		f.recordIncomplete("stream cut", f.causeOf(refusal), refusal.Reason)
		panic(http.ErrAbortHandler)
	}
	if f.failedAnswer != nil {
		f.writeWhole(f.failedAnswer)
		return
	}
	if f.attempts.Ran.Any() && refusal.NotRun() {
		refusal = &relay.Refusal{Kind: relay.RefusedUnknownRun, Reason: refusal.Reason}
	}
	if !refusal.NotRun() && f.count > 0 {
		f.recordIncomplete("answer incomplete", f.causeOf(refusal), refusal.Reason)
	}
	f.g.refuse(f.w, f.call, refusal, f)
}

// callerLeft reports whether a call's context ended because the caller disconnected rather
// than at its deadline.
func callerLeft(ctx context.Context) bool { return errors.Is(context.Cause(ctx), context.Canceled) }

// abandon ends a call whose caller's connection can't be written to.
func (f *forwarding) abandon(cause error) {
	f.g.meter.callerLeft()
	f.lastCause = "caller left: " + cause.Error()
	f.recordIncomplete("caller left", f.g.connectionEnd(), cause.Error())
	panic(http.ErrAbortHandler)
}

// currency is how current the document is by which a request is decided: its version, how long ago
// it was confirmed to be the newest one, and how long the lease on it lasts.
type currency struct {
	core.ConfigStatus
	version      relay.Version
	confirmedAgo time.Duration
	lease        time.Duration
}

func (g *Gateway) currency(now time.Time) currency {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := currency{ConfigStatus: g.configStatus, confirmedAgo: now.Sub(g.configStatus.ConfirmedAt), lease: g.leaseUntil.Sub(now)}
	if d := g.router.Document(); d != nil {
		c.version = d.Version
	}
	return c
}

func (g *Gateway) refuse(w http.ResponseWriter, call *Call, r *relay.Refusal, f *forwarding) {
	now := clock.Now()
	g.meter.refused(r.Kind)
	tries, path, fingerprint, organisation := 0, "", "", ""
	if f != nil {
		tries, path, fingerprint, organisation = f.count, f.lastPath.String(), f.fingerprints[0].String(), f.organisation
	}
	current := g.currency(now)
	g.log.Info("request refused", "request", call.ID, "fingerprint", fingerprint, "organisation", organisation, "parts", call.Parts, "kind", r.Kind.String(), "reason", r.Reason, "uri", call.URI,
		"held_ms", now.Sub(call.Arrived).Milliseconds(), "tries", tries, "path", path,
		"version", current.version, "revision", current.Revision, "newest_revision", current.Newest, "confirmed_ms", current.confirmedAgo.Milliseconds(), "lease_ms", current.lease.Milliseconds())
	g.recordPermitRefusal(r)
	g.platform.Codec.Refuse(w, r, now)
}

// forwardWhole forwards the answer of a plain service.
func (f *forwarding) forwardWhole(ctx context.Context, path relay.Path, watch *watcher, answer *target.Answer) result {
	held := f.g.daemon.outbox.newReservation()
	defer held.close()
	body, err := f.readWhole(ctx, held, answer)
	if errors.Is(err, errNoMemory) {
		return f.answerWithoutMemory(path)
	}
	if err != nil {
		return f.handleBroken(ctx, path, watch, err)
	}
	if len(body) > maxBufferedAnswerBytes && !f.headSent {
		return f.forwardLong(answer, body)
	}
	if answer.Status < http.StatusMultipleChoices {
		f.recordRanWell(clock.Now())
	}
	given := &wholeAnswer{status: answer.Status, header: answer.Header, body: body}
	if answer.Status < http.StatusInternalServerError {
		f.g.recordSuccess(path.First().Target)
		if f.headSent {
			f.lastCause = "target answered " + strconv.Itoa(answer.Status) + " in the middle of a stream"
			return resultBroken
		}
		f.writeWhole(given)
		return resultDone
	}
	f.g.recordFailure(path.First().Target, false)
	f.lastCause = "target answered " + strconv.Itoa(answer.Status)
	if f.headSent {
		return resultBroken
	}
	if f.route.Repeat != relay.RepeatNever {
		f.failedAnswer = given
		f.avoid = f.avoid.With(path.First().Target, clock.Now())
		return resultBroken
	}
	f.writeWhole(given)
	return resultDone
}

// forwardLong forwards an answer that is too long to be buffered.
func (f *forwarding) forwardLong(answer *target.Answer, head []byte) result {
	if !f.beginAnswer() {
		return resultAborted
	}
	copyHeader(f.w.Header(), answer.Header)
	if answer.Length >= 0 {
		f.w.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	f.w.WriteHeader(answer.Status)
	f.caller.setTargetWaits(true)
	body := &failingReader{Reader: answer}
	if _, err := io.Copy(f.w, io.MultiReader(bytes.NewReader(head), body)); err != nil {
		f.lastCause = err.Error()
		f.endCause = f.g.connectionEnd()
		if body.failed {
			f.endCause = EndBrokenOff
		}
		return resultAborted
	}
	return resultDone
}

// failingReader records whether a read failed.
type failingReader struct {
	io.Reader
	failed bool
}

// Read implements io.Reader.
func (r *failingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.failed = err != nil && !errors.Is(err, io.EOF)
	return n, err
}

func (f *forwarding) writeWhole(a *wholeAnswer) {
	f.caller.setTargetWaits(false)
	copyHeader(f.w.Header(), a.header)
	switch length, given := a.header["Content-Length"]; {
	case f.call.Method != http.MethodHead:
		f.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	case given: // that of the body which the answer to GET would have
		f.w.Header()["Content-Length"] = length
	}
	f.w.WriteHeader(a.status)
	if _, err := f.w.Write(a.body); err != nil {
		f.g.log.V(1).Info("caller disconnected before its answer was written", "request", f.call.ID, "error", err.Error())
	}
}

// connectionHeaders are the headers that apply to one connection only.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// copyHeader copies all headers but connectionHeaders.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !connectionHeaders[name] {
			to[name] = values
		}
	}
}

package daemon

import (
	"errors"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/internal/target"
)

// This file takes what targets say of themselves with their answers.

// takeNotice takes what the first target of the present try says of itself with its answer.
func (f *forwarding) takeNotice(path relay.Path, answer *target.Answer) {
	now := clock.Now()
	first := path.First()
	notice, err := f.g.platform.Codec.Notice(first.Target, answer.Status, answer.Header, now)
	f.g.unusableNotice(first.Target, err)
	if notice == (relay.Notice{}) {
		return
	}
	f.g.meter.noticed(notice)
	f.g.log.Info("target says something of itself", "request", f.call.ID, "target", first.Target, "address", first.Address, "status", answer.Status,
		"leaving", notice.Leaving, "rest_ms", restMillis(notice, now), "picked_ms", now.Sub(f.pickedAt).Milliseconds(), "sent_ms", now.Sub(f.sentAt).Milliseconds())
}

// unusableNotice counts and logs the parts of a notice that can't be read.
func (g *Gateway) unusableNotice(id relay.TargetID, err error) {
	var parts interface{ Unwrap() []error }
	switch {
	case err == nil:
	case errors.As(err, &parts):
		for _, part := range parts.Unwrap() {
			g.Unusable(string(id), part)
		}
	default:
		g.Unusable(string(id), err)
	}
}

// restMillis returns the length of the rest that a target asks for, in milliseconds.
func restMillis(n relay.Notice, now time.Time) int64 {
	if n.RestUntil.IsZero() {
		return 0
	}
	return n.RestUntil.Sub(now).Milliseconds()
}

package target

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/spoolbank/spoolbank/internal/silence"
)

// This file closes the connections of a Client that have fallen silent: the links that carry
// runs, which package silence judges, and the idle HTTP connections that watch requests reuse.

// SilentFunc is called for each connection that is closed for its silence, with its kind, the
// address, how long it was silent, and the time limit that it exceeded.
type SilentFunc func(kind, address string, age, bound time.Duration)

// silenceDetection holds the time limit for silent connections and the callback for closed ones.
type silenceDetection struct {
	bound    time.Duration
	onSilent SilentFunc
}

// The kinds of connections of a Client that can fall silent.
const (
	kindRuns  = "runs"
	kindWatch = "watch"
)

// errLinkSilent is the error of the open runs of a link that was found silent.
var errLinkSilent = errors.New("target: the link to the engine is silent")

// probeNumber is the number of a line that probes whether the link is alive. It carries no
// order and is answered at once.
const probeNumber = 0

// WithSilence returns a Client with run links of its own. It closes silent connections within
// bound and reports them to onSilent; a bound of zero leaves them to the kernel.
func (c *Client) WithSilence(bound time.Duration, onSilent SilentFunc) *Client {
	next := *c
	next.silence = silenceDetection{bound: bound, onSilent: onSilent}
	next.runs = newRunLinks(c.http, next.silence)
	return &next
}

// get sends a GET request, and repeats it on a new connection if no answer comes within half
// the bound: the target counts as failed only if the new connection is silent too.
func get[Reply any](ctx context.Context, c *Client, url string) (Reply, error) {
	began := time.Now()
	if c.silence.bound <= 0 {
		return getOnce[Reply](ctx, c, url)
	}
	wait := c.silence.bound / 2
	first, cancel := context.WithTimeout(ctx, wait)
	reply, err := getOnce[Reply](first, c, url)
	late := first.Err() != nil && ctx.Err() == nil
	cancel()
	if err == nil || !late {
		return reply, err
	}
	reply, err = getOnce[Reply](ctx, &Client{http: c.unpooled}, url)
	if err == nil {
		// Other connections that have been idle as long are suspect, too.
		c.http.CloseIdleConnections()
		c.silence.onSilent(kindWatch, url, time.Since(began), wait)
	}
	return reply, err
}

func getOnce[Reply any](ctx context.Context, c *Client, url string) (Reply, error) {
	var none Reply
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return none, err
	}
	return roundTrip[Reply](c, request)
}

// linkMonitor monitors the link to one engine. The link's mutex guards it.
type linkMonitor struct {
	address   string
	detection silenceDetection
	state     silence.Link
	// checkScheduled is set if the next check is scheduled, silent if the link was closed as silent.
	checkScheduled, silent bool
}

func newLinkMonitor(address string, detection silenceDetection) linkMonitor {
	return linkMonitor{address: address, detection: detection, state: silence.NewLink(detection.bound)}
}

// recordSent records that a line was sent.
func (l *runLink) recordSent(now time.Time) {
	l.state, _ = l.state.Sent(now)
	l.scheduleCheck(now)
}

// scheduleCheck schedules the next check of the link, if one is due.
func (l *runLink) scheduleCheck(now time.Time) {
	due, any := l.state.NextCheck()
	if !any || l.checkScheduled || l.broken {
		return
	}
	l.checkScheduled = true
	time.AfterFunc(due.Sub(now), l.check)
}

// check inspects a link on which replies are outstanding. It sends a probe, or breaks the link
// if the probe has not been answered in time.
func (l *runLink) check() {
	now := time.Now()
	l.mu.Lock()
	l.checkScheduled = false
	age, timeout := l.state.UnackedFor(now), l.state.ProbeTimeout()
	state, action := l.state.Check(now)
	l.state = state
	if action == silence.SendProbe {
		l.state = state.Probed(now)
		_ = l.writer.Write(RunLine{Number: probeNumber}) // a probe that can't be sent remains unanswered
	}
	// The next check may become due before the link is broken.
	expired := action == silence.ConnSilent && !l.broken && !l.silent
	l.silent = l.silent || expired
	l.scheduleCheck(now)
	l.mu.Unlock()
	if expired {
		l.breakLink()
		l.detection.onSilent(kindRuns, l.address, age, timeout)
	}
}

// brokenErr returns the error for the open runs of a broken link.
func (l *runLink) brokenErr() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silent {
		return errLinkSilent
	}
	return errLinkBroken
}

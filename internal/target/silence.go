package target

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/spoolbank/spoolbank/internal/silence"
)

// This file leaves the connections of a Client that have fallen silent: run links, which
// package silence decides about, and kept ones that a look at a target goes over.

// Found is told of each connection that is left for its silence: its kind, the address, how
// long it said nothing, and the wait that was over.
type Found func(kind, address string, age, bound time.Duration)

// silenceTerms says within which time silent connections are left, and who is told.
type silenceTerms struct {
	bound time.Duration
	found Found
}

// The kinds of connections of a Client that fall silent.
const (
	silentRuns  = "runs"
	silentWatch = "watch"
)

// errLinkSilent is why the open runs of a link fail that nothing comes back from.
var errLinkSilent = errors.New("target: the link to the engine is silent")

// numberAlive is that of a line which asks whether the link lives. It bears no order, and
// is answered at once.
const numberAlive = 0

// WithSilence returns a Client with connections of its own that leaves silent ones within a
// bound, and tells found; zero leaves them to the kernel.
func (c *Client) WithSilence(bound time.Duration, found Found) *Client {
	next := *c
	next.silence = silenceTerms{bound: bound, found: found}
	next.runs = newRunLinks(c.http, next.silence)
	return &next
}

// get asks with GET, and once more on a new connection where no answer comes within half
// the bound: the target is not at fault until that is silent too.
func get[Reply any](ctx context.Context, c *Client, url string) (Reply, error) {
	began := time.Now()
	if c.silence.bound <= 0 {
		return getOn[Reply](ctx, c, url)
	}
	wait := c.silence.bound / 2
	first, cancel := context.WithTimeout(ctx, wait)
	reply, err := getOn[Reply](first, c, url)
	late := first.Err() != nil && ctx.Err() == nil
	cancel()
	if err == nil || !late {
		return reply, err
	}
	reply, err = getOn[Reply](ctx, &Client{http: c.fresh}, url)
	if err == nil {
		// Others that have rested as long are in doubt too.
		c.http.CloseIdleConnections()
		c.silence.found(silentWatch, url, time.Since(began), wait)
	}
	return reply, err
}

func getOn[Reply any](ctx context.Context, c *Client, url string) (Reply, error) {
	var none Reply
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return none, err
	}
	return roundTrip[Reply](c, request)
}

// runWatch looks after the link to one engine. The link's mutex guards it.
type runWatch struct {
	address string
	terms   silenceTerms
	state   silence.Link
	// armed says that a look is due, silent that the link was left.
	armed, silent bool
}

func newRunWatch(address string, terms silenceTerms) runWatch {
	return runWatch{address: address, terms: terms, state: silence.NewLink(terms.bound)}
}

// sentLine notes a line that is sent.
func (l *runLink) sentLine(now time.Time) {
	l.state, _ = l.state.Sent(now)
	l.arm(now)
}

// arm has the link looked at when that is due.
func (l *runLink) arm(now time.Time) {
	due, any := l.state.Due()
	if !any || l.armed || l.broken {
		return
	}
	l.armed = true
	time.AfterFunc(due.Sub(now), l.look)
}

// look asks over a link that nothing has come back from, and breaks it where the answer is
// missing.
func (l *runLink) look() {
	now := time.Now()
	l.mu.Lock()
	l.armed = false
	age, patience := l.state.OpenFor(now), l.state.Patience()
	state, action := l.state.Look(now)
	l.state = state
	if action == silence.Ask {
		l.state = state.Asked(now)
		_ = l.writer.Write(RunLine{Number: numberAlive}) // one that can't be sent stays without an answer
	}
	// The next look may be due before the link is broken.
	left := action == silence.Void && !l.broken && !l.silent
	l.silent = l.silent || left
	l.arm(now)
	l.mu.Unlock()
	if left {
		l.breakAll()
		l.terms.found(silentRuns, l.address, age, patience)
	}
}

// whyBroken returns why the open runs of a link failed.
func (l *runLink) whyBroken() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silent {
		return errLinkSilent
	}
	return errLinkBroken
}

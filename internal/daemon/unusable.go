package daemon

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
)

// This file takes note of what other writers send that can't be used. Any number of
// writers may send any amount of it, so that each gets one line in a while and every
// case is counted.

// UnusableReason is the kind of fault for which a text is not used.
type UnusableReason string

// The kinds of faults.
const (
	// UnusableText: it can't be decoded at all.
	UnusableText UnusableReason = "unreadable"
	// UnusableMissing: a field that must be there is not.
	UnusableMissing UnusableReason = "missing"
	// UnusableType: a field holds a value of another type.
	UnusableType UnusableReason = "type"
	// UnusableValue: a field holds a value that has no meaning.
	UnusableValue UnusableReason = "value"
	// UnusableService: no document names the service.
	UnusableService UnusableReason = "service"
)

// UnusableError says why what another writer sent is not used, and what to send instead.
type UnusableError struct {
	// Subject is what can't be used, as in "heartbeat of i-1".
	Subject string
	// Field is the field at fault, empty where it is the whole text.
	Field  string
	Reason UnusableReason
	Remedy string
}

// Error implements error.
func (e *UnusableError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s is not used: %s; %s", e.Subject, e.Reason, e.Remedy)
	}
	return fmt.Sprintf("%s is not used: field %s: %s; %s", e.Subject, e.Field, e.Reason, e.Remedy)
}

// Unusable counts a text that is not used, and logs it where its writer has had no line
// of late.
func (g *Gateway) Unusable(writer string, err error) {
	reason := UnusableText
	var unusable *UnusableError
	if errors.As(err, &unusable) {
		reason = unusable.Reason
	}
	g.meter.unusable(reason)
	if allowed, suppressed := g.unusable.allow(writer, clock.Now()); allowed {
		g.log.Info("a message is not used", "writer", writer[:min(len(writer), maxWriterBytes)], "reason", string(reason), "error", err.Error(), "withheld", suppressed)
	}
}

const (
	// lineEvery is the least time between two lines on one writer. A target speaks every
	// 1.2 s, and what is wrong with its messages seldom changes.
	writerLogInterval = 10 * time.Second
	// lineWriters bounds the writers that are told apart, and with it the lines: 6 a second
	// at the most, whoever sends whatever.
	maxLogWriters = 64
	// writerBytes bounds a writer's name in memory and in a line, in bytes.
	maxWriterBytes = 64
)

// lineLimit lets one line of each writer pass in a while. The zero value is ready for use.
type lineLimit struct {
	mu         sync.Mutex
	until      map[string]time.Time
	suppressed int
}

// pass reports whether a line on a writer may be written, and how many were withheld
// since the last one, on any writer.
func (l *lineLimit) allow(writer string, now time.Time) (ok bool, suppressed int) {
	writer = writer[:min(len(writer), maxWriterBytes)]
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until == nil {
		l.until = make(map[string]time.Time)
	}
	if len(l.until) >= maxLogWriters {
		l.removeExpired(now)
	}
	if now.Before(l.until[writer]) || len(l.until) >= maxLogWriters {
		l.suppressed++
		return false, 0
	}
	l.until[writer] = now.Add(writerLogInterval)
	suppressed, l.suppressed = l.suppressed, 0
	return true, suppressed
}

// forget drops the writers that may have a line again.
func (l *lineLimit) removeExpired(now time.Time) {
	for writer, until := range l.until {
		if !now.Before(until) {
			delete(l.until, writer)
		}
	}
}

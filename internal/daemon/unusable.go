package daemon

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
)

// This file records messages of other writers that can't be used. Any number of writers
// may send any number of them, so every case is counted and the log lines for each writer
// are limited.

// UnusableReason is the kind of fault for which a message is not used.
type UnusableReason string

// The kinds of faults.
const (
	// UnusableText: the message can't be decoded.
	UnusableText UnusableReason = "unreadable"
	// UnusableMissing: a required field is missing.
	UnusableMissing UnusableReason = "missing"
	// UnusableType: a field holds a value of the wrong type.
	UnusableType UnusableReason = "type"
	// UnusableValue: a field holds an invalid value.
	UnusableValue UnusableReason = "value"
	// UnusableService: no document names the service.
	UnusableService UnusableReason = "service"
)

// UnusableError gives the reason why a message of another writer is not used, and what to send
// instead.
type UnusableError struct {
	// Subject is the message that can't be used, as in "heartbeat of i-1".
	Subject string
	// Field is the field at fault, or empty if it is the whole message.
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

// Unusable counts a message that is not used, and logs it unless its writer had a log line
// recently.
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
	// writerLogInterval is the least time between two log lines about one writer. A target
	// reports every 1.2 s, and the fault in its messages seldom changes.
	writerLogInterval = 10 * time.Second
	// maxLogWriters bounds the writers that are distinguished, and so the lines: at most 6 a
	// second, whatever is sent.
	maxLogWriters = 64
	// maxWriterBytes bounds the length of a writer's name in memory and in a line.
	maxWriterBytes = 64
)

// logLimiter is a rate limit on log lines for each writer. The zero value is ready for use.
type logLimiter struct {
	mu         sync.Mutex
	until      map[string]time.Time
	suppressed int
}

// allow reports whether a line about a writer may be logged, and how many were suppressed
// since the last one, for all writers.
func (l *logLimiter) allow(writer string, now time.Time) (ok bool, suppressed int) {
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

// removeExpired removes the writers that may have a line again.
func (l *logLimiter) removeExpired(now time.Time) {
	for writer, until := range l.until {
		if !now.Before(until) {
			delete(l.until, writer)
		}
	}
}

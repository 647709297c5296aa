package target

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// This file reads how long a target that turns a request away wants nothing more, as HTTP says it.

// HeaderRetryAfter is the header that says so, in seconds or as a date.
const HeaderRetryAfter = "Retry-After"

// ErrUnreadableBackoff is the kind of errors for backoffs that can't be read.
var ErrUnreadableBackoff = errors.New("send seconds of 0 or above, or a date")

// longestBackoff is the longest backoff that is told apart from longer ones: far beyond the life of
// any process, and a time that can be added to another one.
const longestBackoff = 100 * 365 * 24 * time.Hour

// BackoffUntil returns until when a target that turns a request away wants nothing, zero where it
// asks for no backoff. Of several times the latest counts; the error says that one can't be read.
func BackoffUntil(status int, h http.Header, now time.Time) (until time.Time, err error) {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return time.Time{}, nil
	}
	for _, text := range h.Values(HeaderRetryAfter) {
		backoff, ok := backoffOf(strings.TrimSpace(text))
		if !ok {
			err = ErrUnreadableBackoff
			continue
		}
		if end := now.Add(backoff); backoff > 0 && end.After(until) {
			until = end
		}
	}
	return until, err
}

func backoffOf(text string) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		date, err := http.ParseTime(text)
		return min(max(time.Until(date), 0), longestBackoff), err == nil
	}
	if math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
		return 0, false
	}
	if seconds >= longestBackoff.Seconds() {
		return longestBackoff, true
	}
	return time.Duration(seconds * float64(time.Second)), true
}

package target

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// This file parses the backoff that a target requests when it rejects a request with 429 or 503.

// HeaderRetryAfter is HTTP's header for the backoff, in seconds or as a date.
const HeaderRetryAfter = "Retry-After"

// ErrUnreadableBackoff is returned for backoffs that can't be parsed.
var ErrUnreadableBackoff = errors.New("send seconds of 0 or above, or a date")

// maxBackoff caps a backoff: it is far longer than any process lives, and can be added to
// a time without overflow.
const maxBackoff = 100 * 365 * 24 * time.Hour

// ParseBackoff returns until when a target that rejected a request accepts no more, or zero if
// it requests no backoff. The latest of several times counts; an error means that one can't be
// parsed.
func ParseBackoff(status int, h http.Header, now time.Time) (until time.Time, err error) {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return time.Time{}, nil
	}
	for _, text := range h.Values(HeaderRetryAfter) {
		backoff, ok := parseBackoff(strings.TrimSpace(text))
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

func parseBackoff(text string) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		date, err := http.ParseTime(text)
		return min(max(time.Until(date), 0), maxBackoff), err == nil
	}
	if math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
		return 0, false
	}
	if seconds >= maxBackoff.Seconds() {
		return maxBackoff, true
	}
	return time.Duration(seconds * float64(time.Second)), true
}

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

// ErrUnreadableRest is the kind of errors for rests that can't be read.
var ErrUnreadableRest = errors.New("send seconds of 0 or above, or a date")

// longestRest is the longest rest that is told apart from longer ones: far beyond the life of
// any process, and a time that can be added to another one.
const longestRest = 100 * 365 * 24 * time.Hour

// RestUntil returns until when a target that turns a request away wants nothing, zero where it
// asks for no rest. Of several times the latest counts; the error says that one can't be read.
func RestUntil(status int, h http.Header, now time.Time) (until time.Time, err error) {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return time.Time{}, nil
	}
	for _, text := range h.Values(HeaderRetryAfter) {
		rest, ok := restOf(strings.TrimSpace(text))
		if !ok {
			err = ErrUnreadableRest
			continue
		}
		if end := now.Add(rest); rest > 0 && end.After(until) {
			until = end
		}
	}
	return until, err
}

func restOf(text string) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		date, err := http.ParseTime(text)
		return min(max(time.Until(date), 0), longestRest), err == nil
	}
	if math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
		return 0, false
	}
	if seconds >= longestRest.Seconds() {
		return longestRest, true
	}
	return time.Duration(seconds * float64(time.Second)), true
}

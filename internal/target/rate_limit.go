package target

import (
	"errors"
	"math"
	"strconv"
	"strings"
)

// HeaderRateLimit is the header in which a plain service names, with any answer, the calls a second
// that it accepts from all VMs together. Without it there is no limit.
const HeaderRateLimit = "Spoolbank-Limit"

// ErrUnreadableLimit is returned for rate limits that can't be parsed.
var ErrUnreadableLimit = errors.New("send requests a second, of 0 or above")

// ParseRateLimit parses the requests a second that a target accepts, and reports whether it names a
// limit. The lowest of several values counts; an error means that at least one can't be parsed.
func ParseRateLimit(values []string) (perSecond float64, named bool, err error) {
	for _, text := range values {
		limit, unreadable := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if unreadable != nil || !(limit >= 0) || math.IsInf(limit, 0) {
			err = ErrUnreadableLimit
			continue
		}
		if !named || limit < perSecond {
			perSecond, named = limit, true
		}
	}
	return perSecond, named, err
}

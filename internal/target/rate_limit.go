package target

import (
	"errors"
	"math"
	"strconv"
	"strings"
)

// HeaderLimit is how a plain service names, with any answer, the calls a second that it takes from
// all VMs together; one without it takes as many as come.
const HeaderLimit = "Spoolbank-Limit"

// ErrUnreadableLimit is the kind of errors for limits that can't be read.
var ErrUnreadableLimit = errors.New("send requests a second, of 0 or above")

// RateLimit reads the requests a second that a target takes, and whether it names any. Of several
// numbers the lowest counts; the error says that one can't be read.
func RateLimit(values []string) (perSecond float64, named bool, err error) {
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

package relay

import (
	"cmp"
	"time"
)

// This file defines the notices that targets send this VM with their answers; backoffs.go and
// draining.go describe how they are processed.

// Notice is what a target reports of itself with an answer, whatever the answer is to.
type Notice struct {
	// Leaving indicates that it is about to end.
	Leaving bool
	// BackoffUntil is until when it accepts nothing from this VM; zero if it asks for no backoff.
	BackoffUntil time.Time
	// Limited indicates that it accepts no more than Limit requests a second, from all VMs
	// together, Unlimited that it names no such limit. Neither is set if that cannot be
	// determined.
	Limited   bool
	Unlimited bool
	Limit     float64
	// Unread are the names in the answer that this program does not read, sorted.
	Unread []string
}

// Empty reports whether the notice contains nothing that is read.
func (n Notice) Empty() bool { return !n.Leaving && n.BackoffUntil.IsZero() && !n.Limited }

// LimitAnswer returns what the answer to a request that was sent at a time states about a limit,
// and whether it states anything.
func (n Notice) LimitAnswer(sentAt, receivedAt time.Time) (LimitAnswer, bool) {
	return LimitAnswer{Limited: n.Limited, PerSecond: n.Limit, SentAt: sentAt, ReceivedAt: receivedAt}, n.Limited || n.Unlimited
}

// notices is the state from notices of targets to this VM, by incarnation: it outlasts the rest of
// what is known of them.
type notices struct {
	backoffs map[TargetID]backoff
	draining map[TargetID]drainNotice
	limits   *RateLimits
}

func newNotices(seed uint64) notices {
	return notices{backoffs: make(map[TargetID]backoff), draining: make(map[TargetID]drainNotice), limits: NewRateLimits(seed)}
}

// ObserveLimit records what an answer of a target states about its limit, and reports whether that
// is new here.
func (r *Router) ObserveLimit(id TargetID, answer LimitAnswer) bool {
	return r.limits.Observe(id, answer)
}

// Limit returns the requests a second that a target accepts from all VMs together, 0 if it has
// named no limit.
func (r *Router) Limit(id TargetID, now time.Time) float64 { return r.limits.PerSecond(id, now) }

// UnreadName is a name that targets have used and that this program does not read, with how often
// they did.
type UnreadName struct {
	Name  string
	Count int
}

// Compare orders names.
func (u UnreadName) Compare(o UnreadName) int { return cmp.Compare(u.Name, o.Name) }

package relay

import (
	"cmp"
	"time"
)

// This file is what targets say of themselves to this VM with their answers; backoffs.go and
// draining.go say what becomes of it.

// Notice is what a target says of itself with an answer, whatever the answer is to.
type Notice struct {
	// Leaving says that it is about to end.
	Leaving bool
	// BackoffUntil is until when it wants nothing from this VM; zero where it asks for no backoff.
	BackoffUntil time.Time
	// Limited says that it takes no more than Limit requests a second, from all VMs together,
	// Unlimited that it names no such limit. Neither is set where that can't be told.
	Limited   bool
	Unlimited bool
	Limit     float64
	// Unread are the names in the answer that nothing here reads, sorted.
	Unread []string
}

// Empty reports whether the target says nothing of itself that anything reads.
func (n Notice) Empty() bool { return !n.Leaving && n.BackoffUntil.IsZero() && !n.Limited }

// LimitAnswer returns what the answer says of a limit to a request that was sent at a time, and
// whether it says anything.
func (n Notice) LimitAnswer(sentAt, heardAt time.Time) (LimitAnswer, bool) {
	return LimitAnswer{Limited: n.Limited, PerSecond: n.Limit, SentAt: sentAt, HeardAt: heardAt}, n.Limited || n.Unlimited
}

// said is what targets have said to this VM, by incarnation: it outlasts what else is known of
// them.
type said struct {
	backoffs map[TargetID]backoff
	draining map[TargetID]drainNotice
	limits   *RateLimits
}

func newSaid(seed uint64) said {
	return said{backoffs: make(map[TargetID]backoff), draining: make(map[TargetID]drainNotice), limits: NewRateLimits(seed)}
}

// HearLimit takes what an answer of a target says of its limit, and reports whether that is new
// here.
func (r *Router) HearLimit(id TargetID, answer LimitAnswer) bool { return r.limits.Hear(id, answer) }

// Limit returns the requests a second that a target takes from all VMs together, 0 where it has
// named no limit.
func (r *Router) Limit(id TargetID, now time.Time) float64 { return r.limits.PerSecond(id, now) }

// UnreadName is a name that targets have used and that nothing reads, with how often they did.
type UnreadName struct {
	Name  string
	Count int
}

// Compare orders names.
func (u UnreadName) Compare(o UnreadName) int { return cmp.Compare(u.Name, o.Name) }

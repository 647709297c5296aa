package relay

import (
	"cmp"
	"time"
)

// This file is what targets say of themselves to this VM with their answers; rests.go and
// departures.go say what becomes of it.

// Notice is what a target says of itself with an answer, whatever the answer is to.
type Notice struct {
	// Leaving says that it is about to end.
	Leaving bool
	// RestUntil is until when it wants nothing from this VM; zero where it asks for no rest.
	RestUntil time.Time
	// Limited says that it takes no more than Limit requests a second, from all VMs together,
	// Unlimited that it names no such limit. Neither is set where that can't be told.
	Limited   bool
	Unlimited bool
	Limit     float64
	// Unread are the names in the answer that nothing here reads, sorted.
	Unread []string
}

// Empty reports whether the target says nothing of itself that anything reads.
func (n Notice) Empty() bool { return !n.Leaving && n.RestUntil.IsZero() && !n.Limited }

// said is what targets have said to this VM, by incarnation: it outlasts what else is known of
// them.
type said struct {
	rests      map[TargetID]rest
	departures map[TargetID]departure
	limits     map[TargetID]float64
}

func newSaid() said {
	return said{rests: make(map[TargetID]rest), departures: make(map[TargetID]departure), limits: make(map[TargetID]float64)}
}

// NoteLimit notes the limit that a target names, and reports whether it is new here.
func (r *Router) NoteLimit(id TargetID, notice Notice) bool {
	present, known := r.limits[id]
	switch {
	case notice.Limited && (!known || present != notice.Limit):
		r.limits[id] = notice.Limit
		return true
	case notice.Unlimited && known:
		delete(r.limits, id)
		return true
	}
	return false
}

// Limit returns the requests a second that a target has said to take from all VMs together, 0
// where it has named none.
func (r *Router) Limit(id TargetID) float64 { return r.limits[id] }

// UnreadName is a name that targets have used and that nothing reads, with how often they did.
type UnreadName struct {
	Name  string
	Count int
}

// Compare orders names.
func (u UnreadName) Compare(o UnreadName) int { return cmp.Compare(u.Name, o.Name) }

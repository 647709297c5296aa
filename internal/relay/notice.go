package relay

import "time"

// This file is what targets say of themselves to this VM with their answers; rests.go and
// departures.go say what becomes of it.

// Notice is what a target says of itself with an answer, whatever the answer is to.
type Notice struct {
	// Leaving says that it is about to end.
	Leaving bool
	// RestUntil is until when it wants nothing from this VM; zero where it asks for no rest.
	RestUntil time.Time
}

// said is what targets have said to this VM, by incarnation: it outlasts what else is known of
// them.
type said struct {
	rests      map[TargetID]rest
	departures map[TargetID]departure
}

func newSaid() said {
	return said{rests: make(map[TargetID]rest), departures: make(map[TargetID]departure)}
}

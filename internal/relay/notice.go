package relay

import "time"

// Notice is what a target says of itself with an answer, whatever the answer is to.
type Notice struct {
	// Leaving says that it is about to end.
	Leaving bool
	// RestUntil is until when it wants nothing from this VM; zero where it asks for no rest.
	RestUntil time.Time
}

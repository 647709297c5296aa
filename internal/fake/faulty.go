package fake

import (
	"math/rand/v2"
	"net/http"
	"strings"

	"github.com/spoolbank/spoolbank/internal/target"
)

// ServiceFaults are the shares of calls that a fake runner of a plain service runs and answers wrongly.
type ServiceFaults struct {
	// Lose is the share whose connection is closed without an answer. They are rejected as not run
	// when they come again.
	Lose float64
	// Endless is the share that get bytes that are no answer until the caller closes.
	Endless float64
}

// maxEndlessBytes bounds bytes without an end, in case that they are read.
const maxEndlessBytes = 1 << 30

// rejectsLost rejects a call that was run and not answered before, and reports whether it has.
func (s *Service) rejectsLost(w http.ResponseWriter, id string) bool {
	s.mu.Lock()
	lost := s.lost[id]
	s.mu.Unlock()
	if lost {
		w.Header().Set(target.HeaderNotRun, "it ran before")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return lost
}

// breakOff answers a call that has run wrongly, and reports whether it has.
func (s *Service) breakOff(w http.ResponseWriter, id string) bool {
	draw, faults := rand.Float64(), s.options.Faults
	if draw >= faults.Lose+faults.Endless {
		return false
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	if draw < faults.Lose {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lost[id] = true
		return true
	}
	piece := []byte(strings.Repeat("x", 64<<10))
	for written := 0; err == nil && written < maxEndlessBytes; written += len(piece) {
		_, err = conn.Write(piece)
	}
	return true
}

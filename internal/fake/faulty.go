package fake

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/spoolbank/spoolbank/internal/target"
)

// ServiceFaults are the shares of calls that a fake runner of a plain service runs and answers wrongly.
type ServiceFaults struct {
	// Lose is the share whose connection is closed without an answer. They are rejected as not run
	// when they come again.
	Lose float64
	// Endless is the share that get bytes that are no answer until the caller closes.
	Endless float64
	// CrashPath is the prefix of the paths of calls that crash the runner, empty if there are none. It
	// ends CrashAfter after it began one, and is down for Downtime.
	CrashPath            string
	CrashAfter, Downtime time.Duration
}

// maxEndlessBytes bounds bytes without an end, in case that they are read.
const maxEndlessBytes = 1 << 30

// Serve serves calls at an address until ctx is cancelled. The runner ends with all its connections
// where a call crashes it, and serves again after its downtime.
func (s *Service) Serve(ctx context.Context, address string) error {
	for ctx.Err() == nil {
		if err := s.serveOnce(ctx, address); err != nil {
			return err
		}
		pause(ctx, s.options.Faults.Downtime)
	}
	return nil
}

// serveOnce serves calls until the runner crashes or ctx is cancelled.
func (s *Service) serveOnce(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.crash = cancel
	s.mu.Unlock()
	server := &http.Server{Addr: address, Handler: s.Handler(), ReadHeaderTimeout: headTimeout}
	context.AfterFunc(ctx, func() { server.Close() })
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("fake runner: %w", err)
	}
	return nil
}

// crashesUnder ends the runner if a call crashes it, and reports whether it does.
func (s *Service) crashesUnder(r *http.Request) bool {
	faults := s.options.Faults
	if faults.CrashPath == "" || !strings.HasPrefix(r.URL.Path, faults.CrashPath) {
		return false
	}
	s.mu.Lock()
	crash := s.crash
	s.mu.Unlock()
	pause(context.Background(), faults.CrashAfter)
	if crash != nil {
		crash()
	}
	return true
}

// headTimeout bounds the wait for the head of a call.
const headTimeout = 5 * time.Second

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

package daemon_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// What targets that rest and leave answer. A rest is of 3 s.
var (
	resting = step{text: "HTTP/1.1 503 No\r\nId: a\r\nNot-Run: 1\r\nRest: 3\r\nContent-Length: 0\r\n\r\n"}
	leaving = step{runs: true, text: "HTTP/1.1 200 OK\r\nId: a\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nok"}
)

// A target that turned a VM away had asked it for 3 s of rest, and got three requests more from
// it in that time, each of which it turned away too. Nothing read what targets say of themselves
// with their answers: what kept the VM away was a pause of its own making, of 0.1 s that doubled
// up to 0.8 s. Nine of nineteen such callers were refused while two other targets had room.
// That the requests came 0.3 s and more after the refusal before, when the pause was over,
// proved it; here no other target is known, and time goes on by itself.
func TestATargetThatAsksForRestIsSentNothingMeanwhile(t *testing.T) {
	s := newSuspendable(t)
	w := newWorker(t, resting, served)
	g := newEntry(t, relay.RepeatAlways, 1, w)
	require.Equal(t, http.StatusServiceUnavailable, ask(t, g))
	for range 4 {
		s.ahead += 600 * time.Millisecond
		require.Equal(t, http.StatusServiceUnavailable, ask(t, g))
	}
	require.EqualValues(t, 1, w.next.Load(), "requests that reach it")
	s.ahead += time.Second
	require.Equal(t, http.StatusOK, ask(t, g), "its rest is over")
}

// A target that says with an answer that it leaves got requests until its heartbeats said so
// too, or for as long as it sent none. Nothing read it.
func TestATargetThatSaysThatItLeavesIsSentNothingMore(t *testing.T) {
	w := newWorker(t, leaving, served)
	g := newEntry(t, relay.RepeatAlways, 1, w)
	require.Equal(t, http.StatusOK, ask(t, g))
	for range 3 {
		require.Equal(t, http.StatusServiceUnavailable, ask(t, g))
	}
	require.EqualValues(t, 1, w.next.Load(), "requests that reach it")
}

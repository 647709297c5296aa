package core_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/fake"
)

// client is a caller that retries at another entry VM when it is disconnected,
// until it has a final answer.
type client struct {
	id, prompt string
	call       bool
	requests   []*callerRequest
	// processed counts the requests whose outcome has been processed.
	processed int
	nextVM    int
	text      string
	count     int
	outcome   string
	// nextAt is when it may send the next request.
	nextAt time.Time
}

const (
	outcomeComplete = "whole"
	outcomeNotRun   = "not run"
	outcomeUnknown  = "unknown"
	// outcomeMoved means that another connection of the same caller gets the answer.
	outcomeMoved = "moved"
)

// poll processes the client's newest request, and sends another one if needed.
func (w *world) poll(c *client) {
	if c.outcome != "" {
		return
	}
	if len(c.requests) > 0 && !c.requests[len(c.requests)-1].ended() {
		return
	}
	if len(c.requests) > 0 && c.processed < len(c.requests) {
		c.processed = len(c.requests)
		w.collect(c, c.requests[len(c.requests)-1])
	}
	if c.outcome != "" || w.now.Before(c.nextAt) {
		return
	}
	c.nextAt = w.now.Add(200 * time.Millisecond)
	name := w.names[c.nextVM%len(w.names)]
	c.nextVM++
	if c.call {
		c.requests = append(c.requests, w.call(name, c.id))
		return
	}
	c.requests = append(c.requests, w.stream(name, c.id, c.prompt, c.count))
}

// collect adds the results of a request to those of its client.
func (w *world) collect(c *client, a *callerRequest) {
	c.text += a.text.String()
	c.count = max(c.count, a.count)
	switch {
	case a.finished || a.answer != nil:
		c.outcome = outcomeComplete
	case a.refusal == nil:
	case a.refusal.Kind == core.RefusedMoved && c.call:
		c.outcome = outcomeMoved
	case a.refusal.Ran == core.RanUnknown:
		c.outcome = outcomeUnknown
	case a.refusal.Ran == core.RanNo && len(c.requests) > 20:
		c.outcome = outcomeNotRun
	}
}

// checkOutcome compares the final outcome of a client with the work that was run.
func (w *world) checkOutcome(t require.TestingT, c *client) {
	if c.call {
		runs := 0
		for _, r := range w.runners {
			runs += r.runs[core.RequestID("o/\""+c.id+"\"")]
		}
		require.LessOrEqual(t, runs, 1, "call %s ran %d times", c.id, runs)
		switch c.outcome {
		case outcomeComplete:
			require.Equal(t, 1, runs, "call %s has an answer", c.id)
		case outcomeNotRun:
			if w.onlyNotRun(c) {
				require.Zero(t, runs, "call %s was reported as not run", c.id)
			}
		}
		return
	}
	want, _ := fake.Expected(c.prompt, worldLayers, worldTokens)
	if c.outcome == outcomeComplete {
		require.Equal(t, want, c.text, "stream %s", c.id)
		return
	}
	require.Equal(t, want[:min(len(c.text), len(want))], c.text, "stream %s is a prefix of its answer", c.id)
}

// onlyNotRun reports whether every attempt was reported as not run.
func (w *world) onlyNotRun(c *client) bool {
	return !slices.ContainsFunc(c.requests, func(a *callerRequest) bool { return a.refusal == nil || a.refusal.Ran != core.RanNo })
}

// injectFault injects or undoes a random fault.
func (w *world) injectFault(t *rapid.T) {
	name := w.names[rapid.IntRange(0, len(w.names)-1).Draw(t, "vm")]
	v := w.vms[name]
	switch rapid.IntRange(0, 8).Draw(t, "fault") {
	case 0:
		if v.node != nil {
			w.crash(name)
		}
	case 1:
		if v.node == nil {
			w.start(name)
		}
	case 2:
		w.isolate(name, true)
	case 3:
		w.isolate(name, false)
	case 4:
		if v.node != nil {
			w.suspend(name)
		}
	case 5:
		if v.node != nil && v.suspended {
			w.resume(name)
		}
	case 6:
		w.dead[fmt.Sprintf("e%d", rapid.IntRange(1, 5).Draw(t, "engine"))] = true
	case 8:
		other := w.names[rapid.IntRange(0, len(w.names)-1).Draw(t, "other")]
		w.cut[[2]core.VMName{name, other}] = true
	case 7:
		w.restartEngine(fmt.Sprintf("e%d", rapid.IntRange(1, 5).Draw(t, "engine")))
	}
}

// clearFaults undoes all faults.
func (w *world) clearFaults() {
	w.loss = 0
	for _, name := range w.names {
		w.isolate(name, false)
		switch v := w.vms[name]; {
		case v.node == nil:
			w.start(name)
		case v.suspended:
			w.resume(name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(w.engines)) {
		if w.dead[name] {
			w.restartEngine(name)
		}
	}
}

func TestGuaranteesHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), 3, 2)
		w.setUp()
		w.loss = rapid.IntRange(0, 30).Draw(t, "loss")
		var clients []*client
		number := uint64(1000)
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				w.injectFault(t)
			case 1:
				id := fmt.Sprintf("id%d", len(clients))
				clients = append(clients, &client{id: id, prompt: "prompt of " + id, nextVM: rapid.IntRange(0, 4).Draw(t, "turn")})
			case 2:
				id := fmt.Sprintf("call%d", len(clients))
				turn := rapid.IntRange(0, 4).Draw(t, "turn")
				clients = append(clients, &client{id: id, call: true, nextVM: turn}, &client{id: id, call: true, nextVM: turn + 1})
			case 3:
				number++
				name := w.names[rapid.IntRange(0, 2).Draw(t, "operator's VM")]
				w.command(name, fmt.Sprintf("set organisation o weight=%d", number), "op", number, 0)
				reader := w.names[rapid.IntRange(0, 2).Draw(t, "reader's VM")]
				w.command(reader, "show config", "", 0, 0)
			}
			for range rapid.IntRange(1, 60).Draw(t, "ticks") {
				w.advance(tickEvery)
				for _, c := range clients {
					w.poll(c)
				}
			}
		}
		w.clearFaults()
		w.until("all clients have a final answer", 200*time.Second, func() bool {
			done := true
			for _, c := range clients {
				w.poll(c)
				done = done && c.outcome != ""
			}
			return done
		})
		for _, c := range clients {
			w.checkOutcome(t, c)
		}
		w.until("all entry VMs have the accepted revision", 30*time.Second, func() bool {
			for _, v := range w.vms {
				if s := v.node.Status(); s.EntryRevision < w.accepted || !s.HasLease {
					return false
				}
			}
			return true
		})
	})
}

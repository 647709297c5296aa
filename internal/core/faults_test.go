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

// client is a caller that comes back to another entry VM when it is cut off,
// and gives up only on a final answer.
type client struct {
	id, prompt string
	call       bool
	asks       []*ask
	// taken counts the asks whose outcome has been looked at.
	taken   int
	turn    int
	text    string
	count   int
	outcome string
	// nextAt is when it asks again.
	nextAt time.Time
}

const (
	outcomeWhole   = "whole"
	outcomeNotRun  = "not run"
	outcomeUnknown = "unknown"
	// outcomeMoved: another connection of the same caller gets the answer.
	outcomeMoved = "moved"
)

// follow looks at the client's newest ask, and asks again where that helps.
func (w *world) follow(c *client) {
	if c.outcome != "" {
		return
	}
	if len(c.asks) > 0 && !c.asks[len(c.asks)-1].ended() {
		return
	}
	if len(c.asks) > 0 && c.taken < len(c.asks) {
		c.taken = len(c.asks)
		w.take(c, c.asks[len(c.asks)-1])
	}
	if c.outcome != "" || w.now.Before(c.nextAt) {
		return
	}
	c.nextAt = w.now.Add(200 * time.Millisecond)
	name := w.names[c.turn%len(w.names)]
	c.turn++
	if c.call {
		c.asks = append(c.asks, w.call(name, c.id))
		return
	}
	c.asks = append(c.asks, w.stream(name, c.id, c.prompt, c.count))
}

// take adds what an ask brought to what its client has.
func (w *world) take(c *client, a *ask) {
	c.text += a.text.String()
	c.count = max(c.count, a.count)
	switch {
	case a.finished || a.answer != nil:
		c.outcome = outcomeWhole
	case a.refusal == nil:
	case a.refusal.Kind == core.RefusedMoved && c.call:
		c.outcome = outcomeMoved
	case a.refusal.Ran == core.RanUnknown:
		c.outcome = outcomeUnknown
	case a.refusal.Ran == core.RanNo && len(c.asks) > 20:
		c.outcome = outcomeNotRun
	}
}

// judge checks what a client has in the end against what was run.
func (w *world) judge(t require.TestingT, c *client) {
	if c.call {
		runs := 0
		for _, r := range w.runners {
			runs += r.runs[core.RequestID("o/\""+c.id+"\"")]
		}
		require.LessOrEqual(t, runs, 1, "call %s ran %d times", c.id, runs)
		switch c.outcome {
		case outcomeWhole:
			require.Equal(t, 1, runs, "call %s has an answer", c.id)
		case outcomeNotRun:
			if w.onlyNotRun(c) {
				require.Zero(t, runs, "call %s was told that it was not run", c.id)
			}
		}
		return
	}
	want, _ := fake.Expected(c.prompt, worldLayers, worldTokens)
	if c.outcome == outcomeWhole {
		require.Equal(t, want, c.text, "stream %s", c.id)
		return
	}
	require.Equal(t, want[:min(len(c.text), len(want))], c.text, "stream %s is a beginning of its answer", c.id)
}

// onlyNotRun reports whether every attempt was told that it was not run.
func (w *world) onlyNotRun(c *client) bool {
	return !slices.ContainsFunc(c.asks, func(a *ask) bool { return a.refusal == nil || a.refusal.Ran != core.RanNo })
}

// faults are the things that go wrong, each undone by the next mend.
func (w *world) fault(t *rapid.T) {
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
			w.freeze(name)
		}
	case 5:
		if v.node != nil && v.frozen {
			w.thaw(name)
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

// mend undoes all faults.
func (w *world) mend() {
	w.loss = 0
	for _, name := range w.names {
		w.isolate(name, false)
		switch v := w.vms[name]; {
		case v.node == nil:
			w.start(name)
		case v.frozen:
			w.thaw(name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(w.engines)) {
		if w.dead[name] {
			w.restartEngine(name)
		}
	}
}

func TestFaultsBreakNoPromise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), 3, 2)
		w.setUp()
		w.loss = rapid.IntRange(0, 30).Draw(t, "loss")
		var clients []*client
		number := uint64(1000)
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				w.fault(t)
			case 1:
				id := fmt.Sprintf("id%d", len(clients))
				clients = append(clients, &client{id: id, prompt: "prompt of " + id, turn: rapid.IntRange(0, 4).Draw(t, "turn")})
			case 2:
				id := fmt.Sprintf("call%d", len(clients))
				turn := rapid.IntRange(0, 4).Draw(t, "turn")
				clients = append(clients, &client{id: id, call: true, turn: turn}, &client{id: id, call: true, turn: turn + 1})
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
					w.follow(c)
				}
			}
		}
		w.mend()
		w.until("all clients have a final answer", 200*time.Second, func() bool {
			done := true
			for _, c := range clients {
				w.follow(c)
				done = done && c.outcome != ""
			}
			return done
		})
		for _, c := range clients {
			w.judge(t, c)
		}
		w.until("the accepted revision is everywhere", 30*time.Second, func() bool {
			for _, v := range w.vms {
				if s := v.node.Status(); s.EntryRevision < w.accepted || !s.HasLease {
					return false
				}
			}
			return true
		})
	})
}

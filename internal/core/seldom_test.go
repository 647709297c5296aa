package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// slowHeartbeatFleet is a leader with targets that send a heartbeat every 3 s.
type slowHeartbeatFleet struct {
	node *core.Node
	now  time.Time
	// seen is the newest change that was sent to the following VM e1, and updates counts the
	// targets in the messages sent to it.
	seen    uint64
	updates int
}

const slowHeartbeat = 3 * time.Second

func (f *slowHeartbeatFleet) step(event core.Event) []core.Effect {
	effects := f.node.Step(f.now, event)
	for _, news := range updatesTo(effects, "e1") {
		f.seen = max(f.seen, news.Through)
		f.updates += len(news.Targets) + len(news.Updates)
		f.step(from("e1", core.Message{Follow: &core.Follow{Incarnation: news.Incarnation, After: f.seen, Acknowledge: true}}))
	}
	return effects
}

// heartbeats sends one heartbeat of each target, spread over a time.
func (f *slowHeartbeatFleet) heartbeats(targets int, call uint64, over time.Duration) {
	f.step(from("e1", core.Message{Follow: &core.Follow{Incarnation: 3, After: f.seen}}))
	for i := range targets {
		f.now = f.now.Add(over / time.Duration(targets))
		f.step(core.TargetSpoke{Conn: 1, Target: relay.Target{ID: relay.TargetID(fmt.Sprintf("i-%03d", i)), Address: fmt.Sprintf("10.1.0.%d:80", i), Call: call}})
		f.step(core.Tick{})
	}
}

// marked returns the number of marked targets in the grant for a newly started VM.
func (f *slowHeartbeatFleet) marked() int {
	marks := 0
	for _, effect := range f.step(from("e2", core.Message{Renew: &core.Renew{Number: uint64(f.now.UnixNano()), Address: core.EntryAddress{VM: "e2"}}})) {
		if send, ok := effect.(core.Send); ok && send.Envelope.Body.Grant != nil {
			marks += len(send.Envelope.Body.Grant.Marks)
		}
	}
	return marks
}

// Regression: with thousands of targets whose heartbeats, one every 3 s, were half a second
// late, each target counted as lost before its next heartbeat, which then was an update to every
// VM.
func TestTargetsWithLongHeartbeatIntervalAreNotLost(t *testing.T) {
	const targets, late = 300, 500 * time.Millisecond
	timing := core.DefaultTiming()
	timing.TargetHeartbeat = slowHeartbeat
	f := &slowHeartbeatFleet{node: controlNodeWith(timing, nil, time.Unix(100, 0))}
	f.now = lead(f.node, time.Unix(100, 0))
	f.heartbeats(targets, 1, slowHeartbeat+late)
	f.heartbeats(targets, 2, slowHeartbeat+late)
	f.updates = 0
	for call := uint64(3); call < 6; call++ {
		f.heartbeats(targets, call, slowHeartbeat+late)
		require.Zero(t, f.marked(), "all targets are live")
	}
	require.Zero(t, f.updates, "no heartbeat caused an update")

	for until := f.now.Add(relay.LossTimeout(slowHeartbeat) + late); f.now.Before(until); {
		f.now = f.now.Add(20 * time.Millisecond)
		f.step(core.Tick{})
	}
	require.Equal(t, targets, f.marked(), "two and a half heartbeats are missing")
}

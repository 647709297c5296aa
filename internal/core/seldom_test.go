package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// seldomFleet is a leader whose targets say every 3 s that they live.
type seldomFleet struct {
	node *core.Node
	now  time.Time
	// seen is the change that the VM e1, which follows, has been told of last, and news counts
	// the targets that it was told of.
	seen uint64
	news int
}

const seldomHeartbeat = 3 * time.Second

func (f *seldomFleet) step(event core.Event) []core.Effect {
	effects := f.node.Step(f.now, event)
	for _, news := range newsTo(effects, "e1") {
		f.seen = max(f.seen, news.Upto)
		f.news += len(news.Targets) + len(news.Updates)
		f.step(from("e1", core.Message{Follow: &core.Follow{Incarnation: news.Incarnation, After: f.seen, Came: true}}))
	}
	return effects
}

// speak has all targets speak once, over a time.
func (f *seldomFleet) speak(targets int, call uint64, over time.Duration) {
	f.step(from("e1", core.Message{Follow: &core.Follow{Incarnation: 3, After: f.seen}}))
	for i := range targets {
		f.now = f.now.Add(over / time.Duration(targets))
		f.step(core.TargetSpoke{Conn: 1, Target: relay.Target{ID: relay.TargetID(fmt.Sprintf("i-%03d", i)), Address: fmt.Sprintf("10.1.0.%d:80", i), Call: call}})
		f.step(core.Tick{})
	}
}

// marked returns how many targets a VM that has just come is told are marked.
func (f *seldomFleet) marked() int {
	marks := 0
	for _, effect := range f.step(from("e2", core.Message{Renew: &core.Renew{Number: uint64(f.now.UnixNano()), Address: core.EntryAddress{VM: "e2"}}})) {
		if send, ok := effect.(core.Send); ok && send.Envelope.Body.Grant != nil {
			marks += len(send.Envelope.Body.Grant.Marks)
		}
	}
	return marks
}

// Pattern: thousands of targets that say every 3 s that they live, half a second late. Each
// was taken for lost before its next heartbeat, which was news to every VM then.
func TestTargetsThatSpeakSeldomAreNotLost(t *testing.T) {
	const targets, late = 300, 500 * time.Millisecond
	timing := core.DefaultTiming()
	timing.TargetHeartbeat = seldomHeartbeat
	f := &seldomFleet{node: controlNodeWith(timing, nil, time.Unix(100, 0))}
	f.now = lead(f.node, time.Unix(100, 0))
	f.speak(targets, 1, seldomHeartbeat+late)
	f.speak(targets, 2, seldomHeartbeat+late)
	f.news = 0
	for call := uint64(3); call < 6; call++ {
		f.speak(targets, call, seldomHeartbeat+late)
		require.Zero(t, f.marked(), "all of them live")
	}
	require.Zero(t, f.news, "nothing that they said was new")

	for until := f.now.Add(relay.SilentAfter(seldomHeartbeat) + late); f.now.Before(until); {
		f.now = f.now.Add(20 * time.Millisecond)
		f.step(core.Tick{})
	}
	require.Equal(t, targets, f.marked(), "two heartbeats and a half have not come")
}

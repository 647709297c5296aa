package core_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// namingNode is a sole control VM whose documents name the services listed in their text.
type namingNode struct {
	*core.Node
	now   time.Time
	saved []relay.Target
}

func newNamingNode(first string) *namingNode {
	self := core.ReplicaID{VM: "c1", Incarnation: 1}
	n := &namingNode{now: time.Unix(100, 0)}
	state := config.State{}
	if first != "" {
		state.Document = config.Document{Version: 1, Source: []byte(first)}
	}
	n.Node = core.New(core.Settings{
		Self: self, Cluster: "c", Control: true, ControlVMs: []core.VMName{"c1"}, Voters: 1, SnapshotEvery: 100,
		Timing: core.DefaultTiming(), Seed: 4,
		DecodeDocument: func(text []byte) (*relay.Document, error) {
			d := &relay.Document{Version: 1}
			for _, name := range strings.Fields(string(text)) {
				d.Services = append(d.Services, relay.Service{Name: name})
			}
			return d, nil
		},
	}, core.Recovered{Snapshot: core.Snapshot{Index: 1, Term: 1, Members: core.NewMembership(self), Machine: core.StateMachine{Config: state}}}, n.now)
	n.run(2 * time.Second)
	return n
}

func (n *namingNode) step(event core.Event) []core.Effect {
	effects := n.Step(n.now, event)
	settle(n.Node, n.now, effects)
	for _, effect := range effects {
		if save, ok := effect.(core.SaveTargets); ok {
			n.saved = save.Targets
		}
	}
	return effects
}

func (n *namingNode) run(d time.Duration) {
	for until := n.now.Add(d); n.now.Before(until); {
		n.now = n.now.Add(20 * time.Millisecond)
		n.step(core.Tick{})
	}
}

// sendReport passes a target's report to the node and returns the answer.
func (n *namingNode) sendReport(t relay.Target) core.TargetReportReply {
	for _, effect := range n.step(core.TargetSpoke{Conn: 1, Target: t}) {
		if heard, ok := effect.(core.TargetReportReply); ok {
			return heard
		}
	}
	return core.TargetReportReply{}
}

func (n *namingNode) put(version uint64, text string) {
	n.step(core.DocumentPut{Conn: 2, Document: config.Document{Version: version, Source: []byte(text)}})
}

// Regression: the target of a service that no document names reached every VM and the disk.
func TestTargetOfUnnamedServiceIsHeldBack(t *testing.T) {
	n := newNamingNode("s")
	good := relay.Target{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Call: 1}
	require.Equal(t, core.TargetReportReply{Conn: 1, Accepted: true}, n.sendReport(good))
	reply := n.sendReport(relay.Target{ID: "i-2", Service: "nowhere", Address: "10.0.0.2:80", Call: 1})
	require.Equal(t, core.TargetReportReply{Conn: 1, Accepted: true, HeldBack: true}, reply, "it is acknowledged, since it would otherwise try every control VM")
	n.run(time.Second)
	require.Equal(t, []relay.Target{good}, follow(n.Node, n.now))
	require.Equal(t, []relay.Target{good}, n.saved)
}

func TestReportOfUnnamedServiceReplacesNothing(t *testing.T) {
	n := newNamingNode("s")
	good := relay.Target{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Call: 1}
	n.sendReport(good)
	n.sendReport(relay.Target{ID: "i-1", Service: "nowhere", Address: "10.0.0.9:80", Call: 2, Leaving: true})
	n.run(time.Second)
	require.Equal(t, []relay.Target{good}, follow(n.Node, n.now))
}

func TestHeldBackTargetIsAcceptedOnceServiceIsNamed(t *testing.T) {
	n := newNamingNode("s")
	early := relay.Target{ID: "i-2", Service: "next", Address: "10.0.0.2:80", Call: 1}
	leaving := relay.Target{ID: "i-3", Service: "next", Address: "10.0.0.3:80", Call: 2, Leaving: true}
	n.sendReport(early)
	n.sendReport(leaving)
	require.Empty(t, follow(n.Node, n.now))
	n.put(2, "s next")
	n.run(time.Second)
	require.Equal(t, []relay.Target{early, leaving}, follow(n.Node, n.now), "without another report of the targets")
}

func TestTargetsReportBeforeFirstDocument(t *testing.T) {
	n := newNamingNode("")
	n.sendReport(relay.Target{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Call: 1})
	n.put(1, "s")
	n.run(time.Second)
	require.Len(t, follow(n.Node, n.now), 1)
}

// Anybody may send any number of such reports.
func TestHeldBackTargetsAreBounded(t *testing.T) {
	n := newNamingNode("s")
	const many = 3100
	for i := range many {
		n.sendReport(relay.Target{ID: relay.TargetID(fmt.Sprint("i-", i)), Service: "next", Call: 1})
	}
	n.put(2, "s next")
	n.run(time.Second)
	require.Len(t, follow(n.Node, n.now), 3000)
	n.sendReport(relay.Target{ID: "i-1", Service: "nowhere", Call: 1})
	n.run(10 * time.Second)
	n.put(3, "s next nowhere")
	n.run(time.Second)
	for _, target := range follow(n.Node, n.now) {
		require.Equal(t, "next", target.Service, "a target that has become silent isn't accepted")
	}
}

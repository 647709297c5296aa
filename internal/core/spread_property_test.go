package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// registryCluster simulates control VMs that targets report to, and entry VMs that follow them.
// Each control VM leads a cluster of its own, so that it always accepts reports.
type registryCluster struct {
	t            *rapid.T
	now          time.Time
	nodes        map[core.VMName]*core.Node
	incarnations uint64
	learned      map[core.VMName]map[relay.TargetID]relay.Target
	truth        map[relay.TargetID]relay.Target
	lossy        bool
	messages     []core.Envelope
}

var (
	spreadControls = []core.VMName{"c1", "c2", "c3"}
	spreadEntries  = []core.VMName{"e1", "e2"}
)

func newRegistryCluster(t *rapid.T) *registryCluster {
	s := &registryCluster{
		t: t, now: time.Unix(100, 0), nodes: make(map[core.VMName]*core.Node),
		learned: make(map[core.VMName]map[relay.TargetID]relay.Target), truth: make(map[relay.TargetID]relay.Target),
	}
	for _, vm := range spreadControls {
		s.start(vm)
	}
	for _, vm := range spreadEntries {
		s.start(vm)
	}
	s.run(3 * time.Second)
	return s
}

// start starts a new incarnation of a VM without any state.
func (s *registryCluster) start(vm core.VMName) {
	s.incarnations++
	self := core.ReplicaID{VM: vm, Incarnation: core.Incarnation(s.incarnations)}
	settings := core.Settings{
		Self: self, Cluster: "c", Control: vm[0] == 'c', Entry: vm[0] == 'e', ControlVMs: spreadControls,
		Voters: 1, SnapshotEvery: 100, Timing: core.DefaultTiming(), Seed: s.incarnations,
		DecodeDocument: func([]byte) (*relay.Document, error) { return &relay.Document{Version: 1}, nil },
	}
	recovered := core.Recovered{}
	if settings.Control {
		recovered.Snapshot = core.Snapshot{Index: 1, Term: 1, Members: core.NewMembership(self)}
	}
	s.nodes[vm] = core.New(settings, recovered, s.now)
	s.learned[vm] = make(map[relay.TargetID]relay.Target)
}

// step passes an event to a VM, and records what it learns and sends.
func (s *registryCluster) step(vm core.VMName, event core.Event) {
	sequence := uint64(0)
	for _, effect := range s.nodes[vm].Step(s.now, event) {
		switch e := effect.(type) {
		case core.Persist:
			sequence = e.Sequence
		case core.TargetsLearned:
			for _, target := range e.Targets {
				s.learned[vm][target.ID] = target
			}
		case core.TargetsEnded:
			for _, ended := range e.Ended {
				delete(s.learned[vm], ended.Old)
			}
		case core.Send:
			spreads := e.Envelope.Body.Follow != nil || e.Envelope.Body.TargetNews != nil
			if spreads && !(s.lossy && rapid.IntRange(0, 3).Draw(s.t, "loss") == 0) {
				s.messages = append(s.messages, e.Envelope)
			}
		}
	}
	if sequence > 0 {
		s.step(vm, core.Persisted{Sequence: sequence})
	}
}

// run advances time and delivers messages.
func (s *registryCluster) run(d time.Duration) {
	for until := s.now.Add(d); s.now.Before(until); {
		s.now = s.now.Add(50 * time.Millisecond)
		for _, vm := range append(append([]core.VMName(nil), spreadControls...), spreadEntries...) {
			s.step(vm, core.Tick{})
		}
		for len(s.messages) > 0 {
			e := s.messages[0]
			s.messages = s.messages[1:]
			s.step(e.To, core.Received{Envelope: e})
		}
	}
}

// sendReport sends a target's report to a control VM.
func (s *registryCluster) sendReport(id relay.TargetID, to core.VMName) {
	target := s.truth[id]
	target.Call++
	s.truth[id] = target
	s.step(to, core.TargetSpoke{Conn: 1, Target: target})
}

// Whatever is lost and whichever VMs restart, the reports of targets reach every entry VM once
// the targets have repeated them.
func TestMessagesReachEveryEntryVM(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newRegistryCluster(t)
		control := rapid.SampledFrom(spreadControls)
		id := rapid.Custom(func(t *rapid.T) relay.TargetID {
			return relay.TargetID(fmt.Sprintf("i-%d", rapid.IntRange(1, 4).Draw(t, "target")))
		})
		s.lossy = true
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				name := id.Draw(t, "id")
				target := s.truth[name]
				first := rapid.IntRange(0, 70).Draw(t, "first")
				target.ID, target.Service, target.Address = name, "s", "10.0.0.1:"+string(name)
				target.Layers = config.Range{First: first, Last: first + 10}
				target.Leaving = target.Leaving || rapid.IntRange(0, 3).Draw(t, "leaves") == 0
				s.truth[name] = target
				s.sendReport(name, control.Draw(t, "to"))
			case 2:
				if name := id.Draw(t, "id"); s.truth[name].ID != "" {
					s.sendReport(name, control.Draw(t, "to"))
				}
			case 3:
				s.start(control.Draw(t, "control VM"))
			case 4:
				s.start(rapid.SampledFrom(spreadEntries).Draw(t, "entry VM"))
			}
			s.run(time.Duration(rapid.IntRange(1, 30).Draw(t, "time")) * 50 * time.Millisecond)
		}
		s.lossy = false
		s.run(2 * time.Second)
		for name := range s.truth {
			s.sendReport(name, control.Draw(t, "at last to"))
		}
		s.run(6 * time.Second)
		for _, vm := range spreadEntries {
			for name, want := range s.truth {
				got := s.learned[vm][name]
				require.Equal(t, want.Layers, got.Layers, "%s of %s", name, vm)
				require.Equal(t, want.Leaving, got.Leaving, "%s of %s", name, vm)
			}
		}
	})
}

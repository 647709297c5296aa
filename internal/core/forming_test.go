package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
)

func joinOf(vm core.VMName, volatile bool) core.Received {
	return core.Received{Envelope: core.Envelope{
		From: core.ReplicaID{VM: vm, Incarnation: 7}, To: "c1", Body: core.Message{Join: &core.Join{Volatile: volatile}},
	}}
}

// bootstrapDelegates returns the VMs that a Node asked to bootstrap the cluster.
func bootstrapDelegates(effects []core.Effect) []core.VMName {
	var vms []core.VMName
	for _, effect := range effects {
		if send, ok := effect.(core.Send); ok && send.Envelope.Body.Begin != nil {
			vms = append(vms, send.Envelope.To)
		}
	}
	return vms
}

// Guards against a deployment whose first seed has no disk never forming a cluster.
func TestSeedWithoutDiskDelegatesBootstrapToOneVM(t *testing.T) {
	now := time.Unix(100, 0)
	settings := core.Settings{
		Self: core.ReplicaID{VM: "c1", Incarnation: 1}, Control: true, Volatile: true, DelegatesBootstrap: true,
		ControlVMs: []core.VMName{"c1"}, Voters: 3, SnapshotEvery: 100, Timing: core.DefaultTiming(), Seed: 3,
	}
	n := core.New(settings, core.Recovered{}, now)
	require.Empty(t, bootstrapDelegates(n.Step(now, joinOf("c2", true))))
	require.Equal(t, []core.VMName{"c3"}, bootstrapDelegates(n.Step(now, joinOf("c3", false))))
	require.Empty(t, bootstrapDelegates(n.Step(now, joinOf("c4", false))))
	require.Equal(t, []core.VMName{"c3"}, bootstrapDelegates(n.Step(now, joinOf("c3", false))))
}

func TestDelegateBootstrapsOnce(t *testing.T) {
	now := time.Unix(100, 0)
	settings := core.Settings{
		Self: core.ReplicaID{VM: "c3", Incarnation: 7}, Control: true,
		ControlVMs: []core.VMName{"c1"}, Voters: 1, SnapshotEvery: 100, Timing: core.DefaultTiming(), Seed: 3,
	}
	n := core.New(settings, core.Recovered{}, now)
	begin := core.Received{Envelope: core.Envelope{From: core.ReplicaID{VM: "c1", Incarnation: 1}, To: "c3", Body: core.Message{Begin: &core.BootstrapRequest{}}}}
	saved := 0
	for range 2 {
		for _, effect := range n.Step(now, begin) {
			if _, ok := effect.(core.SaveSnapshot); ok {
				saved++
			}
		}
	}
	require.Equal(t, 1, saved)
	n.Step(now, core.Persisted{Sequence: 1})
	lead(n, now)
	require.Equal(t, "leader", n.Status().Role)
}

// runWithFollower steps a leader 4000 times, starting with the event first, and acknowledges
// the entries that it sends to c9.
func runWithFollower(n *core.Node, now time.Time, first core.Event) {
	queue := []core.Event{first}
	for step := 0; step < 4000; step++ {
		if len(queue) == 0 {
			now = now.Add(20 * time.Millisecond)
			queue = append(queue, core.Tick{})
		}
		event := queue[0]
		queue = queue[1:]
		for _, effect := range n.Step(now, event) {
			switch e := effect.(type) {
			case core.Persist:
				queue = append(queue, core.Persisted{Sequence: e.Sequence})
			case core.Send:
				if a := e.Envelope.Body.Append; a != nil && e.Envelope.To == "c9" {
					queue = append(queue, core.Received{Envelope: core.Envelope{
						From: core.ReplicaID{VM: "c9", Incarnation: 7}, To: "c1", Body: core.Message{AppendReply: &core.AppendReply{
							Term: a.Term, Match: a.PrevIndex + core.Index(len(a.Entries)), Round: a.Round,
						}},
					}})
				}
			}
		}
	}
}

// A member without a disk must follow the log and never get a vote; one with a disk gets one.
func TestMembersWithoutDiskGetNoVote(t *testing.T) {
	for _, volatile := range []bool{true, false} {
		now := time.Unix(100, 0)
		self := core.ReplicaID{VM: "c1", Incarnation: 1}
		n := core.New(core.Settings{
			Self: self, Cluster: "c", Control: true, ControlVMs: []core.VMName{"c1"}, Voters: 3, SnapshotEvery: 100,
			Timing: core.DefaultTiming(), Seed: 3,
		}, core.Recovered{Snapshot: core.Snapshot{Index: 1, Term: 1, Members: core.NewMembership(self)}}, now)
		now = lead(n, now)
		runWithFollower(n, now, joinOf("c9", volatile))
		require.Len(t, n.Status().Members, 2)
		for _, m := range n.Status().Members {
			require.Equal(t, m.ID.VM == "c1" || !volatile, m.Voter, "volatile %v", volatile)
		}
	}
}

package core_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/internal/wire"
)

// benchStages is the number of engines at which an entry VM has work: about 5 requests with 8
// stages each.
const benchStages = 40

// fleetBench is a leader with the target and entry VM traffic of the users' deployments.
type fleetBench struct {
	b       *testing.B
	node    *core.Node
	now     time.Time
	rand    *rand.Rand
	vms     int
	targets []relay.Target
	seen    []uint64
	asked   []uint64
	bytes   int
}

// engineDocument returns a document of one service with engines.
func engineDocument([]byte) (*relay.Document, error) {
	return &relay.Document{Version: 1, Services: []relay.Service{{
		Name: "s", MaxConns: 900, Engine: &relay.Engine{
			Slots: 192, Layers: 80, LayerBytes: 1750e6, TokenBytes: 393e3,
			Accelerators: []relay.Accelerator{{Name: "l4", Bytes: 21600e6, StepFactor: 16, ReadFactor: 8}},
			UsualPrompt:  770, UsualAnswer: 170,
		},
	}}}, nil
}

func newFleetBench(b *testing.B, vms int) *fleetBench {
	self := core.ReplicaID{VM: "c1", Incarnation: 1}
	f := &fleetBench{b: b, vms: vms, now: time.Unix(100, 0), rand: rand.New(rand.NewPCG(1, 1)), seen: make([]uint64, vms), asked: make([]uint64, vms)}
	members := core.NewMembership(self)
	state := config.State{Document: config.Document{Version: 1, Source: []byte("x")}}
	f.node = core.New(core.Settings{
		Self: self, Cluster: "c", Control: true, ControlVMs: []core.VMName{"c1"}, Voters: 1, SnapshotEvery: 100,
		Timing: core.DefaultTiming(), Seed: 3, DecodeDocument: engineDocument,
	}, core.Recovered{Snapshot: core.Snapshot{Index: 1, Term: 1, Members: members, Machine: core.StateMachine{Config: state}}}, f.now)
	f.now = lead(f.node, f.now)
	for i := range 10 * vms {
		first := 8 * (i % 10)
		f.targets = append(f.targets, relay.Target{
			ID: relay.TargetID(fmt.Sprintf("i-%010d", i)), Service: "s", Address: fmt.Sprintf("10.1.%d.%d:8607", i/250, i%250),
			Hall: fmt.Sprintf("hall%d", i/10%3), Accelerator: "l4", Slots: 192, Layers: config.Range{First: first, Last: first + 8},
		})
	}
	return f
}

// runSecond simulates one second of a leader: one report of each target, two renewals of each
// entry VM, and its ticks.
func (f *fleetBench) runSecond() {
	const ticks = 50
	for tick := range ticks {
		f.now = f.now.Add(time.Second / ticks)
		f.send(f.node.Step(f.now, core.Tick{}))
		for i := tick; i < 2*f.vms; i += ticks {
			f.renew(i % f.vms)
		}
		for i := tick; i < len(f.targets); i += ticks {
			f.targets[i].Call++
			f.send(f.node.Step(f.now, core.TargetSpoke{Conn: 1, Target: f.targets[i]}))
		}
	}
}

func (f *fleetBench) renew(vm int) {
	f.asked[vm]++
	name := core.VMName(fmt.Sprintf("10.2.%d.%d:7681", vm/250, vm%250))
	work := make(map[relay.TargetKey]relay.Work)
	var sound []relay.TargetKey
	for range benchStages {
		id := f.targets[f.rand.IntN(len(f.targets))].ID.Key()
		work[id] = relay.Work{Requests: 1 + f.rand.IntN(3), Tokens: 900, Unread: f.rand.IntN(800)}
		sound = append(sound, id)
	}
	text, err := wire.Marshal(from(name, core.Message{Renew: &core.Renew{
		Number: f.asked[vm], Address: core.EntryAddress{VM: name, Hall: "hall1", Callers: string(name), Peers: string(name)}, WorkSeen: f.seen[vm], Work: work, Healthy: sound,
	}}).Envelope)
	require.NoError(f.b, err)
	var e core.Envelope
	require.NoError(f.b, wire.Unmarshal(text, &e))
	for _, g := range f.send(f.node.Step(f.now, core.Received{Envelope: e})) {
		f.seen[vm] = g.WorkThrough
	}
}

// send encodes all messages and returns the grants among them.
func (f *fleetBench) send(effects []core.Effect) (grants []*core.Grant) {
	for _, effect := range effects {
		if e, ok := effect.(core.Send); ok {
			text, err := wire.Marshal(&e.Envelope)
			require.NoError(f.b, err)
			f.bytes += len(text)
			if e.Envelope.Body.Grant != nil {
				grants = append(grants, e.Envelope.Body.Grant)
			}
		}
	}
	return grants
}

// BenchmarkFleetSecond measures the cost of one second to a leader that all targets register
// with, by the number of entry VMs.
func BenchmarkFleetSecond(b *testing.B) {
	for _, vms := range []int{10, 30, 100, 300} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			f := newFleetBench(b, vms)
			for range 4 {
				f.runSecond()
			}
			f.bytes = 0
			for b.Loop() {
				f.runSecond()
			}
			b.ReportMetric(float64(f.bytes)/float64(b.N)/float64(vms), "B/VM")
		})
	}
}

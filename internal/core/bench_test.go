package core_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/core/plan"
	"github.com/spoolbank/spoolbank/internal/wire"
	"github.com/spoolbank/spoolbank/query"
)

// rig drives one Node step by step, to measure the costs in docs/CAPACITY.md.
type rig struct {
	t    require.TestingT
	node *core.Node
	now  time.Time
	// sent counts messages and bytes their total size; bytes < 0 turns its count off.
	sent  int
	bytes int
	// kept counts batches to keepers.
	kept    int
	keepers map[core.VMName]bool
	// renewal is the size of the newest renewal, in bytes.
	renewal int
	// emitted counts the tokens that were sent to callers.
	emitted int
	conn    core.ConnID
	asked   uint64
	// claim is the newest outcome of a claim.
	claim core.ClaimOutcome
	// result is the newest answer to an operator.
	result core.Result
}

const (
	benchLayers = 32
	chainLength = 4
)

// benchConfig returns a configuration with the given number of targets, in
// ready chains of four, and of organisations.
func benchConfig(t require.TestingT, targets, organisations int) config.State {
	var s config.State
	changes := []config.Change{
		{Model: &config.Model{Name: "m", Layers: benchLayers, Versions: []string{"v1"}}},
		{Pipeline: &config.Pipeline{Name: "p", Model: "m", Version: "v1", Class: 1, MaxTokens: 1 << 20}},
		{Service: &config.Service{Name: "sign"}},
		{Target: &config.Target{Name: "s1", Address: "10.0.0.1:1", Hall: "hall", Service: "sign", Slots: 1 << 20}},
	}
	for i := range organisations {
		changes = append(changes, config.Change{Organisation: &config.Organisation{Name: fmt.Sprintf("o%d", i), Key: config.HashKey(fmt.Sprintf("key%d", i)), Weight: 1}})
	}
	for i := range targets {
		changes = append(changes, config.Change{Target: &config.Target{
			Name: fmt.Sprintf("t%03d", i), Address: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250), Hall: fmt.Sprintf("hall%d", i/chainLength%7),
			Accelerator: "a100", Speed: 4000, Memory: benchLayers / chainLength, Slots: 64, Fence: true,
		}})
	}
	s, err := s.Apply(1, changes)
	require.NoError(t, err)
	placed := plan.Changes(s)
	for i := range placed {
		ready := placed[i].Place.WithReady()
		placed[i].Place = &ready
	}
	s, err = s.Apply(2, placed)
	require.NoError(t, err)
	return s
}

func benchView(entries int) []core.EntryView {
	var view []core.EntryView
	for i := range entries {
		name := core.VMName(fmt.Sprintf("vm%03d", i))
		address := fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250)
		view = append(view, core.EntryView{Address: core.EntryAddress{VM: name, Hall: fmt.Sprintf("hall%d", i%7), Callers: address, Peers: address}, Incarnation: core.Incarnation(i)})
	}
	return view
}

// newEntryRig returns an entry VM that holds a lease.
func newEntryRig(t require.TestingT, targets, entries, organisations int) *rig {
	r := &rig{t: t, now: epochStart, keepers: make(map[core.VMName]bool)}
	view := benchView(entries)
	r.node = core.New(core.Settings{
		Self: core.ReplicaID{VM: "vm000", Incarnation: 1}, Entry: true, Address: view[0].Address,
		ControlVMs: []core.VMName{"c1"}, Timing: core.DefaultTiming(), Seed: 1,
	}, core.Recovered{}, r.now)
	state := benchConfig(t, targets, organisations)
	r.step(core.Tick{})
	r.step(core.Received{Envelope: core.Envelope{From: core.ReplicaID{VM: "c1"}, To: "vm000", Body: core.Message{Grant: &core.Grant{
		To:   1,
		Term: 1, Number: r.asked, Revision: state.Revision, State: &state, ViewVersion: 1, View: view, ViewComplete: true,
	}}}})
	return r
}

// renewLease grants the entry VM its next lease.
func (r *rig) renewLease(revision config.Revision) {
	r.step(core.Received{Envelope: core.Envelope{From: core.ReplicaID{VM: "c1"}, To: "vm000", Body: core.Message{Grant: &core.Grant{
		To:   1,
		Term: 1, Number: r.asked, Revision: revision, ViewVersion: 1,
	}}}})
}

// step passes an event to the Node, and replies as its keepers and targets would.
func (r *rig) step(event core.Event) (runs []core.Run) {
	var replies []core.Event
	for _, effect := range r.node.Step(r.now, event) {
		switch e := effect.(type) {
		case core.Run:
			runs = append(runs, e)
		case core.Emit:
			r.emitted += len(e.Tokens)
		case core.Watch:
			replies = append(replies, core.Watched{Report: core.TargetReport{Target: e.Target, Reached: true, AppliedSequence: 7}})
		case core.Send:
			r.sent++
			if e.Envelope.Body.Renew != nil {
				r.asked = e.Envelope.Body.Renew.Number
				text, err := wire.Marshal(e.Envelope)
				require.NoError(r.t, err)
				r.renewal = len(text)
			}
			if k := e.Envelope.Body.Keep; k != nil {
				r.kept++
				r.keepers[e.Envelope.To] = true
				replies = append(replies, core.Received{Envelope: core.Envelope{From: core.ReplicaID{VM: e.Envelope.To}, To: "vm000", Body: core.Message{KeepReply: &core.KeepReply{Number: k.Number}}}})
			}
		}
	}
	for _, reply := range replies {
		runs = append(runs, r.step(reply)...)
	}
	return runs
}

// begin starts a stream and returns its first run.
func (r *rig) begin(maxTokens int) core.Run {
	runs := r.ask(maxTokens)
	require.Len(r.t, runs, 1)
	return runs[0]
}

// ask requests a stream, which may be queued for capacity.
func (r *rig) ask(maxTokens int) []core.Run {
	r.conn++
	return r.step(core.StreamAsked{Conn: r.conn, ID: core.RequestID(fmt.Sprint(r.conn)), Key: "key0", Request: core.StreamRequest{
		Pipeline: "p", Prompt: "a prompt of some words", MaxTokens: maxTokens, Deadline: r.now.Add(time.Hour),
	}})
}

// answer completes a run with a token and returns the next run, if there is one.
func (r *rig) answer(run core.Run, finish string) []core.Run {
	return r.step(core.RunEnded{Stream: run.Stream, Epoch: run.Epoch, Position: run.Position, Result: core.ResultDone,
		Next: run.Position + 1, Token: core.Token{ID: 7, Text: "token "}, Finish: finish, Load: 100})
}

var benchTargets = []int{10, 100, 600}

// BenchmarkToken measures the cost of one token of a stream on its entry VM:
// the commit, the update to the keeper and its reply, the message to the caller,
// the next run.
func BenchmarkToken(b *testing.B) {
	for _, targets := range benchTargets {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			r := newEntryRig(b, targets, 10, 10)
			run := r.begin(1 << 20)
			r.sent = 0
			b.ReportAllocs()
			for b.Loop() {
				run = r.answer(run, "")[0]
			}
			b.ReportMetric(float64(r.sent)/float64(b.N), "messages/op")
		})
	}
}

// BenchmarkRequest measures the cost of a request of one token, from its arrival
// to its end: admission, the choice of a route, the keeper, the answer.
func BenchmarkRequest(b *testing.B) {
	for _, targets := range benchTargets {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			r := newEntryRig(b, targets, 10, 10)
			b.ReportAllocs()
			for b.Loop() {
				r.answer(r.begin(1), "stop")
			}
		})
	}
}

// BenchmarkEntryControl measures the control work of one entry VM per second:
// ticks, renewals, watches, sweeps.
func BenchmarkEntryControl(b *testing.B) {
	sizes := []struct{ targets, entries int }{{40, 10}, {100, 60}, {600, 360}}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("targets=%d/entries=%d", size.targets, size.entries), func(b *testing.B) {
			r := newEntryRig(b, size.targets, size.entries, 10)
			r.sent = 0
			b.ReportAllocs()
			for b.Loop() {
				for i := range 50 {
					r.now = r.now.Add(tickEvery)
					r.step(core.Tick{})
					if i%25 == 0 {
						r.renewLease(2)
					}
				}
			}
			b.ReportMetric(float64(r.sent)/float64(b.N), "messages/op")
			b.ReportMetric(float64(r.renewal), "B/renewal")
		})
	}
}

// newLeaderRig returns a leader with the given number of entry VMs under a lease.
func newLeaderRig(t require.TestingT, targets, entries int) (*rig, []core.Envelope) {
	r := &rig{t: t, now: epochStart}
	self := core.ReplicaID{VM: "c1", Incarnation: 1}
	machine := core.StateMachine{Config: benchConfig(t, targets, 330)}
	r.node = core.New(core.Settings{
		Self: self, Cluster: "c", Control: true, ControlVMs: []core.VMName{"c1"}, Voters: 1, SnapshotEvery: 1000, Timing: core.DefaultTiming(), Seed: 1,
	}, core.Recovered{Snapshot: core.Snapshot{Index: 1, Term: 1, Members: core.NewMembership(self), Machine: machine}}, r.now)
	for range 100 {
		r.now = r.now.Add(tickEvery)
		r.lead(core.Tick{})
	}
	require.True(t, r.node.Status().HoldsLease)
	var renewals []core.Envelope
	for _, v := range benchView(entries) {
		renewals = append(renewals, core.Envelope{Cluster: "c", From: core.ReplicaID{VM: v.Address.VM, Incarnation: v.Incarnation}, To: "c1", Body: core.Message{Renew: &core.Renew{
			Number: 1, Address: v.Address, Revision: machine.Config.Revision, InProgress: 20, Load: 500,
		}}})
	}
	for range 2 {
		for i, e := range renewals {
			r.lead(core.Received{Envelope: e})
			renewals[i].Body.Renew.ViewVersion = uint64(r.node.Status().Term)<<32 + uint64(entries)
		}
	}
	return r, renewals
}

// lead steps the leader, whose disk syncs immediately.
func (r *rig) lead(event core.Event) {
	var synced uint64
	for _, effect := range r.node.Step(r.now, event) {
		switch e := effect.(type) {
		case core.Persist:
			synced = e.Sequence
		case core.SaveSnapshot:
			synced = e.Sequence
		case core.Answer:
			r.result = e.Result
		case core.Send:
			r.sent++
			if c := e.Envelope.Body.ClaimReply; c != nil {
				r.claim = c.Outcome
			}
			if r.bytes >= 0 {
				text, err := wire.Marshal(e.Envelope)
				require.NoError(r.t, err)
				r.bytes += len(text)
			}
		}
	}
	if synced > 0 {
		r.lead(core.Persisted{Sequence: synced})
	}
}

var benchEntries = []int{10, 100, 360}

// BenchmarkLeaderSecond measures one second of an idle leader: two renewals of
// each entry VM and its own ticks.
func BenchmarkLeaderSecond(b *testing.B) {
	for _, entries := range benchEntries {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			r, renewals := newLeaderRig(b, 600, entries)
			r.sent, r.bytes = 0, 0
			r.second(renewals)
			bytes, sent := r.bytes, r.sent
			r.bytes = -1
			b.ReportAllocs()
			for b.Loop() {
				r.second(renewals)
			}
			b.ReportMetric(float64(sent)/float64(entries), "messages/entry")
			b.ReportMetric(float64(bytes)/float64(entries), "B/entry")
		})
	}
}

func (r *rig) second(renewals []core.Envelope) {
	for i := range 50 {
		r.now = r.now.Add(tickEvery)
		r.lead(core.Tick{})
		if i%25 == 0 {
			for _, e := range renewals {
				r.lead(core.Received{Envelope: e})
			}
		}
	}
}

// BenchmarkChange measures the cost of one configuration change on a leader, up
// to the grants that carry it to the entry VMs.
func BenchmarkChange(b *testing.B) {
	for _, entries := range benchEntries {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			r, _ := newLeaderRig(b, 600, entries)
			r.bytes = 0
			number := uint64(0)
			change := func() {
				number++
				statement, err := query.Parse(fmt.Sprintf("set organisation o1 weight=%d", number%100+1))
				require.NoError(b, err)
				r.lead(core.Operated{Conn: core.ConnID(number), Statement: statement, Operator: "op", Number: number, Digest: fmt.Sprint(number)})
			}
			r.sent = 0
			change()
			bytes, sent := r.bytes, r.sent
			r.bytes = -1
			b.ReportAllocs()
			for b.Loop() {
				change()
			}
			b.ReportMetric(float64(bytes)/float64(max(sent, 1)), "B/message")
			b.ReportMetric(float64(sent), "messages/op")
		})
	}
}

// BenchmarkClaim measures the cost of a claim and its record on a leader that
// already keeps the given number of claims.
func BenchmarkClaim(b *testing.B) {
	for _, kept := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("kept=%d", kept), func(b *testing.B) {
			r, renewals := newLeaderRig(b, 40, 10)
			r.bytes = -1
			from := renewals[0].From
			serial := 0
			claim := func() {
				serial++
				id := core.RequestID(fmt.Sprintf("organisation/key-%d", serial))
				r.lead(core.Received{Envelope: core.Envelope{Cluster: "c", From: from, To: "c1", Body: core.Message{Claim: &core.ClaimRequest{ID: id, Attempt: 1, Digest: "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"}}}})
				r.lead(core.Received{Envelope: core.Envelope{Cluster: "c", From: from, To: "c1", Body: core.Message{Record: &core.RecordRequest{ID: id, Attempt: 1, Ran: core.RanYes, Answer: core.CallAnswer{Status: 200, Body: make([]byte, 200)}}}}})
			}
			before := heapBytes()
			for range kept {
				claim()
			}
			perClaim := float64(heapBytes()-before) / float64(kept)
			b.ReportAllocs()
			for b.Loop() {
				claim()
			}
			b.ReportMetric(perClaim, "B/claim")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMemory measures the memory of an entry VM per request, and of one without requests.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		r := newEntryRig(b, 600, 360, 330)
		empty := heapBytes()
		var runs []core.Run
		for range 1000 {
			runs = append(runs, r.ask(200)...)
		}
		for range 100 {
			for i := range runs {
				runs[i] = r.answer(runs[i], "")[0]
			}
		}
		full := heapBytes()
		b.ReportMetric(float64(empty-before)/1e6, "MB/entry-at-600-targets-360-VMs")
		b.ReportMetric(float64(full-empty)/1000, "B/request")
		b.ReportMetric(float64(len(runs)), "running-of-1000")
		runtime.KeepAlive(r)
	}
}

// TestCostPerTokenIsIndependentOfTargets checks counted costs, which don't depend on
// the machine, against bounds. A decision must not cost more with more targets.
func TestCostPerTokenIsIndependentOfTargets(t *testing.T) {
	perToken := make(map[int]float64)
	for _, targets := range benchTargets {
		r := newEntryRig(t, targets, 10, 10)
		run := r.begin(1 << 20)
		r.sent = 0
		const tokens = 200
		perToken[targets] = testing.AllocsPerRun(tokens, func() { run = r.answer(run, "")[0] })
		require.LessOrEqual(t, r.sent, tokens+2, "one message a token to the keeper")
		require.LessOrEqual(t, perToken[targets], 20.0, "allocations a token with %d targets", targets)
		request := testing.AllocsPerRun(50, func() { r.answer(r.begin(1), "stop") })
		require.LessOrEqual(t, request, 90.0, "allocations a request with %d targets", targets)
	}
	require.InDelta(t, perToken[10], perToken[600], 1)
}

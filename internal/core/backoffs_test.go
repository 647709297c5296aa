package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/query"
)

// An operator's command ends the backoffs of a target once on every entry VM, also on one that
// receives the change late. VMs that restart later have none to end.
func TestOperatorEndsBackoffsOnAllVMs(t *testing.T) {
	f := started(t, smallFleet)
	late := core.VMName("e1-1")
	f.loses = func(e core.Envelope) bool { return e.To == late }
	f.step(f.leader(), core.Operated{Conn: 1, Number: 1, Operator: "o", Digest: "d", Statement: query.Statement{Remove: &config.Ref{Kind: config.KindBackoff, Name: "i-1"}}})
	f.run(time.Second)
	f.loses = nil
	f.run(5 * time.Second)
	for _, vm := range f.entries() {
		require.Equal(t, []string{"i-1"}, f.backoffsEnded[vm], vm)
	}
	f.restart("e0-0")
	f.run(5 * time.Second)
	f.put(7)
	f.run(2 * time.Second)
	for _, vm := range f.entries() {
		require.LessOrEqual(t, len(f.backoffsEnded[vm]), 2, "a restarted VM receives it once more: %s", vm)
	}
}

// Each entry VM shows the targets that it backs off from.
func TestShowBackoffs(t *testing.T) {
	f := started(t, smallFleet)
	f.found["e0-0"] = relay.Findings{BackedOff: []relay.BackedOffTarget{{Target: "i-1", Until: f.now.Add(time.Hour)}}}
	f.run(time.Second)
	statement, err := query.Parse("show backoffs")
	require.NoError(t, err)
	require.True(t, statement.Show.Local())
	for vm, rows := range map[core.VMName]int{"e0-0": 1, "e0-1": 0} {
		f.rows = nil
		f.step(vm, core.Operated{Conn: 1, Statement: statement})
		require.Len(t, f.rows, rows, vm)
	}
}

// A runner of a plain service that asks a VM to back off gets no calls of that VM until then,
// and others serve them. Where all runners ask to back off for longer than a caller waits, the
// call is refused at once with a retry time after the first backoff ends.
func TestRunnerInBackoffReceivesNoCalls(t *testing.T) {
	w := newWorld(t, 41, 3, 1)
	w.setUp()
	w.waitForVoters()
	w.backoffs["s1"] = w.now.Add(30 * time.Second)
	for i := range 40 {
		a := w.lookUp("vm4", fmt.Sprintf("first%d", i))
		w.advance(200 * time.Millisecond)
		require.NotNil(t, a.answer, "%v", a.refusal)
	}
	require.LessOrEqual(t, w.reached["s1"]["vm4"], 1)
	ends := w.now.Add(15 * time.Second)
	w.backoffs["s2"] = ends
	byClock := w.clock(w.vms["vm4"]).Add(15 * time.Second)
	w.call("vm4", "told")
	w.advance(time.Second)
	before := w.reached["s2"]["vm4"]
	for i := range 20 {
		a := w.call("vm4", fmt.Sprintf("second%d", i))
		w.advance(100 * time.Millisecond)
		require.NotNil(t, a.refusal)
		require.Equal(t, core.RanNo, a.refusal.Ran)
		require.False(t, a.refusal.RetryAt.Before(byClock), "%v before %v", a.refusal.RetryAt, byClock)
	}
	require.Equal(t, before, w.reached["s2"]["vm4"])
	w.advance(20 * time.Second)
	a := w.call("vm4", "third")
	w.advance(time.Second)
	require.NotNil(t, a.answer, "%v", a.refusal)
}

// Guards against "ran: no" for a call that a runner ran and whose answer was lost: it waited in the
// queue for another runner, and all of them asked to back off.
func TestCallThatMayHaveRunIsNotRefusedAsNotRun(t *testing.T) {
	w := newWorld(t, 16, 3, 1)
	w.setUp()
	w.waitForVoters()
	w.losesAnswers = true
	a := w.lookUp("vm4", "look")
	ran := func() bool {
		for _, r := range w.runners {
			if len(r.runs) > 0 {
				return true
			}
		}
		return false
	}
	for !ran() {
		w.advance(time.Millisecond)
	}
	for name := range w.runners {
		w.backoffs[name] = w.now.Add(time.Minute)
	}
	w.until("the call is refused", 20*time.Second, func() bool { return a.refusal != nil })
	require.Equal(t, core.RanUnknown, a.refusal.Ran, a.refusal)
}

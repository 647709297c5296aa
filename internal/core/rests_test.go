package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/query"
)

// An operator ends the rests of a target on every entry VM once, also on one that a change
// reached late; VMs that start again later have none to end.
func TestAnOperatorEndsTheRestsOfATargetEverywhere(t *testing.T) {
	f := started(t, smallFleet)
	late := core.VMName("e1-1")
	f.loses = func(e core.Envelope) bool { return e.To == late }
	f.step(f.leader(), core.Operated{Conn: 1, Number: 1, Operator: "o", Digest: "d", Statement: query.Statement{Remove: &config.Ref{Kind: config.KindRest, Name: "i-1"}}})
	f.run(time.Second)
	f.loses = nil
	f.run(5 * time.Second)
	for _, vm := range f.entries() {
		require.Equal(t, []string{"i-1"}, f.restsEnded[vm], vm)
	}
	f.restart("e0-0")
	f.run(5 * time.Second)
	f.put(7)
	f.run(2 * time.Second)
	for _, vm := range f.entries() {
		require.LessOrEqual(t, len(f.restsEnded[vm]), 2, "a VM that started again is told once more: %s", vm)
	}
}

// Each entry VM shows the targets that rest for it.
func TestRestsAreShown(t *testing.T) {
	f := started(t, smallFleet)
	f.found["e0-0"] = relay.Findings{Resting: []relay.RestingTarget{{Target: "i-1", Until: f.now.Add(time.Hour)}}}
	f.run(time.Second)
	statement, err := query.Parse("show rests")
	require.NoError(t, err)
	require.True(t, statement.Show.Local())
	for vm, rows := range map[core.VMName]int{"e0-0": 1, "e0-1": 0} {
		f.shown = nil
		f.step(vm, core.Operated{Conn: 1, Statement: statement})
		require.Len(t, f.shown, rows, vm)
	}
}

package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
)

// entryNode is an entry VM that gets its lease from the control VM c1.
type entryNode struct {
	node *core.Node
	now  time.Time
}

func newEntryNode(settings core.Settings) *entryNode {
	now := time.Unix(1000, 0)
	settings.Self = core.ReplicaID{VM: "e1", Incarnation: 1}
	settings.Entry = true
	settings.ControlVMs = []core.VMName{"c1"}
	settings.Timing = core.DefaultTiming()
	settings.Timing.KeepEntriesAfterLoss = 9 * time.Second
	return &entryNode{node: core.New(settings, core.Recovered{}, now), now: now}
}

// lease makes the Node renew its lease and grants it.
func (e *entryNode) lease(t *testing.T, grant core.Grant) []core.Effect {
	t.Helper()
	e.now = e.now.Add(time.Second)
	for _, effect := range e.node.Step(e.now, core.Tick{}) {
		if send, ok := effect.(core.Send); ok && send.Envelope.Body.Renew != nil {
			grant.Number = send.Envelope.Body.Renew.Number
		}
	}
	require.Positive(t, grant.Number)
	grant.Term = 1
	return e.step(core.Received{Envelope: core.Envelope{
		From: core.ReplicaID{VM: "c1", Incarnation: 1}, To: "e1", Body: core.Message{Grant: &grant},
	}})
}

func (e *entryNode) step(event core.Event) []core.Effect { return e.node.Step(e.now, event) }

func (e *entryNode) addresses(t *testing.T) []core.EntryAddress {
	t.Helper()
	for _, effect := range e.step(core.EntriesAsked{Conn: 1}) {
		if entries, ok := effect.(core.Entries); ok {
			return entries.Addresses
		}
	}
	t.Fatal("no answer")
	return nil
}

// Regression: a partitioned VM kept listing VMs that had been down for 9 s.
func TestNoEntryAddressesWithoutLease(t *testing.T) {
	e := newEntryNode(core.Settings{})
	view := []core.EntryView{{Address: core.EntryAddress{VM: "e2", Hall: "h", Callers: "10.0.0.2:80", Peers: "10.0.0.2:81"}}}
	e.lease(t, core.Grant{To: 1, ViewVersion: 1, View: view, ViewComplete: true})
	require.Len(t, e.addresses(t), 1)
	e.now = e.now.Add(core.DefaultTiming().LeaseDuration)
	require.Empty(t, e.addresses(t))
}

// Guards against a deployment of a thousand VMs in five halls returning all of them to every
// caller.
func TestCallerReceivesFewVMsOfItsHall(t *testing.T) {
	const vms, halls = 1000, 5
	e := newEntryNode(core.Settings{})
	var view []core.EntryView
	for i := range vms {
		name := core.VMName(fmt.Sprintf("e%04d", i))
		view = append(view, core.EntryView{Address: core.EntryAddress{VM: name, Hall: fmt.Sprint("hall", i%halls), Callers: string(name)}, LoadLevel: i / halls % 2})
	}
	e.lease(t, core.Grant{To: 1, ViewVersion: 1, View: view, ViewComplete: true})
	named := make(map[core.VMName]bool)
	for range 200 {
		for _, effect := range e.step(core.EntriesAsked{Conn: 1, Hall: "HALL3"}) {
			entries, ok := effect.(core.Entries)
			if !ok {
				continue
			}
			require.Len(t, entries.Addresses, 64)
			for _, a := range entries.Addresses {
				require.Equal(t, "hall3", a.Hall)
				named[a.VM] = true
			}
		}
	}
	require.Len(t, named, vms/halls/2, "callers spread over all lightly loaded VMs of the hall")
}

// Regression: while a quarter of the VMs was lost, every second request had to ask for addresses
// first, and one in four of those waited a second for a lost VM.
func TestAddressesAreKeptLongerAfterLossOfVMs(t *testing.T) {
	e := newEntryNode(core.Settings{})
	view := func(leaving bool, names ...core.VMName) []core.EntryView {
		var lines []core.EntryView
		for _, vm := range names {
			lines = append(lines, core.EntryView{Address: core.EntryAddress{VM: vm, Hall: "h", Callers: string(vm), Peers: string(vm)}, Leaving: leaving})
		}
		return lines
	}
	kept := func() time.Duration {
		for _, effect := range e.step(core.EntriesAsked{Conn: 1}) {
			if entries, ok := effect.(core.Entries); ok {
				return entries.KeepUntil.Sub(e.now)
			}
		}
		return 0
	}
	e.lease(t, core.Grant{To: 1, ViewVersion: 1, View: view(false, "e2", "e3", "e4"), ViewComplete: true})
	require.Equal(t, 5*time.Second, kept())
	e.lease(t, core.Grant{To: 1, ViewVersion: 2, View: view(true, "e4")})
	e.lease(t, core.Grant{To: 1, ViewVersion: 3, Removed: []core.VMName{"e4"}})
	require.Equal(t, 5*time.Second, kept(), "a draining VM isn't lost")
	e.lease(t, core.Grant{To: 1, ViewVersion: 4, Removed: []core.VMName{"e3"}})
	require.Equal(t, 9*time.Second, kept())
	e.lease(t, core.Grant{To: 1, ViewVersion: 5, View: view(false, "e3")})
	require.Equal(t, 5*time.Second, kept(), "the lost VM is back")
}

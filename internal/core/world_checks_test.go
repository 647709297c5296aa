package core_test

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
)

// check verifies the invariants after a step of a Node.
func (w *world) check(v *vm) {
	require.Empty(w.t, v.node.Check(), "invariants of %s", v.name)
	s := v.node.Status()
	require.GreaterOrEqual(w.t, s.EntryRevision, v.revision, "the configuration of %s reverted", v.name)
	v.revision = s.EntryRevision
	leaders := 0
	for _, other := range w.vms {
		if other.node != nil && !other.suspended && w.holdsLease(other) {
			leaders++
		}
	}
	if leaders > 1 {
		require.Fail(w.t, "two leaders hold a lease", w.describe())
	}
	late := w.now.Sub(w.acceptedAt) > 4*time.Second
	if late && s.HasLease && w.clock(v).Before(s.EntryLease) {
		require.GreaterOrEqual(w.t, s.EntryRevision, w.accepted, "%s accepts work at an old revision", v.name)
	}
	w.checkChanges(v, s)
	if v.control {
		w.checkReplicatedState(v, s)
	}
}

// checkChanges verifies that a VM in touch has the changes that were acknowledged.
func (w *world) checkChanges(v *vm, s core.Status) {
	for _, a := range w.acks {
		if a.revision > s.EntryRevision && w.now.Sub(a.at) > applyBound && w.inTouch(v.name) {
			require.Fail(w.t, "an acknowledged change is missing", "%s has revision %d; %d was acknowledged %s ago\n%s", v.name, s.EntryRevision, a.revision, w.now.Sub(a.at), w.describe())
		}
	}
}

// markFault records a fault of VMs or of links between them.
func (w *world) markFault(names ...core.VMName) {
	for _, name := range names {
		w.faultAt[name] = w.now
		if v, ok := w.vms[name]; ok && v.control {
			w.coreFaultAt = w.now
		}
	}
}

func (w *world) inTouch(name core.VMName) bool {
	return w.now.Sub(w.faultAt[name]) > touchTime && w.now.Sub(w.coreFaultAt) > touchTime
}

// forgetAcks forgets the acknowledged changes that all VMs have.
func (w *world) forgetAcks() {
	w.acks = slices.DeleteFunc(w.acks, func(a acknowledged) bool {
		for _, v := range w.vms {
			if v.node == nil || v.node.Status().EntryRevision < a.revision {
				return false
			}
		}
		return true
	})
}

func (w *world) holdsLease(v *vm) bool {
	s := v.node.Status()
	return s.Role == "leader" && w.clock(v).Before(s.LeaseUntil)
}

// checkReplicatedState compares the replicated state of v with that of other replicas
// at the same index.
func (w *world) checkReplicatedState(v *vm, s core.Status) {
	if v.checkedIndex == s.Applied {
		return
	}
	v.checkedIndex = s.Applied
	d := v.node.Dump()
	text, err := json.Marshal(struct {
		C config.State
		M map[string]core.Claim
	}{d.Config, d.Claims})
	require.NoError(w.t, err)
	known, ok := w.stateByIndex[s.Applied]
	if !ok {
		w.stateByIndex[s.Applied] = string(text)
		return
	}
	require.Equal(w.t, known, string(text), "replicas differ at index %d", s.Applied)
}

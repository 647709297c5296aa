package core

import (
	"time"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file holds back the reports of targets whose service no document names.
//
// Problem: anybody may register as a target. A report of an undeclared service must not reach
// other VMs or the disk; but targets register before the change that adds their service, and
// before the first document.
//
// Algorithm: the control VM that receives such a report acknowledges it and stores it
// separately. Once its document names the service, the stored report is handled as if it had
// just arrived. While a VM has no document, it distributes reports as they arrive: it can't
// distinguish declared services from others, and leaving targets must be known. Targets that
// were accepted without a document, or whose service was removed since, are not searched for:
// their next reports are held back, so that they count as silent and are removed.
//
// Invariants: a report that is held back is neither distributed nor saved, and replaces
// nothing; a live target is accepted soon after its service is named.
//
// Limits: the reports of maxUnnamedTargets targets are stored, each until the target has been
// silent for as long as any may be; further targets are acknowledged, and stored only if there
// is room when they report again. The stored reports are lost with the VM, and the targets then
// report to another one.

const (
	// maxUnnamedTargets bounds the targets that are held back: as many as the largest
	// deployment has, at about 500 B each.
	maxUnnamedTargets = 3000
	// readDocumentEvery is the minimum time between two decodings of the document: a change of
	// 1,900 routes must not cost a control VM more than a few of them per second. The delay for
	// targets of a new service is a tenth of what a change may take.
	readDocumentEvery = 200 * time.Millisecond
)

// heldBackReports holds the reports that are held back.
type heldBackReports struct {
	targets *relay.Registry
	decoded documentCache
	readAt  time.Time
	// expireAt is when to check next for targets that have become silent.
	expireAt time.Time
}

// holdBackUndeclared stores a target's report separately and returns true if no document names the
// target's service. A report without a service deregisters the target and is not held back.
func (n *Node) holdBackUndeclared(t relay.Target) bool {
	u := &n.registry.heldBackReports
	known, distributed := n.registry.targets.Get(t.ID)
	leaves := distributed && known.Service == t.Service && !t.AcceptsWork()
	if t.Service == "" || u.decoded.document == nil || u.decoded.document.HasService(t.Service) || leaves {
		// A report that a known target is leaving is distributed in any case: some VMs may
		// still route by the previous document.
		u.targets.Remove(t.ID)
		return false
	}
	if _, known := u.targets.Get(t.ID); known || u.targets.Len() < maxUnnamedTargets {
		u.targets.ReceiveReport(t, n.now)
	}
	return true
}

// tickHeldBackReports decodes the document if it has changed, and handles the stored reports whose
// service it names.
func (n *Node) tickHeldBackReports() {
	u := &n.registry.heldBackReports
	if !n.now.Before(u.expireAt) {
		silence := n.settings.Timing.targetTimeout()
		u.expireAt = n.now.Add(silence)
		u.targets.Expire(n.now.Add(-silence))
		u.targets.PopTransitions() // no requests run on targets that are held back
	}
	present := n.machine.Config.Document
	if present.Version == u.decoded.version || n.now.Before(u.readAt) {
		return
	}
	u.readAt = n.now.Add(readDocumentEvery)
	document := u.decoded.read(n, present)
	if document == nil {
		return
	}
	for _, t := range u.targets.All() {
		if document.HasService(t.Service) {
			u.targets.Remove(t.ID)
			n.acceptReport(t)
		}
	}
}

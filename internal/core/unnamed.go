package core

import (
	"time"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file holds back the messages of targets whose service no document names.
//
// Problem: anybody may register as a target. A message of a service that nobody has
// declared must not reach other VMs or the disk; but targets register before the change
// that adds their service, and before the first document.
//
// Algorithm: the control VM that hears such a message acknowledges it and keeps it apart.
// Once its document names the service, what is kept is taken as if it came then. While a
// VM has no document, messages are spread as they come: it can't tell one service from
// another, and a target that leaves must be known of. Targets that were taken then, or of
// a service that was dropped since, are looked up by nobody; their messages are held back
// from then on, so that they count as silent, and are forgotten.
//
// Invariants: a message that is held back is neither spread nor saved, and replaces nothing;
// a target that lives is taken soon after its service is named.
//
// Limits: the messages of unnamedMost targets are kept, each until the target has been
// silent as long as any may be; what comes beyond is acknowledged and comes again with
// the next message. They are lost with the VM, and targets then tell another one.

const (
	// unnamedMost bounds the targets that are held back: as many as the largest deployment
	// has, some 500 B each.
	unnamedMost = 3000
	// readDocumentEvery is the least time between two readings of the document: a change
	// of 1,900 routes must not cost a control VM more than a few of them a second. What a
	// new service's targets wait for it is a tenth of what a change may take.
	readDocumentEvery = 200 * time.Millisecond
)

// unnamed are the messages that are held back.
type unnamed struct {
	targets *relay.Registry
	decoded decoded
	readAt  time.Time
	// forgetAt is when to look next for targets that have fallen silent.
	forgetAt time.Time
}

// heldBack keeps a target's message apart and returns true, where no document names the
// target's service. A message that names no service signs off.
func (n *Node) heldBack(t relay.Target) bool {
	u := &n.registry.unnamed
	known, spread := n.registry.targets.Get(t.ID)
	leaves := spread && known.Service == t.Service && !t.Takes()
	if t.Service == "" || u.decoded.document == nil || u.decoded.document.Names(t.Service) || leaves {
		// One that leaves is told of by whoever was told of it: some VMs may act by the
		// document before.
		u.targets.Drop(t.ID)
		return false
	}
	if _, known := u.targets.Get(t.ID); known || u.targets.Len() < unnamedMost {
		u.targets.Hear(t, n.now)
	}
	return true
}

// tickUnnamed reads the document where it has changed, and takes what was held back and
// is named by now.
func (n *Node) tickUnnamed() {
	u := &n.registry.unnamed
	if !n.now.Before(u.forgetAt) {
		silence := n.settings.Timing.targetSilence()
		u.forgetAt = n.now.Add(silence)
		u.targets.Forget(n.now.Add(-silence))
		u.targets.TakeTransitions() // nothing runs on what is held back
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
		if document.Names(t.Service) {
			u.targets.Drop(t.ID)
			n.hear(t)
		}
	}
}

package core

import (
	"fmt"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// This file tracks which changes of the configuration a control VM has sent to an entry VM, and
// sends lost ones again.
//
// Problem: changes are lost with the connection that carries them, and the sender doesn't notice.
// Sent with each grant until they are acknowledged, large changes would fill the link. Sent again
// after a timeout, they arrive late by the timeout, whatever value it has.
//
// Algorithm: changes are sent once and in order, without waiting for acknowledgements, as to a
// follower in the replicate state of etcd's Raft. The entry VM finds the gap: links keep the order
// of messages, so a grant whose changes don't follow on its configuration shows that some were
// lost. It answers with MissingChanges, and the control VM sends everything after its revision.
//
// Invariants: a grant has the number of its round, and changes are sent once in each round. Only a
// gap in the current round begins the next one, so that the grants in flight behind a lost one
// cause no further round.
//
// Limits: if no further change follows, the loss is found with the next grant, after at most one
// renewal interval. Messages that overtake others, on two connections of one link, cost a round.

// MissingChanges reports a grant whose changes don't follow on the sender's configuration.
type MissingChanges struct {
	// Revision is the sender's.
	Revision config.Revision `cbor:"revision"`
	// Round is the round of the grant.
	Round uint64 `cbor:"round"`
	// Whole is set if the sender could not apply the changes and needs the whole state.
	Whole bool `cbor:"whole,omitempty"`
}

// delivery is what a control VM knows of the changes that an entry VM has.
type delivery struct {
	// acknowledged is the revision that the entry VM reported last, and sent the one up to which
	// changes were sent in this round.
	acknowledged config.Revision
	sent         config.Revision
	round        uint64
	// whole is set until the whole state is sent in this round.
	whole bool
}

// base returns the revision after which changes are to be sent.
func (d delivery) base() config.Revision { return max(d.acknowledged, d.sent) }

// WithAcknowledged returns the delivery after a report of the entry VM's revision.
func (d delivery) WithAcknowledged(r config.Revision) delivery {
	d.acknowledged = r
	return d
}

// WithSent returns the delivery after changes up to a revision were sent.
func (d delivery) WithSent(r config.Revision) delivery {
	d.sent, d.whole = r, false
	return d
}

// WithMissing returns the delivery after a report of missing changes.
func (d delivery) WithMissing(m MissingChanges) delivery {
	return delivery{acknowledged: m.Revision, round: d.round + 1, whole: m.Whole}
}

// addChanges adds the changes that a holder lacks to its grant.
func (n *Node) addChanges(h *holder, g *Grant) {
	c := n.machine.Config
	g.Round, g.Revision = h.delivery.round, c.Revision
	base := h.delivery.base()
	if base >= c.Revision && !h.delivery.whole {
		return
	}
	deltas, ok := n.leader.deltas.since(base, c.Revision)
	g.Deltas = deltas
	if !ok || h.delivery.whole {
		g.Deltas, g.State = nil, &c
	}
	h.delivery = h.delivery.WithSent(c.Revision)
}

// handleMissing sends changes to a holder again.
func (n *Node) handleMissing(from ReplicaID, m MissingChanges) {
	h, ok := n.forwarding.holders[from.VM]
	if !ok || h.id != from || m.Round != h.delivery.round {
		return
	}
	h.delivery = h.delivery.WithMissing(m)
	n.note("changes are sent again", fmt.Sprintf("to=%s after=%d up_to=%d round=%d whole=%v", from.VM, m.Revision, n.machine.Config.Revision, h.delivery.round, m.Whole))
	n.grant(h)
}

// requestMissing requests the changes before those of a grant.
func (n *Node) requestMissing(from ReplicaID, g Grant, whole bool) {
	n.deliver(from.VM, Message{MissingChanges: &MissingChanges{Revision: n.entry.config.Revision, Round: g.Round, Whole: whole}})
}

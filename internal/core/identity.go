package core

import (
	"cmp"
	"fmt"
)

// VMName is the name of a VM of the system, unique in a deployment.
type VMName string

// Incarnation tells two lives of a VM apart. A control VM keeps its own beside
// its log, so that one that lost its disk comes back under a new one and has
// no vote under the old. An entry VM draws a new one at each start.
type Incarnation uint64

// ReplicaID is the identity of one replica of the control state.
type ReplicaID struct {
	// The fields are sent without their names: these values are sent most.
	_           struct{}    `cbor:",toarray"`
	VM          VMName      `cbor:"vm"`
	Incarnation Incarnation `cbor:"incarnation"`
}

// String returns the identity in the form vm#incarnation.
func (r ReplicaID) String() string { return fmt.Sprintf("%s#%x", r.VM, uint64(r.Incarnation)) }

// IsZero reports whether r names no replica.
func (r ReplicaID) IsZero() bool { return r == ReplicaID{} }

func compareReplicas(a, b ReplicaID) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
}

// RequestID is the identity of a request: the caller's Idempotency-Key, scoped
// by its organisation, or one that was minted.
type RequestID string

// ConnID names one caller's or operator's connection inside a process. It is
// drawn by the runtime and never used again in the life of the process.
type ConnID uint64

// Term numbers the reigns of leaders.
type Term uint64

// Index numbers the entries of the replicated log, from 1.
type Index uint64

// Epoch orders the owners of a stream and the chains that they use. Engines
// refuse work of an older epoch.
type Epoch struct {
	// Owner grows when another entry VM takes the stream over.
	Owner uint32 `json:"owner" cbor:"owner"`
	// Holder tells owners apart that took it over at once from two keepers.
	Holder uint32 `json:"holder" cbor:"holder"`
	// Attempt grows when the owner replaces a stage.
	Attempt uint32 `json:"attempt" cbor:"attempt"`
}

// Compare returns -1, 0 or 1 as e is before, equal to or after f.
func (e Epoch) Compare(f Epoch) int {
	return cmp.Or(cmp.Compare(e.Owner, f.Owner), cmp.Compare(e.Holder, f.Holder), cmp.Compare(e.Attempt, f.Attempt))
}

// WithNextAttempt returns the epoch of the same owner's next chain.
func (e Epoch) WithNextAttempt() Epoch {
	e.Attempt++
	return e
}

// WithNextOwner returns the epoch of the next owner's first chain.
func (e Epoch) WithNextOwner(holder uint32) Epoch { return Epoch{Owner: e.Owner + 1, Holder: holder} }

// Fence orders the placement orders that a target gets.
type Fence struct {
	Term     Term   `json:"term" cbor:"term"`
	Sequence uint64 `json:"sequence" cbor:"sequence"`
}

// Ran says what is known of whether a request was run.
type Ran string

// The values of Ran. RanNo is only ever said where no dispatch has taken place
// and none can follow.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

package core

import (
	"cmp"
	"fmt"
)

// VMName is the name of a VM, unique in a deployment.
type VMName string

// Incarnation distinguishes successive identities of a VM. A control VM stores
// its incarnation with its log, so that one that lost its disk returns under a new
// one and cannot vote under the old. An entry VM generates a new one at each start.
type Incarnation uint64

// ReplicaID is the identity of one replica of the control state.
type ReplicaID struct {
	// Encoded without field names, because no other value is sent as often.
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

// RequestID identifies a request: the caller's Idempotency-Key, scoped by its
// organisation, or a generated value.
type RequestID string

// ConnID identifies the connection of a caller or operator within a process. The
// runtime assigns it and never reuses it.
type ConnID uint64

// Term is the number of a leader's term.
type Term uint64

// Index numbers the entries of the replicated log, from 1.
type Index uint64

// Epoch orders the owners of a stream and the chains that they use. Engines
// refuse work of an older epoch.
type Epoch struct {
	// Owner increases when another entry VM takes the stream over.
	Owner uint32 `json:"owner" cbor:"owner"`
	// Holder distinguishes owners that took it over concurrently from two keepers.
	Holder uint32 `json:"holder" cbor:"holder"`
	// Attempt increases when the owner replaces a stage.
	Attempt uint32 `json:"attempt" cbor:"attempt"`
}

// Compare returns -1, 0 or 1 if e is before, equal to or after f.
func (e Epoch) Compare(f Epoch) int {
	return cmp.Or(cmp.Compare(e.Owner, f.Owner), cmp.Compare(e.Holder, f.Holder), cmp.Compare(e.Attempt, f.Attempt))
}

// WithNextAttempt returns the epoch of the next chain of the same owner.
func (e Epoch) WithNextAttempt() Epoch {
	e.Attempt++
	return e
}

// WithNextOwner returns the epoch of the first chain of the next owner.
func (e Epoch) WithNextOwner(holder uint32) Epoch { return Epoch{Owner: e.Owner + 1, Holder: holder} }

// Fence orders the placement orders that a target receives.
type Fence struct {
	Term     Term   `json:"term" cbor:"term"`
	Sequence uint64 `json:"sequence" cbor:"sequence"`
}

// Ran states whether a request was run, as far as is known.
type Ran string

// The values of Ran. RanNo is only used where no dispatch has happened and none
// can follow.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

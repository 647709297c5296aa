package config

import (
	"cmp"
	"slices"
	"time"
)

// QuarantinedRequest is a request that is sent to no target, since it has ended several.
type QuarantinedRequest struct {
	// Fingerprint is that of the request, in hexadecimal.
	Fingerprint string `json:"fingerprint" cbor:"fingerprint"`
	// FirstEnd is when the first of the targets ended that it was put there for. Since is when
	// it was, and Until when it is let go.
	FirstEnd time.Time `json:"first_end" cbor:"first_end"`
	Since    time.Time `json:"since" cbor:"since"`
	Until    time.Time `json:"until" cbor:"until"`
}

// ObjectName implements Named.
func (q QuarantinedRequest) ObjectName() string { return q.Fingerprint }

// quarantineMost bounds the requests in quarantine: some 150 KB on each VM, and in each
// snapshot. Each has cost three targets to get there.
const quarantineMost = 1024

// withQuarantine puts a request into quarantine. Those whose time is over leave it, and where
// there are too many, the one that has been there for the longest time.
func (s State) withQuarantine(q QuarantinedRequest) State {
	held := s.Quarantine
	for _, o := range held.Sorted() {
		if !q.Since.Before(o.Until) {
			held = held.Without(o.Fingerprint)
		}
	}
	held = held.With(q)
	if held.Len() > quarantineMost {
		oldest := slices.MinFunc(held.Sorted(), func(a, b QuarantinedRequest) int {
			return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Fingerprint, b.Fingerprint))
		})
		held = held.Without(oldest.Fingerprint)
	}
	s.Quarantine = held
	return s
}

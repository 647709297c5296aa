package config

import (
	"cmp"
	"slices"
	"time"
)

// QuarantinedRequest is a request that is sent to no target, since it has crashed several.
type QuarantinedRequest struct {
	// Fingerprint is the fingerprint of the request, in hexadecimal.
	Fingerprint string `json:"fingerprint" cbor:"fingerprint"`
	// FirstEnd is when the first of the targets crashed for which it is in quarantine. Since
	// is the beginning of the quarantine, and Until its end.
	FirstEnd time.Time `json:"first_end" cbor:"first_end"`
	Since    time.Time `json:"since" cbor:"since"`
	Until    time.Time `json:"until" cbor:"until"`
}

// ObjectName implements Named.
func (q QuarantinedRequest) ObjectName() string { return q.Fingerprint }

// maxQuarantined bounds the requests in quarantine, which take some 150 KB on each VM and in
// each snapshot. Each of them has crashed three targets.
const maxQuarantined = 1024

// withQuarantine puts a request into quarantine. It removes the expired ones and, above
// maxQuarantined, the oldest.
func (s State) withQuarantine(q QuarantinedRequest) State {
	held := s.Quarantine
	for _, o := range held.Sorted() {
		if !q.Since.Before(o.Until) {
			held = held.Without(o.Fingerprint)
		}
	}
	held = held.With(q)
	if held.Len() > maxQuarantined {
		oldest := slices.MinFunc(held.Sorted(), func(a, b QuarantinedRequest) int {
			return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Fingerprint, b.Fingerprint))
		})
		held = held.Without(oldest.Fingerprint)
	}
	s.Quarantine = held
	return s
}

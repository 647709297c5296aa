package config

import (
	"cmp"
	"slices"
)

// EndedBackoff says that an operator has ended the backoffs of a target: VMs that it has asked to be
// left alone ask it again.
type EndedBackoff struct {
	// Target is the target's name, without its start.
	Target string `json:"target" cbor:"target"`
	// Revision is that of the change that ended them.
	Revision Revision `json:"revision" cbor:"revision"`
}

// ObjectName implements Named.
func (e EndedBackoff) ObjectName() string { return e.Target }

// endedBackoffsMost bounds the ended backoffs that are kept: each counts once, within a lease.
const endedBackoffsMost = 64

// withEndedBackoff ends the backoffs of a target at the next revision. Where too many are kept, the
// oldest goes.
func (s State) withEndedBackoff(target string) State {
	s.EndedBackoffs = s.EndedBackoffs.With(EndedBackoff{Target: target, Revision: s.Revision + 1})
	if s.EndedBackoffs.Len() > endedBackoffsMost {
		oldest := slices.MinFunc(s.EndedBackoffs.Sorted(), func(a, b EndedBackoff) int {
			return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Target, b.Target))
		})
		s.EndedBackoffs = s.EndedBackoffs.Without(oldest.Target)
	}
	return s
}

// BackoffsEndedSince returns the targets whose backoffs were ended after a revision, sorted.
func (s State) BackoffsEndedSince(r Revision) []string {
	var targets []string
	for _, e := range s.EndedBackoffs.Sorted() {
		if e.Revision > r {
			targets = append(targets, e.Target)
		}
	}
	return targets
}

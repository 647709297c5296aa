package config

import (
	"cmp"
	"slices"
)

// EndedBackoff records that an operator has ended the backoffs of a target: VMs that it asked to
// back off send to it again.
type EndedBackoff struct {
	// Target is the target's name, without its incarnation.
	Target string `json:"target" cbor:"target"`
	// Revision is the revision of the change that ended them.
	Revision Revision `json:"revision" cbor:"revision"`
}

// ObjectName implements Named.
func (e EndedBackoff) ObjectName() string { return e.Target }

// maxEndedBackoffs bounds the ended backoffs that are kept. Each is applied once, within a lease.
const maxEndedBackoffs = 64

// withEndedBackoff ends the backoffs of a target at the next revision. Above maxEndedBackoffs the
// oldest is removed.
func (s State) withEndedBackoff(target string) State {
	s.EndedBackoffs = s.EndedBackoffs.With(EndedBackoff{Target: target, Revision: s.Revision + 1})
	if s.EndedBackoffs.Len() > maxEndedBackoffs {
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

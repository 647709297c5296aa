package config

import (
	"cmp"
	"slices"
)

// EndedRest says that an operator has ended the rests of a target: VMs that it has asked to be
// left alone ask it again.
type EndedRest struct {
	// Target is the target's name, without its start.
	Target string `json:"target" cbor:"target"`
	// Revision is that of the change that ended them.
	Revision Revision `json:"revision" cbor:"revision"`
}

// ObjectName implements Named.
func (e EndedRest) ObjectName() string { return e.Target }

// endedRestsMost bounds the ended rests that are kept: each counts once, within a lease.
const endedRestsMost = 64

// withEndedRest ends the rests of a target at the next revision. Where too many are kept, the
// oldest goes.
func (s State) withEndedRest(target string) State {
	s.EndedRests = s.EndedRests.With(EndedRest{Target: target, Revision: s.Revision + 1})
	if s.EndedRests.Len() > endedRestsMost {
		oldest := slices.MinFunc(s.EndedRests.Sorted(), func(a, b EndedRest) int {
			return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Target, b.Target))
		})
		s.EndedRests = s.EndedRests.Without(oldest.Target)
	}
	return s
}

// RestsEndedSince returns the targets whose rests were ended after a revision, sorted.
func (s State) RestsEndedSince(r Revision) []string {
	var targets []string
	for _, e := range s.EndedRests.Sorted() {
		if e.Revision > r {
			targets = append(targets, e.Target)
		}
	}
	return targets
}

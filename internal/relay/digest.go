package relay

import (
	"fmt"
	"hash/fnv"
)

// This file compares two registries without sending what both have.
//
// A VM that follows a new control VM has received nearly all targets from the previous one. It
// sends a sum of hashes for each of some buckets of targets, and receives the buckets that
// differ.
//
// Limits: two registries that differ but have the same sums count as equal once in four billion
// comparisons of a bucket; the next change of a target that differs corrects it.

// digestBuckets is the number of sums: with 64, the sums of 3,000 targets take as many bytes as
// five targets.
const digestBuckets = 64

// Digest is a sum for each bucket over all that is known of the targets in it, except the numbers
// of their messages.
type Digest []uint32

func (id TargetID) bucket() int { return int(id.Key() % digestBuckets) }

// Digest returns the sums of the registry. They exclude superseded incarnations and withheld
// engines; absent ones differ from those that report again.
func (r *Registry) Digest() Digest {
	d := make(Digest, digestBuckets)
	for _, e := range r.targets {
		if e.superseded || !e.advertised() {
			continue
		}
		d[e.target.ID.bucket()] += e.target.hash()
		if r.isAbsent(e.target) {
			d[e.target.ID.bucket()]++
		}
	}
	return d
}

// hash covers what a target reports of itself.
func (t Target) hash() uint32 {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, t.ID, "|", t.Service, "|", t.Address, "|", t.Hall, "|", t.Accelerator, "|", t.Slots, t.Leaving, t.Gone, t.Layers, t.Loading) // a hash accepts any write
	return h.Sum32()
}

// Differing returns the targets that are not withheld, in the buckets where other sums differ from
// those of this registry, sorted by identity. Sums of another number of buckets differ in all.
func (r *Registry) Differing(other Digest) []Target {
	own := r.Digest()
	if len(other) != len(own) {
		return r.ListedChangedSince(0)
	}
	return r.find(func(e entry) bool {
		at := e.target.ID.bucket()
		return own[at] != other[at] && e.advertised()
	})
}

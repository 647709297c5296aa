package relay

import (
	"fmt"
	"hash/fnv"
)

// This file compares two registries without sending what both have.
//
// A VM that turns to another control VM has been sent nearly all targets by the one before.
// It sends a sum of hashes for each of some buckets of targets, and is sent the buckets that
// differ.
//
// Limits: two registries with the same sums that differ pass for equal once in four thousand
// million comparisons of a bucket; the next change of a target that differs mends it.

// digestBuckets is the number of sums: with 64, the sums of 3,000 targets take as many bytes
// as five targets.
const digestBuckets = 64

// Digest is a sum for each bucket over all that is known of the targets in it, but for the
// numbers of their messages.
type Digest []uint32

func (id TargetID) bucket() int { return int(id.Key() % digestBuckets) }

// Digest returns the sums of the registry. Void incarnations and withheld engines are not in it;
// missed ones differ from those that speak again.
func (r *Registry) Digest() Digest {
	d := make(Digest, digestBuckets)
	for _, e := range r.targets {
		if e.void || !e.listed() {
			continue
		}
		d[e.target.ID.bucket()] += e.target.hash()
		if r.missing(e.target) {
			d[e.target.ID.bucket()]++
		}
	}
	return d
}

// hash covers what a target says of itself.
func (t Target) hash() uint32 {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, t.ID, "|", t.Service, "|", t.Address, "|", t.Hall, "|", t.Accelerator, "|", t.Slots, t.Leaving, t.Gone, t.Layers, t.Loading) // a hash takes everything
	return h.Sum32()
}

// Unlike returns the targets that are not withheld, in the buckets where other sums differ from
// those of this registry, sorted by identity. Sums of another number of buckets differ in all.
func (r *Registry) Unlike(other Digest) []Target {
	own := r.Digest()
	if len(other) != len(own) {
		return r.ListedSince(0)
	}
	return r.find(func(e entry) bool {
		at := e.target.ID.bucket()
		return own[at] != other[at] && e.listed()
	})
}

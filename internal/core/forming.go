package core

import (
	"fmt"
	"time"
)

// This file forms a cluster at the first start of a deployment.
//
// Problem: processes know some seeds and nothing else, start in any order, and may
// have no disk; exactly one cluster is to come of it.
//
// Algorithm: the first seed begins. With a disk it is made the sole voter before it
// starts (daemon.Bootstrap). Without one it picks a control VM that has: the first
// that asks to join. That one makes itself the sole voter; all others join.
//
// Invariants: only the first seed picks, in its first life, and always the same
// replica; a replica that has a cluster or a log begins nothing.
//
// Limits: TODO(spoolbank): if the picked VM is lost before it has begun, or the first
// seed never starts, no cluster forms.

// Begin asks a replica to make itself the sole voter of a new cluster.
type Begin struct{}

// delegateTo has the first replica with a disk that asks begin the cluster.
func (n *Node) delegateTo(from ReplicaID, j Join) {
	if !n.settings.Delegates || n.cluster != "" || j.Volatile || !j.For.IsZero() {
		return
	}
	if n.delegate.IsZero() {
		n.delegate = from
		n.note("cluster is to be begun by another VM: this one has no disk", from.String())
	}
	if n.delegate == from {
		n.send(from.VM, Message{Begin: &Begin{}})
	}
}

// form makes this replica the sole voter of a new cluster.
func (n *Node) form() {
	r := &n.replica
	if n.cluster != "" || n.settings.Volatile || r.log.last() > 0 || len(r.members.Members) > 0 {
		return
	}
	n.cluster = fmt.Sprintf("%016x", n.rand.Uint64())
	snapshot := Snapshot{Index: 1, Term: 1, Members: NewMembership(r.id)}
	r.log.reset(snapshot.Index, snapshot.Term)
	r.baseMembers = snapshot.Members
	r.findMembers()
	r.commit, r.applied = snapshot.Index, snapshot.Index
	n.saveSnapshot(snapshot)
	n.emit(Joined{Cluster: n.cluster})
	n.note("new cluster begun", r.id.String())
}

// formingTime is how long a new leader waits for more voters than have come: control
// VMs join within a second of their start.
const formingTime = 3 * time.Second

// formed reports whether a new cluster may take its first document: it has all wanted
// voters, or as many as there are VMs with a disk.
func (n *Node) formed() bool {
	r := &n.replica
	if len(r.voters()) >= n.settings.Voters {
		return true
	}
	if n.now.Before(r.electedAt.Add(formingTime)) {
		return false
	}
	for _, m := range r.members.Members {
		if !m.Voter && !m.Volatile {
			return false
		}
	}
	return true
}

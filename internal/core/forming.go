package core

import (
	"fmt"
	"time"
)

// This file bootstraps a cluster at the first start of a deployment.
//
// Problem: processes know only some seeds, start in any order, and may have no disk.
// Exactly one cluster must form.
//
// Algorithm: the first seed bootstraps the cluster. With a disk it becomes the sole voter
// before it starts (daemon.Bootstrap). Without one it delegates this to the first control
// VM with a disk that asks to join. That VM makes itself the sole voter, and all others
// join it.
//
// Invariants: only the first seed delegates, only in its first incarnation, and always to
// the same replica; a replica that has a cluster or a log does not bootstrap.
//
// Limits: TODO(spoolbank): if the delegate is lost before it has bootstrapped the cluster,
// or the first seed never starts, no cluster forms.

// BootstrapRequest asks a replica to make itself the sole voter of a new cluster.
type BootstrapRequest struct{}

// delegateBootstrap asks the first replica with a disk that wants to join to bootstrap the
// cluster.
func (n *Node) delegateBootstrap(from ReplicaID, j Join) {
	if !n.settings.DelegatesBootstrap || n.cluster != "" || j.Volatile || !j.For.IsZero() {
		return
	}
	if n.delegate.IsZero() {
		n.delegate = from
		n.note("cluster bootstrap is delegated to another VM: this one has no disk", from.String())
	}
	if n.delegate == from {
		n.send(from.VM, Message{Begin: &BootstrapRequest{}})
	}
}

// bootstrap makes this replica the sole voter of a new cluster.
func (n *Node) bootstrap() {
	r := &n.replica
	if n.cluster != "" || n.settings.Volatile || r.log.last() > 0 || len(r.members.Members) > 0 {
		return
	}
	n.cluster = fmt.Sprintf("%016x", n.rand.Uint64())
	snapshot := Snapshot{Index: 1, Term: 1, Members: NewMembership(r.id)}
	r.log.reset(snapshot.Index, snapshot.Term)
	r.baseMembers = snapshot.Members
	r.reloadMembers()
	r.commit, r.applied = snapshot.Index, snapshot.Index
	n.saveSnapshot(snapshot)
	n.emit(Joined{Cluster: n.cluster})
	n.note("new cluster bootstrapped", r.id.String())
}

// formingTimeout is how long a new leader waits for more voters to join: control VMs join
// within a second of their start.
const formingTimeout = 3 * time.Second

// isFormed reports whether a new cluster may accept its first document: it has all wanted
// voters, or after formingTimeout, as many as there are members with a disk.
func (n *Node) isFormed() bool {
	r := &n.replica
	if len(r.voters()) >= n.settings.Voters {
		return true
	}
	if n.now.Before(r.electedAt.Add(formingTimeout)) {
		return false
	}
	for _, m := range r.members.Members {
		if !m.Voter && !m.Volatile {
			return false
		}
	}
	return true
}

package core

import (
	"math"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file has the leader grant permits for targets that take a limited rate of requests from
// all VMs together; relay/lender.go has the problem. Requests for permits and grants go with
// the renewals and leases of entry VMs, via the control VM that they renew with.

// LimitRequest is an entry VM's report of a target with a limit, and its request for permits: a
// relay.PermitRequest with ages in place of times, since clocks differ.
type LimitRequest struct {
	// The fields are encoded without names, since these values are sent often.
	_      struct{}        `cbor:",toarray"`
	Target relay.TargetKey `cbor:"target"`
	// Answered reports that the asker has received an answer of the target, and Limited that the
	// answer named a limit.
	Answered  bool    `cbor:"heard"`
	Limited   bool    `cbor:"limited"`
	PerSecond float64 `cbor:"per_second"`
	// SentMillis and ReceivedMillis are the ages of the request and of its answer.
	SentMillis     uint32 `cbor:"sent_millis"`
	ReceivedMillis uint32 `cbor:"heard_millis"`
	Wanted         int    `cbor:"wanted"`
	Left           int    `cbor:"left"`
	Taken          uint64 `cbor:"taken"`
	Unpaid         uint64 `cbor:"unpaid"`
	Returned       uint64 `cbor:"returned"`
}

// HolderRequests are the permit requests of one entry VM in a RenewBatch. Number is that of its
// renewal.
type HolderRequests struct {
	_        struct{}       `cbor:",toarray"`
	From     ReplicaID      `cbor:"from"`
	Number   uint64         `cbor:"number"`
	Requests []LimitRequest `cbor:"asks"`
}

// HolderPermits answers HolderRequests in a GrantBatch, with the same Number.
type HolderPermits struct {
	_       struct{}        `cbor:",toarray"`
	To      ReplicaID       `cbor:"to"`
	Number  uint64          `cbor:"number"`
	Permits []relay.Permits `cbor:"permits"`
}

// PermitsWanted reports that requests wait for permits: the leader is to be asked now.
type PermitsWanted struct{ Requests []relay.PermitRequest }

// PermitsGranted passes to the runtime the permits of the lease that answers renewal Number. They
// expire at Until.
type PermitsGranted struct {
	Number  uint64
	Permits []relay.Permits
	Until   time.Time
}

func (PermitsWanted) isEvent() {}

func (PermitsGranted) isEffect() {}

// permitsEvery is the minimum time between two renewals that only ask for permits. A target
// that takes ten requests a second yields permits as often.
const permitsEvery = 100 * time.Millisecond

// permitsWanted renews the lease now to obtain permits.
func (n *Node) permitsWanted(p PermitsWanted) {
	n.entry.permitRequests = p.Requests
	n.renewForPermits()
}

// renewForPermits renews the lease, at most once per permitsEvery.
func (n *Node) renewForPermits() {
	l := &n.entry.lease
	if !n.settings.Entry || !n.hasLease() || n.now.Before(l.permitsAt) {
		return
	}
	l.permitsAt = n.now.Add(permitsEvery)
	n.renew()
}

// age returns the time since at in milliseconds.
func age(at, now time.Time) uint32 {
	return uint32(min(max(now.Sub(at).Milliseconds(), 0), math.MaxUint32))
}

func timeOfAge(millis uint32, now time.Time) time.Time {
	return now.Add(-time.Duration(millis) * time.Millisecond)
}

// limitRequests returns this VM's permit requests and limits for the leader.
func (n *Node) limitRequests() []LimitRequest {
	known := slices.Concat(n.entry.permitRequests, n.entry.limits.PermitRequests(n.now))
	requests := make([]LimitRequest, len(known))
	for i, a := range known {
		requests[i] = LimitRequest{
			Target: a.Target, Answered: !a.Answer.ReceivedAt.IsZero(), Limited: a.Answer.Limited, PerSecond: a.Answer.PerSecond,
			Wanted: a.Wanted, Left: a.Left, Taken: a.LastGrant, Unpaid: a.Unpaid, Returned: a.Returned,
		}
		if requests[i].Answered {
			requests[i].SentMillis, requests[i].ReceivedMillis = age(a.Answer.SentAt, n.now), age(a.Answer.ReceivedAt, n.now)
		}
	}
	return requests
}

// permitRequest converts the ages of a request to times of this VM's clock.
func (a LimitRequest) permitRequest(now time.Time) relay.PermitRequest {
	request := relay.PermitRequest{Target: a.Target, Wanted: a.Wanted, Left: a.Left, LastGrant: a.Taken, Unpaid: a.Unpaid, Returned: a.Returned}
	if a.Answered {
		request.Answer = relay.LimitAnswer{Limited: a.Limited, PerSecond: a.PerSecond, SentAt: timeOfAge(a.SentMillis, now), ReceivedAt: timeOfAge(a.ReceivedMillis, now)}
	}
	return request
}

// grantPermits returns the permits that this VM, the leader, grants to a holder.
func (n *Node) grantPermits(to ReplicaID, number uint64, requests []LimitRequest) []relay.Permits {
	var permits []relay.Permits
	for _, a := range requests {
		if p, ok := n.leader.permitAllocator.Request(to, number, a.permitRequest(n.now), n.now); ok {
			permits = append(permits, p)
		}
	}
	return permits
}

// grantBatchPermits answers the permit requests in a control VM's batch.
func (n *Node) grantBatchPermits(requests []HolderRequests) []HolderPermits {
	var granted []HolderPermits
	for _, a := range requests {
		if permits := n.grantPermits(a.From, a.Number, a.Requests); len(permits) > 0 {
			granted = append(granted, HolderPermits{To: a.From, Number: a.Number, Permits: permits})
		}
	}
	return granted
}

// storePermits stores the permits of a leader's batch until the leases are forwarded.
func (n *Node) storePermits(granted []HolderPermits) {
	for _, p := range granted {
		if h, ok := n.forwarding.holders[p.To.VM]; ok && h.id == p.To {
			h.permits, h.permitsNumber = p.Permits, p.Number
		}
	}
}

// addPermits adds to a lease the permits granted for the renewal that it answers. Permits are
// forwarded once.
func (h *holder) addPermits(g *Grant) {
	if h.permitsNumber == g.Number {
		g.Permits = h.permits
	}
	h.permits = nil
}

// applyPermits records the permits that came with a lease, and passes them to the runtime if
// the deployment has registered targets.
func (n *Node) applyPermits(g Grant) {
	sent, ok := n.entry.lease.sentAt[g.Number]
	if !ok || len(g.Permits) == 0 {
		return
	}
	granted := PermitsGranted{Number: g.Number, Permits: g.Permits, Until: sent.Add(n.settings.Timing.Shortened(relay.PermitTTL))}
	n.entry.limits.Grant(granted.Number, granted.Permits, granted.Until, n.now)
	if n.hasRegisteringTargets() {
		n.emit(granted)
	}
}

// limitsTable lists the targets with limits that this VM knows.
func (n *Node) limitsTable() Table {
	t := Table{Columns: []string{"vm", "target", "per_second", "permits", "used", "held_back"}}
	for _, l := range slices.Concat(n.entry.findings.Limited, n.entry.limits.Limited(n.now)) {
		t.add(n.settings.Self.VM, l.Target, l.PerSecond, l.Left, l.Used, l.HeldBack)
	}
	return t
}

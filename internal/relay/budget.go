package relay

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
)

// This file bounds the repeats of all VMs together, without a message for each repeat.
//
// Problem: in any window, a service may receive at most as many repeats as a share of its requests
// plus a fixed number, from all VMs together. VMs are killed with what they know, return, are
// added, and lose the leader, and all of them may meet a failure in the same second.
//
// Algorithm: what requests allow is used by the VM that received them (ledger.go): no message is
// needed for it, and it belongs to no other VM. The fixed number is kept by the leader, which
// grants permits for it to the VMs that need more (lender.go), as it does for the limits of
// targets. A VM asks for permits as soon as its own credit runs low, and holds a few in advance
// for each service.
//
// Invariants: a repeat is taken from the credit of this VM, or with a permit, and is sent within
// RepeatTTL or taken anew. No process counts on what another one has spent, so that nothing that
// is lost with a process, a leader or a message allows more.
//
// Limits: a VM without a leader has its own credit and the permits that it holds until they expire.
// Credit below a whole repeat is not used.

const (
	// unstartedShare is the part of a VM's own credit for requests whose callers have received
	// nothing yet: they can be asked to retry, and a stream in mid-answer can't.
	unstartedShare = 0.85
	// heldInAdvance is the part of the fixed number that VMs hold in advance, together.
	heldInAdvance = 1.0 / 3
	// begunPriority is how long after a begun stream lacked a repeat permits are used for begun
	// streams only.
	begunPriority = time.Second
)

// BudgetTerms bound the repeats of one service.
type BudgetTerms struct {
	Share  float64
	Fixed  float64
	Window time.Duration
}

// Usage is the number of requests to a service and of their repeats in the last window.
type Usage struct {
	// Encoded as an array: these values are sent most.
	_        struct{} `cbor:",toarray"`
	Requests int      `cbor:"requests"`
	Repeats  int      `cbor:"repeats"`
}

// Plus returns the sum.
func (s Usage) Plus(o Usage) Usage {
	return Usage{Requests: s.Requests + o.Requests, Repeats: s.Repeats + o.Repeats}
}

// RepeatAccount is the state of a service's repeat budget on one VM, for the log.
type RepeatAccount struct {
	// Own counts the requests and repeats of this VM in the last window, and Fleet those of the
	// FleetVMs that report to the leader, as of FleetAge ago.
	Own, Fleet Usage
	FleetVMs   int
	FleetAge   time.Duration
	// Left is the repeats that this VM may use now, UnstartedLeft those that requests may use
	// whose callers have received nothing yet, and Permits those of Left that the leader granted.
	Left, UnstartedLeft, Permits int
}

// String formats the account for the log.
func (a RepeatAccount) String() string {
	return fmt.Sprintf("requests=%d repeats=%d fleet_requests=%d fleet_repeats=%d fleet_vms=%d fleet_age=%s left=%d unstarted_left=%d permits=%d",
		a.Own.Requests, a.Own.Repeats, a.Fleet.Requests, a.Fleet.Repeats, a.FleetVMs, a.FleetAge.Round(time.Millisecond), a.Left, a.UnstartedLeft, a.Permits)
}

// RepeatAccount returns the state of a service's repeat budget.
func (r *Router) RepeatAccount(service string, now time.Time) RepeatAccount {
	b := r.budget(service)
	b.permits.expire(now)
	return RepeatAccount{
		Own: b.usage(now, r.settings.Budget), Fleet: r.fleetUsage.usage[service], FleetVMs: r.fleetUsage.vms, FleetAge: now.Sub(r.fleetUsage.at),
		Left: r.repeatsLeft(service, true, now), UnstartedLeft: r.repeatsLeft(service, false, now), Permits: b.permits.left,
	}
}

// RepeatTTL returns how long after it was taken a repeat may be sent.
func (r *Router) RepeatTTL() time.Duration { return ledgerLateness(r.settings.Budget.Window) }

// budget is the repeat budget of one service on this VM.
type budget struct {
	// own is the credit of the requests that this VM received.
	own ledger
	// requests and repeats count those of the last window.
	requests, repeats window
	permits           heldPermits
	// wanted counts the repeats of the last second that own had no credit for.
	wanted window
	// roundUp, from 0 to 1, decides whether a fraction of a permit is held in advance.
	roundUp float64
	// begunDeniedAt is when a begun stream last lacked a repeat.
	begunDeniedAt time.Time
}

func (b *budget) usage(now time.Time, t BudgetTerms) Usage {
	return Usage{Requests: b.requests.total(now, t.Window), Repeats: b.repeats.total(now, t.Window)}
}

// ownLeft returns the repeats that the credit of this VM allows now.
func (b *budget) ownLeft(useReserve bool, now time.Time, t BudgetTerms) int {
	usable := 1.0
	if !useReserve {
		usable = unstartedShare
	}
	return max(int(math.Floor(b.own.room(usable, clock.InstantOf(now), t.Window))), 0)
}

// permitsLeft returns the permits that are left for a request.
func (b *budget) permitsLeft(useReserve bool, now time.Time) int {
	b.permits.expire(now)
	if !useReserve && now.Before(b.begunDeniedAt.Add(begunPriority)) {
		return 0
	}
	return b.permits.left
}

// take takes a repeat, and reports whether there was one.
func (b *budget) take(useReserve bool, now time.Time, t BudgetTerms) bool {
	own := b.ownLeft(useReserve, now, t)
	if own == 1 {
		b.wanted.add(now, demandWindow) // the next one will need a permit
	}
	switch {
	case own > 0:
		b.own.spend(1, clock.InstantOf(now), t.Window)
	case b.permitsLeft(useReserve, now) > 0:
		b.permits.left--
	default:
		b.noteDenied(useReserve, now)
		return false
	}
	b.repeats.add(now, t.Window)
	return true
}

// noteDenied records that a request lacked a repeat.
func (b *budget) noteDenied(useReserve bool, now time.Time) {
	b.wanted.add(now, demandWindow)
	if useReserve {
		b.begunDeniedAt = now
	}
}

// permitRequest returns what the next renewal reports to the leader, and gives back the permits
// that are neither wanted nor held in advance.
func (b *budget) permitRequest(service string, vms int, now time.Time, t BudgetTerms) PermitRequest {
	b.permits.expire(now)
	wanted := b.wanted.total(now, demandWindow)
	wanted = max(wanted, int(heldInAdvance*t.Fixed/float64(max(vms, 1))+b.roundUp))
	b.permits.giveBack(wanted)
	return PermitRequest{
		Target: repeatKey(service), Answer: LimitAnswer{PerSecond: t.Fixed / t.Window.Seconds(), SentAt: now, ReceivedAt: now},
		Wanted: wanted, Left: b.permits.left, LastGrant: b.permits.lastGrant, Returned: b.permits.returned,
	}
}

// repeatKey returns the key under which the leader grants permits for repeats of a service.
func repeatKey(service string) TargetKey { return TargetID("repeats of " + service).Key() }

// repeatPermitRequests returns the requests for permits of services whose budgets want or hold any.
func (r *Router) repeatPermitRequests(now time.Time) []PermitRequest {
	if !r.settings.Policy.Has(PooledRepeats) || r.settings.Budget.Fixed <= 0 {
		return nil
	}
	for service := range r.services {
		r.budget(service) // permits are held in advance before its first request
	}
	var requests []PermitRequest
	for service, b := range r.budgets {
		if request := b.permitRequest(service, r.vms, now, r.settings.Budget); request.Wanted > 0 || now.Before(b.permits.expiresAt) {
			requests = append(requests, request)
		}
	}
	slices.SortFunc(requests, func(a, b PermitRequest) int {
		return cmp.Or(cmp.Compare(b.Wanted, a.Wanted), cmp.Compare(a.Target, b.Target))
	})
	return requests[:min(len(requests), maxPermitRequests)]
}

// applyRepeatPermits processes the permits for repeats among those that answer a renewal, and
// returns the others.
func (r *Router) applyRepeatPermits(number uint64, permits []Permits, until, now time.Time) []Permits {
	return slices.DeleteFunc(slices.Clone(permits), func(p Permits) bool {
		for service, b := range r.budgets {
			if p.Target != repeatKey(service) {
				continue
			}
			if !p.Over && number > b.permits.lastGrant {
				b.permits.accept(number, p.Count, until, now)
			}
			return true
		}
		return false
	})
}

// fleetUsage is the usage of all VMs together, for the log.
type fleetUsage struct {
	usage map[string]Usage
	// vms is the number of VMs in it, and at when it was received.
	vms int
	at  time.Time
}

// SetFleetUsage sets the usage of all VMs that report to the leader, by service.
func (r *Router) SetFleetUsage(usage map[string]Usage, vms int, now time.Time) {
	r.fleetUsage = fleetUsage{usage: usage, vms: vms, at: now}
}

// Usage returns the usage of this VM, by service.
func (r *Router) Usage(now time.Time) map[string]Usage {
	usage := make(map[string]Usage, len(r.budgets))
	for service, b := range r.budgets {
		if s := b.usage(now, r.settings.Budget); s != (Usage{}) {
			usage[service] = s
		}
	}
	return usage
}

// CountRequest records a request of a service that arrived at a time. Repeats are a share of these.
func (r *Router) CountRequest(service string, arrived time.Time) {
	t := r.settings.Budget
	b := r.budget(service)
	b.requests.add(arrived, t.Window)
	b.own.earn(t.Share, clock.InstantOf(arrived), t.Window)
}

// AllowRepeat reports whether the repeat budget of a service allows one more, and counts it.
// useReserve is set if the caller has received a part of its answer.
func (r *Router) AllowRepeat(service string, useReserve bool, now time.Time) bool {
	return r.budget(service).take(useReserve || !r.settings.Policy.Has(RepeatShares), now, r.settings.Budget)
}

// repeatsLeft returns how many more repeats the budget of a service allows this VM at present.
func (r *Router) repeatsLeft(service string, useReserve bool, now time.Time) int {
	useReserve = useReserve || !r.settings.Policy.Has(RepeatShares)
	b := r.budget(service)
	return b.ownLeft(useReserve, now, r.settings.Budget) + b.permitsLeft(useReserve, now)
}

func (r *Router) budget(service string) *budget {
	b, ok := r.budgets[service]
	if !ok {
		b = &budget{roundUp: r.rand.Float64()}
		r.budgets[service] = b
	}
	return b
}

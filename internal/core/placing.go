package core

import (
	"maps"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file lets the leader order engines that register themselves to hold layers.
//
// Engines report the layers that they hold, so a new leader needs no record of
// the previous leader's orders. An order is conditional on the number of orders
// that the engine has applied, so the engine refuses a late copy of an older one.
// An order without an answer may still be applied. The engine then counts as
// holding its range until it reports otherwise or the timeout has passed.

// OrderLayers asks the runtime to order an engine to hold layers. LayersOrdered
// reports the outcome.
type OrderLayers struct {
	Target  relay.TargetID
	Address string
	Layers  config.Range
	// NotAfter is when the order expires.
	NotAfter time.Time
}

// OrderOutcome is the outcome of an order.
type OrderOutcome int

// The outcomes of an order.
const (
	// OrderBegun means that the engine has started to apply it.
	OrderBegun OrderOutcome = iota
	// OrderRefused means that the engine did not accept it.
	OrderRefused
	// OrderUnknown means that it may have been accepted, or may still be.
	OrderUnknown
)

// String returns the outcome's name.
func (o OrderOutcome) String() string { return [...]string{"begun", "refused", "unknown"}[o] }

// LayersOrdered reports the outcome of an OrderLayers.
type LayersOrdered struct {
	Target  relay.TargetID
	Outcome OrderOutcome
}

func (OrderLayers) isEffect() {}

func (LayersOrdered) isEvent() {}

const (
	// placeInterval is the interval between checks of the layers that engines hold.
	placeInterval = 250 * time.Millisecond
	// placeSettleTime is the time without a new engine before the first plan is made:
	// engines register within one heartbeat of 1.2 s.
	placeSettleTime = 1300 * time.Millisecond
	// layerOrderLifetime is how long an order may take to be delivered.
	layerOrderLifetime = 2 * time.Second
	// refusedOrderDelay is the delay after an order that was refused.
	refusedOrderDelay = 2 * time.Second
	// unknownOrderTimeout is the wait for an order without an answer: a late one is
	// applied within 12 s.
	unknownOrderTimeout = 13 * time.Second
)

// layerPlacement is the leader's state of its orders. It is lost when leadership ends.
type layerPlacement struct {
	decoded     documentCache
	nextCheckAt time.Time
	// queued holds the assignments of an initial plan that have not been ordered yet, by
	// service. An initial plan is one for a fleet that holds nothing.
	queued map[string][]relay.Assignment
	// orders holds the orders that engines have not yet reported as applied.
	orders map[relay.TargetID]layerOrder
	// inFlight holds the engines with an order in flight.
	inFlight map[relay.TargetID]bool
	// enginesSeen is the highest number of engines seen, and settledAt when the first plan may
	// be made.
	enginesSeen int
	settledAt   time.Time
	// logged, by service, is what was last logged of the plan and its faults, capacity that of
	// the layers that engines hold, and capacityAt when that is updated next.
	logged     map[string]planLog
	capacity   map[string]relay.Capacity
	capacityAt map[string]time.Time
}

// planLog holds the last log lines on a service. Each is logged again when it changes.
type planLog struct{ faults, plan string }

// capacityInterval is the interval at which the capacity of the held layers is computed. The
// figure is for operators, who read it every few seconds.
const capacityInterval = time.Second

type layerOrder struct {
	layers config.Range
	// until is when the order is assumed to have failed.
	until time.Time
}

// tickPlacing compares what engines hold with the plan.
func (n *Node) tickPlacing() {
	p := &n.leader.layerPlacement
	if !n.hasRegisteringTargets() || n.now.Before(p.nextCheckAt) || n.now.Before(n.registry.completeAt) {
		return
	}
	p.nextCheckAt = n.now.Add(placeInterval)
	document := p.decoded.read(n, n.machine.Config.Document)
	if document == nil {
		return
	}
	for i := range document.Services {
		if s := &document.Services[i]; s.Engine != nil && s.Engine.Layers > 0 {
			n.placeService(s)
		}
	}
}

func (n *Node) placeService(s *relay.Service) {
	p := &n.leader.layerPlacement
	engines, anyHoldsLayers := n.enginesOf(s.Name)
	if len(engines) > p.enginesSeen {
		p.settledAt = n.now.Add(placeSettleTime)
	}
	p.enginesSeen = max(p.enginesSeen, len(engines))
	n.updateCapacity(s, engines)
	if !anyHoldsLayers && n.now.Before(p.settledAt) && !s.Engine.ReadyForFirstPlan(engines) {
		return
	}
	n.logFaults(s, engines)
	n.sendOrders(s, n.assignments(s, engines, anyHoldsLayers))
}

// assignments returns the next orders, the most urgent first. An initial plan is kept until
// all of it is ordered, since a plan for the remaining engines would differ.
func (n *Node) assignments(s *relay.Service, engines []relay.Target, anyHoldsLayers bool) []relay.Assignment {
	p := &n.leader.layerPlacement
	if !anyHoldsLayers {
		p.queued[s.Name] = n.settings.Policy.Plan(s.Engine, engines)
		n.logPlan(s, engines, p.queued[s.Name])
	}
	empty := make(map[relay.TargetID]bool)
	for _, t := range engines {
		empty[t.ID] = t.Layers.Len() == 0
	}
	p.queued[s.Name] = slices.DeleteFunc(p.queued[s.Name], func(a relay.Assignment) bool { return !empty[a.Target] })
	if anyHoldsLayers && !s.Engine.NeedsMoreLoads(engines) {
		return nil
	}
	if queued := p.queued[s.Name]; len(queued) > 0 {
		return queued
	}
	return n.settings.Policy.Plan(s.Engine, firstEmpty(engines, loadsAhead*s.Engine.LoadsAtOnce))
}

// firstEmpty returns the engines that hold layers and, of those that hold none, the first most;
// 0 is no bound. It keeps engines that can't be ordered yet out of the plan, because a plan for
// 1,500 empty engines and as many others takes 0.15 s.
func firstEmpty(engines []relay.Target, most int) []relay.Target {
	if most <= 0 {
		return engines
	}
	empty := 0
	return slices.DeleteFunc(slices.Clone(engines), func(t relay.Target) bool {
		if t.Layers.Len() > 0 {
			return false
		}
		empty++
		return empty > most
	})
}

// loadsAhead bounds the orders in progress, as a multiple of LoadsAtOnce, the loads that run at
// full speed. The end of a load is reported up to a heartbeat later, and the store must not be
// idle until then.
const loadsAhead = 8

// maxOrdersInFlight bounds the orders in flight. Each is a connection and a call of the
// runtime, and the leader's heartbeats and leases would wait behind all of them.
const maxOrdersInFlight = 64

// sendOrders sends orders as long as mayOrder allows. All loads share a store, and with thousands
// in parallel none would finish for a long time.
func (n *Node) sendOrders(s *relay.Service, assignments []relay.Assignment) {
	p := &n.leader.layerPlacement
	for _, a := range assignments {
		if !p.mayOrder(s.Engine) {
			return
		}
		n.orderLayers(s.Engine, a)
	}
}

// mayOrder reports whether another engine may be ordered now.
func (p *layerPlacement) mayOrder(e *relay.Engine) bool {
	if len(p.inFlight) >= maxOrdersInFlight {
		return false
	}
	return e.LoadsAtOnce <= 0 || len(p.orders) < loadsAhead*e.LoadsAtOnce
}

// orderQueued sends the next orders of the initial plans.
func (n *Node) orderQueued() {
	p := &n.leader.layerPlacement
	for _, service := range slices.Sorted(maps.Keys(p.queued)) {
		e := p.decoded.document.Engine(service)
		for e != nil && len(p.queued[service]) > 0 && p.mayOrder(e) {
			next := p.queued[service][0]
			p.queued[service] = p.queued[service][1:]
			if _, ordered := p.orders[next.Target]; !ordered {
				n.orderLayers(e, next)
			}
		}
	}
}

// enginesOf returns the live engines of a service that accept work, with the layers
// that they hold or were ordered to hold, and whether any of them has such layers. It
// forgets orders that are applied or have failed.
func (n *Node) enginesOf(service string) (engines []relay.Target, anyHoldsLayers bool) {
	p := &n.leader.layerPlacement
	marks := n.leader.fleetNow(n).marks
	for _, t := range n.registry.targets.All() {
		if t.Service != service || !t.AcceptsWork() || marks[t.ID.Key()].Has(relay.MarkSilent) {
			continue
		}
		order, ordered := p.orders[t.ID]
		if ordered && (t.Layers == order.layers || !n.now.Before(order.until)) {
			delete(p.orders, t.ID)
			ordered = false
		}
		if ordered {
			t.Layers = order.layers
			t.Loading = true
		}
		t.Load = n.leader.fleet.work[t.ID.Key()].Tokens
		anyHoldsLayers = anyHoldsLayers || t.Layers.Len() > 0
		engines = append(engines, t)
	}
	return engines, anyHoldsLayers
}

func (n *Node) orderLayers(e *relay.Engine, a relay.Assignment) {
	t, ok := n.registry.targets.Get(a.Target)
	if !ok || t.Loading {
		return
	}
	share := float64(a.Layers.Len()) / float64(e.Layers)
	load := time.Duration(float64(e.Load) * share * loadTimeFactor)
	n.leader.layerPlacement.orders[a.Target] = layerOrder{layers: a.Layers, until: n.now.Add(load + unknownOrderTimeout)}
	n.leader.layerPlacement.inFlight[a.Target] = true
	n.note("engine ordered to hold layers "+a.Layers.String(), string(a.Target))
	n.leader.permitAllocator.Charge(a.Target.Key())
	n.emit(OrderLayers{Target: a.Target, Address: t.Address, Layers: a.Layers, NotAfter: n.now.Add(layerOrderLifetime)})
}

// loadTimeFactor extends the expected time of a load, since loads share a store.
const loadTimeFactor = 4

func (n *Node) layersOrdered(o LayersOrdered) {
	p := &n.leader.layerPlacement
	delete(p.inFlight, o.Target)
	if order, ok := p.orders[o.Target]; ok {
		n.note("order of layers "+order.layers.String()+" "+o.Outcome.String(), string(o.Target))
		if o.Outcome == OrderRefused {
			order.until = n.now.Add(refusedOrderDelay)
			p.orders[o.Target] = order
		}
	}
	n.orderQueued()
}

package core

import (
	"maps"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file has the leader tell engines that register themselves which layers
// to hold.
//
// What an engine holds, it says itself, so that a new leader needs no memory of
// the orders of the one before. An order is conditional on the number of orders
// that the engine has carried out: a late copy of an older one is refused by the
// engine. An order without an answer may still be carried out; the engine then
// counts as holding its range until it says otherwise or the wait is over.

// OrderLayers asks the runtime to order an engine to hold layers. LayersOrdered
// answers it.
type OrderLayers struct {
	Target  relay.TargetID
	Address string
	Layers  config.Range
	// NotAfter is when the order is void.
	NotAfter time.Time
}

// OrderOutcome is how an order ended.
type OrderOutcome int

// The outcomes of an order.
const (
	// OrderBegun: the engine carries it out.
	OrderBegun OrderOutcome = iota
	// OrderRefused: the engine did not take it.
	OrderRefused
	// OrderUnknown: it may have been taken, or may be later.
	OrderUnknown
)

// String returns the outcome's name.
func (o OrderOutcome) String() string { return [...]string{"begun", "refused", "unknown"}[o] }

// LayersOrdered answers OrderLayers.
type LayersOrdered struct {
	Target  relay.TargetID
	Outcome OrderOutcome
}

func (OrderLayers) isEffect() {}

func (LayersOrdered) isEvent() {}

const (
	// placeEvery is the interval between two looks at what engines hold.
	placeEvery = 250 * time.Millisecond
	// placeSettle is the quiet after the last new engine before the first plan is
	// made: engines register within one beat of 1.2 s.
	placeSettle = 1300 * time.Millisecond
	// placeLife is how long an order may wait to be delivered.
	placeLife = 2 * time.Second
	// placeAgain is the pause after an order that was refused.
	placeAgain = 2 * time.Second
	// placeUnknown is the wait for an order without an answer: a late one is
	// carried out within 12 s.
	placeUnknown = 13 * time.Second
)

// placing is what the leader knows of its orders. It is lost with the lead.
type placing struct {
	decoded decoded
	lookAt  time.Time
	// queued is what the plan of a fleet that held nothing has not been ordered yet, by
	// service.
	queued map[string][]relay.Assignment
	// orders holds what was ordered and is not yet seen to be held.
	orders map[relay.TargetID]layerOrder
	// underWay are the engines with an order that has no outcome yet.
	underWay map[relay.TargetID]bool
	// known is the number of engines at the last look, and settledAt when the
	// first plan may be made.
	known     int
	settledAt time.Time
	// noted is what was last noted of a service's plan and faults, holds what the layers
	// that engines hold bear, and holdsAt when that is worked out again, by service.
	noted   map[string]planNotes
	holds   map[string]relay.Capacity
	holdsAt map[string]time.Time
}

// planNotes is what was last noted of a service: each is noted again when it changes.
type planNotes struct{ faults, plan string }

// holdsEvery is the interval between two looks at what the layers that engines hold bear:
// the figure is for operators, who look at it every few seconds.
const holdsEvery = time.Second

type layerOrder struct {
	layers config.Range
	// until is when it is taken to have come to nothing.
	until time.Time
}

// tickPlacing compares what engines hold with the plan.
func (n *Node) tickPlacing() {
	p := &n.leading.placing
	if !n.followsTargets() || n.now.Before(p.lookAt) || n.now.Before(n.registry.completeAt) {
		return
	}
	p.lookAt = n.now.Add(placeEvery)
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
	p := &n.leading.placing
	engines, holding := n.enginesOf(s.Name)
	if len(engines) > p.known {
		p.settledAt = n.now.Add(placeSettle)
	}
	p.known = max(p.known, len(engines))
	n.lookAtHolds(s, engines)
	if !holding && n.now.Before(p.settledAt) && !s.Engine.MayBegin(engines) {
		return
	}
	n.noteFaults(s, engines)
	n.orderSome(s, n.assignments(s, engines, holding))
}

// assignments returns what is to be ordered next, the most urgent first. What was planned
// for a fleet that held nothing is kept until it is ordered: a plan for what is left would
// be another one.
func (n *Node) assignments(s *relay.Service, engines []relay.Target, holding bool) []relay.Assignment {
	p := &n.leading.placing
	if !holding {
		p.queued[s.Name] = n.settings.Policy.Plan(s.Engine, engines)
		n.notePlan(s, engines, p.queued[s.Name])
	}
	empty := make(map[relay.TargetID]bool)
	for _, t := range engines {
		empty[t.ID] = t.Layers.Len() == 0
	}
	p.queued[s.Name] = slices.DeleteFunc(p.queued[s.Name], func(a relay.Assignment) bool { return !empty[a.Target] })
	if holding && !s.Engine.NeedsMore(engines) {
		return nil
	}
	if queued := p.queued[s.Name]; len(queued) > 0 {
		return queued
	}
	return n.settings.Policy.Plan(s.Engine, firstEmpty(engines, loadsAhead*s.Engine.LoadsAtOnce))
}

// firstEmpty returns engines without those that hold nothing after the first so many; most is
// 0 where there is no bound. What can't be ordered yet is not planned for: a plan for 1,500
// empty engines beside as many others takes 0.15 s.
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

// loadsAhead is how many times more engines load at a time than load at full speed: that
// one is done is known up to a heartbeat later, in which the store is not to be idle.
const loadsAhead = 8

// ordersAtOnce is how many orders are under way at a time. Each is a connection and a call of
// the runtime's, behind all of which the leader's heartbeats and leases would wait.
const ordersAtOnce = 64

// orderSome orders no more engines than can load at a time: all that load share a store, and of
// thousands that load at once none would hold anything for long.
func (n *Node) orderSome(s *relay.Service, assignments []relay.Assignment) {
	p := &n.leading.placing
	for _, a := range assignments {
		if !p.mayOrder(s.Engine) {
			return
		}
		n.orderLayers(s.Engine, a)
	}
}

// mayOrder reports whether one engine more may be ordered now.
func (p *placing) mayOrder(e *relay.Engine) bool {
	if len(p.underWay) >= ordersAtOnce {
		return false
	}
	return e.LoadsAtOnce <= 0 || len(p.orders) < loadsAhead*e.LoadsAtOnce
}

// orderQueued orders the next ones of the plans of fleets that held nothing.
func (n *Node) orderQueued() {
	p := &n.leading.placing
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

// enginesOf returns the engines of a service that live and take work, with what
// they hold or were ordered to hold.
func (n *Node) enginesOf(service string) (engines []relay.Target, holding bool) {
	p := &n.leading.placing
	marks := n.leading.fleetNow(n).marks
	for _, t := range n.registry.targets.All() {
		if t.Service != service || !t.Takes() || marks[t.ID.Key()].Has(relay.MarkSilent) {
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
		t.Load = n.leading.fleet.work[t.ID.Key()].Tokens
		holding = holding || t.Layers.Len() > 0
		engines = append(engines, t)
	}
	return engines, holding
}

func (n *Node) orderLayers(e *relay.Engine, a relay.Assignment) {
	t, ok := n.registry.targets.Get(a.Target)
	if !ok || t.Loading {
		return
	}
	share := float64(a.Layers.Len()) / float64(e.Layers)
	load := time.Duration(float64(e.Load) * share * loadCaution)
	n.leading.placing.orders[a.Target] = layerOrder{layers: a.Layers, until: n.now.Add(load + placeUnknown)}
	n.leading.placing.underWay[a.Target] = true
	n.note("engine ordered to hold layers "+a.Layers.String(), string(a.Target))
	n.leading.lender.Charge(a.Target.Key())
	n.emit(OrderLayers{Target: a.Target, Address: t.Address, Layers: a.Layers, NotAfter: n.now.Add(placeLife)})
}

// loadCaution lengthens the expected time of a load, since loads share a store.
const loadCaution = 4

func (n *Node) layersOrdered(o LayersOrdered) {
	p := &n.leading.placing
	delete(p.underWay, o.Target)
	if order, ok := p.orders[o.Target]; ok {
		n.note("order of layers "+order.layers.String()+" "+o.Outcome.String(), string(o.Target))
		if o.Outcome == OrderRefused {
			order.until = n.now.Add(placeAgain)
			p.orders[o.Target] = order
		}
	}
	n.orderQueued()
}

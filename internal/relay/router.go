package relay

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Settings of a Router.
type Settings struct {
	// Hall is the data hall of this VM.
	Hall   string
	Budget BudgetTerms
	// Started is when the process started.
	Started time.Time
	Seed    uint64
	Policy  Policy
}

// Router picks paths and counts the requests in flight. It is not safe for concurrent use.
type Router struct {
	settings Settings
	rand     *rand.Rand
	document *Document
	table    routeTable
	keys     map[string]*Organisation
	services map[string]*Service
	targets  map[TargetID]*target
	members  map[string][]*target
	// marks holds the marks of all targets, including targets not known to this VM yet.
	marks map[TargetKey]Mark
	notices
	budgets map[string]*budget
	// reaches holds by service whether this VM reaches its targets.
	reaches    map[string]*reach
	fleetUsage fleetUsage
	vms        int
	// othersReported is set once this VM has received a report of the work of the others.
	othersReported bool
	// crossingsInFlight counts the changes of halls on the paths in flight.
	crossingsInFlight int
	// waiters holds the requests that wait for permits, by service.
	waiters map[string]*waiters
	// waitFactors holds, by hall, the time of a pass with the waits before it as a multiple of
	// the pass alone.
	waitFactors map[string]average
	overdue     overdueMultiple
	// meanFirstEvent is the mean time from sending a request to its first event, in nanoseconds.
	meanFirstEvent average
	// meanPause is a moving mean of the pauses between events of recent answers, in
	// nanoseconds.
	meanPause average
}

// NewRouter returns a Router without a document.
func NewRouter(s Settings) *Router {
	return &Router{
		settings:    s,
		rand:        rand.New(rand.NewPCG(s.Seed, 1)),
		targets:     make(map[TargetID]*target),
		members:     make(map[string][]*target),
		marks:       make(map[TargetKey]Mark),
		notices:     newNotices(s.Seed),
		waiters:     make(map[string]*waiters),
		budgets:     make(map[string]*budget),
		reaches:     make(map[string]*reach),
		waitFactors: make(map[string]average),
		vms:         1,
	}
}

// SetDocument puts a document in force. A document that is not newer than the present one
// is ignored.
func (r *Router) SetDocument(d *Document) {
	if r.document != nil && d.Version <= r.document.Version {
		return
	}
	r.document = d
	r.table = newRouteTable(d)
	r.keys = make(map[string]*Organisation)
	for i := range d.Organisations {
		for _, k := range d.Organisations[i].Keys {
			r.keys[k] = &d.Organisations[i]
		}
	}
	r.services = make(map[string]*Service, len(d.Services))
	for i := range d.Services {
		r.services[d.Services[i].Name] = &d.Services[i]
	}
}

// Document returns the document in force, or nil.
func (r *Router) Document() *Document { return r.document }

// SetVMCount sets the number of entry VMs. It never decreases: see budget.go.
func (r *Router) SetVMCount(n int) { r.vms = max(r.vms, n) }

// Ready reports whether the Router has a document and, for each of its services, targets
// that can serve it.
func (r *Router) Ready() bool {
	if r.document == nil {
		return false
	}
	for _, s := range r.document.Services {
		if !r.covered(&s) {
			return false
		}
	}
	return true
}

// covered reports whether a service has a target, or engines for every layer.
func (r *Router) covered(s *Service) bool { return r.coveredBy(s, (*target).acceptsWork) }

// coveredBy reports whether the targets of a service that meet a condition can serve it.
func (r *Router) coveredBy(s *Service, condition func(*target) bool) bool {
	if s.Engine == nil || s.Engine.Layers <= 0 {
		return slices.ContainsFunc(r.members[s.Name], condition)
	}
	counts := make([]int, s.Engine.Layers)
	for _, t := range r.members[s.Name] {
		if condition(t) && t.Layers.Len() > 0 && t.Layers.Last <= s.Engine.Layers {
			addCopy(counts, t.Layers)
		}
	}
	return slices.Min(counts) > 0
}

// Admit finds the route of a request and the organisation of its key.
func (r *Router) Admit(host, path, key string, now time.Time) (*Route, *Organisation, *Refusal) {
	if r.document == nil {
		return nil, nil, &Refusal{Kind: RefusedNoDocument, RetryAt: r.retryTime(now), Reason: "this VM has no configuration yet"}
	}
	route, ok := r.table.find(host, path)
	if !ok {
		return nil, nil, &Refusal{Kind: RefusedNoRoute, Reason: "no route leads to this path"}
	}
	if route.Anonymous || len(r.document.Organisations) == 0 {
		return route, nil, nil
	}
	org, ok := r.keys[key]
	if !ok {
		return nil, nil, &Refusal{Kind: RefusedKey, Reason: "the key belongs to nobody"}
	}
	return route, org, nil
}

// Choose picks a path and counts the request as in flight on it. The caller must return
// each path with Release.
func (r *Router) Choose(a PathRequest, now time.Time) (Path, *Refusal) {
	name := a.Service
	if name == "" {
		name = r.pickService(a.Route)
	}
	service, ok := r.services[name]
	if !ok {
		return Path{}, &Refusal{Kind: RefusedNoRoom, RetryAt: r.retryTime(now), Reason: "the service " + name + " is not in the configuration"}
	}
	a.permits = r.permitsFor(name, a, now)
	var path Path
	if service.Engine != nil && service.Engine.Layers > 0 {
		path, ok = r.choosePath(service, a.withExpectedAnswer(service.Engine), now)
	} else {
		path, ok = r.chooseTarget(service, a, now)
	}
	r.notePermitDemand(name, a, path, now)
	if !ok {
		return Path{}, r.noRoomRefusal(name, a, now)
	}
	path.permit = r.reservePermit(path.First().Target, now)
	r.occupy(path, false)
	return path, nil
}

// pickService picks one of a route's services at random by weight.
func (r *Router) pickService(route *Route) string {
	total := 0
	for _, s := range route.Shares {
		total += s.Weight
	}
	n := r.rand.IntN(max(total, 1))
	for _, s := range route.Shares {
		if n < s.Weight {
			return s.Service
		}
		n -= s.Weight
	}
	return ""
}

const (
	// retryDelayMin and retryDelaySpread set when a refused caller retries: at a random
	// time within the period for which capacity is short. Most callers retry only once, and
	// after no more than a third of the time that they have left. An engine that died
	// takes two heartbeats until it is found lost and back again, and then about 4 s to
	// load its layers (14 s for all layers of a model of which it holds a quarter).
	retryDelayMin    = 2000 * time.Millisecond
	retryDelaySpread = 4500 * time.Millisecond
)

func (r *Router) retryTime(now time.Time) time.Time {
	if !r.settings.Policy.Has(SpreadReturns) {
		return now.Add(retryDelayMin)
	}
	return now.Add(retryDelayMin + time.Duration(r.rand.Int64N(int64(retryDelaySpread))))
}

// noRoomRefusal returns the refusal of a request that finds no target. If VMs back off from
// targets, there is no room before a backoff ends: the caller is asked to retry after that,
// at a random time within another length of the backoff, so that no more callers return at
// once than were refused.
func (r *Router) noRoomRefusal(service string, a PathRequest, now time.Time) *Refusal {
	if refusal := r.noPermitRefusal(service, a, now); refusal != nil {
		return refusal
	}
	until, length := r.backoffEnd(service, a, now)
	if until.IsZero() {
		return &Refusal{Kind: RefusedNoRoom, RetryAt: r.retryTime(now), Reason: "no target of " + service + " has room"}
	}
	spread := time.Duration(r.rand.Int64N(int64(max(length, minReturnSpread))))
	return &Refusal{Kind: RefusedNoRoom, RetryAt: until.Add(spread), NotBefore: until, Reason: "targets of " + service + " have asked to back off"}
}

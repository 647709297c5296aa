package relay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// Settings of a Router.
type Settings struct {
	// Hall is the data hall of this VM.
	Hall   string
	Budget BudgetTerms
	// Started is when the process began.
	Started time.Time
	Seed    uint64
	Policy  Policy
}

// Work is what is under way at a target.
type Work struct {
	// The fields are sent without their names: these values are sent most.
	_        struct{} `cbor:",toarray"`
	Requests int      `cbor:"requests"`
	// Tokens is the memory that the requests take: tokens times the layers that the
	// target runs of each.
	Tokens int `cbor:"tokens"`
	// Unread is the tokens of prompts whose answer has not begun.
	Unread int `cbor:"unread"`
}

// Plus returns the sum.
func (w Work) Plus(o Work) Work {
	return Work{Requests: w.Requests + o.Requests, Tokens: w.Tokens + o.Tokens, Unread: w.Unread + o.Unread}
}

// Minus returns the difference, at least nothing.
func (w Work) Minus(o Work) Work {
	return Work{
		Requests: max(w.Requests-o.Requests, 0),
		Tokens:   max(w.Tokens-o.Tokens, 0),
		Unread:   max(w.Unread-o.Unread, 0),
	}
}

// Times returns the work of n VMs that have this each.
func (w Work) Times(n int) Work {
	return Work{Requests: n * w.Requests, Tokens: n * w.Tokens, Unread: n * w.Unread}
}

// Stage is one target of a path, with the layers that it runs. A plain service
// has one stage and no layers.
type Stage struct {
	Target  TargetID
	Address string
	Layers  config.Range
	hall    string
}

// Path is where one request goes.
type Path struct {
	Service string
	Stages  []Stage
	// tokens is what the request takes of a target's memory for each layer.
	tokens int
	// prompt is the tokens that are to be read before the answer begins.
	prompt int
	// changes counts the changes of halls.
	changes int
	pass    passTimes
}

// First returns the stage that gets the request.
func (p Path) First() Stage { return p.Stages[0] }

// Forecast returns the time of one pass over all stages by the load at the choice, without
// waits: the least pause between two events; 0 for plain services.
func (p Path) Forecast() time.Duration { return p.pass.loaded }

// Passes reports whether the path runs over a target.
func (p Path) Passes(id TargetID) bool {
	return slices.ContainsFunc(p.Stages, func(s Stage) bool { return s.Target == id })
}

// At returns the stage at an address.
func (p Path) At(address string) (Stage, bool) {
	i := slices.IndexFunc(p.Stages, func(s Stage) bool { return s.Address == address })
	if i < 0 {
		return Stage{}, false
	}
	return p.Stages[i], true
}

// String returns the path for the log.
func (p Path) String() string {
	var parts []string
	for _, s := range p.Stages {
		parts = append(parts, fmt.Sprintf("%s%s", s.Address, s.Layers))
	}
	return strings.Join(parts, " ")
}

// target is what a Router knows of one target.
type target struct {
	Target
	key    TargetKey
	own    Work
	others Work
	// trouble grows with failures in a row, and fullness with refusals in a row.
	trouble      int
	suspectUntil time.Time
	fullness     int
	fullUntil    time.Time
	// pace is how slow it has said to be, for as long as that counts. slowness grows each
	// time that it is found slow again.
	pace      float64
	slowness  int
	slowUntil time.Time
	// slowElsewhere says that another VM has been told so.
	slowElsewhere bool
	// failedAt is when it last failed for certain, zero once it has done its part.
	failedAt    time.Time
	succeededAt time.Time
	// ownTold is what this VM had under way when the others' work was told.
	ownTold Work
	// silent says that the target has told no VM of late that it lives, or that
	// half of the VMs find it dead; moving that it was ordered to hold other layers.
	silent bool
	moving bool
	// void says that another life runs in the place of this one. A void target is no member
	// of its service.
	void bool
	// failures is a moving mean of recent results: 0 all well, 1 all failed.
	failures float64
}

// Router picks paths and counts what is under way. It is not safe for use by
// several goroutines at once.
type Router struct {
	settings Settings
	rand     *rand.Rand
	document *Document
	table    routeTable
	keys     map[string]*Organisation
	services map[string]*Service
	targets  map[TargetID]*target
	members  map[string][]*target
	// marks are those of all targets that have any, also of ones not known here yet.
	marks   map[TargetKey]Mark
	budgets map[string]*budget
	sums    sums
	vms     int
	// othersKnown says that this VM has been told what others have under way.
	othersKnown bool
	// changing counts the changes of halls on the paths under way.
	changing int
	// waits holds, by hall, how much longer a pass takes with the waits before it.
	waits   map[string]average
	overdue overdueTimes
	// firstMean is the mean time from a sending to its first event, in nanoseconds.
	firstMean average
	// meanPause is the mean pause between the events of the answers of late, in
	// nanoseconds.
	meanPause average
}

// NewRouter returns a Router without a document.
func NewRouter(s Settings) *Router {
	return &Router{
		settings: s,
		rand:     rand.New(rand.NewPCG(s.Seed, 1)),
		targets:  make(map[TargetID]*target),
		members:  make(map[string][]*target),
		marks:    make(map[TargetKey]Mark),
		budgets:  make(map[string]*budget),
		waits:    make(map[string]average),
		vms:      1,
	}
}

// TakeDocument puts a document in force. An older one is dropped.
func (r *Router) TakeDocument(d *Document) {
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

// TakeVMs takes the number of entry VMs. It never goes down: see budget.go.
func (r *Router) TakeVMs(n int) { r.vms = max(r.vms, n) }

// TakeTargets takes what targets have newly said.
func (r *Router) TakeTargets(targets []Target) {
	for _, t := range targets {
		known, ok := r.targets[t.ID]
		if !ok {
			known = &target{Target: t, key: t.ID.Key()}
			known.takeMark(r.marks[known.key])
			r.targets[t.ID] = known
			r.members[t.Service] = append(r.members[t.Service], known)
			continue
		}
		if known.void {
			known.void = false
			r.members[known.Service] = append(r.members[known.Service], known)
		}
		known.Target = known.Target.merge(t)
		if known.Gone && known.own.Requests == 0 {
			r.drop(known)
		}
	}
}

func (r *Router) drop(t *target) {
	delete(r.targets, t.ID)
	r.leave(t)
}

// leave takes a target from the members of its service.
func (r *Router) leave(t *target) {
	r.members[t.Service] = slices.DeleteFunc(r.members[t.Service], func(o *target) bool { return o == t })
}

// TakeOthers takes what other VMs have under way. Whole says that targets that are
// missing have none; otherwise they have about what they had.
func (r *Router) TakeOthers(work map[TargetKey]Work, whole bool) {
	r.othersKnown = r.othersKnown || whole
	for _, t := range r.targets {
		if w, ok := work[t.key]; ok || whole {
			t.others = w
		}
		t.ownTold = t.own
	}
}

const (
	// herdMost bounds how many other VMs are taken to have done as this one did
	// since the last word on them: with more, one request of this VM's own would
	// weigh too much.
	herdMost = 10
	// herdUsual is how many requests more than before are chance: at ten requests a second
	// a VM begins and ends about two between two reports.
	herdUsual = 2
)

// load is what is under way at a target, as far as is known or likely. The word
// on the other VMs is up to half a second old; since then they have most likely
// done what this VM did, above all when all turn away from a lost engine at once.
//
// A VM that has been told nothing yet has most likely started together with all others:
// it takes each of them to have as much under way as it has itself.
func (r *Router) load(t *target) Work {
	if !r.othersKnown && r.settings.Policy.Has(StartSampling) {
		return t.own.Times(r.vms)
	}
	load := t.own.Plus(t.others)
	more := t.own.Requests - t.ownTold.Requests - herdUsual
	if more <= 0 || !r.settings.Policy.Has(HerdGuess) {
		return load
	}
	herd := min(r.vms-1, herdMost)
	load.Requests += herd * more
	load.Tokens += herd * more * t.own.Tokens / t.own.Requests
	return load
}

// OthersKnown reports whether this VM has been told what others have under way.
func (r *Router) OthersKnown() bool { return r.othersKnown }

// Informed reports whether the Router knows a document, and for each of its
// services targets that can serve it.
func (r *Router) Informed() bool {
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

// covered reports whether a service has a target, or engines for each layer.
func (r *Router) covered(s *Service) bool {
	if s.Engine == nil || s.Engine.Layers <= 0 {
		return slices.ContainsFunc(r.members[s.Name], func(t *target) bool { return t.Takes() })
	}
	counts := make([]int, s.Engine.Layers)
	for _, t := range r.members[s.Name] {
		if t.Takes() && t.Layers.Len() > 0 && t.Layers.Last <= s.Engine.Layers {
			hold(counts, t.Layers)
		}
	}
	return slices.Min(counts) > 0
}

// Own returns what this VM has under way.
func (r *Router) Own() map[TargetKey]Work {
	own := make(map[TargetKey]Work)
	for _, t := range r.targets {
		if t.own.Requests > 0 {
			own[t.key] = t.own
		}
	}
	return own
}

// Admit finds the route of a request and the organisation of its key.
func (r *Router) Admit(host, path, key string, now time.Time) (*Route, *Organisation, *Refusal) {
	if r.document == nil {
		return nil, nil, &Refusal{Kind: RefusedNoDocument, RetryAt: r.soon(now), Reason: "this VM has no configuration yet"}
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

// Count notes a new request of a service, which the repeats are measured by.
func (r *Router) Count(service string, now time.Time) {
	r.budget(service).requests.add(now, r.settings.Budget.Window)
}

// Repeat takes a repeat from the budget of a service. Begun says that the caller
// has a part of its answer.
func (r *Router) Repeat(service string, begun bool, now time.Time) bool {
	whole := begun || !r.settings.Policy.Has(RepeatShares)
	if now.Before(r.sums.until) && r.settings.Policy.Has(PooledRepeats) {
		return r.budget(service).spendOfSums(now, r.settings.Budget, r.sums.spent[service], r.sums.vms, r.vms, whole)
	}
	return r.budget(service).spend(now, r.settings.Budget, r.vms, now.Sub(r.settings.Started), whole)
}

func (r *Router) budget(service string) *budget {
	b, ok := r.budgets[service]
	if !ok {
		b = &budget{}
		r.budgets[service] = b
	}
	return b
}

// Choose picks a path and counts the request as under way on it. Each path is
// given back with Release.
func (r *Router) Choose(a Ask, now time.Time) (Path, *Refusal) {
	name := a.Service
	if name == "" {
		name = r.draw(a.Route)
	}
	service, ok := r.services[name]
	if !ok {
		return Path{}, r.noRoom(now, "the service "+name+" is not in the configuration")
	}
	var path Path
	if service.Engine != nil && service.Engine.Layers > 0 {
		path, ok = r.choosePath(service, a.expect(service.Engine), now)
	} else {
		path, ok = r.chooseTarget(service, a, now)
	}
	if !ok {
		return Path{}, r.noRoom(now, "no target of "+name+" has room")
	}
	r.count(path, 1)
	for _, s := range path.Stages {
		r.targets[s.Target].own.Unread += path.prompt
	}
	return path, nil
}

// Begun notes that the answer on a path has begun: its prompt has been read.
func (r *Router) Begun(p Path) {
	for _, s := range p.Stages {
		if t, ok := r.targets[s.Target]; ok {
			t.own.Unread -= p.prompt
		}
	}
}

// Release gives a path back. Begun says that Begun was called for it.
func (r *Router) Release(p Path, begun bool) {
	if !begun {
		r.Begun(p)
	}
	r.count(p, -1)
}

func (r *Router) count(p Path, sign int) {
	r.changing += sign * p.changes
	for _, s := range p.Stages {
		t, ok := r.targets[s.Target]
		if !ok {
			continue
		}
		t.own.Requests += sign
		t.own.Tokens += sign * p.tokens * s.Layers.Len()
		if (t.Gone || t.void) && t.own.Requests <= 0 {
			r.drop(t)
		}
	}
}

// draw picks one of a route's services by weight.
func (r *Router) draw(route *Route) string {
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
	// returnSoon and returnSpread say when a refused caller comes back: spread over the
	// time that room is short for. Most come back only once, and a third of what they
	// have left bounds how late. An engine that died takes two heartbeats to be away for
	// certain and to be back, and its layers some 4 s to load (14 s for all of a model of
	// which it holds a quarter).
	returnSoon   = 2000 * time.Millisecond
	returnSpread = 4500 * time.Millisecond
)

func (r *Router) soon(now time.Time) time.Time {
	if !r.settings.Policy.Has(SpreadReturns) {
		return now.Add(returnSoon)
	}
	return now.Add(returnSoon + time.Duration(r.rand.Int64N(int64(returnSpread))))
}

func (r *Router) noRoom(now time.Time, reason string) *Refusal {
	return &Refusal{Kind: RefusedNoRoom, RetryAt: r.soon(now), Reason: reason}
}

// usable returns the members of a service that a request may go to, those that
// this VM alone suspects only where they are asked for.
func (r *Router) usable(service string, a Ask, now time.Time, suspects bool) []*target {
	var usable []*target
	for _, t := range r.members[service] {
		if !t.Takes() || t.silent && !slices.Contains(a.Only, t.ID) || t.moving || now.Before(t.fullUntil) || a.avoids(t.ID) {
			continue
		}
		if !suspects && now.Before(t.suspectUntil) {
			continue
		}
		usable = append(usable, t)
	}
	return usable
}

// connLimit is this VM's part of the connections that a target accepts.
func (r *Router) connLimit(s *Service) int {
	if !r.settings.Policy.Has(ConnectionShares) {
		return max(1, s.MaxConns)
	}
	return max(1, s.MaxConns/r.vms)
}

// ConnLimit returns this VM's part of the connections to each target of a service.
func (r *Router) ConnLimit(service string) int {
	if s, ok := r.services[service]; ok {
		return r.connLimit(s)
	}
	return 1
}

const (
	// failurePenalty makes a target that fails everything look as busy as one
	// with so many requests.
	failurePenalty = 20.0
	// crossHall is the part of a request that another hall counts for: it decides
	// between equals, since bytes between halls are priced.
	crossHall = 0.3
)

// chooseTarget picks the target of a plain service with the least under way.
func (r *Router) chooseTarget(s *Service, a Ask, now time.Time) (Path, bool) {
	for _, suspects := range []bool{false, true} {
		var best *target
		least := 0.0
		for _, t := range r.usable(s.Name, a, now, suspects) {
			if t.own.Requests >= r.connLimit(s) {
				continue
			}
			busy := float64(r.load(t).Requests) + r.rand.Float64()*crossHall
			if r.settings.Policy.Has(FailureMean) {
				busy += failurePenalty * t.failures
			}
			if t.Hall != r.settings.Hall {
				busy += crossHall
			}
			if best == nil || busy < least {
				best, least = t, busy
			}
		}
		if best != nil {
			return Path{Service: s.Name, Stages: []Stage{{Target: best.ID, Address: best.Address}}}, true
		}
	}
	return Path{}, false
}

package relay

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Version numbers the documents; the highest one is in force.
type Version uint64

// RepeatPolicy is a policy for how often a request may run.
type RepeatPolicy int

// The repeat policies.
const (
	// RepeatNever allows one run at most.
	RepeatNever RepeatPolicy = iota
	// RepeatAlways allows any number of runs.
	RepeatAlways
	// RepeatResume is for streams that another engine may continue.
	RepeatResume
)

// String returns the name of the policy.
func (r RepeatPolicy) String() string { return [...]string{"never", "always", "resume"}[r] }

// Document is a complete configuration. It is immutable.
type Document struct {
	Version       Version
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Repeat RepeatPolicy
	// Stream is set if the answer is a stream of events.
	Stream bool
	// Timeout bounds the time that a request is held.
	Timeout time.Duration
	// Objective is the time to the answer, or to its first event, and Pause the time
	// between two events, within which an answer is in time.
	Objective time.Duration
	Pause     time.Duration
	// Class is the route's priority: lower numbers are served first.
	Class int
	// MaxTargets bounds the number of targets that one request is sent to.
	MaxTargets int
	// Anonymous routes require no key.
	Anonymous bool
	Shares    []Share
}

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable targets, or of engines that hold a model together.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns bounds the connections to one target from all VMs together.
	MaxConns int
	// Engine is set if the targets are model engines.
	Engine *Engine
}

// Engine describes the model engines of a service. It is the cost model for plans and
// paths. `spoolbank bound` reads it from files: a field that is renamed keeps its name there
// by a tag.
type Engine struct {
	// Slots bounds the number of requests that an engine takes as the first of a path.
	Slots  int
	Model  string
	Layers int
	// LayerBytes is the size of one layer's weights.
	LayerBytes float64
	// TokenBytes is the memory of one token over all layers.
	TokenBytes float64
	// StepBase, StepPerRequest and StepPerKilotoken add up to the time of one step over all
	// layers at a StepFactor of 1: a constant, a part for each request that writes, and a part for
	// each 1,000 tokens of context.
	StepBase         time.Duration
	StepPerRequest   time.Duration
	StepPerKilotoken time.Duration
	// ReadPerSecond is the number of prompt tokens read in a second over all layers, at a
	// ReadFactor of 1.
	ReadPerSecond float64
	// Chunk bounds the prompt tokens that an engine reads in one pass, and Stride is the
	// number of steps in a pass of requests that write.
	Chunk  int
	Stride int
	// Load is the time to load all layers.
	Load time.Duration
	// LoadsAtOnce is the number of loads that can run before they slow each other down.
	LoadsAtOnce int
	// ActivationBytes is the size of the activations of one token between two engines, and
	// PipeBits the rate of a pipe between two halls, in bits a second, shared by all
	// requests.
	ActivationBytes float64 `json:"HandOnBytes"`
	PipeBits        float64
	// UsualPrompt and UsualAnswer are the lengths of the prompt and the answer of a usual
	// request, in tokens.
	UsualPrompt  int
	UsualAnswer  int
	Accelerators []Accelerator
	Delays       []HallDelay
}

// Accelerator is a kind of engine hardware.
type Accelerator struct {
	Name string
	// Bytes is the memory for weights and requests together.
	Bytes float64
	// StepFactor multiplies the time of steps, and ReadFactor that of reading prompts: a higher one
	// is slower.
	StepFactor float64 `json:"Pace"`
	ReadFactor float64 `json:"Read"`
}

// Slowed returns the accelerator of an engine whose work takes the given factor longer.
func (a Accelerator) Slowed(times float64) Accelerator {
	a.StepFactor *= times
	a.ReadFactor *= times
	return a
}

// HallDelay is the one-way delay between two data halls.
type HallDelay struct {
	From, To string
	Delay    time.Duration
}

// Organisation is the owner of a set of keys.
type Organisation struct {
	Name string
	Keys []string
	// Class, if HasClass is set, overrides that of the route.
	Class    int
	HasClass bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	Idle          time.Duration
}

// HasService reports whether the document has a service of that name.
func (d Document) HasService(service string) bool {
	return slices.ContainsFunc(d.Services, func(s Service) bool { return s.Name == service })
}

// Engine returns the cost model of a service's engines, or nil if the document has none.
func (d *Document) Engine(service string) *Engine {
	if d == nil {
		return nil
	}
	i := slices.IndexFunc(d.Services, func(s Service) bool { return s.Name == service })
	if i < 0 || d.Services[i].Engine == nil || d.Services[i].Engine.Layers <= 0 {
		return nil
	}
	return d.Services[i].Engine
}

// InvalidError reports why a document was not accepted.
type InvalidError struct {
	Subject string
	Reason  string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s: %s; correct the document and send it under a higher version", e.Subject, e.Reason)
}

func invalid(subject, reason string) error { return &InvalidError{Subject: subject, Reason: reason} }

// Validate reports the first fault of the document.
func (d Document) Validate() error {
	if d.Version == 0 {
		return invalid("document", "the version is missing or 0")
	}
	services := make(map[string]bool, len(d.Services))
	for _, s := range d.Services {
		if s.Name == "" || services[s.Name] {
			return invalid("service "+s.Name, "the name is empty or given twice")
		}
		services[s.Name] = true
		if err := s.validateEngine(); err != nil {
			return err
		}
	}
	if err := d.validateRoutes(services); err != nil {
		return err
	}
	return d.validateKeys()
}

// maxModelLayers bounds the layers of a model: fifty times those of the largest model that
// the users run. Plans take memory for each layer.
const maxModelLayers = 4096

// validateEngine rejects cost models that no plan can be made with.
func (s Service) validateEngine() error {
	e := s.Engine
	switch {
	case e == nil || e.Layers <= 0:
		return nil
	case e.Layers > maxModelLayers:
		return invalid("service "+s.Name, fmt.Sprintf("it has more than %d layers", maxModelLayers))
	case e.LayerBytes <= 0 || e.TokenBytes <= 0:
		return invalid("service "+s.Name, "the memory of a layer or of a token is not above 0")
	}
	return nil
}

func (d Document) validateRoutes(services map[string]bool) error {
	places := make(map[string]bool, len(d.Routes))
	for _, r := range d.Routes {
		place := strings.ToLower(r.Host) + " " + r.Prefix
		if places[place] {
			return invalid("route "+r.Name, "another route has the same host and prefix")
		}
		places[place] = true
		if r.Timeout <= 0 {
			return invalid("route "+r.Name, "the timeout is not above 0")
		}
		total := 0
		for _, s := range r.Shares {
			if !services[s.Service] {
				return invalid("route "+r.Name, "there is no service "+s.Service)
			}
			if s.Weight < 0 {
				return invalid("route "+r.Name, "a weight is negative")
			}
			total += s.Weight
		}
		if total == 0 {
			return invalid("route "+r.Name, "the weights add up to 0")
		}
	}
	return nil
}

func (d Document) validateKeys() error {
	owners := make(map[string]string)
	for _, o := range d.Organisations {
		for _, k := range o.Keys {
			if owner, taken := owners[k]; taken && owner != o.Name {
				return invalid("organisation "+o.Name, "shares a key with "+owner)
			}
			owners[k] = o.Name
		}
	}
	return nil
}

// accelerator returns the kind of that name.
func (e *Engine) accelerator(name string) (Accelerator, bool) {
	i := slices.IndexFunc(e.Accelerators, func(a Accelerator) bool { return a.Name == name })
	if i < 0 {
		return Accelerator{}, false
	}
	return e.Accelerators[i], true
}

// maxLayers returns the number of layers whose weights fit an accelerator, or 0 if the
// document gives layers no size.
func (e *Engine) maxLayers(a Accelerator) int {
	if e.LayerBytes <= 0 {
		return 0
	}
	return int(min(a.Bytes/e.LayerBytes, float64(e.Layers)))
}

// tokens returns the number of tokens that fit beside the weights of n layers.
func (e *Engine) tokens(a Accelerator, n int) int {
	if n <= 0 {
		return 0
	}
	return e.tokenLayers(a, n) / n
}

// tokenLayers returns the memory beside the weights of n layers, in tokens times layers.
func (e *Engine) tokenLayers(a Accelerator, n int) int {
	if e.TokenBytes <= 0 {
		return 0
	}
	rest := a.Bytes - float64(n)*e.LayerBytes
	return int(min(rest*float64(e.Layers)/e.TokenBytes, math.MaxInt32*float64(max(n, 1))))
}

// delay returns the one-way delay between halls.
func (e *Engine) delay(from, to string) time.Duration {
	if from == to {
		return sameHallDelay
	}
	for _, d := range e.Delays {
		if d.From == from && d.To == to || d.From == to && d.To == from {
			return d.Delay
		}
	}
	return unknownHallDelay
}

const (
	// sameHallDelay is the usual one-way delay within a hall of the users' deployments.
	sameHallDelay = 200 * time.Microsecond
	// unknownHallDelay is used for halls between which the document gives no delay: halls
	// of the same region, with some margin.
	unknownHallDelay = time.Millisecond
)

// routeTable looks up the route of a request.
type routeTable struct{ hosts map[string][]*Route }

func newRouteTable(d *Document) routeTable {
	t := routeTable{hosts: make(map[string][]*Route)}
	for i := range d.Routes {
		host := strings.ToLower(d.Routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &d.Routes[i])
	}
	for _, routes := range t.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// find returns the route with the longest prefix of path.
func (t routeTable) find(host, path string) (*Route, bool) {
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

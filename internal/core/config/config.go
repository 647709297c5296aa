// Package config defines the replicated configuration: the declarations of
// operators and the decisions of the planner. All values are immutable; a
// Change produces a new State. The package does no I/O and reads no clock.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Revision numbers the accepted changes of the configuration. It only grows.
type Revision uint64

// Class is a priority class: a lower number is served first.
type Class int

// The classes that operators give to pipelines and services.
const (
	ClassCritical Class = 0
	ClassHigh     Class = 1
	ClassNormal   Class = 2
	ClassLow      Class = 3
	// ClassCount is the number of classes.
	ClassCount = 4
)

// VM is the operators' declaration of one VM of the system.
type VM struct {
	Name  string `json:"name" cbor:"name"`
	Drain bool   `json:"drain" cbor:"drain"`
}

// ObjectName implements Named.
func (v VM) ObjectName() string { return v.Name }

// Target is a model engine, or one runner of a plain service.
type Target struct {
	Name    string `json:"name" cbor:"name"`
	Address string `json:"address" cbor:"address"`
	Hall    string `json:"hall" cbor:"hall"`
	// Service names the plain service that the target runs; empty for an engine.
	Service string `json:"service,omitempty" cbor:"service,omitempty"`
	// Accelerator is the kind of accelerator of an engine.
	Accelerator string `json:"accelerator,omitempty" cbor:"accelerator,omitempty"`
	// Speed is in layers times tokens per second over all slots.
	Speed float64 `json:"speed,omitempty" cbor:"speed,omitempty"`
	// Memory is the number of layers that fit beside the KV cache.
	Memory int `json:"memory,omitempty" cbor:"memory,omitempty"`
	// Slots is the number of streams or calls that it serves concurrently.
	Slots int `json:"slots" cbor:"slots"`
	// Fence is set when the target checks the (term, sequence) of its orders.
	Fence bool `json:"fence,omitempty" cbor:"fence,omitempty"`
	Drain bool `json:"drain,omitempty" cbor:"drain,omitempty"`
	// Leaving is set by the leader when the platform or the target itself
	// announces that its VM will be removed.
	Leaving bool `json:"leaving,omitempty" cbor:"leaving,omitempty"`
	// Down is set by the leader when the target's watchers can't reach it.
	Down bool `json:"down,omitempty" cbor:"down,omitempty"`
}

// ObjectName implements Named.
func (t Target) ObjectName() string { return t.Name }

// Available reports whether the target may be given new work.
func (t Target) Available() bool { return !t.Drain && !t.Leaving && !t.Down }

// IsEngine reports whether the target holds model layers.
func (t Target) IsEngine() bool { return t.Service == "" }

// WithDrain returns the target with its drain mark set to drain.
func (t Target) WithDrain(drain bool) Target {
	t.Drain = drain
	return t
}

// WithCondition returns the target with the condition observed by the leader.
func (t Target) WithCondition(c Condition) Target {
	t.Leaving = c.Leaving
	t.Down = c.Down
	return t
}

// Model is a model that engines can load in ranges of layers.
type Model struct {
	Name     string   `json:"name" cbor:"name"`
	Layers   int      `json:"layers" cbor:"layers"`
	Versions []string `json:"versions" cbor:"versions"`
	Adapters []string `json:"adapters,omitempty" cbor:"adapters,omitempty"`
}

// ObjectName implements Named.
func (m Model) ObjectName() string { return m.Name }

// Pipeline is what callers name as their model.
type Pipeline struct {
	Name    string `json:"name" cbor:"name"`
	Model   string `json:"model" cbor:"model"`
	Version string `json:"version" cbor:"version"`
	Adapter string `json:"adapter,omitempty" cbor:"adapter,omitempty"`
	Class   Class  `json:"class" cbor:"class"`
	// MaxTokens bounds one answer.
	MaxTokens int `json:"max_tokens" cbor:"max_tokens"`
}

// ObjectName implements Named.
func (p Pipeline) ObjectName() string { return p.Name }

// Event is a scheduled period at whose start callers arrive together.
type Event struct {
	Name      string    `json:"name" cbor:"name"`
	Start     time.Time `json:"start" cbor:"start"`
	End       time.Time `json:"end" cbor:"end"`
	Pipelines []string  `json:"pipelines" cbor:"pipelines"`
}

// ObjectName implements Named.
func (e Event) ObjectName() string { return e.Name }

// Organisation is the owner of an API key, with its share and limit.
type Organisation struct {
	Name string `json:"name" cbor:"name"`
	// Key is the hexadecimal SHA-256 of the API key; see HashKey.
	Key string `json:"key" cbor:"key"`
	// Weight is the share within a class, relative to other organisations.
	Weight int `json:"weight" cbor:"weight"`
	// Limit bounds the requests in progress on one entry VM; 0 is unlimited.
	Limit int `json:"limit,omitempty" cbor:"limit,omitempty"`
}

// ObjectName implements Named.
func (o Organisation) ObjectName() string { return o.Name }

// HashKey returns the hash under which an API key is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Service is a plain service, served by runners rather than model engines.
type Service struct {
	Name  string `json:"name" cbor:"name"`
	Class Class  `json:"class" cbor:"class"`
	// Repeatable lists "METHOD /prefix" rules of calls that may run more than
	// once. Any other call runs at most once.
	Repeatable []string `json:"repeatable,omitempty" cbor:"repeatable,omitempty"`
}

// ObjectName implements Named.
func (s Service) ObjectName() string { return s.Name }

// IsRepeatable reports whether a call may run more than once.
func (s Service) IsRepeatable(method, path string) bool {
	return slices.ContainsFunc(s.Repeatable, func(rule string) bool {
		m, prefix, _ := strings.Cut(rule, " ")
		return m == method && strings.HasPrefix(path, prefix)
	})
}

// Range is a half-open range of layers: it includes First and excludes Last.
type Range struct {
	First int `json:"first" cbor:"first"`
	Last  int `json:"last" cbor:"last"`
}

// String returns the range in the form [first,last).
func (r Range) String() string { return fmt.Sprintf("[%d,%d)", r.First, r.Last) }

// Len returns the number of layers.
func (r Range) Len() int { return r.Last - r.First }

// Placement is the planner's decision on the layers that one engine holds.
type Placement struct {
	Target  string `json:"target" cbor:"target"`
	Chain   string `json:"chain" cbor:"chain"`
	Model   string `json:"model" cbor:"model"`
	Version string `json:"version" cbor:"version"`
	Layers  Range  `json:"layers" cbor:"layers"`
	// Sequence grows with each placement of any target. It is the second
	// part of the fence of the order that applies the placement.
	Sequence uint64 `json:"sequence" cbor:"sequence"`
	// Ready is set once the engine has confirmed the load.
	Ready bool `json:"ready" cbor:"ready"`
}

// ObjectName implements Named.
func (p Placement) ObjectName() string { return p.Target }

// WithReady returns the placement marked as confirmed by its engine.
func (p Placement) WithReady() Placement {
	p.Ready = true
	return p
}

// SameLoad reports whether two placements require an engine to load the same.
func (p Placement) SameLoad(q Placement) bool {
	return p.Target == q.Target && p.Chain == q.Chain && p.Model == q.Model && p.Version == q.Version && p.Layers == q.Layers
}

// State is the whole configuration at one revision.
type State struct {
	Revision      Revision          `cbor:"revision"`
	VMs           Set[VM]           `cbor:"vms"`
	Targets       Set[Target]       `cbor:"targets"`
	Models        Set[Model]        `cbor:"models"`
	Pipelines     Set[Pipeline]     `cbor:"pipelines"`
	Events        Set[Event]        `cbor:"events"`
	Organisations Set[Organisation] `cbor:"organisations"`
	Services      Set[Service]      `cbor:"services"`
	Placements    Set[Placement]    `cbor:"placements"`
	Document      Document          `cbor:"document"`
	// Quarantine holds what requests that are sent to no target have in common.
	Quarantine Set[QuarantineItem] `cbor:"quarantine"`
	// EndedBackoffs holds the targets whose backoffs operators have ended recently.
	EndedBackoffs Set[EndedBackoff] `cbor:"ended_backoffs,omitempty"`
}

// Document is a whole configuration as written by its operator. A deployment uses
// either a document or objects that are declared one by one. The document is
// decoded where it is used.
type Document struct {
	Version uint64 `cbor:"version"`
	Source  Text   `cbor:"source"`
}

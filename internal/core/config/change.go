package config

import (
	"fmt"
	"slices"
)

// Kind is a kind of object in the configuration.
type Kind string

// The kinds that operators name in commands.
const (
	KindVM           Kind = "vm"
	KindTarget       Kind = "target"
	KindModel        Kind = "model"
	KindPipeline     Kind = "pipeline"
	KindEvent        Kind = "event"
	KindOrganisation Kind = "organisation"
	KindService      Kind = "service"
	// KindQuarantine is an item in quarantine, which can be removed but not declared.
	KindQuarantine Kind = "quarantine"
	// KindBackoff is the backoff requested by a target, which can be removed but not declared.
	KindBackoff Kind = "backoff"
)

// Kinds returns the kinds that can be declared, sorted.
func Kinds() []Kind {
	return []Kind{KindEvent, KindModel, KindOrganisation, KindPipeline, KindService, KindTarget, KindVM}
}

// Removable returns the kinds that can be removed, sorted.
func Removable() []Kind {
	kinds := append(Kinds(), KindQuarantine, KindBackoff)
	slices.Sort(kinds)
	return kinds
}

// Ref names an object.
type Ref struct {
	Kind Kind   `cbor:"kind"`
	Name string `cbor:"name"`
}

// String returns the reference as operators write it.
func (r Ref) String() string { return fmt.Sprintf("%s %s", r.Kind, r.Name) }

// DrainMark sets or clears the drain mark of a VM or target.
type DrainMark struct {
	Ref   Ref  `cbor:"ref"`
	Drain bool `cbor:"drain"`
}

// Condition is the state of a target as observed by the leader.
type Condition struct {
	Target  string `cbor:"target"`
	Leaving bool   `cbor:"leaving"`
	Down    bool   `cbor:"down"`
}

// Change is one change of a State. Exactly one field is set.
type Change struct {
	VM           *VM           `cbor:"vm,omitempty"`
	Target       *Target       `cbor:"target,omitempty"`
	Model        *Model        `cbor:"model,omitempty"`
	Pipeline     *Pipeline     `cbor:"pipeline,omitempty"`
	Event        *Event        `cbor:"event,omitempty"`
	Organisation *Organisation `cbor:"organisation,omitempty"`
	Service      *Service      `cbor:"service,omitempty"`
	Remove       *Ref          `cbor:"remove,omitempty"`
	Drain        *DrainMark    `cbor:"drain,omitempty"`
	Condition    *Condition    `cbor:"condition,omitempty"`
	Place        *Placement    `cbor:"place,omitempty"`
	Unplace      string        `cbor:"unplace,omitempty"`
	Document     *Document     `cbor:"document,omitempty"`
	// Patch is a Document as a delta to the previous one.
	Patch *DocumentPatch `cbor:"patch,omitempty"`
	// Quarantine puts an item into quarantine, Release removes the one with that fingerprint from
	// it, Trial permits a trial, and TrialEnd ends one.
	Quarantine *QuarantineItem `cbor:"quarantine,omitempty"`
	Release    string          `cbor:"release,omitempty"`
	Trial      *TrialOfItems   `cbor:"trial,omitempty"`
	TrialEnd   *TrialEnd       `cbor:"trial_end,omitempty"`
}

// QuarantineItems returns the fingerprints of the items of the quarantine that the change is of.
func (c Change) QuarantineItems() []string {
	switch {
	case c.Quarantine != nil:
		return []string{c.Quarantine.Fingerprint}
	case c.Release != "":
		return []string{c.Release}
	case c.Remove != nil && c.Remove.Kind == KindQuarantine:
		return []string{c.Remove.Name}
	case c.Trial != nil:
		return c.Trial.Fingerprints
	case c.TrialEnd != nil:
		return c.TrialEnd.Fingerprints
	}
	return nil
}

// InvalidError explains to an operator why a change is rejected.
type InvalidError struct {
	Ref    Ref
	Reason string
	Remedy string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s: %s; %s", e.Ref, e.Reason, e.Remedy)
}

// Apply returns the state after the changes, at revision next. It applies none
// of them when one is invalid.
func (s State) Apply(next Revision, changes []Change) (State, error) {
	for _, c := range changes {
		var err error
		s, err = s.applyOne(c)
		if err != nil {
			return State{}, err
		}
	}
	s.Revision = next
	return s, nil
}

func (s State) applyOne(c Change) (State, error) {
	switch {
	case c.VM != nil:
		s.VMs = s.VMs.With(*c.VM)
	case c.Target != nil:
		return s.withTarget(*c.Target)
	case c.Model != nil:
		return s.withModel(*c.Model)
	case c.Pipeline != nil:
		return s.withPipeline(*c.Pipeline)
	case c.Event != nil:
		return s.withEvent(*c.Event)
	case c.Organisation != nil:
		return s.withOrganisation(*c.Organisation)
	case c.Service != nil:
		return s.withService(*c.Service)
	case c.Remove != nil:
		return s.without(*c.Remove)
	case c.Drain != nil:
		return s.withDrain(*c.Drain)
	case c.Condition != nil:
		if t, ok := s.Targets.Get(c.Condition.Target); ok {
			s.Targets = s.Targets.With(t.WithCondition(*c.Condition))
		}
	case c.Place != nil:
		s.Placements = s.Placements.With(*c.Place)
	case c.Unplace != "":
		s.Placements = s.Placements.Without(c.Unplace)
	case c.Quarantine != nil:
		return s.withQuarantine(*c.Quarantine), nil
	case c.Release != "":
		s.Quarantine = s.Quarantine.Without(c.Release)
	case c.Trial != nil:
		return s.withTrial(*c.Trial), nil
	case c.TrialEnd != nil:
		return s.withTrialEnd(*c.TrialEnd), nil
	case c.Patch != nil:
		next, err := s.Document.Patched(*c.Patch)
		s.Document = next
		return s, err
	case c.Document != nil:
		if c.Document.Version > s.Document.Version {
			s.Document = *c.Document
		}
	}
	return s, nil
}

func (s State) withTarget(t Target) (State, error) {
	ref := Ref{KindTarget, t.Name}
	if t.Address == "" || t.Hall == "" {
		return s, &InvalidError{ref, "address and hall are required", "give address=\"IP:PORT\" and hall=NAME"}
	}
	if t.Slots <= 0 {
		return s, &InvalidError{ref, "slots must be at least 1", "give slots=N"}
	}
	if t.IsEngine() && (t.Speed <= 0 || t.Memory <= 0) {
		return s, &InvalidError{ref, "an engine needs speed and memory", "give speed=N memory=N, or service=NAME for a plain service"}
	}
	if !t.IsEngine() && !s.Services.Has(t.Service) {
		return s, &InvalidError{ref, fmt.Sprintf("service %q is not declared", t.Service), "declare the service first"}
	}
	s.Targets = s.Targets.With(t)
	return s, nil
}

func (s State) withModel(m Model) (State, error) {
	if m.Layers <= 0 || len(m.Versions) == 0 {
		return s, &InvalidError{Ref{KindModel, m.Name}, "layers and versions are required", "give layers=N versions=[NAME, ...]"}
	}
	for _, p := range s.Pipelines.Sorted() {
		if p.Model == m.Name && !slices.Contains(m.Versions, p.Version) {
			return s, &InvalidError{Ref{KindModel, m.Name}, fmt.Sprintf("pipeline %s uses version %q", p.Name, p.Version), "keep that version, or set the pipeline's version first"}
		}
	}
	s.Models = s.Models.With(m)
	return s, nil
}

func (s State) withPipeline(p Pipeline) (State, error) {
	ref := Ref{KindPipeline, p.Name}
	m, ok := s.Models.Get(p.Model)
	if !ok {
		return s, &InvalidError{ref, fmt.Sprintf("model %q is not declared", p.Model), "declare the model first"}
	}
	if !slices.Contains(m.Versions, p.Version) {
		return s, &InvalidError{ref, fmt.Sprintf("model %s has no version %q", m.Name, p.Version), fmt.Sprintf("use one of %v", m.Versions)}
	}
	if p.Adapter != "" && !slices.Contains(m.Adapters, p.Adapter) {
		return s, &InvalidError{ref, fmt.Sprintf("model %s has no adapter %q", m.Name, p.Adapter), fmt.Sprintf("use one of %v", m.Adapters)}
	}
	if p.MaxTokens <= 0 {
		return s, &InvalidError{ref, "max_tokens must be at least 1", "give max_tokens=N"}
	}
	if err := checkClass(ref, p.Class); err != nil {
		return s, err
	}
	s.Pipelines = s.Pipelines.With(p)
	return s, nil
}

func checkClass(ref Ref, c Class) error {
	if c < 0 || c >= ClassCount {
		return &InvalidError{ref, fmt.Sprintf("class %d is out of range", c), fmt.Sprintf("give class=0 (first) to class=%d (last)", ClassCount-1)}
	}
	return nil
}

func (s State) withEvent(e Event) (State, error) {
	ref := Ref{KindEvent, e.Name}
	if e.Start.IsZero() || !e.End.After(e.Start) {
		return s, &InvalidError{ref, "start and a later end are required", "give start=2026-01-02T10:00:00Z end=2026-01-02T11:00:00Z"}
	}
	for _, name := range e.Pipelines {
		if !s.Pipelines.Has(name) {
			return s, &InvalidError{ref, fmt.Sprintf("pipeline %q is not declared", name), "declare the pipeline first"}
		}
	}
	s.Events = s.Events.With(e)
	return s, nil
}

func (s State) withOrganisation(o Organisation) (State, error) {
	ref := Ref{KindOrganisation, o.Name}
	if o.Key == "" {
		return s, &InvalidError{ref, "key is required", "give key=HASH, as printed by `spoolbank key hash`"}
	}
	if o.Weight <= 0 {
		return s, &InvalidError{ref, "weight must be at least 1", "give weight=N"}
	}
	for _, other := range s.Organisations.Sorted() {
		if other.Name != o.Name && other.Key == o.Key {
			return s, &InvalidError{ref, fmt.Sprintf("organisation %s has the same key", other.Name), "give each organisation a key of its own"}
		}
	}
	s.Organisations = s.Organisations.With(o)
	return s, nil
}

func (s State) withService(v Service) (State, error) {
	if err := checkClass(Ref{KindService, v.Name}, v.Class); err != nil {
		return s, err
	}
	s.Services = s.Services.With(v)
	return s, nil
}

// referrers returns the objects that refer to the given one, sorted.
func (s State) referrers(r Ref) []Ref {
	var refs []Ref
	switch r.Kind {
	case KindModel:
		for _, p := range s.Pipelines.Sorted() {
			if p.Model == r.Name {
				refs = append(refs, Ref{KindPipeline, p.Name})
			}
		}
	case KindPipeline:
		for _, e := range s.Events.Sorted() {
			if slices.Contains(e.Pipelines, r.Name) {
				refs = append(refs, Ref{KindEvent, e.Name})
			}
		}
	case KindService:
		for _, t := range s.Targets.Sorted() {
			if t.Service == r.Name {
				refs = append(refs, Ref{KindTarget, t.Name})
			}
		}
	}
	return refs
}

// Has reports whether the object is declared.
func (s State) Has(r Ref) bool {
	switch r.Kind {
	case KindVM:
		return s.VMs.Has(r.Name)
	case KindTarget:
		return s.Targets.Has(r.Name)
	case KindModel:
		return s.Models.Has(r.Name)
	case KindPipeline:
		return s.Pipelines.Has(r.Name)
	case KindEvent:
		return s.Events.Has(r.Name)
	case KindOrganisation:
		return s.Organisations.Has(r.Name)
	case KindService:
		return s.Services.Has(r.Name)
	case KindQuarantine:
		return s.Quarantine.Has(r.Name)
	case KindBackoff:
		return true // backoffs are local to each VM; a VM without one has nothing to end
	}
	return false
}

func (s State) without(r Ref) (State, error) {
	if !s.Has(r) {
		return s, &InvalidError{r, "is not declared", fmt.Sprintf("`show %ss` lists what is", r.Kind)}
	}
	if r.Kind == KindBackoff {
		return s.withEndedBackoff(r.Name), nil
	}
	if users := s.referrers(r); len(users) > 0 {
		return s, &InvalidError{r, fmt.Sprintf("is used by %s", users[0]), fmt.Sprintf("remove %s first", users[0])}
	}
	s.VMs = withoutOfKind(s.VMs, r, KindVM)
	s.Targets = withoutOfKind(s.Targets, r, KindTarget)
	s.Models = withoutOfKind(s.Models, r, KindModel)
	s.Pipelines = withoutOfKind(s.Pipelines, r, KindPipeline)
	s.Events = withoutOfKind(s.Events, r, KindEvent)
	s.Organisations = withoutOfKind(s.Organisations, r, KindOrganisation)
	s.Services = withoutOfKind(s.Services, r, KindService)
	s.Quarantine = withoutOfKind(s.Quarantine, r, KindQuarantine)
	if r.Kind == KindTarget {
		s.Placements = s.Placements.Without(r.Name)
	}
	return s, nil
}

func withoutOfKind[T Named](set Set[T], r Ref, kind Kind) Set[T] {
	if r.Kind != kind {
		return set
	}
	return set.Without(r.Name)
}

func (s State) withDrain(d DrainMark) (State, error) {
	switch d.Ref.Kind {
	case KindVM:
		s.VMs = s.VMs.With(VM{Name: d.Ref.Name, Drain: d.Drain})
		return s, nil
	case KindTarget:
		t, ok := s.Targets.Get(d.Ref.Name)
		if !ok {
			return s, &InvalidError{d.Ref, "is not declared", "`show targets` lists what is"}
		}
		s.Targets = s.Targets.With(t.WithDrain(d.Drain))
		return s, nil
	}
	return s, &InvalidError{d.Ref, "can't be drained", "drain a vm or a target"}
}

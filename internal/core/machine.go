package core

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// Machine is the replicated state: a pure function of the log's entries.
type Machine struct {
	// At is the time of the newest entry.
	At        time.Time               `cbor:"at"`
	Config    config.State            `cbor:"config"`
	Operators map[string]OperatorPast `cbor:"operators"`
	Claims    map[RequestID]Claim     `cbor:"claims"`
	// ClaimOrder lists claims by age, so that the old ones are dropped cheaply.
	ClaimOrder []ClaimAge `cbor:"claim_order"`
	// Sequence numbers the placement orders.
	Sequence uint64 `cbor:"sequence"`
}

// OperatorPast is what an operator's commands have brought. It lets a resent
// command get its first result.
type OperatorPast struct {
	Results map[uint64]PastResult `cbor:"results"`
	// Lowest is the lowest number whose result is still kept.
	Lowest uint64 `cbor:"lowest"`
}

// PastResult is the result of one command.
type PastResult struct {
	Digest string `cbor:"digest"`
	Result Result `cbor:"result"`
}

// keptResults is the number of results kept for each operator.
const keptResults = 1000

// Command is an operator's change of the configuration.
type Command struct {
	Operator string          `cbor:"operator"`
	Number   uint64          `cbor:"number"`
	Digest   string          `cbor:"digest"`
	Expect   config.Revision `cbor:"expect"`
	Changes  []config.Change `cbor:"changes"`
}

// ResultKind is the type of an operator's result.
type ResultKind string

// The kinds of results.
const (
	ResultAccepted    ResultKind = "accepted"
	ResultTable       ResultKind = "table"
	ResultInvalid     ResultKind = "invalid"
	ResultConflict    ResultKind = "conflict"
	ResultTooOld      ResultKind = "number_too_old"
	ResultNotLeader   ResultKind = "not_leader"
	ResultInterrupted ResultKind = "outcome_unknown"
)

// Result is what an operator gets for a statement.
type Result struct {
	Kind     ResultKind      `cbor:"kind" json:"kind"`
	Revision config.Revision `cbor:"revision" json:"revision"`
	// Message says what is wrong and what to do about it.
	Message string `cbor:"message,omitempty" json:"message,omitempty"`
	// Leader is the VM to ask, with ResultNotLeader, if it is known.
	Leader VMName `cbor:"leader,omitempty" json:"leader,omitempty"`
	// InForce says that every entry VM that takes work has the revision; VMs
	// counts them, and Waiting those that have it not yet.
	InForce bool   `cbor:"in_force" json:"in_force"`
	VMs     int    `cbor:"vms" json:"vms"`
	Waiting int    `cbor:"waiting" json:"waiting"`
	Table   *Table `cbor:"table,omitempty" json:"table,omitempty"`
}

// WithForce returns the result with what is known of its being in force.
func (r Result) WithForce(vms, waiting int) Result {
	r.VMs = vms
	r.Waiting = waiting
	r.InForce = waiting == 0
	return r
}

// Claim is the sole right to dispatch a request that may not be repeated.
type Claim struct {
	Holder ReplicaID `cbor:"holder"`
	// Attempt is the holder's number for it; see ClaimRequest.
	Attempt uint64      `cbor:"attempt"`
	Digest  string      `cbor:"digest"`
	Ended   bool        `cbor:"ended"`
	Answer  *CallAnswer `cbor:"answer,omitempty"`
	// Unknown says that it ended without anyone learning how.
	Unknown bool `cbor:"unknown"`
	// Serial tells this claim from an earlier one of the same identity.
	Serial Index `cbor:"serial"`
}

// ClaimAge says when a claim may be dropped.
type ClaimAge struct {
	ID     RequestID `cbor:"id"`
	Serial Index     `cbor:"serial"`
	DropAt time.Time `cbor:"drop_at"`
}

// ClaimOp asks for a claim on behalf of Holder.
type ClaimOp struct {
	ID      RequestID `cbor:"id"`
	Holder  ReplicaID `cbor:"holder"`
	Attempt uint64    `cbor:"attempt"`
	Digest  string    `cbor:"digest"`
	DropAt  time.Time `cbor:"drop_at"`
}

// RecordOp stores how a claimed request ended.
type RecordOp struct {
	ID      RequestID  `cbor:"id"`
	Holder  ReplicaID  `cbor:"holder"`
	Attempt uint64     `cbor:"attempt"`
	Ran     Ran        `cbor:"ran"`
	Answer  CallAnswer `cbor:"answer"`
}

func newMachine() Machine {
	return Machine{
		Operators: make(map[string]OperatorPast),
		Claims:    make(map[RequestID]Claim),
	}
}

// clone returns a copy that shares only what is never changed in place.
func (m Machine) clone() Machine {
	operators := make(map[string]OperatorPast, len(m.Operators))
	for name, past := range m.Operators {
		operators[name] = OperatorPast{Results: maps.Clone(past.Results), Lowest: past.Lowest}
	}
	m.Operators = operators
	m.Claims = maps.Clone(m.Claims)
	if m.Claims == nil {
		m.Claims = make(map[RequestID]Claim)
	}
	m.ClaimOrder = slices.Clone(m.ClaimOrder)
	return m
}

// applyEntry changes the machine by one committed entry, and tells those who
// wait for it on this VM.
func (n *Node) applyEntry(e Entry) {
	m := &n.machine
	if e.At.After(m.At) {
		m.At = e.At
	}
	m.dropClaims()
	switch {
	case e.Command != nil:
		result := m.applyCommand(*e.Command)
		n.configChanged(result.Revision, e.Command.Changes, result.Kind == ResultAccepted)
		n.commandApplied(e.Index, result)
	case e.Changes != nil:
		taken := n.applyChanges(e.Changes)
		n.commandApplied(e.Index, Result{Kind: taken, Revision: m.Config.Revision})
		n.documentApplied(e.Index)
	case e.Claim != nil:
		outcome := m.applyClaim(e.Index, *e.Claim)
		n.claimApplied(e.Index, *e.Claim, outcome)
	case e.Record != nil:
		m.applyRecord(*e.Record)
		n.recordApplied(e.Index, *e.Record)
	}
}

// applyCommand changes the configuration, once for each operator's number.
func (m *Machine) applyCommand(c Command) Result {
	past := m.Operators[c.Operator]
	if first, ok := past.Results[c.Number]; ok {
		if first.Digest != c.Digest {
			return m.conflict(fmt.Sprintf("operator %s has used number %d for another command; look at `show config`, then send this one under a new number", c.Operator, c.Number))
		}
		return first.Result
	}
	if c.Number < past.Lowest {
		return Result{Kind: ResultTooOld, Revision: m.Config.Revision,
			Message: fmt.Sprintf("number %d of operator %s is older than the results that are kept; look at `show config` whether it took effect", c.Number, c.Operator)}
	}
	result := m.change(c.Expect, c.Changes)
	m.remember(c, result)
	return result
}

func (m *Machine) conflict(message string) Result {
	return Result{Kind: ResultConflict, Revision: m.Config.Revision, Message: message}
}

func (m *Machine) change(expect config.Revision, changes []config.Change) Result {
	if expect != 0 && expect != m.Config.Revision {
		return m.conflict(fmt.Sprintf("the configuration is at revision %d, not %d; look at what changed and send the command again expecting %d", m.Config.Revision, expect, m.Config.Revision))
	}
	next, err := m.Config.Apply(m.Config.Revision+1, changes)
	if err != nil {
		return Result{Kind: ResultInvalid, Revision: m.Config.Revision, Message: err.Error()}
	}
	m.Config = next
	return Result{Kind: ResultAccepted, Revision: next.Revision}
}

func (m *Machine) remember(c Command, r Result) {
	past, ok := m.Operators[c.Operator]
	if !ok {
		past.Results = make(map[uint64]PastResult)
	}
	past.Results[c.Number] = PastResult{Digest: c.Digest, Result: r}
	if len(past.Results) > keptResults {
		lowest := slices.Min(slices.Collect(maps.Keys(past.Results)))
		delete(past.Results, lowest)
		past.Lowest = lowest + 1
	}
	m.Operators[c.Operator] = past
}

// applyClaim decides who may dispatch a request that may not be repeated.
func (m *Machine) applyClaim(serial Index, op ClaimOp) ClaimOutcome {
	c, ok := m.Claims[op.ID]
	if !ok {
		m.Claims[op.ID] = Claim{Holder: op.Holder, Attempt: op.Attempt, Digest: op.Digest, Serial: serial}
		m.ClaimOrder = append(m.ClaimOrder, ClaimAge{ID: op.ID, Serial: serial, DropAt: op.DropAt})
		return ClaimGranted
	}
	outcome := c.outcomeFor(op.Holder, op.Digest)
	if outcome == ClaimGranted && op.Attempt > c.Attempt {
		c.Attempt = op.Attempt
		m.Claims[op.ID] = c
	}
	return outcome
}

// outcomeFor returns what an asker learns of a claim that stands.
func (c Claim) outcomeFor(asker ReplicaID, digest string) ClaimOutcome {
	switch {
	case c.Digest != digest:
		return ClaimConflict
	case c.Unknown:
		return ClaimUnknown
	case c.Ended:
		return ClaimRecorded
	case c.Holder == asker:
		return ClaimGranted
	default:
		return ClaimBusy
	}
}

// applyRecord stores how a claimed request ended. A request that provably did
// not run gives its claim back.
func (m *Machine) applyRecord(op RecordOp) {
	c, ok := m.Claims[op.ID]
	if !ok || c.Holder != op.Holder || c.Attempt != op.Attempt || c.Ended {
		return
	}
	if op.Ran == RanNo {
		delete(m.Claims, op.ID)
		return
	}
	c.Ended = true
	c.Unknown = op.Ran == RanUnknown
	if op.Ran == RanYes {
		answer := op.Answer
		c.Answer = &answer
	}
	m.Claims[op.ID] = c
}

// dropClaims forgets the claims whose time has come.
func (m *Machine) dropClaims() {
	for len(m.ClaimOrder) > 0 && !m.At.Before(m.ClaimOrder[0].DropAt) {
		age := m.ClaimOrder[0]
		m.ClaimOrder = m.ClaimOrder[1:]
		if c, ok := m.Claims[age.ID]; ok && c.Serial == age.Serial {
			delete(m.Claims, age.ID)
		}
	}
}

// applyChanges takes what the leader itself has found or planned, and the documents of
// operators.
func (n *Node) applyChanges(changes []config.Change) ResultKind {
	m := &n.machine
	next, err := m.Config.Apply(m.Config.Revision+1, changes)
	if err != nil {
		n.note("leader's change is void: "+err.Error(), string(n.settings.Self.VM))
		return ResultInterrupted
	}
	for _, c := range changes {
		if c.Place != nil {
			m.Sequence = max(m.Sequence, c.Place.Sequence)
		}
		if c.Quarantine != nil {
			n.quarantineApplied(*c.Quarantine)
		}
	}
	m.Config = next
	n.configChanged(next.Revision, changes, true)
	return ResultAccepted
}

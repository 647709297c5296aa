package core

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// StateMachine is the replicated state machine. Its state is a pure function of the log.
type StateMachine struct {
	// At is the time of the newest entry.
	At        time.Time                  `cbor:"at"`
	Config    config.State               `cbor:"config"`
	Operators map[string]OperatorHistory `cbor:"operators"`
	Claims    map[RequestID]Claim        `cbor:"claims"`
	// ClaimOrder lists the claims by age, so that expired ones are found cheaply.
	ClaimOrder []ClaimExpiry `cbor:"claim_order"`
	// Sequence numbers the placement orders.
	Sequence uint64 `cbor:"sequence"`
}

// OperatorHistory holds the results of an operator's commands, so that a resent
// command returns its first result.
type OperatorHistory struct {
	Results map[uint64]KeptResult `cbor:"results"`
	// Lowest is the lowest number whose result is still kept.
	Lowest uint64 `cbor:"lowest"`
}

// KeptResult is the result of one command.
type KeptResult struct {
	Digest string `cbor:"digest"`
	Result Result `cbor:"result"`
}

// maxKeptResults is the number of results kept for each operator.
const maxKeptResults = 1000

// Command is an operator's change to the configuration.
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

// Result is the answer to an operator's statement.
type Result struct {
	Kind     ResultKind      `cbor:"kind" json:"kind"`
	Revision config.Revision `cbor:"revision" json:"revision"`
	// Message states what is wrong and what to do about it.
	Message string `cbor:"message,omitempty" json:"message,omitempty"`
	// Leader is the VM to ask instead, with ResultNotLeader and if known.
	Leader VMName `cbor:"leader,omitempty" json:"leader,omitempty"`
	// InForce is set when every entry VM that accepts work has the revision. VMs
	// counts these VMs, and Waiting those that do not have it yet.
	InForce bool   `cbor:"in_force" json:"in_force"`
	VMs     int    `cbor:"vms" json:"vms"`
	Waiting int    `cbor:"waiting" json:"waiting"`
	Table   *Table `cbor:"table,omitempty" json:"table,omitempty"`
}

// WithInForce returns the result with InForce, VMs and Waiting set.
func (r Result) WithInForce(vms, waiting int) Result {
	r.VMs = vms
	r.Waiting = waiting
	r.InForce = waiting == 0
	return r
}

// Claim is the exclusive right to dispatch a request that may not be repeated.
type Claim struct {
	Holder ReplicaID `cbor:"holder"`
	// Attempt is the number that the holder gave the claim; see ClaimRequest.
	Attempt uint64      `cbor:"attempt"`
	Digest  string      `cbor:"digest"`
	Ended   bool        `cbor:"ended"`
	Answer  *CallAnswer `cbor:"answer,omitempty"`
	// Unknown is set when the request ended with an unknown outcome.
	Unknown bool `cbor:"unknown"`
	// Serial distinguishes this claim from an earlier one for the same request.
	Serial Index `cbor:"serial"`
}

// ClaimExpiry is the time at which a claim expires.
type ClaimExpiry struct {
	ID     RequestID `cbor:"id"`
	Serial Index     `cbor:"serial"`
	DropAt time.Time `cbor:"drop_at"`
}

// ClaimOp requests a claim on behalf of Holder.
type ClaimOp struct {
	ID      RequestID `cbor:"id"`
	Holder  ReplicaID `cbor:"holder"`
	Attempt uint64    `cbor:"attempt"`
	Digest  string    `cbor:"digest"`
	DropAt  time.Time `cbor:"drop_at"`
}

// RecordOp stores the outcome of a claimed request.
type RecordOp struct {
	ID      RequestID  `cbor:"id"`
	Holder  ReplicaID  `cbor:"holder"`
	Attempt uint64     `cbor:"attempt"`
	Ran     Ran        `cbor:"ran"`
	Answer  CallAnswer `cbor:"answer"`
}

func newMachine() StateMachine {
	return StateMachine{
		Operators: make(map[string]OperatorHistory),
		Claims:    make(map[RequestID]Claim),
	}
}

// clone returns a copy that shares only values that are never modified in place.
func (m StateMachine) clone() StateMachine {
	operators := make(map[string]OperatorHistory, len(m.Operators))
	for name, history := range m.Operators {
		operators[name] = OperatorHistory{Results: maps.Clone(history.Results), Lowest: history.Lowest}
	}
	m.Operators = operators
	m.Claims = maps.Clone(m.Claims)
	if m.Claims == nil {
		m.Claims = make(map[RequestID]Claim)
	}
	m.ClaimOrder = slices.Clone(m.ClaimOrder)
	return m
}

// applyEntry applies one committed entry, and notifies the waiters for it on this VM.
func (n *Node) applyEntry(e Entry) {
	m := &n.machine
	if e.At.After(m.At) {
		m.At = e.At
	}
	m.expireClaims()
	switch {
	case e.Command != nil:
		result := m.applyCommand(*e.Command)
		n.configChanged(result.Revision, e.Command.Changes, result.Kind == ResultAccepted)
		n.commandApplied(e.Index, result)
	case e.Changes != nil:
		kind := n.applyChanges(e.Changes)
		n.commandApplied(e.Index, Result{Kind: kind, Revision: m.Config.Revision})
		n.documentApplied(e.Index)
	case e.Claim != nil:
		outcome := m.applyClaim(e.Index, *e.Claim)
		n.claimApplied(e.Index, *e.Claim, outcome)
	case e.Record != nil:
		m.applyRecord(*e.Record)
		n.recordApplied(e.Index, *e.Record)
	}
}

// applyCommand changes the configuration, once for each number of an operator.
func (m *StateMachine) applyCommand(c Command) Result {
	history := m.Operators[c.Operator]
	if first, ok := history.Results[c.Number]; ok {
		if first.Digest != c.Digest {
			return m.conflict(fmt.Sprintf("operator %s has used number %d for another command; look at `show config`, then send this one under a new number", c.Operator, c.Number))
		}
		return first.Result
	}
	if c.Number < history.Lowest {
		return Result{Kind: ResultTooOld, Revision: m.Config.Revision,
			Message: fmt.Sprintf("number %d of operator %s is older than the results that are kept; look at `show config` whether it took effect", c.Number, c.Operator)}
	}
	result := m.change(c.Expect, c.Changes)
	m.keepResult(c, result)
	return result
}

func (m *StateMachine) conflict(message string) Result {
	return Result{Kind: ResultConflict, Revision: m.Config.Revision, Message: message}
}

func (m *StateMachine) change(expect config.Revision, changes []config.Change) Result {
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

func (m *StateMachine) keepResult(c Command, r Result) {
	history, ok := m.Operators[c.Operator]
	if !ok {
		history.Results = make(map[uint64]KeptResult)
	}
	history.Results[c.Number] = KeptResult{Digest: c.Digest, Result: r}
	if len(history.Results) > maxKeptResults {
		lowest := slices.Min(slices.Collect(maps.Keys(history.Results)))
		delete(history.Results, lowest)
		history.Lowest = lowest + 1
	}
	m.Operators[c.Operator] = history
}

// applyClaim decides who may dispatch a request that may not be repeated.
func (m *StateMachine) applyClaim(serial Index, op ClaimOp) ClaimOutcome {
	c, ok := m.Claims[op.ID]
	if !ok {
		m.Claims[op.ID] = Claim{Holder: op.Holder, Attempt: op.Attempt, Digest: op.Digest, Serial: serial}
		m.ClaimOrder = append(m.ClaimOrder, ClaimExpiry{ID: op.ID, Serial: serial, DropAt: op.DropAt})
		return ClaimGranted
	}
	outcome := c.outcomeFor(op.Holder, op.Digest)
	if outcome == ClaimGranted && op.Attempt > c.Attempt {
		c.Attempt = op.Attempt
		m.Claims[op.ID] = c
	}
	return outcome
}

// outcomeFor returns the outcome of a request by asker for a claim that exists.
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

// applyRecord stores the outcome of a claimed request. If the request provably did
// not run, its claim is released.
func (m *StateMachine) applyRecord(op RecordOp) {
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

// expireClaims drops the claims that have expired.
func (m *StateMachine) expireClaims() {
	for len(m.ClaimOrder) > 0 && !m.At.Before(m.ClaimOrder[0].DropAt) {
		oldest := m.ClaimOrder[0]
		m.ClaimOrder = m.ClaimOrder[1:]
		if c, ok := m.Claims[oldest.ID]; ok && c.Serial == oldest.Serial {
			delete(m.Claims, oldest.ID)
		}
	}
}

// applyChanges applies changes that the leader itself has detected or planned, and the
// documents of operators.
func (n *Node) applyChanges(changes []config.Change) ResultKind {
	m := &n.machine
	next, err := m.Config.Apply(m.Config.Revision+1, changes)
	if err != nil {
		n.note("change proposed by a leader is invalid: "+err.Error(), string(n.settings.Self.VM))
		return ResultInterrupted
	}
	for _, c := range changes {
		if c.Place != nil {
			m.Sequence = max(m.Sequence, c.Place.Sequence)
		}
	}
	m.Config = next
	n.configChanged(next.Revision, changes, true)
	return ResultAccepted
}

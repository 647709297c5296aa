package core

import (
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// Effect is an output of a Node that the runtime executes.
type Effect interface{ isEffect() }

// Send sends a message to another process. It may be lost.
type Send struct{ Envelope Envelope }

// Persist appends to the log on disk and syncs it. Persisted acknowledges it.
type Persist struct {
	Sequence uint64
	Hard     *HardState
	// TruncateFrom, unless 0, first drops the entry at this index and all later ones.
	TruncateFrom Index
	Entries      []Entry
}

// SaveSnapshot replaces the snapshot and syncs it. Persisted acknowledges it.
type SaveSnapshot struct {
	Sequence uint64
	Snapshot Snapshot
	// Hard and Tail begin the new log after the snapshot.
	Hard HardState
	Tail []Entry
}

// Joined asks the runtime to store the identity of the cluster that this VM has
// joined or formed.
type Joined struct{ Cluster string }

// Answer returns an operator's result.
type Answer struct {
	Conn   ConnID
	Result Result
}

// Emit sends a caller tokens of its answer. From is the position of the first.
type Emit struct {
	Conn   ConnID
	ID     RequestID
	From   int
	Tokens []Token
	// Finish is set with the last tokens: "stop" or "length".
	Finish string
}

// Refuse ends a caller's request with a refusal.
type Refuse struct {
	Conn    ConnID
	ID      RequestID
	Refusal Refusal
}

// Finish returns the answer of a plain service to a caller.
type Finish struct {
	Conn   ConnID
	ID     RequestID
	Answer CallAnswer
	// Recorded is set where the call ran earlier and this is its recorded answer.
	Recorded bool
}

// Run orders the stages of a chain to run positions of a stream. The first
// stage receives the order and forwards its activations to the next.
type Run struct {
	Stream   RequestID
	Epoch    Epoch
	Position int
	Model    ModelRef
	// Prompt is set for position 0, Token for a later one.
	Prompt string
	Token  Token
	Chain  []Stage
	Class  config.Class
	// Deadline is when the caller no longer needs the answer.
	Deadline time.Time
	// ReplyDeadline is when the chain counts as failed unless it has answered.
	ReplyDeadline time.Time
	// NotAfter is when the permission to start this run expires: a process that
	// was suspended and resumes later must not start it.
	NotAfter time.Time
}

// ModelRef identifies the model that an engine must have loaded.
type ModelRef struct {
	Model   string `json:"model" cbor:"model"`
	Version string `json:"version" cbor:"version"`
	Adapter string `json:"adapter,omitempty" cbor:"adapter,omitempty"`
}

// Rebuild orders an engine to recompute the KV cache of its layers: from the
// prompt and the tokens, or from what the engine of the previous stage has kept.
type Rebuild struct {
	Stream   RequestID
	Epoch    Epoch
	Position int
	Model    ModelRef
	Stage    Stage
	// Source is the previous stage; nil when Stage holds the first layer.
	Source *Stage
	Prompt string
	Tokens []Token
	// ReplyDeadline is when the engine counts as lost unless it has answered.
	ReplyDeadline time.Time
}

// Release informs engines that a stream has ended or was abandoned.
type Release struct {
	Stream RequestID
	Epoch  Epoch
	Chain  []Stage
}

// Dispatch sends a call to a runner of a plain service.
type Dispatch struct {
	Conn     ConnID
	ID       RequestID
	Target   string
	Address  string
	Deadline time.Time
	// NotAfter is when the permission to start this call expires.
	NotAfter time.Time
}

// Watch probes a target. Watched reports the result.
type Watch struct {
	Target  string
	Address string
}

// Order orders an engine to hold layers. OrderEnded reports the result.
type Order struct {
	Fence     Fence
	Address   string
	Placement config.Placement
	Adapters  []string
	// NotAfter is when the order expires: it is neither sent nor executed later.
	// This protects a target that checks no fence.
	NotAfter time.Time
}

// ListPlatform queries the platform for its list. PlatformListed returns it.
type ListPlatform struct{}

// PeerFound gives the runtime the address at which a VM serves its peers.
type PeerFound struct {
	VM      VMName
	Address string
}

// Entries answers EntriesAsked.
type Entries struct {
	Conn      ConnID
	Addresses []EntryAddress
	// KeepUntil is when the addresses expire at the caller.
	KeepUntil time.Time
}

// Stopped signals that a planned stop is complete.
type Stopped struct{}

// Note writes a decision to the log.
type Note struct {
	Text string
	// Subject is the VM, target or request that the decision is about.
	Subject string
}

func (Send) isEffect()         {}
func (Persist) isEffect()      {}
func (SaveSnapshot) isEffect() {}
func (Joined) isEffect()       {}
func (Answer) isEffect()       {}
func (Emit) isEffect()         {}
func (Refuse) isEffect()       {}
func (Finish) isEffect()       {}
func (Run) isEffect()          {}
func (Rebuild) isEffect()      {}
func (Release) isEffect()      {}
func (Dispatch) isEffect()     {}
func (Watch) isEffect()        {}
func (Order) isEffect()        {}
func (ListPlatform) isEffect() {}
func (PeerFound) isEffect()    {}
func (Entries) isEffect()      {}
func (Stopped) isEffect()      {}
func (Note) isEffect()         {}

package core

import (
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// Effect is something that the runtime is to do.
type Effect interface{ isEffect() }

// Send carries a message to another process. It may be lost.
type Send struct{ Envelope Envelope }

// Persist appends to the log on disk and syncs it. Persisted answers it.
type Persist struct {
	Sequence uint64
	Hard     *HardState
	// TruncateFrom, unless 0, drops the entries from there first.
	TruncateFrom Index
	Entries      []Entry
}

// SaveSnapshot replaces the snapshot and syncs it. Persisted answers it.
type SaveSnapshot struct {
	Sequence uint64
	Snapshot Snapshot
	// Hard and Tail are what follows the snapshot in the new log.
	Hard HardState
	Tail []Entry
}

// Joined tells the runtime to keep the identity of the cluster that this VM
// has learned.
type Joined struct{ Cluster string }

// Answer gives an operator its result.
type Answer struct {
	Conn   ConnID
	Result Result
}

// Emit gives a caller tokens of its answer. From is the place of the first.
type Emit struct {
	Conn   ConnID
	ID     RequestID
	From   int
	Tokens []Token
	// Finish is set on the last one: "stop" or "length".
	Finish string
}

// Refuse gives a caller a final answer that is not the one it asked for.
type Refuse struct {
	Conn    ConnID
	ID      RequestID
	Refusal Refusal
}

// Finish gives a caller the answer of a plain service.
type Finish struct {
	Conn   ConnID
	ID     RequestID
	Answer CallAnswer
	// Recorded says that the call ran earlier and this is its kept answer.
	Recorded bool
}

// Run orders the stages of a chain to run positions of a stream. The first
// stage gets the order and hands its activations on to the next.
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
	// Silence is when the chain is taken for broken.
	Silence time.Time
	// NotAfter is when the right to begin this run ends: a process that was
	// stopped and goes on later must not begin it.
	NotAfter time.Time
}

// ModelRef names what an engine must have loaded.
type ModelRef struct {
	Model   string `json:"model" cbor:"model"`
	Version string `json:"version" cbor:"version"`
	Adapter string `json:"adapter,omitempty" cbor:"adapter,omitempty"`
}

// Rebuild orders an engine to make the KV cache of a range anew: from the
// prompt and the tokens, or from what the engine before it has kept.
type Rebuild struct {
	Stream   RequestID
	Epoch    Epoch
	Position int
	Model    ModelRef
	Stage    Stage
	// Source is the stage before; nil when Stage holds the first layer.
	Source *Stage
	Prompt string
	Tokens []Token
	// Silence is when the engine is taken for dead.
	Silence time.Time
}

// Release tells engines that a stream has ended or is given up.
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
	// NotAfter is when the right to begin this call ends.
	NotAfter time.Time
}

// Watch looks at a target. Watched answers it.
type Watch struct {
	Target  string
	Address string
}

// Order tells an engine what to hold. OrderEnded answers it.
type Order struct {
	Fence     Fence
	Address   string
	Placement config.Placement
	Adapters  []string
	// NotAfter is when the order is void: it is neither sent nor carried out
	// later. It is what protects a target that checks no fence.
	NotAfter time.Time
}

// ListPlatform asks the platform for its list. PlatformListed answers it.
type ListPlatform struct{}

// PeerFound tells the runtime where a VM's peers address is.
type PeerFound struct {
	VM      VMName
	Address string
}

// Entries answers EntriesAsked.
type Entries struct {
	Conn      ConnID
	Addresses []EntryAddress
	// KeepUntil is when the caller has to ask again.
	KeepUntil time.Time
}

// Stopped says that a planned stop is complete.
type Stopped struct{}

// Note is a decision worth a line in the log.
type Note struct {
	Text string
	// Subject is what it is about: a VM, a target, a request.
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

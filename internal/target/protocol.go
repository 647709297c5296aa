// Package target is the protocol of the targets, as docs/TARGETS.md fixes
// it: JSON over HTTP. It holds the messages and the client that a daemon uses.
package target

import (
	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
)

// The paths of a model engine.
const (
	PathRuns     = "/v1/runs"
	PathRebuild  = "/v1/rebuild"
	PathBoundary = "/v1/boundary"
	PathRelease  = "/v1/release"
	PathOrder    = "/v1/order"
	// PathLoad is also that of a plain service.
	PathLoad = "/v1/load"
)

// PathVMs is the path of the platform's list.
const PathVMs = "/v1/vms"

// RunOrder is a line of a POST to PathRuns. It asks the first stage of Chain to run positions of a
// stream and to hand its activations on to the next one.
type RunOrder struct {
	Stream   core.RequestID `json:"stream"`
	Epoch    core.Epoch     `json:"epoch"`
	Position int            `json:"position"`
	Model    core.ModelRef  `json:"model"`
	// Prompt or Token is the input of the first stage, Activations that of a
	// later one.
	Prompt      string       `json:"prompt,omitempty"`
	Token       *core.Token  `json:"token,omitempty"`
	Activations []uint64     `json:"activations,omitempty"`
	Chain       []core.Stage `json:"chain"`
	Priority    int          `json:"priority"`
	// SilenceMillis is how long the sender waits for the answer.
	SilenceMillis int64 `json:"silence_millis"`
}

// RunReply answers a RunOrder.
type RunReply struct {
	Result core.RunResult `json:"result"`
	// Target is the stage that the result speaks of, unless it is done.
	Target string     `json:"target,omitempty"`
	Next   int        `json:"next,omitempty"`
	Token  core.Token `json:"token"`
	Finish string     `json:"finish,omitempty"`
	// Load is that of the fullest stage, in thousandths of its slots.
	Load int `json:"load"`
}

// RebuildOrder asks an engine to make the KV cache of a range anew, for the
// positions before Position.
type RebuildOrder struct {
	Stream        core.RequestID `json:"stream"`
	Epoch         core.Epoch     `json:"epoch"`
	Position      int            `json:"position"`
	Model         core.ModelRef  `json:"model"`
	Stage         core.Stage     `json:"stage"`
	Source        *core.Stage    `json:"source,omitempty"`
	Prompt        string         `json:"prompt,omitempty"`
	Tokens        []core.Token   `json:"tokens,omitempty"`
	SilenceMillis int64          `json:"silence_millis"`
}

// RebuildReply answers a RebuildOrder.
type RebuildReply struct {
	Result core.RunResult `json:"result"`
	Target string         `json:"target"`
}

// BoundaryOrder asks an engine for the activations that it has kept.
type BoundaryOrder struct {
	Stream core.RequestID `json:"stream"`
	Epoch  core.Epoch     `json:"epoch"`
	Layers config.Range   `json:"layers"`
	To     int            `json:"to"`
}

// BoundaryReply answers a BoundaryOrder.
type BoundaryReply struct {
	Result      core.RunResult `json:"result"`
	Activations []uint64       `json:"activations,omitempty"`
}

// ReleaseOrder tells an engine that a stream has ended there.
type ReleaseOrder struct {
	Stream core.RequestID `json:"stream"`
	Epoch  core.Epoch     `json:"epoch"`
}

// PlaceOrder tells an engine what to hold.
type PlaceOrder struct {
	Fence    core.Fence   `json:"fence"`
	Model    string       `json:"model"`
	Version  string       `json:"version"`
	Adapters []string     `json:"adapters,omitempty"`
	Layers   config.Range `json:"layers"`
	// LifeMillis is how long the order may still be begun.
	LifeMillis int64 `json:"life_millis"`
}

// OrderResult is what became of a PlaceOrder.
type OrderResult string

// The results of a PlaceOrder.
const (
	OrderDone OrderResult = "done"
	// OrderStale: the engine has carried out a later one.
	OrderStale OrderResult = "stale"
	// OrderBusy: streams still need what it holds now.
	OrderBusy OrderResult = "busy"
)

// PlaceReply answers a PlaceOrder.
type PlaceReply struct {
	Result OrderResult `json:"result"`
}

// LoadReport is what a target says of itself. It may lag.
type LoadReport struct {
	Busy    int  `json:"busy"`
	Slots   int  `json:"slots"`
	Leaving bool `json:"leaving"`
	// Holding is the sequence of the order that was carried out last.
	Holding uint64 `json:"holding"`
}

// VMState is what the platform says of one VM.
type VMState struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

// VMLeaving is the state of a VM that goes away.
const VMLeaving = "leaving"

// VMList is the platform's list.
type VMList struct {
	VMs []VMState `json:"vms"`
}

// Package target implements the protocol of the targets that docs/TARGETS.md
// specifies, JSON over HTTP: the messages and the client of the daemon.
package target

import (
	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
)

// The HTTP paths of a model engine.
const (
	PathRuns     = "/v1/runs"
	PathRebuild  = "/v1/rebuild"
	PathBoundary = "/v1/boundary"
	PathRelease  = "/v1/release"
	PathOrder    = "/v1/order"
	// PathLoad is served by plain services, too.
	PathLoad = "/v1/load"
)

// PathVMs is the path of the platform's list of VMs.
const PathVMs = "/v1/vms"

// RunOrder is a line of a POST to PathRuns. It orders the first stage of Chain to run positions
// of a stream and to forward its activations to the next stage.
type RunOrder struct {
	Stream   core.RequestID `json:"stream"`
	Epoch    core.Epoch     `json:"epoch"`
	Position int            `json:"position"`
	Model    core.ModelRef  `json:"model"`
	// Prompt or Token is the input of the first stage, Activations that of a
	// later stage.
	Prompt      string       `json:"prompt,omitempty"`
	Token       *core.Token  `json:"token,omitempty"`
	Activations []uint64     `json:"activations,omitempty"`
	Chain       []core.Stage `json:"chain"`
	Priority    int          `json:"priority"`
	// TimeoutMillis is how long the sender waits for the answer.
	TimeoutMillis int64 `json:"silence_millis"`
}

// RunReply answers a RunOrder.
type RunReply struct {
	Result core.RunResult `json:"result"`
	// Target is the stage that Result refers to, unless it is ResultDone.
	Target string     `json:"target,omitempty"`
	Next   int        `json:"next,omitempty"`
	Token  core.Token `json:"token"`
	Finish string     `json:"finish,omitempty"`
	// Load is that of the most loaded stage, in thousandths of its slots.
	Load int `json:"load"`
}

// RebuildOrder orders an engine to rebuild the KV cache of a layer range for the
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
	TimeoutMillis int64          `json:"silence_millis"`
}

// RebuildReply answers a RebuildOrder.
type RebuildReply struct {
	Result core.RunResult `json:"result"`
	Target string         `json:"target"`
}

// BoundaryOrder requests the activations after Layers that an engine has kept, for the positions
// before BeforePosition.
type BoundaryOrder struct {
	Stream         core.RequestID `json:"stream"`
	Epoch          core.Epoch     `json:"epoch"`
	Layers         config.Range   `json:"layers"`
	BeforePosition int            `json:"to"`
}

// BoundaryReply answers a BoundaryOrder.
type BoundaryReply struct {
	Result      core.RunResult `json:"result"`
	Activations []uint64       `json:"activations,omitempty"`
}

// ReleaseOrder notifies an engine that a stream has ended.
type ReleaseOrder struct {
	Stream core.RequestID `json:"stream"`
	Epoch  core.Epoch     `json:"epoch"`
}

// PlaceOrder orders an engine to hold layers of a model.
type PlaceOrder struct {
	Fence    core.Fence   `json:"fence"`
	Model    string       `json:"model"`
	Version  string       `json:"version"`
	Adapters []string     `json:"adapters,omitempty"`
	Layers   config.Range `json:"layers"`
	// TTLMillis is how long the engine may still begin to execute the order.
	TTLMillis int64 `json:"life_millis"`
}

// OrderResult is the outcome of a PlaceOrder.
type OrderResult string

// The results of a PlaceOrder.
const (
	OrderDone OrderResult = "done"
	// OrderStale: the engine has executed a later order.
	OrderStale OrderResult = "stale"
	// OrderBusy: streams still need the layers that the engine holds.
	OrderBusy OrderResult = "busy"
)

// PlaceReply answers a PlaceOrder.
type PlaceReply struct {
	Result OrderResult `json:"result"`
}

// LoadReport is the load that a target reports. It may lag.
type LoadReport struct {
	Busy    int  `json:"busy"`
	Slots   int  `json:"slots"`
	Leaving bool `json:"leaving"`
	// LastOrder is the sequence number of the order that was executed last.
	LastOrder uint64 `json:"holding"`
}

// VMState is the state of one VM in the platform's list.
type VMState struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

// VMLeaving is the state of a VM that is being shut down.
const VMLeaving = "leaving"

// VMList is the platform's list of VMs.
type VMList struct {
	VMs []VMState `json:"vms"`
}

package core

import (
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/query"
)

// Event is anything that happens to a Node.
type Event interface{ isEvent() }

// Tick says that time has passed. The runtime sends one every few hundredths
// of a second.
type Tick struct{}

// Received is a message from another process.
type Received struct{ Envelope Envelope }

// Persisted says that all records up to Sequence are synced.
type Persisted struct{ Sequence uint64 }

// Operated is an operator's statement that arrived at this VM.
type Operated struct {
	Conn      ConnID
	Statement query.Statement
	Operator  string
	Number    uint64
	// Digest tells equal statements from different ones under one number.
	Digest string
	// Expect is the revision that the operator has seen; 0 is any.
	Expect config.Revision
	// WaitUntil asks for the answer only once the change is in force, or at
	// that time at the latest. The zero value asks for no wait.
	WaitUntil time.Time
}

// StreamAsked is a request for a model pipeline.
type StreamAsked struct {
	Conn ConnID
	ID   RequestID
	// Key is the API key as the caller sent it.
	Key     string
	Request StreamRequest
	// After is the number of tokens that the caller already has.
	After int
}

// CallAsked is a request for a plain service. Its body stays in the runtime.
type CallAsked struct {
	Conn ConnID
	ID   RequestID
	// Returnable says that the caller gave the identity itself, so that it may
	// have sent it elsewhere before.
	Returnable bool
	Key        string
	Service    string
	Method     string
	Path       string
	Digest     string
	Deadline   time.Time
}

// CallerGone says that a caller has closed its connection.
type CallerGone struct{ Conn ConnID }

// RunResult is how a stage order ended.
type RunResult string

// The results of a Run, a Rebuild or a Dispatch.
const (
	// ResultDone: it was run, and the answer is here.
	ResultDone RunResult = "done"
	// ResultRefused: it was provably not run.
	ResultRefused RunResult = "refused"
	// ResultBroken: the stage named by Target did not answer.
	ResultBroken RunResult = "broken"
	// ResultStale: the engine knows a later epoch.
	ResultStale RunResult = "stale"
	// ResultGap: the stage named by Target lacks earlier positions.
	ResultGap RunResult = "gap"
)

// RunEnded answers a Run.
type RunEnded struct {
	Stream   RequestID
	Epoch    Epoch
	Position int
	Result   RunResult
	// Target is the stage that the result speaks of, when it is not done.
	Target string
	// Next is the position that follows; it is after the prompt at first.
	Next   int
	Token  Token
	Finish string
	// Load is that of the fullest stage, in thousandths of its slots. It lags.
	Load int
}

// RebuildEnded answers a Rebuild.
type RebuildEnded struct {
	Stream RequestID
	Epoch  Epoch
	Target string
	Result RunResult
}

// DispatchEnded answers a Dispatch.
type DispatchEnded struct {
	Conn   ConnID
	ID     RequestID
	Target string
	Result RunResult
	Answer CallAnswer
	// BackoffUntil is until when the target wants no calls from this VM; zero where it asks for
	// no backoff.
	BackoffUntil time.Time
	// Limit is what it says of its limit; its HeardAt is zero where it says nothing.
	Limit relay.LimitAnswer
}

// Watched is what a look at a target brought.
type Watched struct {
	Report TargetReport
	// Busy is the number of streams or calls that the target says it serves;
	// the report lags.
	Busy int
}

// PlatformListed is the platform's list of VMs that are about to go. The list
// lags; a target on none of its lines is taken to live on.
type PlatformListed struct{ Leaving []string }

// OrderEnded answers an Order.
type OrderEnded struct {
	Target string
	Fence  Fence
	Done   bool
}

// EntriesAsked asks for the entry addresses that a caller should use.
type EntriesAsked struct {
	Conn ConnID
	// Hall is where the caller is, if it says so.
	Hall string
}

// Stopping asks for a planned stop of this process.
type Stopping struct{}

func (Tick) isEvent()           {}
func (Received) isEvent()       {}
func (Persisted) isEvent()      {}
func (Operated) isEvent()       {}
func (StreamAsked) isEvent()    {}
func (CallAsked) isEvent()      {}
func (CallerGone) isEvent()     {}
func (RunEnded) isEvent()       {}
func (RebuildEnded) isEvent()   {}
func (DispatchEnded) isEvent()  {}
func (Watched) isEvent()        {}
func (PlatformListed) isEvent() {}
func (OrderEnded) isEvent()     {}
func (EntriesAsked) isEvent()   {}
func (Stopping) isEvent()       {}

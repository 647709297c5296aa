package core

import (
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/query"
)

// Event is an input of a Node.
type Event interface{ isEvent() }

// Tick signals the passage of time. The runtime sends one every few hundredths
// of a second.
type Tick struct{}

// Received is a message from another process.
type Received struct{ Envelope Envelope }

// Persisted signals that all records up to Sequence are synced.
type Persisted struct{ Sequence uint64 }

// Operated is a statement that an operator sent to this VM.
type Operated struct {
	Conn      ConnID
	Statement query.Statement
	Operator  string
	Number    uint64
	// Digest distinguishes different statements under one number.
	Digest string
	// Expect is the revision that the statement is based on; 0 accepts any.
	Expect config.Revision
	// WaitUntil delays the answer until the change is in force, or until this
	// time at the latest. The zero value disables the wait.
	WaitUntil time.Time
}

// StreamAsked is a request for a model pipeline.
type StreamAsked struct {
	Conn ConnID
	ID   RequestID
	// Key is the API key as the caller sent it.
	Key     string
	Request StreamRequest
	// After is the number of tokens that the caller has already received.
	After int
}

// CallAsked is a request for a plain service. The runtime keeps its body.
type CallAsked struct {
	Conn ConnID
	ID   RequestID
	// Returnable is set where the caller chose the identity itself, and may have
	// sent it to another VM before.
	Returnable bool
	Key        string
	Service    string
	Method     string
	Path       string
	Digest     string
	Deadline   time.Time
}

// CallerGone signals that a caller has closed its connection.
type CallerGone struct{ Conn ConnID }

// RunResult is the outcome of an order to a stage or runner.
type RunResult string

// The results of a Run, a Rebuild or a Dispatch.
const (
	// ResultDone means that it ran and the answer has arrived.
	ResultDone RunResult = "done"
	// ResultRefused means that it provably did not run.
	ResultRefused RunResult = "refused"
	// ResultBroken means that the stage named by Target did not answer.
	ResultBroken RunResult = "broken"
	// ResultStale means that the engine has seen a later epoch.
	ResultStale RunResult = "stale"
	// ResultGap means that the stage named by Target lacks earlier positions.
	ResultGap RunResult = "gap"
)

// RunEnded reports the result of a Run.
type RunEnded struct {
	Stream   RequestID
	Epoch    Epoch
	Position int
	Result   RunResult
	// Target is the stage that caused a result other than ResultDone.
	Target string
	// Next is the next position to run; after the first run, the one behind the prompt.
	Next   int
	Token  Token
	Finish string
	// Load is the load of the fullest stage, in thousandths of its slots. It lags.
	Load int
}

// RebuildEnded reports the result of a Rebuild.
type RebuildEnded struct {
	Stream RequestID
	Epoch  Epoch
	Target string
	Result RunResult
}

// DispatchEnded reports the result of a Dispatch.
type DispatchEnded struct {
	Conn   ConnID
	ID     RequestID
	Target string
	Result RunResult
	Answer CallAnswer
	// BackoffUntil is the end of the backoff that the target requests of this VM; zero where
	// it requests none.
	BackoffUntil time.Time
	// Limit is the rate limit that the target reports; its ReceivedAt is zero where it reports none.
	Limit relay.LimitAnswer
}

// Watched reports the result of a Watch.
type Watched struct {
	Report TargetReport
	// Busy is the number of streams or calls that the target reports to serve.
	// It lags.
	Busy int
}

// PlatformListed is the platform's list of VMs that are about to be removed. The
// list lags; a target that is not on it is assumed to stay.
type PlatformListed struct{ Leaving []string }

// OrderEnded reports the result of an Order.
type OrderEnded struct {
	Target string
	Fence  Fence
	Done   bool
}

// EntriesAsked is a request for the entry addresses that a caller should use.
type EntriesAsked struct {
	Conn ConnID
	// Hall is the caller's data hall, empty where the caller does not name it.
	Hall string
}

// Stopping requests a planned stop of this process.
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

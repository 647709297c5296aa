package daemon

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file is the daemon's side of a platform: what an adapter calls, and what
// the daemon calls of an adapter. The adapter translates and decides nothing.

// Platform is what a daemon needs of an adapter.
type Platform struct {
	// Decode reads the text of a document.
	Decode func(source []byte) (*relay.Document, error)
	// Codec translates requests and answers.
	Codec Codec
	// Engines speaks to model engines beside the requests.
	Engines Engines
	// Router holds the settings of this VM's router.
	Router relay.Settings
	// Delegates says that this VM is to begin the cluster and has no disk.
	Delegates bool
	// Accept is how long after the beginning of a planned stop callers are still
	// taken, and Grace how long after it what is in progress is cut.
	Accept time.Duration
	Grace  time.Duration
}

// Codec translates one request and its answer.
type Codec interface {
	// Head returns the header that the first target of a path gets.
	Head(h Hop) http.Header
	// Verdict reads what a target says of a request with its answer.
	Verdict(status int, h http.Header) Verdict
	// Notice reads what a target says of itself with an answer. Its error is of
	// UnusableErrors, one for each part that can't be read; the notice has the others.
	Notice(id relay.TargetID, status int, h http.Header, now time.Time) (relay.Notice, error)
	// Refuse gives a caller a final answer of the system's own.
	Refuse(w http.ResponseWriter, r *relay.Refusal, now time.Time)
}

// Hop is one sending of a request to a target.
type Hop struct {
	Call         *Call
	Path         relay.Path
	Organisation string
	// Deadline is when the answer is of no more use.
	Deadline time.Time
	// After is the id of the last event that the caller has, or empty.
	After string
	// Class is the request's priority.
	Class int
}

// Verdict is what a target says of a request with its answer.
type Verdict struct {
	// ID is that of the request that the answer belongs to.
	ID string
	// NotRun says that the target has not run the request.
	NotRun bool
	// Promise says that the status tells callers that the request has not run: it is
	// handed on only where NotRun is set too.
	Promise bool
	// AtFault is the address of the target that could not do its part, if told.
	AtFault string
}

// Engines speaks to model engines beside the requests. Each call returns what the engine says
// of itself with its answers, also where they refuse what was asked.
type Engines interface {
	// Order tells an engine to hold layers.
	Order(ctx context.Context, o core.OrderLayers) (core.OrderOutcome, relay.Notice)
	// Report asks an engine how it is. Its error is an ErrEngineSilent where the engine
	// did not answer, and an ErrHeldBack where it was not asked.
	Report(ctx context.Context, engine relay.Stage) (EngineReport, error)
	// Repath tells the first engine of a path to go on with a request along it: other
	// engines than before read what it has so far.
	Repath(ctx context.Context, request string, p relay.Path) (relay.Notice, error)
}

// ErrEngineSilent says that an engine did not answer at all.
var ErrEngineSilent = errors.New("the engine does not answer; it is taken to be lost until it does")

// EngineReport is what an engine says of itself. It is some 0.2 s old.
type EngineReport struct {
	// Stalled holds the requests that stand still at an engine that is first on their
	// paths, each with the address of the stage that they wait for.
	Stalled map[string]string
	// Pace is how many times longer than usual its steps take at present; 0 where it
	// does not say.
	Pace float64
	// Born is the start of the incarnation that says so, in Unix milliseconds; 0 where it does
	// not say.
	Born uint64
	// Notice is what the engine says of itself, also where the report can't be used.
	Notice relay.Notice
}

// Call is a caller's request, read whole.
type Call struct {
	ID  string
	Key string
	// Arrived is when it was read; Deadline is when the caller stops waiting.
	Arrived  time.Time
	Deadline time.Time
	Method   string
	URI      string
	Path     string
	Host     string
	Header   http.Header
	Body     []byte
	// Prompt and Answer are the tokens of a stream, Hint the caller's estimate of
	// the answer's; 0 where it says nothing.
	Prompt, Answer, Hint int
	// After is the id of the last event that the caller has, or empty.
	After string
}

package daemon

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file is the interface between the daemon and a platform's adapter, in both directions.
// The adapter translates and decides nothing.

// Platform is what a daemon needs from an adapter.
type Platform struct {
	// Decode parses the text of a document.
	Decode func(source []byte) (*relay.Document, error)
	// Codec translates requests and answers.
	Codec Codec
	// Engines calls model engines beside the requests.
	Engines Engines
	// Router holds the settings of this VM's router.
	Router relay.Settings
	// DelegatesBootstrap is set if this VM has to start the cluster and has no disk.
	DelegatesBootstrap bool
	// AcceptTime is how long after the start of a planned stop callers are still accepted, and
	// Grace how long after it the requests still in progress are cut off.
	AcceptTime time.Duration
	Grace      time.Duration
}

// Codec translates one request and its answer.
type Codec interface {
	// Head returns the header for the first target of a path.
	Head(h Hop) http.Header
	// Verdict parses what a target reports of a request with its answer.
	Verdict(status int, h http.Header) Verdict
	// Notice parses a target's notice from an answer. Its error consists of UnusableErrors, one
	// for each part that can't be parsed; the notice has the other parts.
	Notice(id relay.TargetID, status int, h http.Header, now time.Time) (relay.Notice, error)
	// Refuse writes a refusal to a caller, as the final answer.
	Refuse(w http.ResponseWriter, r *relay.Refusal, now time.Time)
}

// Hop is one sending of a request to a target.
type Hop struct {
	Call         *Call
	Path         relay.Path
	Organisation string
	// Deadline is when the answer is no longer needed.
	Deadline time.Time
	// After is the id of the last event that the caller has, or empty.
	After string
	// Class is the request's priority.
	Class int
}

// Verdict is what a target reports of a request with its answer.
type Verdict struct {
	// ID is the id of the request that the answer belongs to.
	ID string
	// NotRun is set if the target has not run the request.
	NotRun bool
	// ClaimsNotRun is set if the status means to callers that the request has not run: such an
	// answer is forwarded only where NotRun is set too.
	ClaimsNotRun bool
	// AtFault is the address of the target that could not do its part, if the answer names it.
	AtFault string
}

// Engines calls model engines beside the requests. Each method returns the engine's notice
// with its answer, also where the engine refuses the call.
type Engines interface {
	// Order orders an engine to hold layers.
	Order(ctx context.Context, o core.OrderLayers) (core.OrderOutcome, relay.Notice)
	// Report asks an engine for its report. Its error is an ErrEngineSilent where the engine did
	// not answer, and an ErrHeldBack where it was not asked.
	Report(ctx context.Context, engine relay.Stage) (EngineReport, error)
	// Repath orders the first engine of a path to continue a request along it: engines that are
	// new on the path read the progress so far.
	Repath(ctx context.Context, request string, p relay.Path) (relay.Notice, error)
}

// ErrEngineSilent is returned if an engine did not answer at all.
var ErrEngineSilent = errors.New("the engine does not answer; it is taken to be lost until it does")

// EngineReport is an engine's report of its own state. It is some 0.2 s old.
type EngineReport struct {
	// Stalled holds the stalled requests whose first engine this is, each with the address of the
	// stage that it waits for.
	Stalled map[string]string
	// Pace is how many times longer than usual the engine's steps take at present; 0 if unknown.
	Pace float64
	// StartMillis is the start of the reporting incarnation, in Unix milliseconds; 0 if unknown.
	StartMillis uint64
	// Notice is the engine's notice, also where the report can't be used.
	Notice relay.Notice
}

// Call is a caller's request, completely read.
type Call struct {
	ID  string
	Key string
	// Arrived is when the request was read; Deadline is when the caller stops waiting.
	Arrived  time.Time
	Deadline time.Time
	Method   string
	URI      string
	Path     string
	Host     string
	Header   http.Header
	Body     []byte
	// PromptTokens and AnswerTokens are the token counts of a stream, LengthHint the caller's
	// estimate of AnswerTokens; 0 if not given.
	PromptTokens, AnswerTokens, LengthHint int
	// Parts are the ids of the parts of its prompt that other requests may share, in order.
	Parts []string
	// After is the id of the last event that the caller has, or empty.
	After string
}

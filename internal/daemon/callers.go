package daemon

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	goji "goji.io"
	"goji.io/pat"

	"github.com/google/uuid"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/target"
)

// Headers of callers' requests and answers that are not standard.
const (
	// headerTimeout is how long the caller waits for the answer, as in "1.5s".
	headerTimeout = "Request-Timeout"
	headerLastID  = "Last-Event-ID"
	headerReplay  = "Idempotency-Replayed"
)

// callers serves the callers' listener.
type callers struct {
	daemon *Daemon
	mu     sync.Mutex
	boxes  map[core.ConnID]*mailbox
	slots  chan struct{}
}

// mailbox queues the effects for one caller until its handler takes them, so that a slow
// caller never blocks the loop.
type mailbox struct {
	mu      sync.Mutex
	effects []core.Effect
	wake    chan struct{}
	call    target.Call
}

func newCallers(d *Daemon) *callers {
	return &callers{
		daemon: d,
		boxes:  make(map[core.ConnID]*mailbox),
		slots:  make(chan struct{}, d.settings.Limits.Requests),
	}
}

// attach creates a mailbox for a new connection.
func (c *callers) attach(call target.Call) (core.ConnID, *mailbox) {
	conn := c.daemon.newConnID()
	box := &mailbox{wake: make(chan struct{}, 1), call: call}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.boxes[conn] = box
	return conn, box
}

// detach removes a connection and notifies the Node.
func (c *callers) detach(conn core.ConnID) {
	c.daemon.post(core.CallerGone{Conn: conn})
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.boxes, conn)
}

func (c *callers) box(conn core.ConnID) (*mailbox, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	box, ok := c.boxes[conn]
	return box, ok
}

func (c *callers) call(conn core.ConnID) (target.Call, bool) {
	box, ok := c.box(conn)
	if !ok {
		return target.Call{}, false
	}
	return box.call, true
}

func connOf(effect core.Effect) core.ConnID {
	switch e := effect.(type) {
	case core.Emit:
		return e.Conn
	case core.Refuse:
		return e.Conn
	case core.Finish:
		return e.Conn
	case core.Entries:
		return e.Conn
	}
	return 0
}

// deliver appends an effect to its caller's mailbox.
func (c *callers) deliver(effect core.Effect) {
	c.daemon.metrics.countAnswer(effect)
	box, ok := c.box(connOf(effect))
	if !ok {
		return
	}
	box.mu.Lock()
	box.effects = append(box.effects, effect)
	box.mu.Unlock()
	select {
	case box.wake <- struct{}{}:
	default:
	}
}

// take returns the effects in the mailbox, and waits until there are some. It returns nil when
// the caller disconnects or the process stops; then the final answer is that of refusalByEnd.
func (c *callers) take(r *http.Request, box *mailbox) []core.Effect {
	for {
		box.mu.Lock()
		effects := box.effects
		box.effects = nil
		box.mu.Unlock()
		if len(effects) > 0 {
			return effects
		}
		select {
		case <-box.wake:
		case <-r.Context().Done():
			return nil
		case <-c.daemon.tomb.Dying():
			return nil
		}
	}
}

// refusalByEnd returns the answer to a request that is in flight as the process ends: a handler that returns
// without one would send an empty success.
func (c *callers) refusalByEnd(r *http.Request, id core.RequestID) core.Refusal {
	if r.Context().Err() == nil { // otherwise the caller has disconnected
		c.daemon.log.Info("request ended with the process", "request", string(id), "uri", r.RequestURI)
	}
	return core.Refusal{
		Kind: core.RefusedUnknown, Ran: core.RanUnknown, Reason: "this entry VM ends, and the answer is not known",
		Remedy: "ask another entry VM for it, with the same identity",
	}
}

// requestReadTimeout bounds the time in which a request of a caller arrives.
const requestReadTimeout = 30 * time.Second

func (d *Daemon) serveCallers() error {
	limits := d.settings.Limits
	server := &http.Server{
		Handler:           d.callers.routes(),
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       requestReadTimeout,
		IdleTimeout:       2 * time.Minute,
	}
	return d.serveHTTP(server, d.outbox.callerListener(server, d.callerListener))
}

func (c *callers) routes() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/v1/entries"), c.entries)
	mux.HandleFunc(pat.Post("/v1/completions"), c.limitOpenRequests(c.completions))
	mux.HandleFunc(pat.Post("/v1/chat/completions"), c.limitOpenRequests(c.chat))
	mux.HandleFunc(pat.Get("/v1/models"), c.models)
	mux.HandleFunc(pat.New("/services/:service/*"), c.limitOpenRequests(c.service))
	mux.HandleFunc(pat.New("/*"), notFound)
	return mux
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeRefusal(w, "", core.Refusal{Kind: core.RefusedRequest, Ran: core.RanNo,
		Reason: fmt.Sprintf("%s %s is not served here", r.Method, r.URL.Path),
		Remedy: "use /v1/entries, /v1/models, /v1/completions, /v1/chat/completions or /services/NAME/..."}, http.StatusNotFound)
}

// limitOpenRequests bounds the requests that are open at once.
func (c *callers) limitOpenRequests(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case c.slots <- struct{}{}:
			defer func() { <-c.slots }()
			next(w, r)
		default:
			writeRefusal(w, "", core.Refusal{Kind: core.RefusedOverload, Ran: core.RanNo,
				Reason: "this entry VM has as many open requests as it allows",
				Remedy: "come back at the given time, or ask another entry VM", RetryAt: clock.Now().Add(time.Second)}, 0)
		}
	}
}

// identityOf returns the request's id, and whether the caller gave it.
func identityOf(r *http.Request) (core.RequestID, bool) {
	if key := r.Header.Get(target.HeaderIdempotencyKey); key != "" {
		return core.RequestID(key), true
	}
	return core.RequestID(uuid.NewString()), false
}

func keyOf(r *http.Request) string {
	return strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
}

// deadlineOf returns the caller's deadline.
func (c *callers) deadlineOf(r *http.Request) (time.Time, error) {
	most := time.Duration(c.daemon.settings.Limits.RequestTime)
	text := r.Header.Get(headerTimeout)
	if text == "" {
		return clock.Now().Add(most), nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 {
		return time.Time{}, fmt.Errorf("%s is no duration: give one as in \"1.5s\"", headerTimeout)
	}
	return clock.Now().Add(min(timeout, most)), nil
}

func (c *callers) readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := c.daemon.intake.readRequest(w, r, c.daemon.settings.Limits.BodyBytes, time.Now().Add(requestReadTimeout), func(int64) bool { return true })
	var tooLarge *http.MaxBytesError
	var noRoom *NoRoomError
	switch {
	case errors.As(err, &tooLarge):
		writeRefusal(w, "", core.Refusal{Kind: core.RefusedTooLarge, Ran: core.RanNo,
			Reason: fmt.Sprintf("the body is over the limit of %d bytes", tooLarge.Limit), Remedy: "send less, or ask the operators for a higher limits.body_bytes"}, 0)
		return nil, false
	case errors.As(err, &noRoom) || errors.Is(err, errNoMemory):
		writeRefusal(w, "", core.Refusal{Kind: core.RefusedOverload, Ran: core.RanNo, Reason: "this entry VM has no memory for the body",
			Remedy: "come back at the given time, or ask another entry VM", RetryAt: clock.Now().Add(noMemoryRetryDelay)}, 0)
		return nil, false
	case err != nil:
		badRequest(w, fmt.Sprintf("the body can't be read: %v", err))
		return nil, false
	}
	return body, true
}

func badRequest(w http.ResponseWriter, reason string) {
	writeRefusal(w, "", core.Refusal{Kind: core.RefusedRequest, Ran: core.RanNo, Reason: reason, Remedy: "correct the request and send it again"}, 0)
}

// entriesReply is the response to GET /v1/entries.
type entriesReply struct {
	Entries []core.EntryAddress `json:"entries"`
	// KeepUntil is when the caller has to ask again.
	KeepUntil time.Time `json:"keep_until"`
}

func (c *callers) entries(w http.ResponseWriter, r *http.Request) {
	conn, box := c.attach(target.Call{})
	defer c.detach(conn)
	c.daemon.post(core.EntriesAsked{Conn: conn, Hall: r.URL.Query().Get("hall")})
	effects := c.take(r, box)
	if effects == nil {
		writeRefusal(w, "", core.Refusal{Kind: core.RefusedLeaving, Ran: core.RanNo, Reason: "this entry VM ends", Remedy: "ask another entry VM"}, 0)
		return
	}
	for _, effect := range effects {
		if e, ok := effect.(core.Entries); ok {
			seconds := int(clock.Until(e.KeepUntil).Seconds())
			w.Header().Set("Cache-Control", fmt.Sprintf("max-age=%d", max(seconds, 0)))
			writeJSON(w, http.StatusOK, entriesReply{Entries: e.Addresses, KeepUntil: e.KeepUntil.UTC()})
		}
	}
}

// service serves a call to a plain service.
func (c *callers) service(w http.ResponseWriter, r *http.Request) {
	name := pat.Param(r, "service")
	body, ok := c.readBody(w, r)
	if !ok {
		return
	}
	deadline, err := c.deadlineOf(r)
	if err != nil {
		badRequest(w, err.Error())
		return
	}
	path := strings.TrimPrefix(r.URL.RequestURI(), "/services/"+name)
	call := target.Call{Method: r.Method, Path: path, ContentType: r.Header.Get("Content-Type"), Body: body}
	id, returnable := identityOf(r)
	conn, box := c.attach(call)
	defer c.detach(conn)
	c.daemon.post(core.CallAsked{
		Conn: conn, ID: id, Returnable: returnable, Key: keyOf(r), Service: name, Method: r.Method, Path: path,
		Digest: digest(call.Method + " " + name + call.Path + "\n" + string(body)), Deadline: deadline,
	})
	connectionOf(r.Context()).startRequest(string(id))
	w.Header().Set(target.HeaderIdempotencyKey, string(id))
	effects := c.take(r, box)
	if effects == nil {
		writeRefusal(w, id, c.refusalByEnd(r, id), 0)
		return
	}
	for _, effect := range effects {
		switch e := effect.(type) {
		case core.Refuse:
			writeRefusal(w, id, e.Refusal, 0)
		case core.Finish:
			writeAnswer(w, e)
		}
	}
}

func writeAnswer(w http.ResponseWriter, e core.Finish) {
	if e.Answer.ContentType != "" {
		w.Header().Set("Content-Type", e.Answer.ContentType)
	}
	if e.Recorded {
		w.Header().Set(headerReplay, "true")
	}
	w.WriteHeader(e.Answer.Status)
	_, _ = w.Write(e.Answer.Body)
}

// digest returns the hexadecimal SHA-256 of a text.
func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// errorReply is the JSON of a refusal: the format of the OpenAI API with additional fields.
type errorReply struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Type    core.RefusalKind `json:"type"`
	Code    core.RefusalKind `json:"code"`
	Message string           `json:"message"`
	// Ran is whether the request was run: no, yes or unknown.
	Ran     core.Ran `json:"ran"`
	Remedy  string   `json:"remedy"`
	Request string   `json:"request_id,omitempty"`
	// RetryAt is when a retry may succeed.
	RetryAt *time.Time `json:"retry_at,omitempty"`
	Others  []string   `json:"other_entries,omitempty"`
}

func errorOf(id core.RequestID, r core.Refusal) errorReply {
	body := errorBody{
		Type: r.Kind, Code: r.Kind, Message: r.Reason + "; " + r.Remedy,
		Ran: r.Ran, Remedy: r.Remedy, Request: string(id), Others: r.Others,
	}
	if !r.RetryAt.IsZero() {
		at := r.RetryAt.UTC()
		body.RetryAt = &at
	}
	return errorReply{Error: body}
}

// writeRefusal writes a refusal, with the status of its kind unless another one is given.
func writeRefusal(w http.ResponseWriter, id core.RequestID, r core.Refusal, status int) {
	if status == 0 {
		status = statusOf(r.Kind)
	}
	if r.Ran != core.RanNo && meansNotRun(status) {
		status = http.StatusBadGateway
	}
	if !r.RetryAt.IsZero() {
		seconds := math.Ceil(clock.Until(r.RetryAt).Seconds())
		w.Header().Set("Retry-After", strconv.Itoa(max(int(seconds), 0)))
	}
	// Clients with automatic retries would repeat a request that may have run.
	if r.Ran != core.RanNo {
		w.Header().Set("X-Should-Retry", "false")
	}
	writeJSON(w, status, errorOf(id, r))
}

func statusOf(kind core.RefusalKind) int {
	switch kind {
	case core.RefusedKey:
		return http.StatusUnauthorized
	case core.RefusedPipeline, core.RefusedService:
		return http.StatusNotFound
	case core.RefusedRequest:
		return http.StatusBadRequest
	case core.RefusedTooLarge:
		return http.StatusRequestEntityTooLarge
	case core.RefusedLimit, core.RefusedOverload:
		return http.StatusTooManyRequests
	case core.RefusedDeadline:
		return http.StatusGatewayTimeout
	case core.RefusedMoved, core.RefusedConflict:
		return http.StatusConflict
	case core.RefusedLost:
		return http.StatusGone
	case core.RefusedUnknown, core.RefusedBroken:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// meansNotRun reports whether a status means to callers that a request has not run.
func meansNotRun(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	if err := encoder.Encode(value); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body.Bytes())
}

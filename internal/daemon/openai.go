package daemon

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/target"
)

// This file serves model pipelines through the OpenAI API: completions and chat completions,
// streamed as server-sent events or whole. The id of each event is the number of the answer's
// tokens up to it; a caller whose answer was cut off sends it back as Last-Event-ID, with the
// request's id as Idempotency-Key, and gets the rest.

// defaultMaxTokens is the limit for a request without max_tokens.
const defaultMaxTokens = 256

// completionRequest is a completion or chat completion request.
type completionRequest struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens *int          `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens in chat requests.
	MaxCompletionTokens *int `json:"max_completion_tokens"`
	Stream              bool `json:"stream"`
	// N, Stop and StreamOptions are supported with their default effect only; unsupportedReason
	// rejects other values.
	N             *int            `json:"n"`
	Stop          json.RawMessage `json:"stop"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// unsupportedReason returns why the request can't be served as asked, or an empty string. An option
// that is ignored silently would give a wrong answer.
func (q completionRequest) unsupportedReason() string {
	stop := string(q.Stop)
	switch {
	case q.MaxTokens != nil && *q.MaxTokens <= 0, q.MaxCompletionTokens != nil && *q.MaxCompletionTokens <= 0:
		return "max_tokens is at least 1"
	case q.N != nil && *q.N != 1:
		return "n is not offered but for 1; send the request several times"
	case stop != "" && stop != "null" && stop != "[]":
		return "stop is not offered; cut the answer where it is shown"
	case q.StreamOptions.IncludeUsage:
		return "stream_options.include_usage is not offered; count the events"
	}
	return ""
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completionReply is a completion or chat completion, or a chunk of one.
type completionReply struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatDelta   `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// answerFormat is the answer format of an endpoint.
type answerFormat struct{ chat bool }

func (c *callers) completions(w http.ResponseWriter, r *http.Request) {
	c.complete(w, r, answerFormat{})
}

func (c *callers) chat(w http.ResponseWriter, r *http.Request) {
	c.complete(w, r, answerFormat{chat: true})
}

// promptOf returns the prompt for the model.
func (s answerFormat) promptOf(q completionRequest) string {
	if !s.chat {
		return q.Prompt
	}
	var b strings.Builder
	for _, m := range q.Messages {
		fmt.Fprintf(&b, "%s: %s\n", m.Role, m.Content)
	}
	return b.String()
}

func (q completionRequest) maxTokens() int {
	switch {
	case q.MaxCompletionTokens != nil:
		return *q.MaxCompletionTokens
	case q.MaxTokens != nil:
		return *q.MaxTokens
	}
	return defaultMaxTokens
}

func (c *callers) complete(w http.ResponseWriter, r *http.Request, s answerFormat) {
	body, ok := c.readBody(w, r)
	if !ok {
		return
	}
	var q completionRequest
	if err := json.Unmarshal(body, &q); err != nil {
		badRequest(w, fmt.Sprintf("the body is no JSON of a completion: %v", err))
		return
	}
	if reason := q.unsupportedReason(); reason != "" {
		badRequest(w, reason)
		return
	}
	prompt := s.promptOf(q)
	if prompt == "" {
		badRequest(w, "the request has no prompt or messages")
		return
	}
	deadline, err := c.deadlineOf(r)
	if err != nil {
		badRequest(w, err.Error())
		return
	}
	after, err := afterOf(r)
	if err != nil {
		badRequest(w, err.Error())
		return
	}
	id, returnable := identityOf(r)
	conn, box := c.attach(target.Call{})
	defer c.detach(conn)
	c.daemon.post(core.StreamAsked{
		Conn: conn, ID: id, Key: keyOf(r), After: after,
		Request: core.StreamRequest{Pipeline: q.Model, Prompt: prompt, MaxTokens: q.maxTokens(), Deadline: deadline, Returnable: returnable},
	})
	caller := connectionOf(r.Context())
	caller.startRequest(string(id))
	// Engines continue while a caller does not read: its mailbox must not grow for long.
	caller.setTargetWaits(q.Stream)
	w.Header().Set(target.HeaderIdempotencyKey, string(id))
	a := &answerWriter{w: w, id: id, format: s, model: q.Model, created: time.Now(), tokenCount: after}
	if q.Stream {
		c.stream(r, box, a)
		return
	}
	c.writeCollected(r, box, a)
}

// afterOf returns how many tokens the caller already has.
func afterOf(r *http.Request) (int, error) {
	text := r.Header.Get(headerLastID)
	if text == "" {
		return 0, nil
	}
	after, err := strconv.Atoi(text)
	if err != nil || after < 0 {
		return 0, fmt.Errorf("%s is no event id of this service: give that of the last event that came", headerLastID)
	}
	return after, nil
}

// answerWriter writes one answer to its caller.
type answerWriter struct {
	w       http.ResponseWriter
	id      core.RequestID
	format  answerFormat
	model   string
	created time.Time
	// tokenCount is the number of the answer's tokens so far, with those that the caller already had.
	tokenCount int
	started    bool
}

// stream writes an answer as it arrives.
func (c *callers) stream(r *http.Request, box *mailbox, a *answerWriter) {
	for {
		effects := c.take(r, box)
		if effects == nil {
			a.refuse(c.refusalByEnd(r, a.id))
			return
		}
		for _, effect := range effects {
			switch e := effect.(type) {
			case core.Refuse:
				a.refuse(e.Refusal)
				return
			case core.Emit:
				a.begin()
				a.emit(e)
				if e.Finish != "" {
					a.end()
					return
				}
			}
		}
		a.flush()
	}
}

func (a *answerWriter) begin() {
	if a.started {
		return
	}
	a.started = true
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.Header().Set("Cache-Control", "no-store")
	a.w.WriteHeader(http.StatusOK)
}

func (a *answerWriter) flush() {
	if f, ok := a.w.(http.Flusher); ok && a.started {
		f.Flush()
	}
}

// emit writes the tokens that the caller has not received, each as one event.
func (a *answerWriter) emit(e core.Emit) {
	for i, token := range e.Tokens {
		if e.From+i < a.tokenCount {
			continue
		}
		a.tokenCount++
		a.event(a.chunk(token.Text, nil))
	}
	if e.Finish != "" {
		a.event(a.chunk("", &e.Finish))
	}
}

func (a *answerWriter) event(value any) {
	data, err := json.Marshal(value)
	if err != nil {
		return
	}
	fmt.Fprintf(a.w, "id: %d\ndata: %s\n\n", a.tokenCount, data)
}

func (a *answerWriter) end() {
	fmt.Fprint(a.w, "data: [DONE]\n\n")
	a.flush()
}

func (a *answerWriter) refuse(r core.Refusal) {
	if !a.started {
		writeRefusal(a.w, a.id, r, 0)
		return
	}
	a.event(errorOf(a.id, r))
	a.flush()
}

func (a *answerWriter) chunk(text string, finish *string) completionReply {
	c := choice{FinishReason: finish}
	object := "text_completion"
	if a.format.chat {
		object = "chat.completion.chunk"
		c.Delta = &chatDelta{Content: text}
		if a.tokenCount <= 1 {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &text
	}
	return a.reply(object, c)
}

func (a *answerWriter) reply(object string, c choice) completionReply {
	return completionReply{ID: string(a.id), Object: object, Created: a.created.Unix(), Model: a.model, Choices: []choice{c}}
}

// writeCollected collects an answer and writes it at once.
func (c *callers) writeCollected(r *http.Request, box *mailbox, a *answerWriter) {
	var text strings.Builder
	for {
		effects := c.take(r, box)
		if effects == nil {
			writeRefusal(a.w, a.id, c.refusalByEnd(r, a.id), 0)
			return
		}
		for _, effect := range effects {
			switch e := effect.(type) {
			case core.Refuse:
				writeRefusal(a.w, a.id, e.Refusal, 0)
				return
			case core.Emit:
				a.gather(&text, e)
				if e.Finish != "" {
					a.writeWhole(text.String(), e.Finish)
					return
				}
			}
		}
	}
}

func (a *answerWriter) gather(text *strings.Builder, e core.Emit) {
	for i, token := range e.Tokens {
		if e.From+i >= a.tokenCount {
			a.tokenCount++
			text.WriteString(token.Text)
		}
	}
}

func (a *answerWriter) writeWhole(text, finish string) {
	c := choice{FinishReason: &finish}
	object := "text_completion"
	if a.format.chat {
		object = "chat.completion"
		c.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	reply := a.reply(object, c)
	reply.Usage = &usage{CompletionTokens: a.tokenCount, TotalTokens: a.tokenCount}
	writeJSON(a.w, http.StatusOK, reply)
}

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (c *callers) models(w http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []modelItem{}}
	c.daemon.inspectNode(func(n *core.Node) {
		for _, name := range n.PipelineNames() {
			list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "spoolbank"})
		}
	})
	writeJSON(w, http.StatusOK, list)
}

// Package load generates bursts of requests to a deployment, as the callers of
// spoolbank do, and checks every answer. A caller gets the list of addresses from
// any entry VM, streams its answer from one of them and, if the connection breaks,
// resumes at the next address.
package load

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
)

// Options configures a burst.
type Options struct {
	// Entries are the initial addresses for callers.
	Entries []string
	// Keys are the API keys of the organisations, used in turn.
	Keys     []string
	Pipeline string
	Requests int
	// Spread is the time over which the requests arrive.
	Spread    time.Duration
	MaxTokens int
	// RetryTimeout is how long a caller retries.
	RetryTimeout time.Duration
	// Expected returns the correct answer to a prompt.
	Expected func(prompt string) string
}

// Report is the result of a burst.
type Report struct {
	Asked      int
	Completed  int
	Refused    int
	Lost       int
	Duplicated int
	Wrong      int
	// Resumed counts answers that were resumed at another entry VM or connection.
	Resumed int
	Tokens  int
	Elapsed time.Duration
	// FirstToken and TokenGap are the times to the first token and between tokens, in
	// microseconds.
	FirstToken *hdrhistogram.Histogram
	TokenGap   *hdrhistogram.Histogram
	// Refusals counts refusals by kind.
	Refusals map[string]int
	// Faults describes the first errors, up to maxFaults.
	Faults []string
}

// maxHistogramMicros bounds the recorded times, in microseconds.
const maxHistogramMicros = 120_000_000

// maxFaults bounds Report.Faults.
const maxFaults = 10

// burst is a burst in progress.
type burst struct {
	options   Options
	client    *http.Client
	mu        sync.Mutex
	report    Report
	entries   []string
	refreshAt time.Time
}

// Run sends the burst and waits until every request has ended.
func Run(ctx context.Context, o Options) Report {
	b := &burst{options: o, entries: o.Entries, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 2000,
		MaxConnsPerHost:     0,
	}}}
	b.report = Report{
		Asked: o.Requests, Refusals: make(map[string]int),
		FirstToken: hdrhistogram.New(1, maxHistogramMicros, 3), TokenGap: hdrhistogram.New(1, maxHistogramMicros, 3),
	}
	began := time.Now()
	var wait sync.WaitGroup
	for i := range o.Requests {
		wait.Go(func() {
			at := began.Add(o.Spread * time.Duration(i) / time.Duration(max(o.Requests, 1)))
			timer := time.NewTimer(time.Until(at))
			defer timer.Stop()
			select {
			case <-timer.C:
				b.runCaller(ctx, i)
			case <-ctx.Done():
			}
		})
	}
	wait.Wait()
	b.report.Elapsed = time.Since(began)
	return b.report
}

// callerState is the state of one caller and its partial answer.
type callerState struct {
	key     string
	id      string
	prompt  string
	text    strings.Builder
	count   int
	asked   time.Time
	last    time.Time
	resumed bool
	done    bool
}

// refusedError is an error answer, sent in place of a stream or within it.
type refusedError struct {
	kind    string
	ran     string
	retryAt time.Time
}

// Error implements error.
func (e *refusedError) Error() string { return e.kind + " (ran: " + e.ran + ")" }

// The failures of a stream of events.
var (
	errOutOfOrder = errors.New("a token came twice or out of order")
	errCut        = errors.New("the connection was cut")
)

func (b *burst) runCaller(ctx context.Context, i int) {
	a := &callerState{
		key:    b.options.Keys[i%len(b.options.Keys)],
		id:     uuid.NewString(),
		prompt: fmt.Sprintf("caller %d asks about item %d of the day", i, i*7919),
		asked:  time.Now(),
	}
	a.last = a.asked
	deadline := a.asked.Add(b.options.RetryTimeout)
	var lastErr error
	for attempt := i; time.Now().Before(deadline) && ctx.Err() == nil; attempt++ {
		lastErr = b.sendRequest(ctx, a, b.entry(ctx, attempt))
		var refused *refusedError
		switch {
		case lastErr == nil:
			b.checkAnswer(a)
			return
		case errors.Is(lastErr, errOutOfOrder):
			b.recordFault(a, lastErr)
			b.update(func(r *Report) { r.Duplicated++ })
			return
		case errors.As(lastErr, &refused) && (refused.ran != "no" && refused.kind != "taken_over"):
			b.recordRefusal(a, refused)
			return
		case errors.As(lastErr, &refused):
			b.pause(ctx, time.Until(refused.retryAt))
		default:
			b.expireEntries()
			b.pause(ctx, 50*time.Millisecond)
		}
		a.resumed = a.resumed || a.count > 0
	}
	var refused *refusedError
	if errors.As(lastErr, &refused) && a.count == 0 {
		b.recordRefusal(a, refused)
		return
	}
	b.recordFault(a, lastErr)
	b.update(func(r *Report) { r.Lost++ })
}

func (b *burst) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(min(max(d, 20*time.Millisecond), 2*time.Second))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (b *burst) update(f func(*Report)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(&b.report)
}

func (b *burst) recordRefusal(a *callerState, e *refusedError) {
	b.update(func(r *Report) {
		r.Refused++
		r.Refusals[e.kind]++
		if a.count > 0 {
			// The caller has a partial answer and cannot get the rest.
			r.Lost++
			r.Refused--
		}
	})
}

func (b *burst) recordFault(a *callerState, err error) {
	b.update(func(r *Report) {
		if len(r.Faults) < maxFaults {
			r.Faults = append(r.Faults, fmt.Sprintf("%s after %d tokens: %v", a.id, a.count, err))
		}
	})
}

// checkAnswer compares a complete answer with the expected one.
func (b *burst) checkAnswer(a *callerState) {
	correct := b.options.Expected(a.prompt) == a.text.String()
	if !correct {
		b.recordFault(a, fmt.Errorf("wrong text %q", a.text.String()))
	}
	b.update(func(r *Report) {
		r.Tokens += a.count
		if a.resumed {
			r.Resumed++
		}
		if correct {
			r.Completed++
			return
		}
		r.Wrong++
	})
}

// entriesReply is the answer of GET /v1/entries.
type entriesReply struct {
	Entries []struct {
		Callers string `json:"callers"`
	} `json:"entries"`
	KeepUntil time.Time `json:"keep_until"`
}

// entry returns the address to use. It refreshes the list of addresses when it has expired.
func (b *burst) entry(ctx context.Context, turn int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().After(b.refreshAt) {
		b.refresh(ctx)
	}
	return b.entries[turn%len(b.entries)]
}

// refresh fetches the list of addresses from the first known address that answers.
func (b *burst) refresh(ctx context.Context) {
	for _, address := range append(b.entries, b.options.Entries...) {
		reply, err := b.fetchEntries(ctx, address)
		if err != nil || len(reply.Entries) == 0 {
			continue
		}
		b.entries = nil
		for _, e := range reply.Entries {
			b.entries = append(b.entries, e.Callers)
		}
		b.refreshAt = reply.KeepUntil
		return
	}
}

func (b *burst) fetchEntries(ctx context.Context, address string) (entriesReply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var reply entriesReply
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entries", nil)
	if err != nil {
		return reply, err
	}
	response, err := b.client.Do(request)
	if err != nil {
		return reply, err
	}
	defer response.Body.Close()
	return reply, json.NewDecoder(response.Body).Decode(&reply)
}

// expireEntries expires the list of addresses, after one of them has failed.
func (b *burst) expireEntries() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refreshAt = time.Time{}
}

// chunk is one event of a streamed completion, or an error answer.
type chunk struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error *struct {
		Type    string    `json:"type"`
		Ran     string    `json:"ran"`
		RetryAt time.Time `json:"retry_at"`
	} `json:"error"`
}

func (c chunk) refusal() error {
	return &refusedError{kind: c.Error.Type, ran: c.Error.Ran, retryAt: c.Error.RetryAt}
}

// sendRequest sends the request to an address and reads the answer.
func (b *burst) sendRequest(ctx context.Context, a *callerState, address string) error {
	body, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}{b.options.Pipeline, a.prompt, b.options.MaxTokens, true})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+a.key)
	request.Header.Set("Idempotency-Key", a.id)
	if a.count > 0 {
		request.Header.Set("Last-Event-ID", strconv.Itoa(a.count))
	}
	response, err := b.client.Do(request)
	if err != nil {
		return errCut
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		var c chunk
		if err := json.NewDecoder(response.Body).Decode(&c); err != nil || c.Error == nil {
			return fmt.Errorf("status %s without a refusal", response.Status)
		}
		return c.refusal()
	}
	return b.readEvents(a, bufio.NewScanner(response.Body))
}

// readEvents processes the events of a stream.
func (b *burst) readEvents(a *callerState, lines *bufio.Scanner) error {
	id := 0
	for lines.Scan() {
		line := lines.Text()
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			id, _ = strconv.Atoi(text)
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			if !a.done {
				return errCut
			}
			return nil
		}
		if err := b.handleEvent(a, id, data); err != nil {
			return err
		}
	}
	return errCut
}

func (b *burst) handleEvent(a *callerState, id int, data string) error {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return err
	}
	if c.Error != nil {
		return c.refusal()
	}
	if c.Choices[0].FinishReason != nil {
		a.done = true
		return nil
	}
	if id != a.count+1 {
		return errOutOfOrder
	}
	a.count++
	a.text.WriteString(c.Choices[0].Text)
	b.recordLatency(a)
	return nil
}

// recordLatency records the latency of a token.
func (b *burst) recordLatency(a *callerState) {
	now := time.Now()
	micros := now.Sub(a.last).Microseconds()
	a.last = now
	b.update(func(r *Report) {
		if a.count == 1 {
			_ = r.FirstToken.RecordValue(max(micros, 1))
			return
		}
		_ = r.TokenGap.RecordValue(max(micros, 1))
	})
}

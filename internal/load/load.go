// Package load sends bursts of requests to a deployment, as the callers of
// spoolbank do, and checks every answer. A caller asks any entry VM for the
// addresses to use, connects to the first, streams its answer, and, when it is
// cut off, comes back to the next address for the rest.
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

// Options describe a burst.
type Options struct {
	// Entries are callers' addresses to begin with.
	Entries []string
	// Keys are the API keys of the organisations, used in turn.
	Keys     []string
	Pipeline string
	Requests int
	// Spread is the time over which the requests arrive.
	Spread    time.Duration
	MaxTokens int
	// Patience is how long a caller goes on trying.
	Patience time.Duration
	// Expected returns the right answer to a prompt.
	Expected func(prompt string) string
}

// Report is the outcome of a burst.
type Report struct {
	Asked   int
	Whole   int
	Refused int
	Lost    int
	Doubled int
	Wrong   int
	// Resumed counts answers that went on at another entry VM or connection.
	Resumed int
	Tokens  int
	Took    time.Duration
	// First and Gap are the times to the first token and between tokens.
	First *hdrhistogram.Histogram
	Gap   *hdrhistogram.Histogram
	// Refusals counts refusals by kind.
	Refusals map[string]int
	// Faults holds the first few things that went wrong.
	Faults []string
}

// histogramMost bounds the times that are kept, in microseconds.
const histogramMost = 120_000_000

// maxFaults bounds Report.Faults.
const maxFaults = 10

// burst is a burst under way.
type burst struct {
	options Options
	client  *http.Client
	mu      sync.Mutex
	report  Report
	entries []string
	askAt   time.Time
}

// Run sends the burst and waits for its end.
func Run(ctx context.Context, o Options) Report {
	b := &burst{options: o, entries: o.Entries, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 2000,
		MaxConnsPerHost:     0,
	}}}
	b.report = Report{
		Asked: o.Requests, Refusals: make(map[string]int),
		First: hdrhistogram.New(1, histogramMost, 3), Gap: hdrhistogram.New(1, histogramMost, 3),
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
				b.one(ctx, i)
			case <-ctx.Done():
			}
		})
	}
	wait.Wait()
	b.report.Took = time.Since(began)
	return b.report
}

// attempt is what one caller has of its answer.
type attempt struct {
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

// refusedError is a final answer that is not the one asked for.
type refusedError struct {
	kind    string
	ran     string
	retryAt time.Time
}

// Error implements error.
func (e *refusedError) Error() string { return e.kind + " (ran: " + e.ran + ")" }

// errDoubled and errCut are what can go wrong with a stream of events.
var (
	errDoubled = errors.New("a token came twice or out of order")
	errCut     = errors.New("the connection was cut")
)

func (b *burst) one(ctx context.Context, i int) {
	a := &attempt{
		key:    b.options.Keys[i%len(b.options.Keys)],
		id:     uuid.NewString(),
		prompt: fmt.Sprintf("caller %d asks about item %d of the day", i, i*7919),
		asked:  time.Now(),
	}
	a.last = a.asked
	deadline := a.asked.Add(b.options.Patience)
	var last error
	for turn := i; time.Now().Before(deadline) && ctx.Err() == nil; turn++ {
		last = b.ask(ctx, a, b.entry(ctx, turn))
		var refused *refusedError
		switch {
		case last == nil:
			b.judge(a)
			return
		case errors.Is(last, errDoubled):
			b.fault(a, last)
			b.add(func(r *Report) { r.Doubled++ })
			return
		case errors.As(last, &refused) && (refused.ran != "no" && refused.kind != "taken_over"):
			b.refuse(a, refused)
			return
		case errors.As(last, &refused):
			b.pause(ctx, time.Until(refused.retryAt))
		default:
			b.forget()
			b.pause(ctx, 50*time.Millisecond)
		}
		a.resumed = a.resumed || a.count > 0
	}
	var refused *refusedError
	if errors.As(last, &refused) && a.count == 0 {
		b.refuse(a, refused)
		return
	}
	b.fault(a, last)
	b.add(func(r *Report) { r.Lost++ })
}

func (b *burst) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(min(max(d, 20*time.Millisecond), 2*time.Second))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (b *burst) add(f func(*Report)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(&b.report)
}

func (b *burst) refuse(a *attempt, e *refusedError) {
	b.add(func(r *Report) {
		r.Refused++
		r.Refusals[e.kind]++
		if a.count > 0 {
			// The caller has a part of an answer and will get no more.
			r.Lost++
			r.Refused--
		}
	})
}

func (b *burst) fault(a *attempt, err error) {
	b.add(func(r *Report) {
		if len(r.Faults) < maxFaults {
			r.Faults = append(r.Faults, fmt.Sprintf("%s after %d tokens: %v", a.id, a.count, err))
		}
	})
}

// judge compares a whole answer with the right one.
func (b *burst) judge(a *attempt) {
	right := b.options.Expected(a.prompt) == a.text.String()
	if !right {
		b.fault(a, fmt.Errorf("wrong text %q", a.text.String()))
	}
	b.add(func(r *Report) {
		r.Tokens += a.count
		if a.resumed {
			r.Resumed++
		}
		if right {
			r.Whole++
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

// entry returns the address to use, and asks for the list when it is old.
func (b *burst) entry(ctx context.Context, turn int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().After(b.askAt) {
		b.refresh(ctx)
	}
	return b.entries[turn%len(b.entries)]
}

// refresh asks the known addresses in turn.
func (b *burst) refresh(ctx context.Context) {
	for _, address := range append(b.entries, b.options.Entries...) {
		reply, err := b.list(ctx, address)
		if err != nil || len(reply.Entries) == 0 {
			continue
		}
		b.entries = nil
		for _, e := range reply.Entries {
			b.entries = append(b.entries, e.Callers)
		}
		b.askAt = reply.KeepUntil
		return
	}
}

func (b *burst) list(ctx context.Context, address string) (entriesReply, error) {
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

// forget has the list asked for anew after an address has failed.
func (b *burst) forget() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.askAt = time.Time{}
}

// chunk is one event of a streamed completion, or an error.
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

// ask sends the request to an address and reads what comes.
func (b *burst) ask(ctx context.Context, a *attempt, address string) error {
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
	return b.read(a, bufio.NewScanner(response.Body))
}

// read takes the events of a stream.
func (b *burst) read(a *attempt, lines *bufio.Scanner) error {
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
		if err := b.event(a, id, data); err != nil {
			return err
		}
	}
	return errCut
}

func (b *burst) event(a *attempt, id int, data string) error {
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
		return errDoubled
	}
	a.count++
	a.text.WriteString(c.Choices[0].Text)
	b.time(a)
	return nil
}

// time notes the time that a token took.
func (b *burst) time(a *attempt) {
	now := time.Now()
	micros := now.Sub(a.last).Microseconds()
	a.last = now
	b.add(func(r *Report) {
		if a.count == 1 {
			_ = r.First.RecordValue(max(micros, 1))
			return
		}
		_ = r.Gap.RecordValue(max(micros, 1))
	})
}

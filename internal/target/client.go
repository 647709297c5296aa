package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/wire"
)

const (
	// maxReplyBytes bounds a reply of an engine or of the platform, in bytes, and maxCallAnswerBytes the
	// answer to a call of a plain service.
	maxReplyBytes      = 1 << 20
	maxCallAnswerBytes = 4 << 20
)

// errReplyTooLong is the error of replies that are longer than their bound: a part of one must not
// be taken for the whole.
var errReplyTooLong = &NoAnswerError{Fault: FaultEndless, Detail: "a reply is too long"}

// readReply reads a reply of up to limit bytes.
func readReply(body io.Reader, limit int64) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(text)) > limit {
		err = errReplyTooLong
	}
	return text, err
}

// watchTimeout bounds one watch request to a target, one request for the platform's list, and
// the release of all engines of a chain.
const watchTimeout = time.Second

// Client sends requests to targets and to the platform.
type Client struct {
	http *http.Client
	runs *runLinks
	// calls sends calls to plain services, each at most once.
	calls *Exchanger
	// unpooled dials a new connection for each request.
	unpooled *http.Client
	// silence configures the detection of silent connections; see WithSilence.
	silence silenceDetection
}

// NewClient returns a Client with a connection pool of its own.
func NewClient() *Client {
	kept := &http.Transport{
		DialContext:            wire.TargetDialer(net.Dialer{Timeout: time.Second}),
		MaxIdleConnsPerHost:    512,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	fresh := kept.Clone()
	fresh.DisableKeepAlives = true
	client := NewHTTPClient(kept)
	return &Client{http: client, runs: newRunLinks(client, silenceDetection{}), calls: NewExchanger(func() {}), unpooled: NewHTTPClient(fresh)}
}

// RunOrder sends an order over the engine's link and waits for its reply.
func (c *Client) RunOrder(ctx context.Context, address string, o RunOrder) (RunReply, error) {
	return c.runs.Run(ctx, address, o)
}

// Post sends a message to a path at an address and reads the reply into it.
func Post[Reply any](ctx context.Context, c *Client, address, path string, message any) (Reply, error) {
	var reply Reply
	body, err := json.Marshal(message)
	if err != nil {
		return reply, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return reply, err
	}
	request.Header.Set("Content-Type", "application/json")
	return roundTrip[Reply](c, request)
}

func roundTrip[Reply any](c *Client, request *http.Request) (Reply, error) {
	var reply Reply
	response, err := c.http.Do(request)
	if err != nil {
		return reply, err
	}
	defer response.Body.Close()
	text, err := readReply(response.Body, maxReplyBytes)
	if err != nil {
		return reply, err
	}
	if response.StatusCode != http.StatusOK {
		return reply, fmt.Errorf("target: %s answered %s; check that it speaks the protocol of docs/TARGETS.md", request.URL, response.Status)
	}
	return reply, json.Unmarshal(text, &reply)
}

// Run sends an order for a run and waits for its reply.
func (c *Client) Run(ctx context.Context, r core.Run) core.RunEnded {
	ended := core.RunEnded{Stream: r.Stream, Epoch: r.Epoch, Position: r.Position}
	if clock.SampleNow().After(r.NotAfter) {
		ended.Result, ended.Target = core.ResultRefused, r.Chain[0].Target
		return ended
	}
	ctx, cancel := clock.WithDeadline(ctx, r.ReplyDeadline)
	defer cancel()
	order := RunOrder{
		Stream: r.Stream, Epoch: r.Epoch, Position: r.Position, Model: r.Model,
		Prompt: r.Prompt, Chain: r.Chain, Priority: int(r.Class),
		TimeoutMillis: clock.Until(r.ReplyDeadline).Milliseconds(),
	}
	if r.Position > 0 {
		order.Token = &r.Token
	}
	reply, err := c.RunOrder(ctx, r.Chain[0].Address, order)
	if err != nil {
		ended.Result, ended.Target = core.ResultBroken, r.Chain[0].Target
		return ended
	}
	ended.Result, ended.Target = reply.Result, reply.Target
	ended.Next, ended.Token, ended.Finish, ended.Load = reply.Next, reply.Token, reply.Finish, reply.Load
	return ended
}

// Rebuild sends an order for a rebuild and waits for its reply.
func (c *Client) Rebuild(ctx context.Context, r core.Rebuild) core.RebuildEnded {
	ctx, cancel := clock.WithDeadline(ctx, r.ReplyDeadline)
	defer cancel()
	reply, err := Post[RebuildReply](ctx, c, r.Stage.Address, PathRebuild, RebuildOrder{
		Stream: r.Stream, Epoch: r.Epoch, Position: r.Position, Model: r.Model, Stage: r.Stage,
		Source: r.Source, Prompt: r.Prompt, Tokens: r.Tokens,
		TimeoutMillis: clock.Until(r.ReplyDeadline).Milliseconds(),
	})
	if err != nil {
		reply = RebuildReply{Result: core.ResultBroken, Target: r.Stage.Target}
	}
	return core.RebuildEnded{Stream: r.Stream, Epoch: r.Epoch, Target: reply.Target, Result: reply.Result}
}

// Release notifies the engines of a chain that a stream has ended. It is best
// effort: an engine drops streams that are idle for long by itself.
func (c *Client) Release(ctx context.Context, r core.Release) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	for _, s := range r.Chain {
		_, _ = Post[struct{}](ctx, c, s.Address, PathRelease, ReleaseOrder{Stream: r.Stream, Epoch: r.Epoch})
	}
}

// Order sends a placement order, unless it has expired.
func (c *Client) Order(ctx context.Context, o core.Order) core.OrderEnded {
	ended := core.OrderEnded{Target: o.Placement.Target, Fence: o.Fence}
	remaining := o.NotAfter.Sub(clock.SampleNow())
	if remaining <= 0 {
		return ended
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	reply, err := Post[PlaceReply](ctx, c, o.Address, PathOrder, PlaceOrder{
		Fence: o.Fence, Model: o.Placement.Model, Version: o.Placement.Version,
		Adapters: o.Adapters, Layers: o.Placement.Layers, TTLMillis: remaining.Milliseconds(),
	})
	ended.Done = err == nil && reply.Result == OrderDone
	return ended
}

// Watch requests a target's load report.
func (c *Client) Watch(ctx context.Context, w core.Watch) core.Watched {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	watched := core.Watched{Report: core.TargetReport{Target: w.Target}}
	report, err := get[LoadReport](ctx, c, "http://"+w.Address+PathLoad)
	if err != nil {
		return watched
	}
	watched.Busy = report.Busy
	watched.Report.Reached = true
	watched.Report.Leaving = report.Leaving
	watched.Report.AppliedSequence = report.LastOrder
	return watched
}

// Platform requests the platform's list of VMs.
func (c *Client) Platform(ctx context.Context, url string) (core.PlatformListed, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	list, err := get[VMList](ctx, c, url+PathVMs)
	if err != nil {
		return core.PlatformListed{}, err
	}
	var listed core.PlatformListed
	for _, vm := range list.VMs {
		if vm.State == VMLeaving {
			listed.Leaving = append(listed.Leaving, vm.Name)
		}
	}
	return listed, nil
}

// Call is the content of a call to a plain service.
type Call struct {
	Method      string
	Path        string
	ContentType string
	Body        []byte
}

// HeaderIdempotencyKey carries a request's identity, from callers and to plain
// services.
const HeaderIdempotencyKey = "Idempotency-Key"

// CloseExpired closes the idle connections to plain services that have expired.
func (c *Client) CloseExpired(now time.Time) { c.calls.CloseExpired(now) }

// Dispatch sends a call to a runner, unless the permission to send it has expired.
func (c *Client) Dispatch(ctx context.Context, d core.Dispatch, call Call) core.DispatchEnded {
	ended := core.DispatchEnded{Conn: d.Conn, ID: d.ID, Target: d.Target, Result: core.ResultRefused}
	if clock.SampleNow().After(d.NotAfter) {
		return ended
	}
	ctx, cancel := clock.WithDeadline(ctx, d.Deadline)
	defer cancel()
	request := &Request{
		Method: call.Method, URI: call.Path, Host: d.Address, Body: call.Body, Header: http.Header{},
		Matches: func(http.Header) bool { return true },
	}
	request.Header.Set(HeaderIdempotencyKey, string(d.ID))
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	sentAt := clock.Now()
	answer, err := c.calls.Do(ctx, d.Address, request)
	if errors.Is(err, ErrNotSent) {
		return ended
	}
	ended.Result = core.ResultBroken
	if err != nil {
		return ended
	}
	defer answer.Close()
	body, err := readReply(answer, maxCallAnswerBytes)
	if err != nil {
		return ended
	}
	ended.Limit.PerSecond, ended.Limit.Limited, err = ParseRateLimit(answer.Header.Values(HeaderRateLimit))
	if err == nil || ended.Limit.Limited { // an unreadable header proves nothing about a limit
		ended.Limit.SentAt, ended.Limit.ReceivedAt = sentAt, clock.Now()
	}
	ended.BackoffUntil, _ = ParseBackoff(answer.Status, answer.Header, clock.Now()) // an unreadable header requests no backoff
	if answer.Status == http.StatusServiceUnavailable && answer.Header.Get(HeaderNotRun) != "" {
		ended.Result = core.ResultRefused
		return ended
	}
	ended.Result = core.ResultDone
	ended.Answer = core.CallAnswer{Status: answer.Status, ContentType: answer.Header.Get("Content-Type"), Body: body}
	return ended
}

// HeaderNotRun is the header with which a plain service declares, together with
// status 503, that it did not run a call.
const HeaderNotRun = "Spoolbank-Not-Run"

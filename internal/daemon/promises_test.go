package daemon_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/daemon"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// notRunStatuses are the statuses that mean to a caller that its request has not run and never
// will.
var notRunStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// plainCodec is a protocol whose headers give a request's id and whether it ran.
type plainCodec struct{}

func (plainCodec) Head(h daemon.Hop) http.Header { return http.Header{"Id": {h.Call.ID}} }

func (plainCodec) Verdict(status int, h http.Header) daemon.Verdict {
	return daemon.Verdict{ID: h.Get("Id"), NotRun: h.Get("Not-Run") != "", ClaimsNotRun: slices.Contains(notRunStatuses, status)}
}

// Notice parses the seconds of a backoff, a limit, and whether the target leaves.
func (plainCodec) Notice(_ relay.TargetID, _ int, h http.Header, now time.Time) (relay.Notice, error) {
	n := relay.Notice{Leaving: h.Get("Leaving") != ""}
	if seconds, err := strconv.Atoi(h.Get("Backoff")); err == nil {
		n.BackoffUntil = now.Add(time.Duration(seconds) * time.Second)
	}
	n.Limit, _ = strconv.ParseFloat(h.Get("Limit"), 64) // a missing or malformed limit means none
	n.Limited, n.Unlimited = n.Limit > 0, h.Get("Limit") == ""
	return n, nil
}

func (plainCodec) Refuse(w http.ResponseWriter, r *relay.Refusal, _ time.Time) {
	if r.NotRun() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusBadGateway)
}

// step is a scripted target's reaction to a request: it runs it or not, and answers with a
// text, or closes the connection where the text is empty.
type step struct {
	runs bool
	text string
	// beforeAnswer is called before the answer, if set.
	beforeAnswer func()
	// ends closes the listener, and this connection after the answer.
	ends bool
	// closes closes this connection after the answer.
	closes bool
}

var (
	served   = step{runs: true, text: "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok"}
	rejected = step{text: "HTTP/1.1 503 No\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"}
	lost     = step{runs: true}
)

// worker is a target that performs one step per request.
type worker struct {
	address  string
	listener net.Listener
	ran      atomic.Int32
	next     atomic.Int32
	steps    []step
}

func newWorker(t *testing.T, steps ...step) *worker {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	w := &worker{address: l.Addr().String(), listener: l, steps: steps}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
	return w
}

func (w *worker) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		s := w.steps[min(int(w.next.Add(1)), len(w.steps))-1]
		if s.runs {
			w.ran.Add(1)
		}
		if s.ends {
			w.listener.Close()
		}
		if s.beforeAnswer != nil {
			s.beforeAnswer()
		}
		if _, err := io.WriteString(conn, s.text); err != nil || s.text == "" || s.ends || s.closes {
			return
		}
	}
}

// newEntry returns a gateway with some workers as targets.
func newEntry(t *testing.T, repeat relay.RepeatPolicy, targets int, workers ...*worker) *daemon.Gateway {
	t.Helper()
	document := &relay.Document{
		Version:  1,
		Services: []relay.Service{{Name: "s", MaxConns: 100}},
		Routes: []relay.Route{{
			Name: "r", Host: "h", Prefix: "/", Repeat: repeat, Timeout: 5 * time.Second, Objective: time.Second,
			MaxTargets: targets, Anonymous: true, Shares: []relay.Share{{Service: "s", Weight: 1}},
		}},
	}
	var known []relay.Target
	for _, w := range workers {
		known = append(known, relay.Target{ID: relay.TargetID(w.address), Service: "s", Address: w.address, Slots: 10, Call: 1})
	}
	budget := relay.BudgetTerms{Share: 1, Fixed: 100, Window: 10 * time.Second}
	g, err := daemon.NewGatewayAlone(daemon.Platform{Codec: plainCodec{}, Router: relay.Settings{Seed: 1, Started: time.Now(), Budget: budget}}, document, known)
	require.NoError(t, err)
	return g
}

// ask sends one request, and returns the status that its caller gets.
func ask(t *testing.T, g *daemon.Gateway) int {
	t.Helper()
	w := httptest.NewRecorder()
	now := time.Now()
	g.Serve(t.Context(), w, &daemon.Call{ID: "a", Arrived: now, Deadline: now.Add(5 * time.Second), Method: http.MethodPost, URI: "/", Path: "/", Host: "h"})
	return w.Code
}

func TestRejectedRequestIsReportedNotRun(t *testing.T) {
	for _, repeat := range []relay.RepeatPolicy{relay.RepeatNever, relay.RepeatAlways} {
		w := newWorker(t, rejected)
		require.Equal(t, http.StatusServiceUnavailable, ask(t, newEntry(t, repeat, 2, w)))
		require.Zero(t, w.ran.Load())
	}
}

func TestUnsentRequestIsReportedNotRun(t *testing.T) {
	require.Equal(t, http.StatusServiceUnavailable, ask(t, newEntry(t, relay.RepeatNever, 2)))
	unreachable := newWorker(t, served)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	unreachable.address = l.Addr().String()
	require.NoError(t, l.Close())
	require.Equal(t, http.StatusServiceUnavailable, ask(t, newEntry(t, relay.RepeatNever, 2, unreachable)))
}

func TestLostAnswerIsReportedUnknown(t *testing.T) {
	for _, repeat := range []relay.RepeatPolicy{relay.RepeatNever, relay.RepeatAlways} {
		w := newWorker(t, lost)
		require.Equal(t, http.StatusBadGateway, ask(t, newEntry(t, repeat, 2, w)))
		require.Positive(t, w.ran.Load())
	}
}

// The answer of the first target was lost, and the second one rejected the request.
func TestRejectionByOneTargetDoesNotCoverAnother(t *testing.T) {
	first, second := newWorker(t, lost, rejected), newWorker(t, lost, rejected)
	// Either may be asked first; each loses its first answer and rejects later requests.
	require.Equal(t, http.StatusBadGateway, ask(t, newEntry(t, relay.RepeatAlways, 3, first, second)))
}

// Guards against a wrong "not run": a reused connection broke after the request was sent on
// it, the request was sent again on a new one, and the target rejected that; the caller got
// the status for a request that had not run.
func TestRejectedResendIsReportedUnknown(t *testing.T) {
	w := newWorker(t, served, lost, rejected)
	g := newEntry(t, relay.RepeatAlways, 1, w)
	require.Equal(t, http.StatusOK, ask(t, g))
	status := ask(t, g)
	require.EqualValues(t, 2, w.ran.Load(), "it ran before the answer was lost")
	require.EqualValues(t, 3, w.next.Load(), "it was sent again")
	require.Equal(t, http.StatusBadGateway, status)
}

// A target that answers with such a status, without the header for a request that has not run,
// may have run it.
func TestUnconfirmedStatusIsReportedUnknown(t *testing.T) {
	for _, code := range []string{"408 Timeout", "429 Many", "503 Down"} {
		for _, repeat := range []relay.RepeatPolicy{relay.RepeatNever, relay.RepeatAlways} {
			w := newWorker(t, step{runs: true, text: "HTTP/1.1 " + code + "\r\nId: a\r\nContent-Length: 0\r\n\r\n"})
			require.Equal(t, http.StatusBadGateway, ask(t, newEntry(t, repeat, 2, w)), code)
		}
	}
}

func TestDisconnectedCallerGetsNoNotRunStatus(t *testing.T) {
	w := newWorker(t, served)
	g := newEntry(t, relay.RepeatNever, 2, w)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	recorder := httptest.NewRecorder()
	closed(t, "the call ends", serve(ctx, g, recorder))
	require.NotContains(t, notRunStatuses, recorder.Code)
}

// Guards against 503 or 429 for requests that may have run, which the entry's own API returned
// with the outcome only in the body.
func TestOnlyRequestsNotRunGetNotRunStatus(t *testing.T) {
	for _, kind := range []core.RefusalKind{
		core.RefusedKey, core.RefusedPipeline, core.RefusedService, core.RefusedRequest, core.RefusedTooLarge, core.RefusedNoLease,
		core.RefusedLeaving, core.RefusedLimit, core.RefusedOverload, core.RefusedDeadline, core.RefusedNoTarget, core.RefusedBroken,
		core.RefusedMoved, core.RefusedLost, core.RefusedUnknown, core.RefusedConflict, core.RefusedControl, core.RefusedUnprocessed,
	} {
		for _, ran := range []core.Ran{core.RanNo, core.RanYes, core.RanUnknown} {
			w := httptest.NewRecorder()
			daemon.WriteRefusal(w, "id", core.Refusal{Kind: kind, Ran: ran}, 0)
			if ran != core.RanNo {
				require.NotContains(t, notRunStatuses, w.Code, "%s, ran: %s", kind, ran)
			}
		}
	}
	w := httptest.NewRecorder()
	daemon.WriteRefusal(w, "id", core.Refusal{Kind: core.RefusedLimit, Ran: core.RanNo}, 0)
	require.Equal(t, http.StatusTooManyRequests, w.Code)
}

// An outcome that is not decided in time may still be an acceptance.
func TestUndecidedOutcomeIsNotRefused(t *testing.T) {
	g := newEntry(t, relay.RepeatNever, 1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.Equal(t, daemon.ReportUndecided, g.ReceiveReport(ctx, relay.Target{ID: "i-1"}))
	require.Equal(t, core.ResultInterrupted, g.PutDocument(ctx, config.Document{Version: 1}).Kind)
	require.Equal(t, core.ResultInterrupted, g.ReadDocument(ctx).Result.Kind)
}

// Guards against a second run: a request whose reused connection broke was sent again on a new
// one, whose dial failed; it counted as not sent at all, and ran on a second target although
// its route allows only one.
func TestFailedResendStillCountsAsSent(t *testing.T) {
	first, second := newWorker(t, served, lost), newWorker(t, served)
	g := newEntry(t, relay.RepeatAlways, 1, first, second)
	asked := int32(0)
	for ; first.ran.Load() == 0; asked++ {
		require.Equal(t, http.StatusOK, ask(t, g))
	}
	require.NoError(t, first.listener.Close())
	for ; first.ran.Load() == 1; asked++ {
		ask(t, g)
	}
	require.Equal(t, asked, first.ran.Load()+second.ran.Load(), "each ran once")
}

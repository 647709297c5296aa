package daemon_test

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/daemon"
	"github.com/spoolbank/spoolbank/internal/relay"
)

var (
	runHistories    = flag.Int("run-histories", 16, "number of histories of the targets that requests run on")
	firstRunHistory = flag.Uint64("run-history", 1, "seed of the first history")
)

// outcome is what a target of a history does with a request.
type outcome int

const (
	outcomeServed outcome = iota
	outcomeRejected
	// outcomeLost: it runs, and its connection is closed without an answer.
	outcomeLost
	// outcomeReset: it runs, and its connection is reset.
	outcomeReset
	// outcomeCutShort: it runs, and its answer is cut short.
	outcomeCutShort
	// outcomeGarbled: it runs, and its answer can't be parsed.
	outcomeGarbled
	// outcomeFailed: it runs, and its answer has a failure status.
	outcomeFailed
	// outcomeUnread: its connection is closed before it is read as a whole.
	outcomeUnread
	// outcomeSilent: it runs, and there is no answer.
	outcomeSilent
	outcomes
)

// ranOn holds which targets have run which requests.
type ranOn struct {
	mu sync.Mutex
	by map[string][]string
}

func (r *ranOn) add(id, target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Contains(r.by[id], target) {
		r.by[id] = append(r.by[id], target)
	}
}

func (r *ranOn) targets(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.by[id]
}

// drawingTarget draws what it does with each request.
type drawingTarget struct {
	address string
	ran     *ranOn
	mu      sync.Mutex
	rand    *rand.Rand
	// share is the share of requests that are not served, and kinds are what it does with them.
	share float64
	kinds []outcome
	// seen are the requests that it has run and not answered. It rejects them when they come again.
	seen map[string]bool
	// streams is set if it answers with events.
	streams bool
}

func newDrawingTarget(t *testing.T, seed uint64, share float64, kinds []outcome, ran *ranOn, streams bool) *drawingTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	d := &drawingTarget{address: l.Addr().String(), ran: ran, rand: rand.New(rand.NewPCG(seed, 5)), share: share, kinds: kinds, seen: make(map[string]bool), streams: streams}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(t, conn)
		}
	}()
	return d
}

func (d *drawingTarget) draw(id string) outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	o := outcomeServed
	if d.rand.Float64() < d.share {
		o = d.kinds[d.rand.IntN(len(d.kinds))]
	}
	if d.seen[id] && d.rand.IntN(2) == 0 {
		return outcomeRejected
	}
	d.seen[id] = o != outcomeServed && o != outcomeRejected && o != outcomeUnread
	return o
}

func (d *drawingTarget) serve(t *testing.T, conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Id")
		o := d.draw(id)
		if o == outcomeUnread {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if o != outcomeRejected {
			d.ran.add(id, d.address)
		}
		if d.streams && (o == outcomeServed || o == outcomeCutShort) {
			d.stream(conn, id, request.Header.Get("Last-Event-Id"), o)
			return
		}
		if !d.answer(t, conn, id, o) {
			return
		}
	}
}

// streamEvents is the number of events of a stream.
const streamEvents = 6

// stream sends the events after the last one that the caller has, or some of them.
func (d *drawingTarget) stream(conn net.Conn, id, after string, o outcome) {
	last, _ := strconv.Atoi(after)
	end := streamEvents
	if o == outcomeCutShort {
		d.mu.Lock()
		end = min(last+d.rand.IntN(3), streamEvents-1)
		d.mu.Unlock()
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	for n := last + 1; n <= end; n++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, id)
		fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
	}
	if o == outcomeServed {
		fmt.Fprint(conn, "0\r\n\r\n")
	}
}

// answer answers a request, and reports whether the connection is kept.
func (d *drawingTarget) answer(t *testing.T, conn net.Conn, id string, o outcome) bool {
	switch o {
	case outcomeServed:
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", id)
		return true
	case outcomeFailed:
		fmt.Fprintf(conn, "HTTP/1.1 500 No\r\nId: %s\r\nContent-Length: 2\r\n\r\nno", id)
		return true
	case outcomeRejected:
		fmt.Fprintf(conn, "HTTP/1.1 503 No\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
		return true
	case outcomeCutShort:
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 20\r\n\r\nok", id)
	case outcomeGarbled:
		fmt.Fprint(conn, "no answer\r\n\r\n")
	case outcomeReset:
		_ = conn.(*net.TCPConn).SetLinger(0) // a connection that is gone needs none
	case outcomeSilent:
		<-t.Context().Done()
	}
	return false
}

// Guards against requests that ran on more targets than their route allows, and against "not run"
// after a run: a target ran a request and closed its reused connection, and rejected the request as
// it was sent once more on a new one. It then did not count as a target that may have run it.
func TestRequestRunsOnNoMoreTargetsThanAllowed(t *testing.T) {
	const requests, callers, targets = 400, 8, 4
	for i := range *runHistories {
		seed := *firstRunHistory + uint64(i)
		t.Run(fmt.Sprint("history ", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 3))
			streams := seed%2 == 0
			most := 1 + random.IntN(3)
			kinds := []outcome{outcomeLost}
			for o := outcomeRejected; o < outcomes; o++ {
				if random.IntN(2) == 0 && (o != outcomeSilent || random.IntN(4) == 0) {
					kinds = append(kinds, o)
				}
			}
			ran := &ranOn{by: make(map[string][]string)}
			var addresses []string
			for range targets {
				addresses = append(addresses, newDrawingTarget(t, random.Uint64(), 0.2+0.4*random.Float64(), kinds, ran, streams).address)
			}
			g := gatewayBefore(t, seed, streams, most, addresses)
			var asking sync.WaitGroup
			for c := range callers {
				asking.Go(func() {
					for n := range requests / callers {
						id := fmt.Sprintf("%d-%d", c, n)
						status := askAs(t, g, id, 700*time.Millisecond)
						on := ran.targets(id)
						if len(on) > most {
							t.Errorf("history %d, %v: request %s ran on %d targets, %d allowed", seed, kinds, id, len(on), most)
						}
						if slices.Contains(notRunStatuses, status) && len(on) > 0 {
							t.Errorf("history %d, %v: request %s was reported as not run, and ran on %v", seed, kinds, id, on)
						}
					}
				})
			}
			asking.Wait()
		})
	}
}

// gatewayBefore returns a gateway before plain targets, with much room for repeats.
func gatewayBefore(t *testing.T, seed uint64, streams bool, most int, addresses []string) *daemon.Gateway {
	t.Helper()
	repeat := relay.RepeatAlways
	if streams {
		repeat = relay.RepeatResume
	}
	document := &relay.Document{
		Version:  1,
		Services: []relay.Service{{Name: "s", MaxConns: 100}},
		Routes: []relay.Route{{
			Name: "r", Host: "h", Prefix: "/", Repeat: repeat, Stream: streams, Timeout: 5 * time.Second, Objective: time.Second,
			MaxTargets: most, Anonymous: true, Shares: []relay.Share{{Service: "s", Weight: 1}},
		}},
	}
	var known []relay.Target
	for _, address := range addresses {
		known = append(known, relay.Target{ID: relay.TargetID(address), Service: "s", Address: address, Slots: 100, Call: 1})
	}
	budget := relay.BudgetTerms{Share: 10, Window: 10 * time.Second}
	g, err := daemon.NewGatewayAlone(daemon.Platform{Codec: resumeCodec{}, Engines: noEngines{}, Router: relay.Settings{Seed: seed, Started: time.Now(), Budget: budget}}, document, known)
	require.NoError(t, err)
	return g
}

// askAs sends a request with an id, and returns the status that its caller gets.
func askAs(t *testing.T, g *daemon.Gateway, id string, timeout time.Duration) int {
	t.Helper()
	w := httptest.NewRecorder()
	now := time.Now()
	defer func() {
		if failed := recover(); failed != nil && failed != http.ErrAbortHandler {
			panic(failed)
		}
	}()
	g.Serve(t.Context(), w, &daemon.Call{ID: id, Arrived: now, Deadline: now.Add(timeout), Method: http.MethodPost, URI: "/", Path: "/", Host: "h"})
	return w.Code
}

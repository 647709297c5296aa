package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The runners of the plain service, as on the sheets.
const (
	runnerSlots = 6
	runnerQueue = 24
	workTime    = 60 * time.Millisecond
)

// runner stands in for one runner of a plain service.
type runner struct {
	d       *deployment
	id      string
	service string
	address string
	zone    string
	slots   chan struct{}
	waiting atomic.Int64
	calls   atomic.Int64
	// disrupt is called with each request before it runs, and reports whether it has answered in
	// its own way.
	disrupt func(w http.ResponseWriter, r *http.Request) bool
	// control is the only machine that gets its heartbeats, if it is set.
	control *machine
	server  *http.Server
	// signedOff is closed once the runner has signed off: it sends no more heartbeats.
	signedOff chan struct{}
	mu        sync.Mutex
	// ran counts the runs of each request by its id, and arrivals says when each began, in order.
	ran      map[string]int
	arrivals []arrival
	// ackedAt is when the last heartbeat was acknowledged.
	ackedAt time.Time
}

// arrival is the arrival of a request that the runner did not reject.
type arrival struct {
	id string
	at time.Time
}

// startRunner starts a runner and its heartbeats. They go to one machine only if it is given.
func (d *deployment) startRunner(n int, service string, control *machine) (*runner, error) {
	x := &runner{
		d: d, control: control, signedOff: make(chan struct{}), id: fmt.Sprintf("i-%d", n), service: service, zone: zones[n%len(zones)], address: fmt.Sprintf("%s.%d:%d", d.network, 100+n, portRunner),
		slots: make(chan struct{}, runnerSlots), ran: make(map[string]int),
	}
	l, err := net.Listen("tcp", x.address)
	if err != nil {
		return nil, err
	}
	x.server = &http.Server{Handler: x, IdleTimeout: 20 * time.Second}
	go func() { _ = x.server.Serve(l) }() // ends with the close below
	go func() {
		<-d.done
		x.server.Close()
	}()
	d.wg.Add(1)
	go x.sendHeartbeats()
	return x, nil
}

func (x *runner) sendHeartbeats() {
	defer x.d.wg.Done()
	client := &http.Client{Timeout: time.Second}
	for turn := 0; ; {
		m := x.d.machines[turn%len(x.d.machines)]
		if x.control != nil {
			m = x.control
		}
		if x.sendHeartbeat(client, m) {
			x.mu.Lock()
			x.ackedAt = time.Now()
			x.mu.Unlock()
		} else {
			turn++
		}
		select {
		case <-time.After(heartbeat):
		case <-x.signedOff:
			return
		case <-x.d.done:
			return
		}
	}
}

func (x *runner) sendHeartbeat(client *http.Client, m *machine) bool {
	body, err := json.Marshal(map[string]any{
		"Service": x.service, "Address": x.address, "Zone": x.zone, "Version": "v1", "Slots": runnerSlots, "State": "ready",
		"ColdRemainingMs": 0, "CallSeq": x.calls.Add(1),
	})
	if err != nil {
		return false
	}
	response, err := client.Post(fmt.Sprintf("http://%s:%d/spoolbank/instances/%s/heartbeat", m.ip, portControl, x.id), "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode/100 == 2
}

// signOff signs the runner off at a machine, and calls acked as soon as that is acknowledged.
func (x *runner) signOff(m *machine, acked func()) error {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Post(fmt.Sprintf("http://%s:%d/spoolbank/instances/%s/deregister", m.ip, portControl, x.id), "application/json", nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("%s answered %d to the sign-off of %s", m.name, response.StatusCode, x.id)
	}
	acked()
	close(x.signedOff)
	return nil
}

// ServeHTTP serves requests and health checks.
func (x *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Spool-Attempt-Id")
	w.Header().Set("Spool-Attempt-Id", id)
	w.Header().Set("Instance-Id", x.id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		return
	}
	arrivedAt := time.Now()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if x.waiting.Add(1) > runnerSlots+runnerQueue {
		x.waiting.Add(-1)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer x.waiting.Add(-1)
	x.slots <- struct{}{}
	defer func() { <-x.slots }()
	x.mu.Lock()
	x.ran[id]++
	x.arrivals = append(x.arrivals, arrival{id: id, at: arrivedAt})
	x.mu.Unlock()
	x.d.record.printf("runner %s: runs %s %s", x.id, r.Method, id)
	if x.disrupt != nil && x.disrupt(w, r) {
		return
	}
	time.Sleep(workTime)
	w.Header().Set("Upstream-Signature", x.id+"."+id)
	w.Header().Set("Instance-Load", fmt.Sprintf("%d,%d,%d", len(x.slots), max(x.waiting.Load()-int64(len(x.slots)), 0), runnerSlots))
	_, _ = w.Write(answerBody(id)) // a caller that has left needs none
}

// answerBody is the body of the answer to a request.
func answerBody(id string) []byte {
	return bytes.Repeat([]byte(id), 800/len(id))
}

// hasRun reports whether the runner has begun to work on a request.
func (x *runner) hasRun(id string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.ran[id] > 0
}

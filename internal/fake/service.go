package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/spoolbank/spoolbank/internal/target"
)

// jsonHandler returns a handler that decodes a JSON request and encodes the answer of f.
func jsonHandler[In, Out any](f func(context.Context, In) Out) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, f(r.Context(), in))
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// ServiceOptions describe a fake runner of a plain service.
type ServiceOptions struct {
	Name  string
	Slots int
	// Delay is the duration of a call.
	Delay time.Duration
	// Backoff is the Retry-After sent when all slots are busy; 0 sends none.
	Backoff time.Duration
	// Limit is the rate limit, in calls a second, sent with each answer; 0 sends none.
	Limit  float64
	Faults ServiceFaults
}

// Service is a fake runner of a plain service. It counts the runs of each identity, which is
// the idempotency key of a call.
type Service struct {
	options ServiceOptions
	mu      sync.Mutex
	busy    int
	runs    map[string]int
	// lost holds the identities of calls that ran and whose connection was closed.
	lost    map[string]bool
	leaving bool
	// crash ends the runner's present incarnation.
	crash context.CancelFunc
	// arrivals holds the arrival times of calls in the last rateWindow.
	arrivals []time.Time
	load     CallLoad
}

// NewService returns an idle runner.
func NewService(options ServiceOptions) *Service {
	return &Service{options: options, runs: make(map[string]int), lost: make(map[string]bool)}
}

// serviceAnswer is the body of an answer.
type serviceAnswer struct {
	Runner string `json:"runner"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// Run is the number of times that this runner has run the identity.
	Run  int    `json:"run"`
	Echo string `json:"echo"`
}

// Handler returns the runner's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+target.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(w, target.LoadReport{Busy: s.busy, Slots: s.options.Slots, Leaving: s.leaving})
	})
	mux.HandleFunc("GET /audit", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Runs()) })
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.ResetCallLoad()) })
	mux.HandleFunc("/", s.call)
	return mux
}

// Runs returns the number of runs of each identity, without GET calls.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}
	return runs
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.recordCall(w)
	if s.crashesUnder(r) {
		panic(http.ErrAbortHandler) // a call that crashes the runner gets no answer
	}
	id := r.Header.Get(target.HeaderIdempotencyKey)
	if s.rejectsLost(w, id) {
		return
	}
	run, ok := s.begin(r)
	if !ok {
		w.Header().Set(target.HeaderNotRun, "no room")
		if backoff := s.options.Backoff; backoff > 0 {
			w.Header().Set(target.HeaderRetryAfter, strconv.FormatFloat(backoff.Seconds(), 'f', -1, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	pause(context.Background(), s.options.Delay)
	if s.breakOff(w, id) {
		return
	}
	writeJSON(w, serviceAnswer{Runner: s.options.Name, Method: r.Method, Path: r.URL.RequestURI(), Run: run, Echo: string(body)})
}

// SetLimit changes the rate limit that the runner sends, in calls a second; 0 sends none.
func (s *Service) SetLimit(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.options.Limit = perSecond
}

// rateWindow is the sliding window over which calls are counted.
const rateWindow = 4 * time.Second

// CallLoad is the number of calls that have reached a runner, in total and at most within
// rateWindow.
type CallLoad struct {
	Calls       int `json:"calls"`
	MaxInWindow int `json:"most_in_4s"`
}

// ResetCallLoad returns the calls since it was last called, and resets the counts.
func (s *Service) ResetCallLoad() CallLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := s.load
	s.load, s.arrivals = CallLoad{}, nil
	return load
}

// recordCall records a call and sets the header of the rate limit, if there is one.
func (s *Service) recordCall(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.arrivals = slices.DeleteFunc(append(s.arrivals, now), func(at time.Time) bool { return at.Before(now.Add(-rateWindow)) })
	s.load.Calls++
	s.load.MaxInWindow = max(s.load.MaxInWindow, len(s.arrivals))
	if s.options.Limit > 0 {
		w.Header().Set(target.HeaderRateLimit, strconv.FormatFloat(s.options.Limit, 'f', -1, 64))
	}
}

func (s *Service) begin(r *http.Request) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy >= s.options.Slots {
		return 0, false
	}
	s.busy++
	if r.Method == http.MethodGet {
		return 0, true
	}
	id := r.Header.Get(target.HeaderIdempotencyKey)
	s.runs[id]++
	return s.runs[id], true
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
}

// Platform is a fake of the platform's list of VMs.
type Platform struct {
	mu      sync.Mutex
	leaving map[string]bool
}

// NewPlatform returns a list on which no VM is leaving.
func NewPlatform() *Platform { return &Platform{leaving: make(map[string]bool)} }

// Handler returns the platform's HTTP interface. POST /leave?vm=NAME lists a VM
// as leaving.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+target.PathVMs, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.list()) })
	mux.HandleFunc("POST /leave", func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.leaving[r.URL.Query().Get("vm")] = true
		writeJSON(w, struct{}{})
	})
	return mux
}

func (p *Platform) list() target.VMList {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := target.VMList{VMs: []target.VMState{}}
	for name := range p.leaving {
		list.VMs = append(list.VMs, target.VMState{Name: name, State: target.VMLeaving})
	}
	return list
}

// Proxy is a TCP proxy that can be slowed, severed and silenced.
type Proxy struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	delay    time.Duration
	severed  bool
	open     map[net.Conn]bool
	// epoch counts the calls of Silence, proxied the connections so far.
	epoch, proxied int
}

// NewProxy listens at an address and forwards connections to another.
func NewProxy(listen, to string) (*Proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Proxy{listener: l, to: to, open: make(map[net.Conn]bool)}
	go r.accept()
	return r, nil
}

// Address returns where the proxy listens.
func (r *Proxy) Address() string { return r.listener.Addr().String() }

// SetDelay sets the delay before each chunk of data is forwarded.
func (r *Proxy) SetDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

// Sever closes all connections and rejects new ones, or restores the link.
func (r *Proxy) Sever(severed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.severed = severed
	if severed {
		for c := range r.open {
			c.Close()
		}
	}
}

// Silence makes all open connections drop data for good: it is read and discarded in both
// directions, and neither end learns that the other has closed. New connections work.
func (r *Proxy) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.epoch++
}

// ConnectionCount returns the number of connections that have been proxied so far.
func (r *Proxy) ConnectionCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.proxied
}

// Close stops the proxy and closes all connections.
func (r *Proxy) Close() {
	r.listener.Close()
	r.Sever(true)
}

func (r *Proxy) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.proxy(c)
	}
}

func (r *Proxy) proxy(c net.Conn) {
	defer c.Close()
	if !r.track(c) {
		return
	}
	defer r.untrack(c)
	out, err := net.Dial("tcp", r.to)
	if err != nil {
		return
	}
	defer out.Close()
	if !r.track(out) {
		return
	}
	defer r.untrack(out)
	epoch := r.countConnection()
	done := make(chan struct{})
	go func() {
		r.forward(c, out, epoch)
		close(done)
	}()
	r.forward(out, c, epoch)
	<-done
}

// countConnection counts a proxied connection and returns its epoch.
func (r *Proxy) countConnection() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proxied++
	return r.epoch
}

// isSilent reports whether the connections of an epoch drop data.
func (r *Proxy) isSilent(epoch int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return epoch != r.epoch
}

func (r *Proxy) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.severed {
		return false
	}
	r.open[c] = true
	return true
}

func (r *Proxy) untrack(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, c)
}

func (r *Proxy) forward(to, from net.Conn, epoch int) {
	defer from.Close()
	buffer := make([]byte, 64<<10)
	for {
		count, err := from.Read(buffer)
		if r.isSilent(epoch) {
			if err != nil {
				return
			}
			continue
		}
		if err != nil {
			to.Close()
			return
		}
		r.mu.Lock()
		delay := r.delay
		r.mu.Unlock()
		pause(context.Background(), delay)
		if _, err := to.Write(buffer[:count]); err != nil {
			to.Close()
			return
		}
	}
}

package daemon

import (
	"context"
	"errors"
	runtimemetrics "runtime/metrics"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/settings"
)

// This file buffers what callers have not read yet, and bounds all memory that is held for
// callers and targets. docs/design/slow-readers.md gives the reasons.
//
// Problem: a write to a caller that does not read blocks, so that the engine's answer is no
// longer read; the engine takes this for a broken connection and cuts the answer off.
//
// Algorithm: a caller's connection never blocks its writer while there is room. The writer
// itself writes what the kernel accepts at once; the rest is buffered, and one goroutine
// writes it as the caller reads. relay.Holdings determines how much is buffered and whose
// connection is ended. Where it has no room, the writer waits, and so does the reading from
// the engine, within the engine's time limit.
//
// Invariants: bytes reach a caller in order; a connection is closed only once its caller has
// read all buffered bytes, or was ended; no lock is held during a write.

const (
	// readGrace is how long a caller that is behind may read nothing before it may be ended to
	// make room: a caller that reads does so within some round trips of at most 40 ms, or once the
	// kernel has resent a lost packet, after 200 ms.
	readGrace = 250 * time.Millisecond
	// engineStallLimit is how long the reading from a target may stop: targets cut off an answer
	// that is left unread for some seconds.
	engineStallLimit = 1500 * time.Millisecond
	// roomCheckInterval is how often a waiting writer checks whether a caller may be ended by now.
	roomCheckInterval = 100 * time.Millisecond
	// minPieceBytes is the minimum size of buffered pieces: some tens of events.
	minPieceBytes = 4 << 10
	// maxUnreadBytes bounds the unread answer of one caller: a whole answer of a plain service and
	// its head.
	maxUnreadBytes = maxBufferedAnswerBytes + 4*minPieceBytes
	// socketBytes is the kernel's buffer for one direction of a connection, in bytes, where memory
	// is limited: more than a whole stream of some 60 events. The kernel takes twice as much, for
	// its own bookkeeping.
	socketBytes = 16 << 10
	// requestKernelBytes is what the kernel may buffer for one open request on either side, in bytes:
	// one connection buffer, doubled for the kernel's bookkeeping.
	requestKernelBytes = 2 * socketBytes
	// programBytes is the memory of the process that the program file takes, in bytes: the file
	// has less than 30 MB, about half of which is ever used.
	programBytes = 16 << 20
	// measureInterval is the interval between two measurements of the memory in use.
	measureInterval = time.Second
	// maxEndLogLines bounds the log lines about ended callers between two rounds of upkeep.
	maxEndLogLines = 4
)

// errCallerNotReading is the error of writes to callers that were ended.
var errCallerNotReading = errors.New("the caller does not read its answer; it was ended to keep the memory for others")

// outbox buffers what callers have not read.
type outbox struct {
	log           logr.Logger
	memoryLimit   int64
	unreadTimeout time.Duration

	mu       sync.Mutex
	holdings *relay.Holdings
	behind   map[relay.HoldingID]*callerConn
	// kernelBytes is the part of the holdings that the kernel buffers, in bytes.
	kernelBytes int64
	// queue holds the waiting writers, each as a channel that is closed when it may check again.
	// One checks at a time: all at once would delay one another.
	queue []chan struct{}
	// ended counts the callers that were ended, recentEnds those since the last upkeep.
	ended, recentEnds int64
	measuredAt        time.Time
	lastHeld          int64
	samples           []runtimemetrics.Sample
}

func newOutbox(l settings.Limits, log logr.Logger) *outbox {
	o := &outbox{
		log: log, memoryLimit: int64(l.MemoryMB) << 20, unreadTimeout: time.Duration(l.UnreadTime),
		behind: make(map[relay.HoldingID]*callerConn),
	}
	for _, name := range memorySamples {
		o.samples = append(o.samples, runtimemetrics.Sample{Name: name})
	}
	terms := relay.HoldingTerms{Each: maxUnreadBytes, Grace: readGrace, Unread: o.unreadTimeout}
	o.holdings = relay.NewHoldings(terms, relay.Memory{Limit: o.memoryLimit, Program: programBytes}.HoldingBound())
	o.measure(time.Now())
	return o
}

// memorySamples are the runtime's memory, the parts of it that are free for use, and the part
// of the heap that was live at the last collection.
var memorySamples = []string{
	"/memory/classes/total:bytes", "/memory/classes/heap/released:bytes", "/memory/classes/heap/free:bytes",
	"/memory/classes/heap/unused:bytes", "/memory/classes/heap/objects:bytes", "/gc/heap/live:bytes",
}

// measure sets the bound from the memory that other uses take.
func (o *outbox) measure(now time.Time) {
	if o.memoryLimit <= 0 {
		return
	}
	runtimemetrics.Read(o.samples)
	bytes := func(i int) int64 { return int64(o.samples[i].Value.Uint64()) }
	inUse := bytes(0) - bytes(1) - bytes(2) - bytes(3) - bytes(4) + bytes(5)
	o.mu.Lock()
	defer o.mu.Unlock()
	held := o.holdings.Held(relay.SideCallers) + o.holdings.Held(relay.SideTargets) - o.kernelBytes
	// The bytes held now may be newer than the last collection, which has not counted them.
	others := max(inUse-min(held, o.lastHeld), 0)
	o.lastHeld = held
	o.measuredAt = now
	o.holdings.SetBound(relay.Memory{Limit: o.memoryLimit, Program: programBytes, InUse: others}.HoldingBound())
}

// upkeep ends callers that have read nothing for too long, and measures the memory.
func (o *outbox) upkeep(now time.Time) {
	o.mu.Lock()
	for _, id := range o.holdings.EndOverdue(now) {
		o.endCaller(id, now, "it has read nothing for the time that is borne")
	}
	unlogged := max(o.recentEnds-maxEndLogLines, 0)
	o.recentEnds = 0
	due := now.Sub(o.measuredAt) >= measureInterval
	o.mu.Unlock()
	if unlogged > 0 {
		o.log.Info("more callers that do not read were ended", "callers", unlogged)
	}
	if due {
		o.measure(now)
	}
}

// endCaller ends the caller of a holding that has been closed. The lock is held.
func (o *outbox) endCaller(id relay.HoldingID, now time.Time, reason string) {
	c, ok := o.behind[id]
	if !ok {
		return
	}
	delete(o.behind, id)
	c.failed = errCallerNotReading
	o.ended++
	o.recentEnds++
	unread := time.Duration(0)
	if !c.blockedSince.IsZero() {
		unread = now.Sub(c.blockedSince)
	}
	if o.recentEnds <= maxEndLogLines {
		o.log.Info("caller is ended", "request", c.request(), "reason", reason, "held_bytes", c.heldBytes(), "unread_ms", unread.Milliseconds(), "caller", c.RemoteAddr().String())
	}
	c.pieces = nil
	close(c.done)
	go c.abort()
	o.wakeNext()
}

// abort closes the connection and discards the kernel's buffer. It waits for other users of
// the connection to leave it, so no lock may be held.
func (c *callerConn) abort() {
	_ = c.tcp.SetLinger(0) // a lost connection needs none
	_ = c.tcp.Close()      // as above
}

// wakeNext wakes the longest waiting writer. The lock is held.
func (o *outbox) wakeNext() {
	if len(o.queue) > 0 {
		close(o.queue[0])
		o.queue = o.queue[1:]
	}
}

// awaitRoom waits until there may be more room, until done is closed, or for roomCheckInterval
// at most. The lock is held before and after.
func (o *outbox) awaitRoom(until time.Time, done <-chan struct{}) {
	mine := make(chan struct{})
	o.queue = append(o.queue, mine)
	o.mu.Unlock()
	timer := time.NewTimer(min(time.Until(until), roomCheckInterval))
	select {
	case <-mine:
	case <-done:
	case <-timer.C:
	}
	timer.Stop()
	o.mu.Lock()
	if at := slices.Index(o.queue, mine); at >= 0 {
		o.queue = slices.Delete(o.queue, at, at+1)
	}
}

// awaitDrained waits until all callers have read what is buffered for them.
func (o *outbox) awaitDrained(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for len(o.behind) > 0 && ctx.Err() == nil {
		o.awaitRoom(time.Now().Add(roomCheckInterval), ctx.Done())
		o.wakeNext() // the wake-up was meant for a writer
	}
}

// observe exports the held memory at each scrape.
func (o *outbox) observe(meter metric.Meter) error {
	gauge := func(name string) metric.Int64ObservableGauge {
		g, err := meter.Int64ObservableGauge(name)
		if err != nil {
			o.log.Error(err, "metric is missing", "name", name)
		}
		return g
	}
	held, bound, behind := gauge("spoolbank.held.bytes"), gauge("spoolbank.held.bound"), gauge("spoolbank.held.behind")
	ended, err := meter.Int64ObservableCounter("spoolbank.held.ended")
	if err != nil {
		return err
	}
	_, err = meter.RegisterCallback(func(_ context.Context, to metric.Observer) error {
		o.mu.Lock()
		defer o.mu.Unlock()
		to.ObserveInt64(held, o.holdings.Held(relay.SideCallers), attrCallers)
		to.ObserveInt64(held, o.holdings.Held(relay.SideTargets), attrTargets)
		to.ObserveInt64(bound, o.holdings.Bound())
		to.ObserveInt64(behind, int64(o.holdings.Behind()))
		to.ObserveInt64(ended, o.ended)
		return nil
	}, held, bound, behind, ended)
	return err
}

var (
	attrCallers = metric.WithAttributeSet(attribute.NewSet(attribute.String("side", relay.SideCallers.String())))
	attrTargets = metric.WithAttributeSet(attribute.NewSet(attribute.String("side", relay.SideTargets.String())))
)

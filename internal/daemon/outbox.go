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

// This file holds what callers have not read yet, and keeps all that is held for callers
// and targets within the VM's memory. docs/design/slow-readers.md says why it is so.
//
// Problem: a write to a caller that does not read blocks, and then nobody reads from its
// engine, which looks broken and cuts the answer off.
//
// Algorithm: a caller's connection never blocks its writer while there is room. What the
// kernel takes is written at once, by the writer itself; only from there on the rest is
// held, and one goroutine writes it as the caller reads. relay.Holdings says how much is
// held and who ends. Where it has no room, the writer waits, and with it the reading from
// the engine, as long as that bears it.
//
// Invariants: bytes reach a caller in order; a connection is closed only once its caller has
// read what is held for it, or has been ended; no lock is held while something is written.

const (
	// readGrace is how long a caller that is behind may read nothing before it may be ended
	// to make room: one that reads at all does so within some round trips of 40 ms at the
	// most, or once the kernel has sent a lost packet again, after 200 ms.
	readGrace = 250 * time.Millisecond
	// engineStallLimit is how long the reading from a target may stop: targets cut an answer off
	// that is left unread for some seconds.
	engineStallLimit = 1500 * time.Millisecond
	// lookAgain is how often a writer that waits looks whether somebody may be ended by now.
	lookAgain = 100 * time.Millisecond
	// pieceLeast is the size of the pieces that are held, in bytes: some tens of events.
	pieceLeast = 4 << 10
	// answerMost bounds the unread answer of one caller, in bytes: a whole answer of a plain
	// service and its head.
	answerMost = wholeLimit + 4*pieceLeast
	// socketBytes is what the kernel buffers of one direction of a connection, in bytes,
	// where memory is limited: more than a whole stream of some 60 events has. The kernel
	// takes twice as much, for its own records.
	socketBytes = 16 << 10
	// requestKernel is what the kernel may hold of one open request on either side, in bytes:
	// one buffer of a connection, twice for the kernel's own records.
	requestKernel = 2 * socketBytes
	// programBytes is what the program takes of a process's memory, in bytes: its file has
	// less than 30 MB, about half of which is ever used.
	programBytes = 16 << 20
	// measureEvery is the interval between two looks at the memory in use.
	measureEvery = time.Second
	// endLines bounds the lines about ended callers between two rounds of upkeep.
	endLines = 4
)

// errUnread is the kind of errors for writes to callers that were ended.
var errUnread = errors.New("the caller does not read its answer; it was ended to keep the memory for others")

// outbox holds what callers have not read.
type outbox struct {
	log    logr.Logger
	limit  int64
	unread time.Duration

	mu       sync.Mutex
	holdings *relay.Holdings
	behind   map[relay.HoldingID]*callerConn
	// kernel is the part of the holdings that the kernel holds, in bytes.
	kernel int64
	// queue holds those who wait for room, each by a channel that is closed when it may look
	// again. One looks at a time: all together would hold up one another.
	queue []chan struct{}
	// ended counts the callers that were ended, lines those that were logged of late.
	ended, lines int64
	measuredAt   time.Time
	heldBefore   int64
	samples      []runtimemetrics.Sample
}

func newOutbox(l settings.Limits, log logr.Logger) *outbox {
	o := &outbox{
		log: log, limit: int64(l.MemoryMB) << 20, unread: time.Duration(l.UnreadTime),
		behind: make(map[relay.HoldingID]*callerConn),
	}
	for _, name := range memorySamples {
		o.samples = append(o.samples, runtimemetrics.Sample{Name: name})
	}
	terms := relay.HoldingTerms{Each: answerMost, Grace: readGrace, Unread: o.unread}
	o.holdings = relay.NewHoldings(terms, relay.Memory{Limit: o.limit, Program: programBytes}.HoldingBound())
	o.measure(time.Now())
	return o
}

// memorySamples are the memory that the runtime has, less what it has ready for use, and
// what of the heap was in use when it was last collected.
var memorySamples = []string{
	"/memory/classes/total:bytes", "/memory/classes/heap/released:bytes", "/memory/classes/heap/free:bytes",
	"/memory/classes/heap/unused:bytes", "/memory/classes/heap/objects:bytes", "/gc/heap/live:bytes",
}

// measure sets the bound by the memory that is in use for other things.
func (o *outbox) measure(now time.Time) {
	if o.limit <= 0 {
		return
	}
	runtimemetrics.Read(o.samples)
	bytes := func(i int) int64 { return int64(o.samples[i].Value.Uint64()) }
	inUse := bytes(0) - bytes(1) - bytes(2) - bytes(3) - bytes(4) + bytes(5)
	o.mu.Lock()
	defer o.mu.Unlock()
	held := o.holdings.Held(relay.SideCallers) + o.holdings.Held(relay.SideTargets) - o.kernel
	// What is held now may be younger than the last collection, which has not seen it.
	others := max(inUse-min(held, o.heldBefore), 0)
	o.heldBefore = held
	o.measuredAt = now
	o.holdings.SetBound(relay.Memory{Limit: o.limit, Program: programBytes, InUse: others}.HoldingBound())
}

// upkeep ends callers that have read nothing for too long, and looks at the memory.
func (o *outbox) upkeep(now time.Time) {
	o.mu.Lock()
	for _, id := range o.holdings.EndOverdue(now) {
		o.endHeld(id, now, "it has read nothing for the time that is borne")
	}
	unlogged := max(o.lines-endLines, 0)
	o.lines = 0
	due := now.Sub(o.measuredAt) >= measureEvery
	o.mu.Unlock()
	if unlogged > 0 {
		o.log.Info("more callers that do not read were ended", "callers", unlogged)
	}
	if due {
		o.measure(now)
	}
}

// endHeld ends the caller of a holding that has been closed. The lock is held.
func (o *outbox) endHeld(id relay.HoldingID, now time.Time, reason string) {
	c, ok := o.behind[id]
	if !ok {
		return
	}
	delete(o.behind, id)
	c.failed = errUnread
	o.ended++
	o.lines++
	unread := time.Duration(0)
	if !c.stuckAt.IsZero() {
		unread = now.Sub(c.stuckAt)
	}
	if o.lines <= endLines {
		o.log.Info("caller is ended", "request", c.request(), "reason", reason, "held_bytes", c.heldBytes(), "unread_ms", unread.Milliseconds(), "caller", c.RemoteAddr().String())
	}
	c.pieces = nil
	close(c.over)
	go c.abort()
	o.moreRoom()
}

// abort closes the connection and what the kernel holds for it. It waits for those who use
// the connection to leave it, so that no lock may be held.
func (c *callerConn) abort() {
	_ = c.tcp.SetLinger(0) // a connection that is gone needs none
	_ = c.tcp.Close()      // as above
}

// moreRoom wakes who has waited longest. The lock is held.
func (o *outbox) moreRoom() {
	if len(o.queue) > 0 {
		close(o.queue[0])
		o.queue = o.queue[1:]
	}
}

// await waits until there may be more room, until over is closed, or for a while. The lock is
// held before and after.
func (o *outbox) await(until time.Time, over <-chan struct{}) {
	mine := make(chan struct{})
	o.queue = append(o.queue, mine)
	o.mu.Unlock()
	timer := time.NewTimer(min(time.Until(until), lookAgain))
	select {
	case <-mine:
	case <-over:
	case <-timer.C:
	}
	timer.Stop()
	o.mu.Lock()
	if at := slices.Index(o.queue, mine); at >= 0 {
		o.queue = slices.Delete(o.queue, at, at+1)
	}
}

// drained waits until all callers have read what is held for them.
func (o *outbox) drained(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for len(o.behind) > 0 && ctx.Err() == nil {
		o.await(time.Now().Add(lookAgain), ctx.Done())
		o.moreRoom() // it was meant for a writer
	}
}

// observe publishes what is held at each scrape.
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

package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	runtimemetrics "runtime/metrics"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
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

// reservation is the memory that one request takes here.
type reservation struct {
	o      *outbox
	id     relay.HoldingID
	kernel int64
}

// open begins a reservation without bytes.
func (o *outbox) open() *reservation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return &reservation{o: o, id: o.holdings.Open()}
}

// reserve adds bytes that are held for a side, and reports whether there is room for them
// at once.
func (r *reservation) reserve(s relay.Side, bytes int64) bool {
	r.o.mu.Lock()
	defer r.o.mu.Unlock()
	return r.add(s, bytes)
}

// add does what reserve does. The lock is held.
func (r *reservation) add(s relay.Side, bytes int64) bool {
	now := time.Now()
	ok, ends := r.o.holdings.Reserve(r.id, s, bytes, now)
	for _, e := range ends {
		r.o.endHeld(e, now, "a new request needs the memory")
	}
	return ok
}

// hasRoom reports whether there is room for a body at present. None is taken: who says that
// much comes may send nothing.
func (o *outbox) hasRoom(bytes int64) bool {
	if bytes <= bodyFirst {
		return true
	}
	r := o.open()
	defer r.close()
	return r.reserve(relay.SideTargets, bytes)
}

// reserveKernel adds what the kernel may hold of the request.
func (r *reservation) reserveKernel() bool {
	r.o.mu.Lock()
	defer r.o.mu.Unlock()
	if !r.add(relay.SideCallers, requestKernel) {
		return false
	}
	if !r.add(relay.SideTargets, requestKernel) {
		return false
	}
	r.kernel = 2 * requestKernel
	r.o.kernel += r.kernel
	return true
}

// wait adds bytes as soon as there is room for them, and reports whether there was before
// the target would no longer bear the wait.
func (r *reservation) wait(ctx context.Context, s relay.Side, bytes int64) bool {
	until := time.Now().Add(engineStallLimit)
	r.o.mu.Lock()
	defer r.o.mu.Unlock()
	for !r.add(s, bytes) {
		if ctx.Err() != nil || !time.Now().Before(until) {
			return false
		}
		r.o.await(until, ctx.Done())
	}
	r.o.moreRoom()
	return true
}

// close gives the memory back.
func (r *reservation) close() {
	r.o.mu.Lock()
	defer r.o.mu.Unlock()
	r.o.holdings.Close(r.id)
	r.o.kernel -= r.kernel
	r.kernel = 0
	r.o.moreRoom()
}

// smallBody is the size of bodies that the kernel takes at once, in bytes: their targets
// need not read for them to leave this VM.
const smallBody = 16 << 10

// send notes a body on its way to a target, and reports whether there is room for it. The
// returned function says that it is no longer on its way.
func (o *outbox) send(address string, bytes int) (func(), bool) {
	if bytes <= smallBody {
		return func() {}, true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.holdings.Send(address, int64(bytes)) {
		return nil, false
	}
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.holdings.Sent(address, int64(bytes))
	}, true
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

// callers has a server's connections hold what their callers have not read.
func (o *outbox) callers(server *http.Server, l net.Listener) net.Listener {
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return l
	}
	if o.limit > 0 {
		o.boundKernel(tcp)
	}
	return callerListener{TCPListener: tcp, o: o}
}

// boundKernel bounds what the kernel holds of each answer. Connections have what their
// listener has.
func (o *outbox) boundKernel(l *net.TCPListener) {
	raw, err := l.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) {
			if failed := syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketBytes); failed != nil {
				o.log.Info("the kernel's buffers can't be bounded, it may hold more than is counted", "error", failed.Error())
			}
		})
	}
	if err != nil {
		o.log.Info("the kernel's buffers can't be reached, it may hold more than is counted", "error", err.Error())
	}
}

type connKey struct{}

// connectionOf returns the caller's connection, or nil where it is of another kind.
func connectionOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(connKey{}).(*callerConn)
	return c
}

type callerListener struct {
	*net.TCPListener
	o *outbox
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	tcp, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, errors.Join(err, tcp.Close())
	}
	c := &callerConn{TCPConn: tcp, tcp: tcp, raw: raw, o: l.o, over: make(chan struct{})}
	c.attempt = c.writeOnce
	return c, nil
}

// callerConn is a connection to a caller. One goroutine at a time writes to it.
type callerConn struct {
	*net.TCPConn
	tcp *net.TCPConn
	raw syscall.RawConn
	o   *outbox
	// named is the id of the request that is under way.
	named atomic.Pointer[string]
	// target says that a target's answer waits for the caller, and stalled how long the
	// writer has waited since that was last asked. Both belong to the writer.
	target  bool
	stalled time.Duration
	// attempt tries to write now what it is given in give, and says in gave and fault what
	// came of it; kept, so that a write costs no allocation.
	attempt func(fd uintptr) bool
	give    []byte
	gave    int
	fault   error
	// late says that something is held, so that the writer must not write by itself.
	late atomic.Bool

	// The rest is under the lock of o.
	id       relay.HoldingID
	pieces   [][]byte
	offset   int
	stuckAt  time.Time
	writing  bool
	draining bool
	closing  bool
	failed   error
	// over is closed when the caller has left or was ended.
	over chan struct{}
}

func (c *callerConn) request() string {
	if name := c.named.Load(); name != nil {
		return *name
	}
	return ""
}

func (c *callerConn) heldBytes() int {
	n := -c.offset
	for _, p := range c.pieces {
		n += len(p)
	}
	return max(n, 0)
}

// writeOnce writes as much as the kernel takes now. It never waits.
func (c *callerConn) writeOnce(fd uintptr) bool {
	c.gave, c.fault = writeNow(fd, c.give)
	return true
}

func writeNow(fd uintptr, p []byte) (int, error) {
	for {
		n, err := syscall.Write(int(fd), p)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return 0, nil
		case err != nil:
			return 0, err
		}
		return n, nil
	}
}

// Write implements net.Conn. It returns once the bytes are the kernel's or held.
func (c *callerConn) Write(p []byte) (int, error) {
	n := 0
	if !c.late.Load() {
		c.give = p
		err := c.raw.Write(c.attempt)
		c.give = nil
		if err = errors.Join(err, c.fault); err != nil {
			return 0, fmt.Errorf("write to the caller: %w", err)
		}
		if n = c.gave; n == len(p) {
			return n, nil
		}
	}
	kept, err := c.hold(p[n:])
	return n + kept, err
}

// ReadFrom hides that of the TCP connection, which writes by itself.
func (c *callerConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// hold keeps bytes until the caller reads them. It waits where there is no room.
func (c *callerConn) hold(p []byte) (int, error) {
	c.o.mu.Lock()
	defer c.o.mu.Unlock()
	if c.failed != nil {
		return 0, c.failed
	}
	c.fallBehind()
	c.writing = true
	defer c.wrote()
	kept, waited := 0, false
	began := time.Now()
	until := began.Add(c.patience())
	for kept < len(p) {
		n := c.keep(p[kept:])
		kept += n
		switch {
		case n > 0:
			c.drainSoon()
			continue
		case c.endsWaiting(time.Now(), until):
			c.o.holdings.Close(c.id)
			c.o.endHeld(c.id, time.Now(), "there is no room for more of its answer")
		default:
			c.o.await(until, c.over)
			waited = true
		}
		if c.failed != nil {
			return kept, c.failed
		}
	}
	if waited {
		c.stalled += time.Since(began)
		c.o.moreRoom() // there may be some left for the next
	}
	return kept, nil
}

// endsWaiting reports whether a writer that finds no room gives up: when its target bears
// the wait no more, or, where the memory of all is short, as soon as its caller does not
// read at all.
func (c *callerConn) endsWaiting(now, until time.Time) bool {
	return !now.Before(until) || c.target && !c.o.holdings.Full(c.id) && !c.stuckAt.IsZero() && now.Sub(c.stuckAt) >= readGrace
}

// patience is how long the writer waits for room.
func (c *callerConn) patience() time.Duration {
	if c.target {
		return engineStallLimit
	}
	return c.o.unread
}

func (c *callerConn) fallBehind() {
	if c.late.Load() {
		return
	}
	c.id = c.o.holdings.Open()
	c.stuckAt = time.Time{}
	c.o.behind[c.id] = c
	c.late.Store(true)
}

// keep copies bytes to what is held, as many as there is room for.
func (c *callerConn) keep(p []byte) int {
	if last := len(c.pieces) - 1; last >= 0 && len(c.pieces[last]) < cap(c.pieces[last]) {
		piece := c.pieces[last]
		n := min(len(p), cap(piece)-len(piece))
		c.pieces[last] = append(piece, p[:n]...)
		return n
	}
	now := time.Now()
	size, ends := c.o.holdings.Put(c.id, int64(max(len(p), pieceLeast)), now)
	for _, e := range ends {
		c.o.endHeld(e, now, "the memory is needed for callers that read")
	}
	if size == 0 {
		return 0
	}
	n := min(len(p), int(size))
	c.pieces = append(c.pieces, append(make([]byte, 0, size), p[:n]...))
	return n
}

func (c *callerConn) drainSoon() {
	if !c.draining {
		c.draining = true
		go c.drain()
	}
}

// wrote ends a write. The lock is held.
func (c *callerConn) wrote() {
	c.writing = false
	c.catchUp()
}

// catchUp notes that nothing is held any more. The lock is held.
func (c *callerConn) catchUp() {
	if c.writing || c.draining || len(c.pieces) > 0 || c.failed != nil {
		return
	}
	c.o.holdings.Close(c.id)
	delete(c.o.behind, c.id)
	c.o.moreRoom()
	c.late.Store(false)
	if c.closing {
		go c.tcp.Close() // nobody is left to be told of an error
	}
}

// drain writes what is held as the caller reads.
func (c *callerConn) drain() {
	for {
		c.o.mu.Lock()
		if c.failed != nil || len(c.pieces) == 0 {
			c.draining = false
			c.catchUp()
			c.o.mu.Unlock()
			return
		}
		next := c.pieces[0][c.offset:]
		c.o.mu.Unlock()
		var n int
		var fault error
		err := c.raw.Write(func(fd uintptr) bool {
			n, fault = writeNow(fd, next)
			if n == 0 && fault == nil {
				c.stuck()
				return false
			}
			return true
		})
		c.drained(n, errors.Join(err, fault))
	}
}

// stuck notes that the kernel takes nothing more.
func (c *callerConn) stuck() {
	now := time.Now()
	c.o.mu.Lock()
	defer c.o.mu.Unlock()
	if c.stuckAt.IsZero() {
		c.stuckAt = now
		c.o.holdings.Stuck(c.id, now)
	}
}

// drained notes what the kernel took for the caller.
func (c *callerConn) drained(n int, err error) {
	c.o.mu.Lock()
	defer c.o.mu.Unlock()
	switch {
	case c.failed != nil:
		return
	case err != nil:
		c.fail(err)
		return
	}
	c.stuckAt = time.Time{}
	c.offset += n
	freed := 0
	if c.offset == len(c.pieces[0]) {
		freed = cap(c.pieces[0])
		c.pieces[0] = nil
		c.pieces = c.pieces[1:]
		c.offset = 0
	}
	c.o.holdings.Read(c.id, int64(freed))
	if freed > 0 {
		c.o.moreRoom()
	}
}

// fail takes a caller that has left. The lock is held.
func (c *callerConn) fail(err error) {
	c.failed = fmt.Errorf("write to the caller: %w", err)
	c.pieces = nil
	close(c.over)
	c.o.holdings.Close(c.id)
	delete(c.o.behind, c.id)
	c.o.moreRoom()
	go c.tcp.Close() // it is broken already
}

// Close implements net.Conn. What is held still reaches the caller.
func (c *callerConn) Close() error {
	if c.closeLater() {
		return nil
	}
	if c.wasEnded() {
		c.abort()
		return nil
	}
	return c.tcp.Close()
}

// CloseWrite has the caller see the end after what is held for it.
func (c *callerConn) CloseWrite() error {
	if c.closeLater() {
		return nil
	}
	return c.tcp.CloseWrite()
}

// wasEnded reports whether the caller was ended for what it did not read: it must not see
// a usual end.
func (c *callerConn) wasEnded() bool {
	c.o.mu.Lock()
	defer c.o.mu.Unlock()
	return errors.Is(c.failed, errUnread)
}

// closeLater has the connection closed once its caller has read what is held, and reports
// whether there is anything.
func (c *callerConn) closeLater() bool {
	c.o.mu.Lock()
	defer c.o.mu.Unlock()
	if !c.late.Load() || c.failed != nil {
		return false
	}
	c.closing = true
	return true
}

// begin notes which request is under way. No target waits for its caller yet.
func (c *callerConn) begin(request string) {
	if c != nil {
		c.named.Store(&request)
		c.target = false
		c.stalled = 0 // what the one before waited
	}
}

// waitsFor notes whether a target's answer waits while the caller does not read.
func (c *callerConn) waitsFor(target bool) {
	if c != nil {
		c.target = target
	}
}

// takeStall returns how long the writer has waited for the caller since it was last asked.
func (c *callerConn) takeStall() time.Duration {
	if c == nil {
		return 0
	}
	stalled := c.stalled
	c.stalled = 0
	return stalled
}

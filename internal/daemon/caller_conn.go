package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file is the connection of a caller, which holds what the caller has not read yet; see
// outbox.go for how much and who ends.

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

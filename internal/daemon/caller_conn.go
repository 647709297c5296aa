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

// This file is the connection of a caller, which buffers what the caller has not read yet;
// outbox.go bounds the memory and decides whose connection is ended.

// callerListener returns a listener whose connections buffer what their callers have not read.
func (o *outbox) callerListener(server *http.Server, l net.Listener) net.Listener {
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return l
	}
	if o.memoryLimit > 0 {
		limitBuffer(tcp, syscall.SO_SNDBUF, socketBytes, o.log)
	}
	return callerListener{TCPListener: tcp, outbox: o}
}

type connKey struct{}

// connectionOf returns the caller's connection, or nil where it is of another type.
func connectionOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(connKey{}).(*callerConn)
	return c
}

type callerListener struct {
	*net.TCPListener
	outbox *outbox
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
	c := &callerConn{TCPConn: tcp, tcp: tcp, raw: raw, outbox: l.outbox, done: make(chan struct{})}
	c.writeFunc = c.writeOnce
	return c, nil
}

// callerConn is a connection to a caller. Only one goroutine at a time writes to it.
type callerConn struct {
	*net.TCPConn
	tcp    *net.TCPConn
	raw    syscall.RawConn
	outbox *outbox
	// requestID is the id of the request in progress.
	requestID atomic.Pointer[string]
	// targetWaits is set if a target's answer waits for the caller, and stalled is how long the
	// writer has waited since takeStall. Both belong to the writer.
	targetWaits bool
	stalled     time.Duration
	// writeFunc writes writeBuf without blocking, and sets written and writeErr; it is kept so
	// that a write allocates nothing.
	writeFunc func(fd uintptr) bool
	writeBuf  []byte
	written   int
	writeErr  error
	// buffering is set if bytes are buffered, so that the writer must not write to the socket itself.
	buffering atomic.Bool

	// id identifies the holding of the buffered bytes. The lock of outbox guards it and the fields
	// below.
	id           relay.HoldingID
	pieces       [][]byte
	offset       int
	blockedSince time.Time
	writing      bool
	draining     bool
	closing      bool
	failed       error
	// done is closed when the caller has disconnected or was ended.
	done chan struct{}
}

func (c *callerConn) request() string {
	if name := c.requestID.Load(); name != nil {
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

// writeOnce writes as much as the kernel accepts now. It never waits.
func (c *callerConn) writeOnce(fd uintptr) bool {
	c.written, c.writeErr = writeNow(fd, c.writeBuf)
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

// Write implements net.Conn. It returns once the bytes are written to the kernel or buffered.
func (c *callerConn) Write(p []byte) (int, error) {
	n := 0
	if !c.buffering.Load() {
		c.writeBuf = p
		err := c.raw.Write(c.writeFunc)
		c.writeBuf = nil
		if err = errors.Join(err, c.writeErr); err != nil {
			return 0, fmt.Errorf("write to the caller: %w", err)
		}
		if n = c.written; n == len(p) {
			return n, nil
		}
	}
	buffered, err := c.bufferOrWait(p[n:])
	return n + buffered, err
}

// ReadFrom hides the method of the TCP connection, which writes to the socket itself.
func (c *callerConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// bufferOrWait buffers bytes until the caller reads them. It waits where there is no room.
func (c *callerConn) bufferOrWait(p []byte) (int, error) {
	c.outbox.mu.Lock()
	defer c.outbox.mu.Unlock()
	if c.failed != nil {
		return 0, c.failed
	}
	c.startBuffering()
	c.writing = true
	defer c.finishWrite()
	buffered, waited := 0, false
	began := time.Now()
	until := began.Add(c.roomTimeout())
	for buffered < len(p) {
		n := c.buffer(p[buffered:])
		buffered += n
		switch {
		case n > 0:
			c.startDrain()
			continue
		case c.givesUp(time.Now(), until):
			c.outbox.holdings.Close(c.id)
			c.outbox.endCaller(c.id, time.Now(), "there is no room for more of its answer")
		default:
			c.outbox.awaitRoom(until, c.done)
			waited = true
		}
		if c.failed != nil {
			return buffered, c.failed
		}
	}
	if waited {
		c.stalled += time.Since(began)
		c.outbox.wakeNext() // there may be room left for the next writer
	}
	return buffered, nil
}

// givesUp reports whether a writer without room stops waiting: at until or, where a target waits
// and the memory shared by all callers is short, once its caller has read nothing for readGrace.
func (c *callerConn) givesUp(now, until time.Time) bool {
	return !now.Before(until) || c.targetWaits && !c.outbox.holdings.Full(c.id) && !c.blockedSince.IsZero() && now.Sub(c.blockedSince) >= readGrace
}

// roomTimeout returns how long the writer waits for room.
func (c *callerConn) roomTimeout() time.Duration {
	if c.targetWaits {
		return engineStallLimit
	}
	return c.outbox.unreadTimeout
}

func (c *callerConn) startBuffering() {
	if c.buffering.Load() {
		return
	}
	c.id = c.outbox.holdings.Open()
	c.blockedSince = time.Time{}
	c.outbox.behind[c.id] = c
	c.buffering.Store(true)
}

// buffer copies bytes to the buffer, as many as there is room for.
func (c *callerConn) buffer(p []byte) int {
	if last := len(c.pieces) - 1; last >= 0 && len(c.pieces[last]) < cap(c.pieces[last]) {
		piece := c.pieces[last]
		n := min(len(p), cap(piece)-len(piece))
		c.pieces[last] = append(piece, p[:n]...)
		return n
	}
	now := time.Now()
	size, ends := c.outbox.holdings.Buffer(c.id, int64(max(len(p), minPieceBytes)), now)
	for _, e := range ends {
		c.outbox.endCaller(e, now, "the memory is needed for callers that read")
	}
	if size == 0 {
		return 0
	}
	n := min(len(p), int(size))
	c.pieces = append(c.pieces, append(make([]byte, 0, size), p[:n]...))
	return n
}

func (c *callerConn) startDrain() {
	if !c.draining {
		c.draining = true
		go c.drain()
	}
}

// finishWrite ends a write. The lock is held.
func (c *callerConn) finishWrite() {
	c.writing = false
	c.stopBufferingIfEmpty()
}

// stopBufferingIfEmpty ends the buffering once the buffer is empty. The lock is held.
func (c *callerConn) stopBufferingIfEmpty() {
	if c.writing || c.draining || len(c.pieces) > 0 || c.failed != nil {
		return
	}
	c.outbox.holdings.Close(c.id)
	delete(c.outbox.behind, c.id)
	c.outbox.wakeNext()
	c.buffering.Store(false)
	if c.closing {
		go c.tcp.Close() // no caller is left to get the error
	}
}

// drain writes the buffered bytes as the caller reads.
func (c *callerConn) drain() {
	for {
		c.outbox.mu.Lock()
		if c.failed != nil || len(c.pieces) == 0 {
			c.draining = false
			c.stopBufferingIfEmpty()
			c.outbox.mu.Unlock()
			return
		}
		next := c.pieces[0][c.offset:]
		c.outbox.mu.Unlock()
		var n int
		var fault error
		err := c.raw.Write(func(fd uintptr) bool {
			n, fault = writeNow(fd, next)
			if n == 0 && fault == nil {
				c.recordBlocked()
				return false
			}
			return true
		})
		c.recordDrained(n, errors.Join(err, fault))
	}
}

// recordBlocked records that the kernel accepts no more bytes.
func (c *callerConn) recordBlocked() {
	now := time.Now()
	c.outbox.mu.Lock()
	defer c.outbox.mu.Unlock()
	if c.blockedSince.IsZero() {
		c.blockedSince = now
		c.outbox.holdings.Blocked(c.id, now)
	}
}

// recordDrained records the bytes that the kernel accepted.
func (c *callerConn) recordDrained(n int, err error) {
	c.outbox.mu.Lock()
	defer c.outbox.mu.Unlock()
	switch {
	case c.failed != nil:
		return
	case err != nil:
		c.fail(err)
		return
	}
	c.blockedSince = time.Time{}
	c.offset += n
	freed := 0
	if c.offset == len(c.pieces[0]) {
		freed = cap(c.pieces[0])
		c.pieces[0] = nil
		c.pieces = c.pieces[1:]
		c.offset = 0
	}
	c.outbox.holdings.Read(c.id, int64(freed))
	if freed > 0 {
		c.outbox.wakeNext()
	}
}

// fail handles a caller that has disconnected. The lock is held.
func (c *callerConn) fail(err error) {
	c.failed = fmt.Errorf("write to the caller: %w", err)
	c.pieces = nil
	close(c.done)
	c.outbox.holdings.Close(c.id)
	delete(c.outbox.behind, c.id)
	c.outbox.wakeNext()
	go c.tcp.Close() // it has failed already
}

// Close implements net.Conn. Buffered bytes still reach the caller.
func (c *callerConn) Close() error {
	if c.closeAfterDrain() {
		return nil
	}
	if c.wasEnded() {
		c.abort()
		return nil
	}
	return c.tcp.Close()
}

// CloseWrite closes the sending side after the buffered bytes.
func (c *callerConn) CloseWrite() error {
	if c.closeAfterDrain() {
		return nil
	}
	return c.tcp.CloseWrite()
}

// wasEnded reports whether the caller was ended for not reading: it must not see a regular end
// of the connection.
func (c *callerConn) wasEnded() bool {
	c.outbox.mu.Lock()
	defer c.outbox.mu.Unlock()
	return errors.Is(c.failed, errCallerNotReading)
}

// closeAfterDrain has the connection closed once its caller has read the buffer, and reports
// whether anything is buffered.
func (c *callerConn) closeAfterDrain() bool {
	c.outbox.mu.Lock()
	defer c.outbox.mu.Unlock()
	if !c.buffering.Load() || c.failed != nil {
		return false
	}
	c.closing = true
	return true
}

// startRequest records which request is in progress. No target waits for its caller yet.
func (c *callerConn) startRequest(request string) {
	if c != nil {
		c.requestID.Store(&request)
		c.targetWaits = false
		c.stalled = 0 // the wait of the previous request
	}
}

// setTargetWaits records whether a target's answer waits while the caller does not read.
func (c *callerConn) setTargetWaits(target bool) {
	if c != nil {
		c.targetWaits = target
	}
}

// takeStall returns how long the writer has waited for the caller since the last call.
func (c *callerConn) takeStall() time.Duration {
	if c == nil {
		return 0
	}
	stalled := c.stalled
	c.stalled = 0
	return stalled
}

package wire

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcctx"

	"github.com/spoolbank/spoolbank/internal/quota"
)

// This file bounds the memory that connections to the peer port take.
//
// Problem: drpc keeps a message until it is complete, up to MessageLimit for each connection, whoever
// sends it. A few connections with bytes that are no message exceed the memory of the process.
//
// Algorithm: a connection is a stranger's until a handler identifies it by its first whole message, which
// VMs keep small. Strangers have to be identified in time, and their number is bounded: the oldest one is
// closed for a new one. The bytes of each connection are scanned for frames, so that what is no frame of
// drpc ends the connection at once. Beyond a small allowance the bytes of an incomplete message are
// reserved before they are read, those of strangers and of identified peers in accounts of their own.
// Without room the connection is not read, which holds its sender back.
//
// Invariants: what connections keep of incomplete messages is within their allowances and the two
// accounts; strangers take no memory from identified peers.
//
// Limits: the kernel's receive buffers are not set. They grow only for connections that are read, and
// a fixed size would slow down large configurations between data halls.

const (
	// strangerAllowanceBytes and peerAllowanceBytes are how much of a message needs no reservation. Nearly
	// all messages between VMs are smaller.
	strangerAllowanceBytes = 4 << 10
	peerAllowanceBytes     = 16 << 10
	// bufferFactor is the memory that a byte of an incomplete message takes: it is in a buffer for frames
	// and in one for the message, which grow by copying.
	bufferFactor = 3
	// strangerTimeout is how long a connection may take to be identified.
	strangerTimeout = 5 * time.Second
	// maxStrangers bounds the connections that are not identified after strangerGrace, and
	// maxNewStrangers all of them: hundreds of VMs may connect at the same time.
	maxStrangers    = 64
	maxNewStrangers = 512
	strangerGrace   = 250 * time.Millisecond
	// roomTimeout is how long a message of an identified peer waits for room.
	roomTimeout = 30 * time.Second
	// messageStall is how long a message may pause before another one may take its memory.
	messageStall = time.Second
	// strangerMessageLimit is the largest message of a connection that is not identified: a configuration
	// with its envelope, since the first message of VMs of earlier releases may be one.
	strangerMessageLimit = 9 << 20
)

// The parts of a memory limit that incomplete messages may take: of identified peers and of strangers.
const (
	peerParts     = 16
	strangerParts = 32
)

// IntakeObserver is called for each connection that an Intake closes.
type IntakeObserver func(reason string, conn net.Conn, err error)

// Intake bounds what all connections to a peer port take.
type Intake struct {
	peers, strangers *quota.Account
	observe          IntakeObserver

	mu sync.Mutex
	// waiting holds the connections that are not identified, the oldest first.
	waiting []*intakeConn
}

// NewIntake returns an Intake for a process with a memory limit in bytes, 0 for none.
func NewIntake(memoryLimit int64, observe IntakeObserver) *Intake {
	return &Intake{
		peers:     quota.New(quota.Terms{Share: memoryLimit / peerParts, Message: bufferFactor * MessageLimit, Stall: messageStall}),
		strangers: quota.New(quota.Terms{Share: memoryLimit / strangerParts, Message: bufferFactor * strangerMessageLimit, Stall: messageStall}),
		observe:   observe,
	}
}

// Peers returns the account of identified peers, and Strangers that of all other connections.
func (i *Intake) Peers() *quota.Account { return i.peers }

// Strangers returns the account of connections that are not identified.
func (i *Intake) Strangers() *quota.Account { return i.strangers }

// Listener wraps l so that its connections are bounded.
func (i *Intake) Listener(l net.Listener) net.Listener { return intakeListener{l, i} }

type intakeListener struct {
	net.Listener
	intake *Intake
}

// Accept implements net.Listener.
func (l intakeListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.intake.accept(conn), nil
}

// accept returns a connection that is not identified yet.
func (i *Intake) accept(conn net.Conn) *intakeConn {
	now := time.Now()
	c := &intakeConn{Conn: conn, intake: i, closed: make(chan struct{}), known: make(chan struct{}), acceptedAt: now, deadline: now.Add(strangerTimeout)}
	c.reservation = i.strangers.Reservation(c.revoke)
	_ = conn.SetReadDeadline(c.deadline) // an error shows again at the first read
	i.mu.Lock()
	i.waiting = append(i.waiting, c)
	var oldest *intakeConn
	if len(i.waiting) > maxStrangers && time.Since(i.waiting[0].acceptedAt) >= strangerGrace || len(i.waiting) > maxNewStrangers {
		oldest = i.waiting[0]
		i.waiting = i.waiting[1:]
	}
	i.mu.Unlock()
	if oldest != nil {
		go oldest.closeFor(ReasonTooMany, errTooMany)
	}
	return c
}

// Strange returns the number of connections that are not identified.
func (i *Intake) Strange() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.waiting)
}

// remove removes a connection from those that are not identified.
func (i *Intake) remove(c *intakeConn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.waiting = slices.DeleteFunc(i.waiting, func(o *intakeConn) bool { return o == c })
}

// The reasons for which an Intake closes connections.
const (
	ReasonTooMany  = "too many unidentified connections"
	ReasonNoFrame  = "bytes that are no message"
	ReasonNoMemory = "no memory for the message"
	ReasonLate     = "not identified in time"
	ReasonStalled  = "message made no progress"
)

var errTooMany = errors.New("wire: too many connections that are not identified; dial again")

// intakeConn is a connection to the peer port. One goroutine reads it.
type intakeConn struct {
	net.Conn
	intake     *Intake
	acceptedAt time.Time
	// deadline is when the connection has to be identified.
	deadline   time.Time
	identified atomic.Bool
	closeOnce  sync.Once
	closed     chan struct{}
	// known is closed once the connection is identified or closed.
	known     chan struct{}
	knownOnce sync.Once

	// The reading goroutine owns the fields below.
	frames      frameScanner
	reservation *quota.Reservation
	// asPeer is set once the reservation is in the account of identified peers, and reserved while it
	// has bytes.
	asPeer, reserved bool
	err              error
}

// Identify marks the connection of a drpc stream as one of a peer or an operator, by a whole message.
func Identify(ctx context.Context) {
	transport, _ := drpcctx.Transport(ctx)
	c, ok := transport.(*intakeConn)
	if !ok || c.identified.Swap(true) {
		return
	}
	c.intake.remove(c)
	c.knownOnce.Do(func() { close(c.known) })
	_ = c.Conn.SetReadDeadline(time.Time{}) // an error shows again at the next read
}

// revoke closes the connection for a message that made no progress. The account is locked meanwhile.
func (c *intakeConn) revoke() {
	go c.closeFor(ReasonStalled, quota.ErrRevoked)
}

// closeFor reports the connection to the observer and closes it, which may block under TLS.
func (c *intakeConn) closeFor(reason string, err error) {
	c.intake.observe(reason, c, err)
	c.Close()
}

// Close implements net.Conn.
func (c *intakeConn) Close() error {
	err := net.ErrClosed
	c.closeOnce.Do(func() {
		close(c.closed)
		c.knownOnce.Do(func() { close(c.known) })
		c.intake.remove(c)
		err = c.Conn.Close()
	})
	return err
}

// Read implements net.Conn. When it is called, all complete messages have been handled.
func (c *intakeConn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	size, err := c.reserve(min(len(p), maxFrameBytes))
	if err != nil {
		return 0, c.fail(ReasonNoMemory, err)
	}
	n, err := c.Conn.Read(p[:size])
	if failed := c.frames.scan(p[:n]); failed != nil {
		return 0, c.fail(ReasonNoFrame, failed)
	}
	if c.frames.message == 0 && c.reserved {
		c.reservation.SetWhole()
	}
	if err == nil {
		return n, nil
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() && !c.identified.Load() {
		return n, c.fail(ReasonLate, err)
	}
	c.err = err
	c.release()
	return n, err
}

// fail closes the connection.
func (c *intakeConn) fail(reason string, err error) error {
	select {
	case <-c.closed: // reported already
	default:
		c.intake.observe(reason, c, err)
	}
	c.err = err
	c.release()
	c.Close()
	return err
}

// reserve reserves the memory for the next bytes of a message, and returns how many may be read.
func (c *intakeConn) reserve(bytes int) (int, error) {
	identified := c.identified.Load()
	allowance, deadline, interrupt := strangerAllowanceBytes, c.deadline, c.known
	if identified {
		c.becomePeer()
		allowance, deadline, interrupt = peerAllowanceBytes, time.Now().Add(roomTimeout), c.closed
	}
	if free := int64(allowance) - c.frames.message; free > 0 {
		c.release()
		return int(min(int64(bytes), free)), nil
	}
	c.reserved = true
	err := c.reservation.AwaitGrowTo(bufferFactor*(c.frames.message+int64(bytes)), deadline, interrupt)
	if errors.Is(err, quota.ErrFull) && !identified && c.identified.Load() {
		return c.reserve(bytes)
	}
	return bytes, err
}

// release returns what is reserved.
func (c *intakeConn) release() {
	if c.reserved {
		c.reservation.Release()
		c.reserved = false
	}
}

// becomePeer moves the reservation to the account of identified peers.
func (c *intakeConn) becomePeer() {
	if c.asPeer {
		return
	}
	c.asPeer = true
	c.release()
	c.reservation = c.intake.peers.Reservation(c.revoke)
}

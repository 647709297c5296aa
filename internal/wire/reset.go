package wire

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// This file distinguishes connections that were closed in order from those that were reset.
//
// Problem: an answer with neither a length nor chunks ends with its connection, and only an end in order
// proves it whole. The kernel reports a reset to one call only. If a concurrent write gets it, the next
// read returns 0 bytes, as at an end in order.
//
// Algorithm: a read that returns 0 bytes ends the writing, waits for the write in progress, and counts as
// an end in order only if no write has failed. A write that fails with EPIPE proves no reset before
// the end: the kernel reports that after the other end has closed in order.
//
// Invariant: Read returns io.EOF only if the other end has closed the connection in order.
//
// Limits: the kernel closes the connections of a process that is killed in order if the process has read
// all bytes that had arrived.

// targetConn is a connection to a target whose Read reports a reset that a concurrent Write has
// met.
type targetConn struct {
	net.Conn
	// ended is set once a read has returned 0 bytes.
	ended atomic.Bool
	// writing is held during a write, and guards failed.
	writing sync.Mutex
	// failed is the error of the first write that met a broken connection.
	failed error
}

// TargetDialer returns the dial function of a dialer, with connections whose Read returns io.EOF
// only if the target has closed them in order.
func TargetDialer(dialer net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &targetConn{Conn: conn}, nil
	}
}

// Read implements net.Conn.
func (c *targetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		return n, c.endOfRead()
	}
	return n, err
}

// endOfRead returns io.EOF, or the error of the write that met a reset.
func (c *targetConn) endOfRead() error {
	c.ended.Store(true)
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) // a closed connection has no write in progress
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.failed != nil {
		return c.failed
	}
	return io.EOF
}

// Write implements net.Conn. Its error is EPIPE once the other end has closed.
func (c *targetConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.ended.Load() {
		return 0, syscall.EPIPE
	}
	n, err := c.Conn.Write(p)
	switch {
	case c.ended.Load() && errors.Is(err, os.ErrDeadlineExceeded):
		return n, syscall.EPIPE
	case c.failed == nil && meansBroken(err):
		c.failed = err
	}
	return n, err
}

// meansBroken reports whether the error of a write proves that the connection did not end in order.
func meansBroken(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// SyscallConn implements syscall.Conn.
func (c *targetConn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return inner.SyscallConn()
}

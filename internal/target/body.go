package target

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
	"unsafe"
)

// This file writes request bodies to targets that may not read them.
//
// The kernel's counters distinguish a target that does not read from a lost one: a lost target
// leaves bytes unacknowledged; one that does not read has acknowledged all bytes that were
// sent, and its receive window is closed to the rest.

// ErrNotReading is wrapped by errors of requests whose target is alive but does not read them:
// it is overloaded, not lost. Whether it ran the request is unknown.
var ErrNotReading = errors.New("target does not read the request")

const (
	// bodyPieceBytes is the size of one write of a body, after which its progress is checked.
	bodyPieceBytes = 64 << 10
	// bodyStallTimeout is how long a target may accept no byte of a body. It is less than
	// unackedTimeout, after which the kernel breaks the connection without giving the cause.
	bodyStallTimeout = 1500 * time.Millisecond
	// receiveBufferBytes is the kernel's receive buffer for one answer where memory is limited, in
	// bytes. The kernel doubles it to account for its own bookkeeping.
	receiveBufferBytes = 16 << 10
)

// writeBody writes a body while the answer is being read.
func (l *link) writeBody(body []byte) error {
	for len(body) > 0 {
		piece := body[:min(len(body), bodyPieceBytes)]
		if err := l.Conn.SetWriteDeadline(time.Now().Add(bodyStallTimeout)); err != nil {
			return err
		}
		n, err := l.Conn.Write(piece)
		body = body[n:]
		var netErr net.Error
		switch {
		case err == nil:
			continue
		case !errors.As(err, &netErr) || !netErr.Timeout():
			return err
		case n > 0:
			continue
		case !l.allAcknowledged():
			return err
		}
		l.notReading.Store(true)
		l.Conn.Close() // stops waiting for the answer
		return ErrNotReading
	}
	return l.Conn.SetWriteDeadline(time.Time{})
}

// orNotReading returns ErrNotReading in place of err if the target was found not to read the
// request; nil and io.EOF are returned as they are.
func (l *link) orNotReading(err error) error {
	if err == nil || errors.Is(err, io.EOF) || !l.notReading.Load() {
		return err
	}
	return ErrNotReading
}

const (
	// siocOutq and siocOutqnsd are the ioctls SIOCOUTQ and SIOCOUTQNSD of Linux: the first
	// returns the number of unacknowledged bytes, the second how many of them are not sent yet.
	// Package syscall lacks both.
	siocOutq    = 0x5411
	siocOutqnsd = 0x894b
)

// allAcknowledged reports whether all bytes that were sent have been acknowledged. It returns
// false where the kernel can't report it.
func (l *link) allAcknowledged() bool {
	socket, ok := l.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	var unacked, unsent int32
	var failed syscall.Errno
	err = raw.Control(func(fd uintptr) {
		if failed = ioctl(fd, siocOutq, &unacked); failed == 0 {
			failed = ioctl(fd, siocOutqnsd, &unsent)
		}
	})
	return err == nil && failed == 0 && unacked == unsent
}

func ioctl(fd, request uintptr, into *int32) syscall.Errno {
	_, _, errno := syscall.Syscall(syscall.SYS_IOCTL, fd, request, uintptr(unsafe.Pointer(into)))
	return errno
}

// LimitReceiveBuffers limits the kernel's receive buffer of connections that are opened from then
// on, and so the memory for answers that are not read.
func (x *Exchanger) LimitReceiveBuffers() {
	first := x.dialer.Control
	x.dialer.Control = func(network, address string, raw syscall.RawConn) error {
		if err := first(network, address, raw); err != nil {
			return err
		}
		return raw.Control(func(fd uintptr) {
			// If this fails, the kernel may buffer more than is accounted for.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		})
	}
}

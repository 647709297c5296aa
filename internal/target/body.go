package target

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
	"unsafe"
)

// This file writes the bodies of requests to targets that may not read them.
//
// A target that does not read is told from one that is lost by what the kernel knows: a lost
// one leaves bytes unacknowledged; one that does not read has acknowledged all that was
// sent, and closed its window to the rest.

// ErrNotReading is the kind of errors for requests whose target lives and does not read
// them: it is full, not lost. Whether it ran the request is not known.
var ErrNotReading = errors.New("target does not read the request")

const (
	// bodyPiece is what is written of a body before its progress is looked at, in bytes.
	bodyPiece = 64 << 10
	// bodyStallLimit is how long a target may take nothing of a body: less than unackedLimit,
	// after which the kernel breaks the connection and can't say why.
	bodyStallLimit = 1500 * time.Millisecond
	// receiveBytes is what the kernel buffers of an answer that is not read yet, in bytes,
	// where memory is limited. It takes twice as much, for its own records.
	receiveBytes = 16 << 10
)

// writeBody writes a body beside the reading of the answer.
func (l *link) writeBody(body []byte) error {
	for len(body) > 0 {
		piece := body[:min(len(body), bodyPiece)]
		if err := l.Conn.SetWriteDeadline(time.Now().Add(bodyStallLimit)); err != nil {
			return err
		}
		n, err := l.Conn.Write(piece)
		body = body[n:]
		var late net.Error
		switch {
		case err == nil:
			continue
		case !errors.As(err, &late) || !late.Timeout():
			return err
		case n > 0:
			continue
		case !l.acknowledged():
			return err
		}
		l.unread.Store(true)
		l.Conn.Close() // the answer is not waited for any more
		return ErrNotReading
	}
	return l.Conn.SetWriteDeadline(time.Time{})
}

// orUnread returns what broke an answer: its target's not reading the request, if that was
// found meanwhile.
func (l *link) orUnread(err error) error {
	if err == nil || errors.Is(err, io.EOF) || !l.unread.Load() {
		return err
	}
	return ErrNotReading
}

const (
	// siocOutq and siocOutqnsd are the ioctls SIOCOUTQ and SIOCOUTQNSD of Linux: the first
	// asks for the bytes that are not acknowledged, the second for those of them that are not
	// sent. Package syscall lacks both.
	siocOutq    = 0x5411
	siocOutqnsd = 0x894b
)

// acknowledged reports whether all that was sent has been acknowledged. It is false where
// the kernel can't say.
func (l *link) acknowledged() bool {
	tcp, ok := l.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
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

// BoundKernel bounds what the kernel holds of answers that are not read, for connections
// that are opened from then on.
func (x *Exchanger) BoundKernel() {
	first := x.dialer.Control
	x.dialer.Control = func(network, address string, raw syscall.RawConn) error {
		if err := first(network, address, raw); err != nil {
			return err
		}
		return raw.Control(func(fd uintptr) {
			// Where this fails the kernel may hold more than is counted.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
		})
	}
}

package wire

import (
	"errors"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 18

// Unacked returns a net.Dialer's Control that bounds how long sent bytes may stay
// unacknowledged before the kernel breaks a connection. Behind a cut nothing else
// would end it.
func Unacked(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit/time.Millisecond))
		})
		return errors.Join(err, failed)
	}
}

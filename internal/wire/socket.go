package wire

import (
	"errors"
	"syscall"
	"time"
)

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
const tcpUserTimeout = 18

// TCPUserTimeout returns a Control function for a net.Dialer that bounds how long sent bytes may
// stay unacknowledged before the kernel breaks the connection. Behind a network partition
// nothing else would end it.
func TCPUserTimeout(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit/time.Millisecond))
		})
		return errors.Join(err, failed)
	}
}

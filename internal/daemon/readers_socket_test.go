package daemon_test

import "syscall"

// smallWindow has the kernel accept few unread bytes.
func smallWindow(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer)
	})
	if err != nil {
		return err
	}
	return failed
}

// Package clocktest makes times as they are in a process whose time of day is set.
package clocktest

import (
	"time"
	"unsafe"
)

// Stepped returns t, which must have a monotonic reading, with its time of day stepped by whole seconds.
// Its monotonic reading stays.
func Stepped(t time.Time, seconds int64) time.Time {
	const nanosecondBits = 30 // package time keeps seconds above them
	wall := (*uint64)(unsafe.Pointer(&t))
	*wall += uint64(seconds) << nanosecondBits
	return t
}

package target

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
)

// This file keeps connections to targets that have rested quietly, and makes new ones.

// take returns a quiet kept connection, or a new one.
func (x *Exchanger) take(ctx context.Context, address string, fresh bool) (*link, error) {
	for !fresh {
		l := x.pop(address)
		if l == nil {
			break
		}
		if l.quiet() {
			l.reused = true
			return l, nil
		}
		l.Conn.Close()
	}
	conn, err := x.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	x.Dialled()
	l := &link{Conn: conn, address: address, pool: x, until: clock.Now().Add(idleDefault)}
	l.reader = bufio.NewReaderSize(l, bufferSize)
	return l, nil
}

func (x *Exchanger) pop(address string) *link {
	x.mu.Lock()
	defer x.mu.Unlock()
	kept := x.idle[address]
	for len(kept) > 0 {
		l := kept[len(kept)-1]
		kept = kept[:len(kept)-1]
		x.idle[address] = kept
		if clock.Now().Before(l.until) {
			return l
		}
		l.Conn.Close()
	}
	delete(x.idle, address)
	return nil
}

// quiet reports whether a kept connection is open and has nothing to read.
func (l *link) quiet() bool {
	if l.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := l.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, peek := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(peek, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

func (x *Exchanger) push(l *link) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.idle[l.address]) >= idleMost {
		l.Conn.Close()
		return
	}
	x.idle[l.address] = append(x.idle[l.address], l)
}

// Drop closes the kept connections to an address: what they led to runs no more.
func (x *Exchanger) Drop(address string) {
	x.mu.Lock()
	kept := x.idle[address]
	delete(x.idle, address)
	x.mu.Unlock()
	for _, l := range kept {
		l.Conn.Close()
	}
}

// Sweep closes the connections whose time is over.
func (x *Exchanger) Sweep(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for address, kept := range x.idle {
		live := kept[:0]
		for _, l := range kept {
			if now.Before(l.until) {
				live = append(live, l)
			} else {
				l.Conn.Close()
			}
		}
		x.idle[address] = live
		if len(live) == 0 {
			delete(x.idle, address)
		}
	}
}

// idleTime is how long a connection may be kept after this answer.
func idleTime(h http.Header) time.Duration {
	_, text, found := strings.Cut(h.Get("Keep-Alive"), "timeout=")
	if !found {
		return idleDefault
	}
	text, _, _ = strings.Cut(text, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || seconds <= 0 {
		return idleDefault
	}
	return time.Duration(idleShare * float64(seconds) * float64(time.Second))
}

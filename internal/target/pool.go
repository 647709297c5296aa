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
	"github.com/spoolbank/spoolbank/internal/wire"
)

// This file keeps idle connections to targets for reuse, and dials new ones.

// acquire returns an idle connection with nothing to read, or a new one.
func (x *Exchanger) acquire(ctx context.Context, address string, fresh bool) (*link, error) {
	for !fresh {
		l := x.pop(address)
		if l == nil {
			break
		}
		if l.reusable() {
			l.reused = true
			return l, nil
		}
		l.Conn.Close()
	}
	conn, err := x.Dial(ctx, func(ctx context.Context, address string) (net.Conn, error) {
		return wire.TargetDialer(x.dialer)(ctx, "tcp", address)
	}, address)
	if err != nil {
		return nil, err
	}
	x.OnDial()
	l := &link{Conn: conn, address: address, exchanger: x, expiresAt: clock.Now().Add(defaultIdleTime)}
	l.reader = bufio.NewReaderSize(l, readBufferBytes)
	return l, nil
}

func (x *Exchanger) pop(address string) *link {
	x.mu.Lock()
	defer x.mu.Unlock()
	conns := x.idle[address]
	for len(conns) > 0 {
		l := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		x.idle[address] = conns
		if clock.Now().Before(l.expiresAt) {
			return l
		}
		l.Conn.Close()
	}
	delete(x.idle, address)
	return nil
}

// reusable reports whether an idle connection is open and has nothing to read.
func (l *link) reusable() bool {
	if l.reader.Buffered() > 0 {
		return false
	}
	socket, ok := l.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, peek := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(peek, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

func (x *Exchanger) push(l *link) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.idle[l.address]) >= maxIdlePerAddress {
		l.Conn.Close()
		return
	}
	x.idle[l.address] = append(x.idle[l.address], l)
}

// CloseIdle closes the idle connections to an address whose target no longer runs.
func (x *Exchanger) CloseIdle(address string) {
	x.mu.Lock()
	conns := x.idle[address]
	delete(x.idle, address)
	x.mu.Unlock()
	for _, l := range conns {
		l.Conn.Close()
	}
}

// CloseExpired closes the idle connections that have expired.
func (x *Exchanger) CloseExpired(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for address, conns := range x.idle {
		live := conns[:0]
		for _, l := range conns {
			if now.Before(l.expiresAt) {
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

// idleTime returns how long a connection may be kept idle after this answer.
func idleTime(h http.Header) time.Duration {
	_, text, found := strings.Cut(h.Get("Keep-Alive"), "timeout=")
	if !found {
		return defaultIdleTime
	}
	text, _, _ = strings.Cut(text, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || seconds <= 0 {
		return defaultIdleTime
	}
	return time.Duration(idleTimeFraction * float64(seconds) * float64(time.Second))
}

package target

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/wire"
)

// This file sends whole requests to targets over HTTP/1.1 and reads the answers.
//
// net/http's own client is not used for them: it sends a request again by itself
// when a kept connection breaks, and it can't tell a surplus answer on a kept
// connection from the one that is due. Both would break promises about requests
// that may run once. Here a request is written once, on a connection that is
// known to be quiet, and everything else is the caller's decision.
//
// Invariants: a connection is kept only after a whole answer was read to its
// framed end; a connection with unexpected bytes is closed and never read on.

// ErrNotSent is the kind of errors for requests of which no byte was sent.
var ErrNotSent = errors.New("not sent")

// ErrStale is the kind of errors for requests on a kept connection that broke before
// a byte of the answer: targets forget idle connections without notice, and the next
// thing sent on one is reset.
var ErrStale = errors.New("kept connection is gone")

// ErrSilent is the kind of errors for answers that were given up in a pause.
var ErrSilent = errors.New("target is silent")

const (
	// dialLimit bounds the wait for a connection. Nothing has been sent then, and another
	// target can still answer within the 0.5 s that a first event may take; targets are
	// 20 ms away at the most. The kernel sends a lost opening packet again after a second.
	dialLimit = 200 * time.Millisecond
	// unackedLimit is how long sent bytes may stay unacknowledged before the
	// kernel breaks a connection: behind a cut nothing else would end it.
	unackedLimit = 2 * time.Second
	// idleDefault is how long a connection is kept where the target does not say.
	// The users' targets close idle ones after some seconds.
	idleDefault = 2 * time.Second
	// idleShare is the part of a target's own idle time that is used.
	idleShare = 0.6
	// idleMost bounds the kept connections to one address.
	idleMost = 64
	// bufferSize holds the usual head and a few events.
	bufferSize = 4 << 10
	// InlineBody is the size of bodies that are written before the answer is
	// read; they fit the kernel's buffers. Longer ones are written beside it, for a
	// target may answer early and not read on.
	InlineBody = 16 << 10
)

// Exchanger sends requests to targets and keeps connections.
type Exchanger struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*link
	// Dialled is called for each new connection.
	Dialled func()
	redials chan struct{}
}

// NewExchanger returns an Exchanger without connections.
func NewExchanger(dialled func()) *Exchanger {
	return &Exchanger{
		dialer:  net.Dialer{Timeout: dialLimit, Control: wire.Unacked(unackedLimit), KeepAlive: -1},
		idle:    make(map[string][]*link),
		Dialled: dialled,
		redials: make(chan struct{}, redialsAtOnce),
	}
}

// Request is a whole request.
type Request struct {
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Fresh asks for a new connection: a kept one may have been closed by the
	// other end, and then nobody could say whether the request ran.
	Fresh bool
	// Matches reports whether an answer belongs to this request. Others on the
	// same connection are surplus and skipped.
	Matches func(http.Header) bool
	// Patience is the longest pause in the answer before Silent is asked whether
	// to wait on. Zero waits without end.
	Patience time.Duration
	Silent   func() bool
	// Kept bounds the wait for the first byte on a kept connection.
	Kept KeptWait
	// Again says that the request takes the place of one on a silent connection.
	Again bool
	// Admit is asked once a connection is there, at the last moment before anything is sent.
	// The request is not sent where it returns an error; nil lets all pass.
	Admit func() error
}

// Answer is the head of an answer, with its body still to be read. Close ends it.
type Answer struct {
	Status int
	Header http.Header
	// Length is that of the body, or -1 where its end is not announced.
	Length int64
	// Framed says that a cut body can be told from a whole one.
	Framed bool
	link   *link
	body   io.ReadCloser
	whole  bool
	keep   bool
	ended  func() bool
}

// link is one connection.
type link struct {
	net.Conn
	reader  *bufio.Reader
	address string
	pool    *Exchanger
	until   time.Time
	request *Request
	reused  bool
	// answered says that bytes came since the request was sent.
	answered bool
	written  chan error
	// sentAt is when the request was sent, heardAt when the last byte of the one before came.
	sentAt, heardAt time.Time
	// unread says that the target was found not to read the request.
	unread atomic.Bool
}

// Read waits for bytes; in each pause it asks whether to go on.
func (l *link) Read(p []byte) (int, error) {
	for {
		r := l.request
		if l.waitsKept() {
			return l.readKept(p)
		}
		if r == nil || r.Patience <= 0 {
			n, err := l.Conn.Read(p)
			l.answered = l.answered || n > 0
			return n, err
		}
		if err := l.Conn.SetReadDeadline(time.Now().Add(r.Patience)); err != nil {
			return 0, err
		}
		n, err := l.Conn.Read(p)
		l.answered = l.answered || n > 0
		var late net.Error
		if n > 0 || !errors.As(err, &late) || !late.Timeout() {
			return n, err
		}
		if !r.Silent() {
			return 0, ErrSilent
		}
	}
}

// Do sends a request to an address and reads the head of its answer. When ctx
// ends, the connection is closed.
func (x *Exchanger) Do(ctx context.Context, address string, r *Request) (*Answer, error) {
	l, err := x.takeFor(ctx, address, r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err := r.admitted(); err != nil {
		x.push(l)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	l.request = r
	l.answered = false
	l.sentAt = clock.Now()
	stop := context.AfterFunc(ctx, func() { l.Conn.Close() })
	answer, err := l.exchange(r)
	if err != nil {
		stop()
		l.Conn.Close()
		if l.unread.Load() {
			return nil, fmt.Errorf("target %s: %w", l.address, ErrNotReading)
		}
		if l.reused && !l.answered && !errors.Is(err, ErrSilent) {
			err = fmt.Errorf("%w: %w", ErrStale, err)
		}
		return nil, err
	}
	answer.ended = stop
	return answer, nil
}

// admitted asks Admit.
func (r *Request) admitted() error {
	if r.Admit == nil {
		return nil
	}
	return r.Admit()
}

// exchange writes the request and reads the head of the answer that is due.
func (l *link) exchange(r *Request) (*Answer, error) {
	if err := l.write(r); err != nil {
		return nil, fmt.Errorf("target %s: send: %w", l.address, err)
	}
	for surplus := 0; surplus <= surplusMost; surplus++ {
		answer, err := l.readHead(r)
		if err != nil {
			return nil, fmt.Errorf("target %s: answer: %w", l.address, err)
		}
		if r.Matches(answer.Header) {
			return answer, nil
		}
		if answer.Length < 0 && !answer.Framed {
			break
		}
		if _, err := io.Copy(io.Discard, answer.body); err != nil {
			return nil, fmt.Errorf("target %s: surplus answer: %w", l.address, err)
		}
	}
	return nil, fmt.Errorf("target %s: the answer belongs to another request", l.address)
}

// surplusMost bounds the answers to other requests that are skipped.
const surplusMost = 2

func (l *link) write(r *Request) error {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	if err := r.Header.Write(&head); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	if len(r.Body) <= InlineBody {
		head.Write(r.Body)
		_, err := l.Conn.Write(head.Bytes())
		return err
	}
	if _, err := l.Conn.Write(head.Bytes()); err != nil {
		return err
	}
	l.written = make(chan error, 1)
	go func() {
		l.written <- l.writeBody(r.Body)
	}()
	return nil
}

func (l *link) readHead(r *Request) (*Answer, error) {
	for {
		response, err := http.ReadResponse(l.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		chunked := len(response.TransferEncoding) > 0
		return &Answer{
			Status: response.StatusCode,
			Header: response.Header,
			Length: response.ContentLength,
			Framed: chunked || response.ContentLength >= 0,
			link:   l,
			body:   response.Body,
			keep:   !response.Close,
		}, nil
	}
}

// Read reads the body. It returns io.EOF only at the body's end.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return n, a.link.orUnread(err)
}

// Close ends the exchange. The connection is kept where the answer was read
// whole and nothing of the request is left to be written.
func (a *Answer) Close() {
	stopped := a.ended()
	l := a.link
	if !stopped || !a.whole || !a.keep || !a.Framed || !l.allWritten() || l.reader.Buffered() > 0 {
		l.Conn.Close()
		return
	}
	l.request = nil
	if err := l.Conn.SetReadDeadline(time.Time{}); err != nil {
		l.Conn.Close()
		return
	}
	l.heardAt = clock.Now()
	l.until = l.heardAt.Add(idleTime(a.Header))
	l.pool.push(l)
}

func (l *link) allWritten() bool {
	if l.written == nil {
		return true
	}
	select {
	case err := <-l.written:
		l.written = nil
		return err == nil
	default:
		return false
	}
}

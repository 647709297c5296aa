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
// It does not use net/http's client, which repeats a request by itself when a
// reused connection breaks, and can't distinguish a surplus answer on a reused
// connection from the expected one. Both would break the guarantee that some
// requests run at most once. Here a request is written once, on a connection
// with nothing left to read, and the caller decides about everything else.
//
// Invariants: a connection is kept only after a whole answer was read to its
// framed end; a connection with unexpected bytes is closed, and no more is read from it. A target
// may send bytes that are no answer, without an end: what is read before the answer's body is
// bounded in bytes, and ends with the request's context.

// ErrNotSent is wrapped by errors of requests of which no byte was sent.
var ErrNotSent = errors.New("not sent")

// ErrStale is wrapped by errors of requests on a reused connection that broke before the
// first byte of the answer: targets close idle connections without notice, and the next
// request on one is answered with a reset.
var ErrStale = errors.New("kept connection is gone")

// ErrNoAnswer is wrapped by errors of bytes that are no answer; FaultOf names what is wrong with them.
var ErrNoAnswer = errors.New("the target's bytes are no answer")

// ErrSilent is wrapped by errors of answers that were abandoned during a pause.
var ErrSilent = errors.New("target is silent")

const (
	// dialTimeout bounds a dial. No byte of the request has been sent by then, and another target
	// can still answer within the 0.5 s limit for the first event; targets are at most 20 ms
	// away. The kernel retransmits a lost SYN after one second.
	dialTimeout = 200 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the kernel breaks a
	// connection: behind a network partition nothing else would end it.
	unackedTimeout = 2 * time.Second
	// defaultIdleTime is how long a connection is kept idle if the target names no timeout.
	// The users' targets close idle ones after some seconds.
	defaultIdleTime = 2 * time.Second
	// idleTimeFraction is the part of a target's own idle timeout that is used.
	idleTimeFraction = 0.6
	// maxIdlePerAddress bounds the idle connections to one address.
	maxIdlePerAddress = 64
	// maxHeadBytes bounds the head of an answer, with the informational ones before it.
	maxHeadBytes = 64 << 10
	// maxSurplusBytes bounds the body of an answer to another request.
	maxSurplusBytes = 256 << 10
	// readBufferBytes holds the usual response head and a few events.
	readBufferBytes = 4 << 10
	// InlineBody is the largest body that is written before the answer is read; it
	// fits the kernel's buffers. Longer ones are written concurrently, because a
	// target may answer early and stop reading.
	InlineBody = 16 << 10
)

// Exchanger sends requests to targets and pools idle connections.
type Exchanger struct {
	dialer net.Dialer
	// Dial opens a connection to an address, given the direct way to do so.
	Dial func(ctx context.Context, direct func(context.Context, string) (net.Conn, error), address string) (net.Conn, error)
	mu   sync.Mutex
	idle map[string][]*link
	// OnDial is called after each new connection.
	OnDial      func()
	redialSlots chan struct{}
}

// NewExchanger returns an Exchanger without connections, which dials directly.
func NewExchanger(dialled func()) *Exchanger {
	return &Exchanger{
		Dial: func(ctx context.Context, direct func(context.Context, string) (net.Conn, error), address string) (net.Conn, error) {
			return direct(ctx, address)
		},
		dialer:      net.Dialer{Timeout: dialTimeout, Control: wire.TCPUserTimeout(unackedTimeout), KeepAlive: -1},
		idle:        make(map[string][]*link),
		OnDial:      dialled,
		redialSlots: make(chan struct{}, maxConcurrentRedials),
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
	// NewConn requests a new connection: the target may have closed an idle one,
	// and then it would be unknown whether the request ran.
	NewConn bool
	// Matches reports whether an answer belongs to this request. Other answers
	// on the same connection are surplus and skipped.
	Matches func(http.Header) bool
	// MaxPause is the longest pause in the answer before KeepWaiting is called, which
	// reports whether to keep waiting. Zero waits without limit.
	MaxPause    time.Duration
	KeepWaiting func() bool
	// FirstByte bounds the wait for the first byte on a reused connection.
	FirstByte FirstByteWait
	// Redial is set if the request replaces one on a silent connection.
	Redial bool
	// Admit is called on an open connection, just before the first byte is sent, and may set
	// Header. If it returns an error, the request is not sent; a nil Admit admits every request.
	Admit func() error
	// tunnelVM is the address of the VM by way of which the request was sent, or empty.
	tunnelVM string
}

// TunnelVM returns the peer address of the VM by way of which the request was sent, or an empty
// string if it was sent directly.
func (r *Request) TunnelVM() string { return r.tunnelVM }

// Answer is the head of an answer, whose body is still to be read. Close ends the exchange.
type Answer struct {
	Status int
	Header http.Header
	// Length is that of the body, or -1 if it is not announced.
	Length int64
	// Framed is set if a truncated body can be distinguished from a whole one.
	Framed    bool
	link      *link
	body      io.ReadCloser
	complete  bool
	keepAlive bool
	stop      func() bool
}

// link is one connection to a target.
type link struct {
	net.Conn
	reader    *bufio.Reader
	address   string
	exchanger *Exchanger
	expiresAt time.Time
	request   *Request
	reused    bool
	// answered is set if bytes were received since the request was sent.
	answered    bool
	bodyWritten chan error
	// sentAt is when the request was sent, lastUsedAt when the previous exchange was closed.
	sentAt, lastUsedAt time.Time
	// notReading is set if the target does not read the request.
	notReading atomic.Bool
	// readErr is the error of the last read that failed.
	readErr error
	// head is the text of the head that is being read, or nil.
	head *bytes.Buffer
	// bounded is set while at most remaining more bytes may be read.
	bounded   bool
	remaining int
}

// bound lets at most n more bytes be read, until unbound.
func (l *link) bound(n int) { l.bounded, l.remaining = true, n }

func (l *link) unbound() { l.bounded = false }

// orNoAnswer returns a NoAnswerError in place of the error of a parser, unless it is due to the connection.
func (l *link) orNoAnswer(err error) error {
	switch {
	case l.bounded && l.remaining == 0:
		return errEndless
	case err == nil || l.readErr != nil:
		return err
	}
	return &NoAnswerError{Fault: FaultSyntax, Detail: err.Error()}
}

// Read reads bytes of the answer. After each pause of MaxPause it calls KeepWaiting.
func (l *link) Read(p []byte) (int, error) {
	if l.bounded && l.remaining == 0 {
		return 0, errEndless
	}
	if l.bounded {
		p = p[:min(len(p), l.remaining)]
	}
	n, err := l.read(p)
	if l.bounded {
		l.remaining -= n
	}
	if l.head != nil {
		l.head.Write(p[:n])
	}
	if err != nil {
		l.readErr = err
	}
	return n, err
}

func (l *link) read(p []byte) (int, error) {
	for {
		r := l.request
		if l.boundsFirstByte() {
			return l.readFirstBytes(p)
		}
		if r == nil || r.MaxPause <= 0 {
			n, err := l.Conn.Read(p)
			l.answered = l.answered || n > 0
			return n, err
		}
		if err := l.Conn.SetReadDeadline(time.Now().Add(r.MaxPause)); err != nil {
			return 0, err
		}
		n, err := l.Conn.Read(p)
		l.answered = l.answered || n > 0
		var netErr net.Error
		if n > 0 || !errors.As(err, &netErr) || !netErr.Timeout() {
			return n, err
		}
		if !r.KeepWaiting() {
			return 0, ErrSilent
		}
	}
}

// Do sends a request to an address and reads the head of its answer. The
// connection is closed when ctx ends.
func (x *Exchanger) Do(ctx context.Context, address string, r *Request) (*Answer, error) {
	l, err := x.acquireFor(ctx, address, r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err := r.admit(); err != nil {
		x.push(l)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	l.request = r
	r.tunnelVM = l.tunnelVM()
	l.answered, l.readErr = false, nil
	l.sentAt = clock.Now()
	stop := context.AfterFunc(ctx, func() { l.Conn.Close() })
	answer, err := l.exchange(r)
	if err != nil {
		stop()
		l.Conn.Close()
		if l.notReading.Load() {
			return nil, fmt.Errorf("target %s: %w", l.address, ErrNotReading)
		}
		if l.reused && !l.answered && !errors.Is(err, ErrSilent) {
			err = fmt.Errorf("%w: %w", ErrStale, err)
		}
		return nil, err
	}
	answer.stop = stop
	return answer, nil
}

// admit calls Admit, if it is set.
func (r *Request) admit() error {
	if r.Admit == nil {
		return nil
	}
	return r.Admit()
}

// exchange writes the request and reads the head of its answer.
func (l *link) exchange(r *Request) (*Answer, error) {
	if err := l.write(r); err != nil {
		return nil, fmt.Errorf("target %s: send: %w", l.address, err)
	}
	for surplus := 0; surplus <= maxSurplusAnswers; surplus++ {
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
		l.bound(maxSurplusBytes)
		if _, err := io.Copy(io.Discard, answer.body); err != nil {
			return nil, fmt.Errorf("target %s: surplus answer: %w", l.address, l.orNoAnswer(err))
		}
	}
	return nil, fmt.Errorf("target %s: the answer belongs to another request", l.address)
}

// maxSurplusAnswers bounds the answers to other requests that are skipped.
const maxSurplusAnswers = 2

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
	l.bodyWritten = make(chan error, 1)
	go func() {
		l.bodyWritten <- l.writeBody(r.Body)
	}()
	return nil
}

func (l *link) readHead(r *Request) (*Answer, error) {
	l.bound(maxHeadBytes)
	defer l.unbound()
	for {
		response, err := l.readResponse(r.Method)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		chunked := len(response.TransferEncoding) > 0
		return &Answer{
			Status:    response.StatusCode,
			Header:    response.Header,
			Length:    response.ContentLength,
			Framed:    chunked || response.ContentLength >= 0,
			link:      l,
			body:      response.Body,
			keepAlive: !response.Close,
		}, nil
	}
}

// readResponse reads a head, also an informational one, and checks it.
func (l *link) readResponse(method string) (*http.Response, error) {
	if err := l.recordHead(); err != nil {
		return nil, err
	}
	defer l.endHead()
	response, err := http.ReadResponse(l.reader, &http.Request{Method: method})
	if err != nil {
		return nil, l.orNoAnswer(err)
	}
	return response, errors.Join(checkHead(response), checkFraming(l.headText(), response))
}

// Read reads the body. It returns io.EOF only at the body's end.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) {
		a.complete = true
		return n, err
	}
	return n, a.link.orNotReading(a.link.orNoAnswer(err))
}

// Discard reads up to limit bytes of a body that nobody needs, for at most some time, so that the
// connection can be kept. The answer can't be read any more.
func (a *Answer) Discard(limit int64, within time.Duration) {
	a.link.request = nil // a pause is nobody's concern
	if a.link.Conn.SetReadDeadline(time.Now().Add(within)) != nil {
		return
	}
	// A body that is longer, late or broken stays incomplete, and Close closes its connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(a, limit+1))
}

// OnNewConn reports whether the answer came over a connection to the target that was opened for its
// request.
func (a *Answer) OnNewConn() bool { return !a.link.reused && a.link.tunnelVM() == "" }

// TunnelVM returns the peer address of the VM by way of which the answer came, or an empty string.
func (a *Answer) TunnelVM() string { return a.link.tunnelVM() }

// tunnelVM returns the peer address of the VM by way of which a connection leads, or an empty string.
func (l *link) tunnelVM() string {
	if conn, ok := l.Conn.(interface{ TunnelVM() string }); ok {
		return conn.TunnelVM()
	}
	return ""
}

// Close ends the exchange. The connection is kept if the answer was read whole
// and the request was written whole.
func (a *Answer) Close() {
	notCanceled := a.stop()
	l := a.link
	if !notCanceled || !a.complete || !a.keepAlive || !a.Framed || !l.allWritten() || l.reader.Buffered() > 0 {
		l.Conn.Close()
		return
	}
	l.request = nil
	if err := l.Conn.SetReadDeadline(time.Time{}); err != nil {
		l.Conn.Close()
		return
	}
	l.lastUsedAt = clock.Now()
	l.expiresAt = l.lastUsedAt.Add(idleTime(a.Header))
	l.exchanger.push(l)
}

func (l *link) allWritten() bool {
	if l.bodyWritten == nil {
		return true
	}
	select {
	case err := <-l.bodyWritten:
		l.bodyWritten = nil
		return err == nil
	default:
		return false
	}
}

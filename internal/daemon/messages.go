package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/spoolbank/spoolbank/internal/quota"
)

// This file reads the bodies of operators, targets and callers, within accounts for all of each.

// NoRoomError is the error of a message for which there was no memory, or which did not arrive in time.
// It was not handled.
type NoRoomError struct {
	// RetryAfter is when to send it again.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *NoRoomError) Error() string {
	return fmt.Sprintf("this VM has no room for the message: %v; send it again after %v, or to another VM", e.Err, e.RetryAfter)
}

// Unwrap returns the cause.
func (e *NoRoomError) Unwrap() error { return e.Err }

// ReadConfiguration reads an operator's body of up to limit bytes. The returned function releases its
// memory and must always be called. Without memory the error is a *NoRoomError.
func (g *Gateway) ReadConfiguration(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, func(), error) {
	return g.daemon.intake.readBody(w, r, classOperators, g.daemon.intake.operators, limit)
}

// ReadReport reads the body of a target's message, as ReadConfiguration does.
func (g *Gateway) ReadReport(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, func(), error) {
	return g.daemon.intake.readBody(w, r, classReports, g.daemon.intake.reports, limit)
}

// readBody reads a body within an account. Once it has come it counts until it is released.
func (i *intake) readBody(w http.ResponseWriter, r *http.Request, class string, account *quota.Account, limit int64) ([]byte, func(), error) {
	body := newBoundedBody(w, r, account, limit)
	text, err := body.readAll(unknownLength, limit, body.reserve)
	if err != nil {
		body.reservation.Release()
		return nil, func() {}, i.bodyError(r, class, account, err)
	}
	body.reservation.SetWhole()
	return text, body.reservation.Release, nil
}

// readRequest reads the body of a caller's request, for which reserve reserves the memory. While it
// arrives, a large one counts in an account too, so that bodies which never end leave memory for other
// requests. It has to come until a time, unless that is zero.
func (i *intake) readRequest(w http.ResponseWriter, r *http.Request, limit int64, until time.Time, reserve func(bytes int64) bool) ([]byte, error) {
	if r.ContentLength >= 0 && r.ContentLength <= requestAllowanceBytes {
		return i.readSmall(w, r, limit, until, reserve)
	}
	body := newBoundedBody(w, r, i.requests, limit)
	body.until = until
	defer body.reservation.Release()
	text, err := body.readAll(r.ContentLength, limit, func(bytes int64) bool {
		return reserve(bytes) && body.reserveAbove(requestAllowanceBytes, bytes)
	})
	if err != nil {
		return nil, i.requestError(r, err)
	}
	return text, nil
}

// readSmall reads the body of a request that takes nothing of the account. All of it has to come until a
// time, or within bodyTimeout. Nearly all requests are small, so this allocates the body alone.
func (i *intake) readSmall(w http.ResponseWriter, r *http.Request, limit int64, until time.Time, reserve func(bytes int64) bool) ([]byte, error) {
	if until.IsZero() {
		until = time.Now().Add(bodyTimeout)
	}
	conn, ok := w.(interface{ SetReadDeadline(time.Time) error })
	if ok {
		_ = conn.SetReadDeadline(until) // see newBoundedBody
	}
	text, err := readBounded(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit, reserve)
	if err != nil {
		return text, i.requestError(r, err)
	}
	if ok {
		_ = conn.SetReadDeadline(time.Time{}) // as above
	}
	return text, nil
}

// requestError returns the error of a request's body that was not read, which is errNoMemory if there
// was no room for it.
func (i *intake) requestError(r *http.Request, err error) error {
	if errors.Is(err, errNoMemory) {
		return err
	}
	err = i.bodyError(r, classRequests, i.requests, err)
	if errors.As(err, new(*NoRoomError)) {
		return errors.Join(errNoMemory, err)
	}
	return err
}

// bodyError returns the error of a body that was not read, and logs a lack of room.
func (i *intake) bodyError(r *http.Request, class string, account *quota.Account, err error) error {
	late := errors.Is(err, os.ErrDeadlineExceeded)
	if !late && !errors.Is(err, quota.ErrFull) && !errors.Is(err, quota.ErrRevoked) {
		return err
	}
	i.daemon.metrics.countBodyRefused(class)
	if allowed, withheld := i.closed.allow(class, time.Now()); allowed {
		usage := account.Usage()
		i.daemon.log.Info("message refused", "class", class, "peer", r.RemoteAddr, "path", r.URL.Path, "error", err.Error(),
			"held_bytes", usage.Held, "share_bytes", usage.Share, "open", usage.Open, "withheld", withheld)
	}
	return &NoRoomError{RetryAfter: bodyStall, Err: err}
}

// unknownLength is the length of a body whose announced length is not used: it may never come.
const unknownLength = -1

// boundedBody is a body that is read within an account.
type boundedBody struct {
	reader      io.Reader
	control     *http.ResponseController
	reservation *quota.Reservation
	// bytes is the size of the buffer, of which reserved bytes are in the account.
	bytes, reserved int64
	// until is when the whole body has to have come, zero if at any time.
	until time.Time
	full  error
}

// newBoundedBody returns the body of a request. If its reservation is revoked, a read of it ends.
func newBoundedBody(w http.ResponseWriter, r *http.Request, account *quota.Account, limit int64) *boundedBody {
	control := http.NewResponseController(w)
	return &boundedBody{
		reader: http.MaxBytesReader(w, r.Body, limit), control: control,
		// A connection without deadlines is one of a test.
		reservation: account.Reservation(func() { _ = control.SetReadDeadline(time.Now()) }),
	}
}

// readAll reads the body of up to limit bytes.
func (b *boundedBody) readAll(length, limit int64, reserve func(bytes int64) bool) ([]byte, error) {
	text, err := readBounded(b, length, limit, reserve)
	if err == nil {
		_ = b.control.SetReadDeadline(time.Time{}) // see newBoundedBody
		return text, nil
	}
	_ = b.control.SetReadDeadline(time.Now()) // nothing waits for the rest
	if b.full != nil {
		return nil, b.full
	}
	return text, err
}

// Read implements io.Reader. A body that pauses for too long ends.
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.reserved > 0 {
		if err := b.grow(0); err != nil {
			return 0, err
		}
	}
	deadline := time.Now().Add(bodyTimeout)
	if !b.until.IsZero() && b.until.Before(deadline) {
		deadline = b.until
	}
	_ = b.control.SetReadDeadline(deadline) // see newBoundedBody
	return b.reader.Read(p)
}

// reserve adds bytes to what the account has of the body, and reports whether there was room.
func (b *boundedBody) reserve(bytes int64) bool { return b.reserveAbove(0, bytes) }

// reserveAbove is reserve for a body of which the account has only what is above an allowance.
func (b *boundedBody) reserveAbove(allowance, bytes int64) bool {
	b.bytes += bytes
	if b.bytes <= allowance {
		return true
	}
	b.full = b.grow(b.bytes - b.reserved)
	return b.full == nil
}

func (b *boundedBody) grow(bytes int64) error {
	b.reserved += bytes
	return b.reservation.AwaitGrowTo(b.reserved, time.Now().Add(bodyRoomTimeout), nil)
}

func (m *metrics) countBodyRefused(class string) {
	m.intakeClosed.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", "no room for a message of "+class)))
}

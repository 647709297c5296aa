package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/spoolbank/spoolbank/internal/quota"
)

// This file reads the bodies of operators' and targets' messages, within accounts for all of them.

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
	return g.daemon.intake.readBody(w, r, "operators", g.daemon.intake.operators, limit)
}

// ReadReport reads the body of a target's message, as ReadConfiguration does.
func (g *Gateway) ReadReport(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, func(), error) {
	return g.daemon.intake.readBody(w, r, "reports", g.daemon.intake.reports, limit)
}

// readBody reads a body within an account. Once it has come it counts until it is released.
func (i *intake) readBody(w http.ResponseWriter, r *http.Request, class string, account *quota.Account, limit int64) ([]byte, func(), error) {
	control := http.NewResponseController(w)
	// A connection without deadlines is one of a test.
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body := &boundedBody{
		reader:      http.MaxBytesReader(w, r.Body, limit),
		reservation: account.Reservation(func() { _ = control.SetReadDeadline(time.Now()) }),
	}
	text, err := body.readAll(limit)
	if err != nil {
		_ = control.SetReadDeadline(time.Now()) // nothing waits for the rest
		body.reservation.Release()
		return nil, func() {}, i.bodyError(r, class, account, err)
	}
	_ = control.SetReadDeadline(time.Time{})
	body.reservation.SetWhole()
	return text, body.reservation.Release, nil
}

// bodyError returns the error of a body that was not read, and logs a lack of room.
func (i *intake) bodyError(r *http.Request, class string, account *quota.Account, err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
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

// boundedBody is a body that is read within an account.
type boundedBody struct {
	reader      io.Reader
	reservation *quota.Reservation
	reserved    int64
	full        error
}

// readAll reads the body of up to limit bytes. It starts with a small buffer, since a body may be
// announced and never come.
func (b *boundedBody) readAll(limit int64) ([]byte, error) {
	const unknown = -1
	text, err := readBounded(b, unknown, limit, b.reserve)
	if b.full != nil {
		return nil, b.full
	}
	return text, err
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if n > 0 && err == nil {
		err = b.grow(0) // records progress
	}
	return n, err
}

func (b *boundedBody) reserve(bytes int64) bool {
	b.full = b.grow(bytes)
	return b.full == nil
}

func (b *boundedBody) grow(bytes int64) error {
	b.reserved += bytes
	return b.reservation.AwaitGrowTo(b.reserved, time.Now().Add(bodyRoomTimeout), nil)
}

func (m *metrics) countBodyRefused(class string) {
	m.intakeClosed.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", "no room for a message of "+class)))
}

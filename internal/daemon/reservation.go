package daemon

import (
	"context"
	"time"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file reserves memory of the outbox for what a request holds: its body, its whole answer
// and the kernel's buffers for it.

// reservation is the memory that one request holds on this VM.
type reservation struct {
	outbox      *outbox
	id          relay.HoldingID
	kernelBytes int64
}

// newReservation creates an empty reservation.
func (o *outbox) newReservation() *reservation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return &reservation{outbox: o, id: o.holdings.Open()}
}

// reserve adds bytes for a side, and reports whether there is room for them at once.
func (r *reservation) reserve(s relay.Side, bytes int64) bool {
	r.outbox.mu.Lock()
	defer r.outbox.mu.Unlock()
	return r.add(s, bytes)
}

// add is reserve for callers that hold the lock.
func (r *reservation) add(s relay.Side, bytes int64) bool {
	now := time.Now()
	ok, ends := r.outbox.holdings.Reserve(r.id, s, bytes, now)
	for _, e := range ends {
		r.outbox.endCaller(e, now, "a new request needs the memory")
	}
	return ok
}

// hasRoom reports whether there is room for a body at present. It reserves nothing: a caller
// may announce a body and send nothing.
func (o *outbox) hasRoom(bytes int64) bool {
	if bytes <= initialBodyBytes {
		return true
	}
	r := o.newReservation()
	defer r.close()
	return r.reserve(relay.SideTargets, bytes)
}

// reserveKernel adds what the kernel may buffer for the request.
func (r *reservation) reserveKernel() bool {
	r.outbox.mu.Lock()
	defer r.outbox.mu.Unlock()
	if !r.add(relay.SideCallers, requestKernelBytes) {
		return false
	}
	if !r.add(relay.SideTargets, requestKernelBytes) {
		return false
	}
	r.kernelBytes = 2 * requestKernelBytes
	r.outbox.kernelBytes += r.kernelBytes
	return true
}

// awaitReserve adds bytes as soon as there is room for them, and reports false if there was none
// before the target's time limit for an unread answer.
func (r *reservation) awaitReserve(ctx context.Context, s relay.Side, bytes int64) bool {
	until := time.Now().Add(engineStallLimit)
	r.outbox.mu.Lock()
	defer r.outbox.mu.Unlock()
	for !r.add(s, bytes) {
		if ctx.Err() != nil || !time.Now().Before(until) {
			return false
		}
		r.outbox.awaitRoom(until, ctx.Done())
	}
	r.outbox.wakeNext()
	return true
}

// close releases the memory.
func (r *reservation) close() {
	r.outbox.mu.Lock()
	defer r.outbox.mu.Unlock()
	r.outbox.holdings.Close(r.id)
	r.outbox.kernelBytes -= r.kernelBytes
	r.kernelBytes = 0
	r.outbox.wakeNext()
}

// smallBodyBytes is the size of bodies that the kernel accepts at once: they leave this VM
// even if their targets don't read.
const smallBodyBytes = 16 << 10

// recordSending records a body in transit to a target, and reports whether there is room for it. The
// returned function ends the record.
func (o *outbox) recordSending(address string, bytes int) (func(), bool) {
	if bytes <= smallBodyBytes {
		return func() {}, true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.holdings.Send(address, int64(bytes)) {
		return nil, false
	}
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.holdings.Sent(address, int64(bytes))
	}, true
}

package daemon

import (
	"context"
	"time"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file reserves memory of the outbox for what a request holds: its body, its whole answer
// and what the kernel keeps of it.

// reservation is the memory that one request takes here.
type reservation struct {
	o      *outbox
	id     relay.HoldingID
	kernel int64
}

// open begins a reservation without bytes.
func (o *outbox) open() *reservation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return &reservation{o: o, id: o.holdings.Open()}
}

// reserve adds bytes that are held for a side, and reports whether there is room for them
// at once.
func (r *reservation) reserve(s relay.Side, bytes int64) bool {
	r.o.mu.Lock()
	defer r.o.mu.Unlock()
	return r.add(s, bytes)
}

// add does what reserve does. The lock is held.
func (r *reservation) add(s relay.Side, bytes int64) bool {
	now := time.Now()
	ok, ends := r.o.holdings.Reserve(r.id, s, bytes, now)
	for _, e := range ends {
		r.o.endHeld(e, now, "a new request needs the memory")
	}
	return ok
}

// hasRoom reports whether there is room for a body at present. None is taken: who says that
// much comes may send nothing.
func (o *outbox) hasRoom(bytes int64) bool {
	if bytes <= bodyFirst {
		return true
	}
	r := o.open()
	defer r.close()
	return r.reserve(relay.SideTargets, bytes)
}

// reserveKernel adds what the kernel may hold of the request.
func (r *reservation) reserveKernel() bool {
	r.o.mu.Lock()
	defer r.o.mu.Unlock()
	if !r.add(relay.SideCallers, requestKernel) {
		return false
	}
	if !r.add(relay.SideTargets, requestKernel) {
		return false
	}
	r.kernel = 2 * requestKernel
	r.o.kernel += r.kernel
	return true
}

// wait adds bytes as soon as there is room for them, and reports whether there was before
// the target would no longer bear the wait.
func (r *reservation) wait(ctx context.Context, s relay.Side, bytes int64) bool {
	until := time.Now().Add(engineStallLimit)
	r.o.mu.Lock()
	defer r.o.mu.Unlock()
	for !r.add(s, bytes) {
		if ctx.Err() != nil || !time.Now().Before(until) {
			return false
		}
		r.o.await(until, ctx.Done())
	}
	r.o.moreRoom()
	return true
}

// close gives the memory back.
func (r *reservation) close() {
	r.o.mu.Lock()
	defer r.o.mu.Unlock()
	r.o.holdings.Close(r.id)
	r.o.kernel -= r.kernel
	r.kernel = 0
	r.o.moreRoom()
}

// smallBody is the size of bodies that the kernel takes at once, in bytes: their targets
// need not read for them to leave this VM.
const smallBody = 16 << 10

// send notes a body on its way to a target, and reports whether there is room for it. The
// returned function says that it is no longer on its way.
func (o *outbox) send(address string, bytes int) (func(), bool) {
	if bytes <= smallBody {
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

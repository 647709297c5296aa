// Package quota accounts for the memory that messages take while they arrive.
//
// Problem: a process has to keep a message until its last byte has come. Each message has a limit of
// its own, but any number of connections may send one at once, and a process that exceeds its memory
// loses all its work in flight.
//
// Algorithm: all messages of a class share an Account. A reader takes a Reservation for each message and
// lets it grow before its buffer grows. Without room it waits or fails. The oldest reservation may grow
// beyond the share up to the limit of a message, so that messages which are larger than what is left
// arrive one after the other, and readers that wait for each other make progress. A reservation whose
// message makes no progress is revoked when another one needs the room.
//
// Invariants: the total is at most the share and one message; it is zero once all reservations are
// released; a reservation is never revoked if it has grown within the stall time, waits for room, or
// has its whole message.
//
// Limits: a revoked reservation counts until its owner releases it.
package quota

import (
	"errors"
	"slices"
	"sync"
	"time"
)

// ErrFull is returned if an account has no room.
var ErrFull = errors.New("no memory left for messages of this kind; send it again later, or raise the memory limit")

// ErrTooLarge is returned if a message is larger than its limit.
var ErrTooLarge = errors.New("the message is larger than one of this kind may be; send a smaller one")

// ErrRevoked is returned if a reservation was revoked because its message made no progress.
var ErrRevoked = errors.New("the message has made no progress and its memory was needed; send it again without pauses")

// Terms bound an account.
type Terms struct {
	// Share bounds all reservations together, in bytes. 0 means no bound.
	Share int64
	// Message bounds one reservation, in bytes.
	Message int64
	// Stall is how long a reservation may not grow before it may be revoked.
	Stall time.Duration
}

// Account is what the messages of one class take. It is safe for concurrent use.
type Account struct {
	terms Terms

	mu   sync.Mutex
	held int64
	// open holds the reservations with bytes, the oldest first.
	open []*Reservation
	// changed is closed and replaced whenever a reservation may have room that had none.
	changed          chan struct{}
	refused, revoked int64
}

// New returns an empty account.
func New(t Terms) *Account { return &Account{terms: t, changed: make(chan struct{})} }

// Usage is the state of an account.
type Usage struct {
	// Held and Share are in bytes.
	Held, Share int64
	// Open counts the reservations, Refused those without room, and Revoked those that were revoked.
	Open             int
	Refused, Revoked int64
}

// Usage returns the state of the account.
func (a *Account) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Usage{Held: a.held, Share: a.terms.Share, Open: len(a.open), Refused: a.refused, Revoked: a.revoked}
}

// Reservation is the part of an account that one message takes. One goroutine at a time uses it.
type Reservation struct {
	account  *Account
	onRevoke func()
	bytes    int64
	grownAt  time.Time
	// waiting is set while the owner waits for room, and whole once it has the whole message.
	waiting, whole bool
	revoked        bool
}

// Reservation returns an empty reservation. onRevoke is called once if it is revoked, with the account
// locked: it must not block or use the account.
func (a *Account) Reservation(onRevoke func()) *Reservation {
	return &Reservation{account: a, onRevoke: onRevoke}
}

// GrowTo sets the bytes of the reservation to a higher number, or returns ErrFull,
// ErrTooLarge or ErrRevoked.
func (r *Reservation) GrowTo(bytes int64, now time.Time) error {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	err := r.growTo(bytes, now)
	if errors.Is(err, ErrFull) {
		a.refused++
	}
	return err
}

// AwaitGrowTo is GrowTo that waits for room until the deadline, or until done is closed.
func (r *Reservation) AwaitGrowTo(bytes int64, deadline time.Time, done <-chan struct{}) error {
	a := r.account
	defer r.setWaiting(false)
	for {
		a.mu.Lock()
		r.waiting = true
		now := time.Now()
		err := r.growTo(bytes, now)
		giveUp := !now.Before(deadline)
		if errors.Is(err, ErrFull) && giveUp {
			a.refused++
		}
		changed := a.changed
		wait := min(deadline.Sub(now), a.terms.Stall/2)
		a.mu.Unlock()
		if !errors.Is(err, ErrFull) || giveUp {
			return err
		}
		timer := time.NewTimer(max(wait, time.Millisecond))
		select {
		case <-changed:
		case <-timer.C:
		case <-done:
			timer.Stop()
			return ErrFull
		}
		timer.Stop()
	}
}

func (r *Reservation) setWaiting(waiting bool) {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.waiting = waiting
}

// SetWhole records that the owner has the whole message, which it handles until it releases the
// reservation.
func (r *Reservation) SetWhole() {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.whole = true
}

// growTo is GrowTo for callers that hold the lock.
func (r *Reservation) growTo(bytes int64, now time.Time) error {
	a := r.account
	more := bytes - r.bytes
	switch {
	case r.revoked:
		return ErrRevoked
	case a.terms.Message > 0 && bytes > a.terms.Message:
		return ErrTooLarge
	case more <= 0:
		r.grownAt = now
		return nil
	case a.terms.Share > 0 && a.held+more > a.terms.Share && !r.isOldest():
		a.revokeStalled(r, now)
		return ErrFull
	}
	if r.bytes == 0 {
		a.open = append(a.open, r)
	}
	r.bytes, r.grownAt, r.whole = bytes, now, false
	a.held += more
	return nil
}

// isOldest reports whether this is the oldest reservation, or would be.
func (r *Reservation) isOldest() bool { return len(r.account.open) == 0 || r.account.open[0] == r }

// revokeStalled revokes the largest reservation whose message makes no progress, except one.
func (a *Account) revokeStalled(except *Reservation, now time.Time) {
	var largest *Reservation
	for _, r := range a.open {
		if r != except && r.revocable(now) && (largest == nil || r.bytes > largest.bytes) {
			largest = r
		}
	}
	if largest == nil {
		return
	}
	largest.revoked = true
	a.revoked++
	if largest.onRevoke != nil {
		largest.onRevoke()
	}
}

// revocable reports whether the message makes no progress, and its owner is not at fault.
func (r *Reservation) revocable(now time.Time) bool {
	return !r.revoked && !r.waiting && !r.whole && now.Sub(r.grownAt) >= r.account.terms.Stall
}

// Release returns all bytes. The reservation may be used for another message afterwards, unless it was
// revoked.
func (r *Reservation) Release() {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.bytes == 0 {
		return
	}
	a.held -= r.bytes
	r.bytes = 0
	a.open = slices.DeleteFunc(a.open, func(o *Reservation) bool { return o == r })
	close(a.changed)
	a.changed = make(chan struct{})
}

package quota_test

import (
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/quota"
)

const (
	share   = 1000
	message = 400
	stall   = time.Second
)

func terms() quota.Terms { return quota.Terms{Share: share, Message: message, Stall: stall} }

// play plays random steps of messages that arrive at random, and returns the account after all of them
// are gone. forget is the chance that an owner forgets to release one.
func play(t *testing.T, seed uint64, forget float64) quota.Usage {
	random := rand.New(rand.NewPCG(seed, 0))
	account := quota.New(terms())
	now := time.Unix(0, 0)
	type owner struct {
		*quota.Reservation
		bytes   int64
		at      time.Time
		whole   bool
		revoked bool
	}
	var owners []*owner
	for range 400 {
		now = now.Add(time.Duration(random.Int64N(int64(stall / 4))))
		if len(owners) < 12 {
			o := &owner{}
			o.Reservation = account.Reservation(func() {
				require.GreaterOrEqual(t, now.Sub(o.at), stall, "seed %d: a message that arrives is revoked", seed)
				require.False(t, o.whole, "seed %d: a whole message is revoked", seed)
				o.revoked = true
			})
			owners = append(owners, o)
		}
		n := random.IntN(len(owners))
		o := owners[n]
		switch random.IntN(6) {
		case 0:
			if random.Float64() >= forget {
				o.Release()
			}
			owners = append(owners[:n], owners[n+1:]...)
		case 1:
			o.SetWhole()
			o.whole = o.bytes > 0
		default:
			more := o.bytes + random.Int64N(message/2)
			err := o.GrowTo(more, now)
			switch {
			case more > message && !o.revoked:
				require.ErrorIs(t, err, quota.ErrTooLarge, "seed %d", seed)
			case err == nil:
				o.bytes, o.at, o.whole = more, now, false
			case o.revoked:
				require.ErrorIs(t, err, quota.ErrRevoked, "seed %d", seed)
			default:
				require.ErrorIs(t, err, quota.ErrFull, "seed %d", seed)
			}
		}
		require.LessOrEqual(t, account.Usage().Held, int64(share+message), "seed %d", seed)
	}
	for _, o := range owners {
		o.Release()
	}
	return account.Usage()
}

// Guards against accounts that exceed their bound, or keep bytes of messages that are gone.
func TestAccountStaysWithinBoundAndReturnsToZero(t *testing.T) {
	for seed := range uint64(500) {
		usage := play(t, seed, 0)
		require.Zero(t, usage.Held, "seed %d", seed)
		require.Zero(t, usage.Open, "seed %d", seed)
	}
}

// A release that is forgotten must show, or the test above proves nothing.
func TestForgottenReleaseIsFound(t *testing.T) {
	found := 0
	for seed := range uint64(20) {
		if play(t, seed, 0.2).Held > 0 {
			found++
		}
	}
	require.Positive(t, found)
}

// Guards against messages that wait for each other for ever: each has a part, and none the rest.
func TestOldestMessageAlwaysHasRoom(t *testing.T) {
	account := quota.New(terms())
	now := time.Unix(0, 0)
	var all []*quota.Reservation
	for range 5 {
		r := account.Reservation(nil)
		require.NoError(t, r.GrowTo(share/5, now))
		all = append(all, r)
	}
	require.ErrorIs(t, all[1].GrowTo(message, now), quota.ErrFull)
	require.NoError(t, all[0].GrowTo(message, now))
	all[0].Release()
	require.NoError(t, all[1].GrowTo(message, now))
}

// Guards against a message without progress that keeps the memory of others.
func TestStalledMessageIsRevoked(t *testing.T) {
	account := quota.New(terms())
	var revoked atomic.Bool
	stalled := account.Reservation(func() { revoked.Store(true) })
	now := time.Unix(0, 0)
	require.NoError(t, stalled.GrowTo(message, now))
	for range 2 {
		require.NoError(t, account.Reservation(nil).GrowTo(share/4, now.Add(stall/2)))
	}
	other := account.Reservation(nil)
	require.ErrorIs(t, other.GrowTo(message, now.Add(stall/2)), quota.ErrFull)
	require.False(t, revoked.Load())
	require.ErrorIs(t, other.GrowTo(message, now.Add(stall)), quota.ErrFull)
	require.True(t, revoked.Load())
	require.ErrorIs(t, stalled.GrowTo(message, now.Add(stall)), quota.ErrRevoked)
	stalled.Release()
	require.NoError(t, other.GrowTo(message, now.Add(stall)))
}

// Guards against waiting readers that are not woken when there is room.
func TestWaitingMessageGetsRoom(t *testing.T) {
	account := quota.New(terms())
	first, second := account.Reservation(nil), account.Reservation(nil)
	require.NoError(t, first.GrowTo(message, time.Now()))
	third := account.Reservation(nil)
	require.NoError(t, third.GrowTo(message, time.Now()))
	got := make(chan error, 1)
	go func() { got <- second.AwaitGrowTo(message, time.Now().Add(time.Hour), nil) }()
	first.Release()
	require.NoError(t, <-got)
}

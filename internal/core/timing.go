package core

import (
	"time"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// Timing holds the intervals that the reducer computes its deadlines from.
type Timing struct {
	// Heartbeat is the interval between a leader's messages to its followers.
	Heartbeat time.Duration
	// ElectionMin and ElectionMax bound the silence after which a follower
	// stands for election. A follower grants no vote within ElectionMin of
	// having heard a leader, which is what a leader's lease rests on.
	ElectionMin time.Duration
	ElectionMax time.Duration
	// LeaseTerm is the life of the lease of an entry VM.
	LeaseTerm time.Duration
	// RenewEvery is the interval between renewals of that lease.
	RenewEvery time.Duration
	// DriftPerMille bounds how far two clocks may drift apart, in thousandths.
	DriftPerMille int
	// ReplaceAfter is the silence after which a voter is replaced by a spare.
	ReplaceAfter time.Duration
	// KeepEntries is how long callers may keep an answer of entry addresses.
	KeepEntries time.Duration
	// KeepEntriesAfterLoss is that while entry VMs are lost: the answer names the others,
	// and to ask for the next may meet a lost VM again.
	KeepEntriesAfterLoss time.Duration
	// KeepAnswer is how long a finished answer can be fetched again.
	KeepAnswer time.Duration
	// KeepClaim is how long a claim and its record are kept.
	KeepClaim time.Duration
	// Reattach is how long a stream runs on without its caller.
	Reattach time.Duration
	// PeerReply is how long a reply of another entry VM is waited for.
	PeerReply time.Duration
	// OrderLife is how long after its issue an order may still be delivered.
	OrderLife time.Duration
	// WatchEvery is the interval between two looks at a watched target.
	WatchEvery time.Duration
	// StageSilence is the wait for a stage before it is taken for dead.
	StageSilence time.Duration
	// TargetHeartbeat is the interval at which registered targets say that they live.
	TargetHeartbeat time.Duration
}

// DefaultTiming returns the intervals that the measurements in docs/ are for.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:            100 * time.Millisecond,
		ElectionMin:          500 * time.Millisecond,
		ElectionMax:          1000 * time.Millisecond,
		LeaseTerm:            3 * time.Second,
		RenewEvery:           500 * time.Millisecond,
		DriftPerMille:        20,
		ReplaceAfter:         10 * time.Second,
		KeepEntries:          5 * time.Second,
		KeepEntriesAfterLoss: 5 * time.Second,
		KeepAnswer:           60 * time.Second,
		KeepClaim:            24 * time.Hour,
		Reattach:             10 * time.Second,
		PeerReply:            300 * time.Millisecond,
		OrderLife:            2 * time.Second,
		WatchEvery:           500 * time.Millisecond,
		StageSilence:         2 * time.Second,
		TargetHeartbeat:      1200 * time.Millisecond,
	}
}

// listedRenewals is the number of renewals that an entry VM may miss before
// callers are no longer sent to it: one lost message costs one.
const listedRenewals = 3

// listedFor is how long after its last renewal callers are sent to an entry VM.
func (t Timing) listedFor() time.Duration { return min(listedRenewals*t.RenewEvery, t.LeaseTerm) }

// targetSilence is the silence after which a target counts as lost.
func (t Timing) targetSilence() time.Duration { return relay.SilentAfter(t.TargetHeartbeat) }

// replacedSilence is that silence where another target has its address: half of it.
func (t Timing) replacedSilence() time.Duration { return t.targetSilence() / 2 }

// Shortened returns d less the bound on drift: what the holder of a lease may
// count on.
func (t Timing) Shortened(d time.Duration) time.Duration {
	return d - d*time.Duration(t.DriftPerMille)/1000
}

// Lengthened returns d and the bound on drift: what the giver of a lease waits.
func (t Timing) Lengthened(d time.Duration) time.Duration {
	return d + d*time.Duration(t.DriftPerMille)/1000
}

package core

import (
	"time"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// Timing holds the intervals that the reducer computes its deadlines from.
type Timing struct {
	// Heartbeat is the interval between a leader's messages to its followers.
	Heartbeat time.Duration
	// ElectionMin and ElectionMax bound the randomized election timeout of a
	// follower. A follower grants no vote within ElectionMin of the last message
	// of a leader; the leader's lease depends on this.
	ElectionMin time.Duration
	ElectionMax time.Duration
	// LeaseDuration is the duration of an entry VM's lease.
	LeaseDuration time.Duration
	// RenewInterval is the interval between renewals of that lease.
	RenewInterval time.Duration
	// ConfirmWithin is how long a configuration counts as the newest after it was confirmed.
	ConfirmWithin time.Duration
	// DriftPerMille bounds the relative drift of two clocks, in thousandths.
	DriftPerMille int
	// ReplaceAfter is the silence after which a spare replaces a voter.
	ReplaceAfter time.Duration
	// KeepEntries is how long callers may cache a list of entry addresses.
	KeepEntries time.Duration
	// KeepEntriesAfterLoss replaces KeepEntries while entry VMs are lost: the list has only
	// the others, and a request for the next list may reach a lost VM again.
	KeepEntriesAfterLoss time.Duration
	// AnswerRetention is how long a finished answer can be fetched again.
	AnswerRetention time.Duration
	// ClaimRetention is how long a claim and its record are kept.
	ClaimRetention time.Duration
	// ReattachTimeout is how long a stream keeps running without its caller.
	ReattachTimeout time.Duration
	// PeerReplyTimeout is the timeout for a reply of another entry VM.
	PeerReplyTimeout time.Duration
	// OrderLifetime is how long after its issue an order may still be delivered.
	OrderLifetime time.Duration
	// ProbeInterval is the interval between two probes of a watched target.
	ProbeInterval time.Duration
	// StageTimeout is how long a stage may stay silent before it counts as lost.
	StageTimeout time.Duration
	// TargetHeartbeat is the interval between heartbeats of a registered target.
	TargetHeartbeat time.Duration
}

// DefaultTiming returns the intervals that the measurements in docs/ were made with.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:            100 * time.Millisecond,
		ElectionMin:          500 * time.Millisecond,
		ElectionMax:          1000 * time.Millisecond,
		LeaseDuration:        3 * time.Second,
		RenewInterval:        500 * time.Millisecond,
		ConfirmWithin:        1500 * time.Millisecond,
		DriftPerMille:        20,
		ReplaceAfter:         10 * time.Second,
		KeepEntries:          5 * time.Second,
		KeepEntriesAfterLoss: 5 * time.Second,
		AnswerRetention:      60 * time.Second,
		ClaimRetention:       24 * time.Hour,
		ReattachTimeout:      10 * time.Second,
		PeerReplyTimeout:     300 * time.Millisecond,
		OrderLifetime:        2 * time.Second,
		ProbeInterval:        500 * time.Millisecond,
		StageTimeout:         2 * time.Second,
		TargetHeartbeat:      1200 * time.Millisecond,
	}
}

// listedRenewals is the number of renewal intervals without a renewal after which
// callers are no longer sent to an entry VM. Each lost message costs one interval.
const listedRenewals = 3

// listedDuration returns how long after its last renewal callers are sent to an entry VM.
func (t Timing) listedDuration() time.Duration {
	return min(listedRenewals*t.RenewInterval, t.LeaseDuration)
}

// targetTimeout returns the silence after which a target counts as lost.
func (t Timing) targetTimeout() time.Duration { return relay.LossTimeout(t.TargetHeartbeat) }

// replacedTargetTimeout returns the same for a target whose address another one uses: half of it.
func (t Timing) replacedTargetTimeout() time.Duration { return t.targetTimeout() / 2 }

// Shortened returns d reduced by the drift bound: the duration that the holder of a
// lease may rely on.
func (t Timing) Shortened(d time.Duration) time.Duration {
	return d - d*time.Duration(t.DriftPerMille)/1000
}

// Lengthened returns d extended by the drift bound: how long the grantor of a lease
// waits for it to expire.
func (t Timing) Lengthened(d time.Duration) time.Duration {
	return d + d*time.Duration(t.DriftPerMille)/1000
}

package core

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// entryLease is the state of an entry VM's lease on the entry VM's side; forwarding.go has the
// control VM's side.
type entryLease struct {
	// leader is the VM that granted the last lease. source is the control VM that delivered it
	// and is asked for the next one; it is empty while this VM looks for another one.
	leader VMName
	source VMName
	// grantedBy is the control VM that delivered the last lease.
	grantedBy VMName
	// failedTries counts the control VMs asked without success since the last lease. refusedAt is
	// when a redirect without a lease was last counted as such a try.
	failedTries int
	refusedAt   time.Time
	// ownHallRetryAt is when a control VM of the own hall is tried again; it is zero unless the
	// own hall was asked without success.
	ownHallRetryAt time.Time
	// renewals counts the renewals; sentAt has the time at which each one was sent.
	renewals uint64
	sentAt   map[uint64]time.Time
	renewAt  time.Time
	// answerBy is when the source counts as silent and another control VM is asked.
	answerBy time.Time
	// listOffset is the random offset at which this VM starts in the list of control VMs of other
	// halls.
	listOffset int
	// redirectedAt is when this VM last followed a redirect to other control VMs.
	redirectedAt time.Time
	// permitsAt is the earliest time of the next renewal that is sent only for permits.
	permitsAt time.Time
	term      Term
	until     time.Time
}

// entry is the state of the entry role.
type entry struct {
	lease  entryLease
	config config.State
	// confirmation is how current config is known to be.
	confirmation confirmation
	keys         map[string]string
	// decoded is the decoded document, by which requests are routed.
	decoded documentCache
	// work is the work of this VM in flight at registered targets.
	work map[relay.TargetKey]relay.Work
	// usage counts this VM's requests and repeats in the last window, by service.
	usage map[string]relay.Usage
	// workSeen is the number of the newest change of work that this VM has received.
	workSeen uint64
	// marksSeen is the number of the newest change of marks that it has received.
	marksSeen uint64
	// findings is what this VM has recently observed of targets.
	findings relay.Findings
	// limits are the rate limits of declared targets.
	limits *relay.RateLimits
	// permitRequests are the permit requests of this VM for registered targets with limits.
	permitRequests []relay.PermitRequest
	// crashes are the crashed runs that this VM reports.
	crashes crashes
	// controls are the live control VMs, as last received.
	controls []ControlVM
	// controlsSeen is the version of that list.
	controlsSeen uint64
	view         []EntryView
	viewVersion  uint64
	// viewSum is the checksum of view, and viewNumber the number of the renewal whose grant
	// brought it.
	viewSum    uint64
	viewNumber uint64
	// lost holds the entry VMs that disappeared from view without draining, and when.
	lost map[VMName]time.Time
	// halls maps each VM in view to its data hall.
	halls   map[VMName]string
	pools   map[string]*pool
	targets map[string]*targetState
	streams map[RequestID]*stream
	// streamByConn and connByCall find a stream by its caller's connection, and the connection of
	// a call that may not be repeated.
	streamByConn map[ConnID]RequestID
	calls        map[ConnID]*call
	connByCall   map[RequestID]ConnID
	inProgress   map[string]int
	// keptRecords are kept for other entry VMs, and keeperLinks lead to the keepers of this VM's
	// streams.
	keptRecords    map[RequestID]*keptRecord
	keeperLinks    map[VMName]*keeperLink
	keepNumber     uint64
	pendingFinds   map[RequestID]*recordSearch
	pendingRecords map[RequestID]*pendingRecord
	claimAttempts  uint64
	budget         retryBudget
	sweepAt        time.Time
	watchAt        time.Time
	watchKey       watchKey
	watchList      []config.Target
	// leaveAt is when all answers that list this VM have expired.
	leaveAt time.Time
}

func (n *Node) startEntry() {
	n.entry = entry{
		lease:          entryLease{sentAt: make(map[uint64]time.Time), listOffset: n.rand.IntN(math.MaxInt32)},
		keys:           make(map[string]string),
		lost:           make(map[VMName]time.Time),
		pools:          make(map[string]*pool),
		targets:        make(map[string]*targetState),
		streams:        make(map[RequestID]*stream),
		streamByConn:   make(map[ConnID]RequestID),
		calls:          make(map[ConnID]*call),
		connByCall:     make(map[RequestID]ConnID),
		inProgress:     make(map[string]int),
		keptRecords:    make(map[RequestID]*keptRecord),
		keeperLinks:    make(map[VMName]*keeperLink),
		pendingFinds:   make(map[RequestID]*recordSearch),
		pendingRecords: make(map[RequestID]*pendingRecord),
		limits:         relay.NewRateLimits(n.rand.Uint64()),
		budget:         newRetryBudget(),
	}
}

func (n *Node) receiveEntry(e Envelope) {
	switch b := e.Body; {
	case b.Grant != nil:
		n.handleGrant(e.From, *b.Grant)
	case b.Redirect != nil:
		n.handleRedirect(e.From, *b.Redirect)
	case b.ClaimReply != nil:
		n.handleClaimReply(*b.ClaimReply)
	case b.RecordReply != nil:
		n.handleRecordReply(*b.RecordReply)
	case b.Keep != nil:
		n.handleKeep(e.From, *b.Keep)
	case b.KeepReply != nil:
		n.handleKeepReply(e.From, *b.KeepReply)
	case b.Find != nil:
		n.handleFind(e.From, *b.Find)
	case b.FindReply != nil:
		n.handleFindReply(e.From.VM, *b.FindReply)
	}
}

func (n *Node) tickEntry() {
	l := &n.entry.lease
	silent := l.renewals > 0 && !l.answerBy.IsZero() && !n.now.Before(l.answerBy)
	if silent {
		l.source = ""
	}
	if l.source != "" && !l.ownHallRetryAt.IsZero() && !n.now.Before(l.ownHallRetryAt) {
		l.source, l.failedTries, l.ownHallRetryAt = "", 0, time.Time{}
	}
	if silent || !n.now.Before(l.renewAt) {
		n.renew()
	}
	n.tickWatch()
	n.tickLinks()
	n.tickFinds()
	if !n.now.Before(n.entry.sweepAt) {
		n.entry.sweepAt = n.now.Add(sweepEvery)
		n.entry.crashes.expire(n.now)
		if len(n.entry.crashes.trials)+len(n.entry.crashes.unused) > 0 {
			n.renewSoon()
		}
		n.sweep()
	}
}

// sweepEvery is the interval between checks of all deadlines of an entry VM.
const sweepEvery = 100 * time.Millisecond

// hasLease reports whether this VM may accept new work.
func (n *Node) hasLease() bool { return n.now.Before(n.entry.lease.until) }

// ownHallRetryDelay is how long an entry VM renews in another hall after no control VM of its
// own hall answered. A killed control VM is back within a few seconds.
const ownHallRetryDelay = 3 * time.Second

// ownHallControls returns the known control VMs of the own hall in the order in which this VM
// asks them. The order is by rendezvous hash: the VMs of a hall spread over its control VMs,
// and few of them change their source when a control VM joins or leaves.
func (n *Node) ownHallControls() []VMName {
	var home []VMName
	for _, c := range n.entry.controls {
		if c.Hall == n.settings.Address.Hall {
			home = append(home, c.VM)
		}
	}
	slices.SortFunc(home, func(a, b VMName) int { return cmp.Compare(n.controlWeight(b), n.controlWeight(a)) })
	return home
}

func (n *Node) controlWeight(control VMName) uint64 {
	return xxhash.Sum64String(string(n.settings.Self.VM) + "\x00" + string(control))
}

// preferFirstOfHall switches to the first control VM of the own hall if this VM renews with
// another one of that hall. At a start, all VMs of a hall ask the control VM that is ready
// first.
func (n *Node) preferFirstOfHall() {
	l := &n.entry.lease
	home := n.ownHallControls()
	if len(home) > 0 && l.source != home[0] && slices.Contains(home, l.source) {
		l.source, l.failedTries = "", 0
	}
}

// nextControl picks the control VM to ask next: first each one of the own hall, then all others,
// round-robin until one grants a lease. away reports that the own hall has control VMs and was
// asked without success.
func (n *Node) nextControl() (vm VMName, away bool) {
	l := &n.entry.lease
	home := n.ownHallControls()
	others := slices.DeleteFunc(n.controlVMs(), func(vm VMName) bool { return slices.Contains(home, vm) })
	at := l.failedTries % (len(home) + len(others))
	l.failedTries++
	if at < len(home) {
		return home[at], false
	}
	return others[(l.listOffset+at)%len(others)], len(home) > 0
}

// renew requests the next lease.
func (n *Node) renew() {
	l := &n.entry.lease
	l.renewals++
	l.sentAt[l.renewals] = n.now
	l.renewAt = n.now.Add(n.settings.Timing.RenewInterval)
	l.answerBy = n.now.Add(n.settings.Timing.PeerReplyTimeout)
	for number := range l.sentAt {
		if number+maxRenewalsInFlight < l.renewals {
			delete(l.sentAt, number)
		}
	}
	away := !l.ownHallRetryAt.IsZero()
	if l.source == "" {
		l.source, away = n.nextControl()
		l.ownHallRetryAt = time.Time{}
		if away {
			l.ownHallRetryAt = n.now.Add(ownHallRetryDelay)
		}
		n.registry.followAt = n.now
	}
	n.deliver(l.source, Message{Renew: &Renew{
		HallUnreachable: away,
		Number:          l.renewals,
		Address:         n.settings.Address,
		Revision:        n.entry.config.Revision,
		ViewVersion:     n.entry.viewVersion,
		ViewSum:         n.entry.viewSum,
		ControlsSeen:    n.entry.controlsSeen,
		Leaving:         n.stopping,
		InProgress:      len(n.entry.streams) + len(n.entry.calls),
		Load:            n.load(),
		Reports:         n.reports(),
		WorkSeen:        n.entry.workSeen,
		MarksSeen:       n.entry.marksSeen,
		Work:            n.entry.work,
		Usage:           n.entry.usage,
		Failed:          n.entry.findings.Failed,
		Healthy:         n.entry.findings.Healthy,
		Slow:            n.entry.findings.Slow,
		Draining:        n.entry.findings.Leaving,
		Limits:          n.limitRequests(),
		Crashed:         n.entry.crashes.reports(n.now),
		Survived:        n.entry.crashes.survivals(n.now),
		Labels:          n.entry.crashes.labels(),
		Trials:          n.entry.crashes.wanted(),
		Unused:          n.entry.crashes.returned(),
	}})
}

// renewRetryDelay is the delay before the next renewal after a control VM could grant nothing.
// After a loss of all VMs most entry VMs ask a moment too early, and waiting a whole renewal
// interval would take long.
const renewRetryDelay = 100 * time.Millisecond

// retryRenewSoon schedules the next renewal after renewRetryDelay. Only one such refusal per
// renewal interval counts as a failed try, so that the shorter delay leaves the control VMs of
// the hall no less time to find a leader.
func (n *Node) retryRenewSoon() {
	l := &n.entry.lease
	l.renewAt = earlier(l.renewAt, n.now.Add(renewRetryDelay))
	if n.now.Before(l.refusedAt.Add(n.settings.Timing.RenewInterval)) {
		l.failedTries = max(l.failedTries-1, 0)
		return
	}
	l.refusedAt = n.now
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// maxRenewalsInFlight bounds the renewals that can still be answered.
const maxRenewalsInFlight = 16

// handleRedirect handles the reply of a control VM that can't serve a request. A redirect to other
// control VMs is followed at most once per renewal interval, which bounds the cost of two VMs
// that name each other.
func (n *Node) handleRedirect(from ReplicaID, r Redirect) {
	l := &n.entry.lease
	if r.Leader != "" && r.Leader != from.VM {
		l.leader = r.Leader
	}
	if from.VM != l.source {
		return
	}
	l.source = ""
	l.answerBy = time.Time{}
	if !n.hasLease() {
		n.retryRenewSoon()
	}
	if len(r.Controls) == 0 || n.now.Before(l.redirectedAt.Add(n.settings.Timing.RenewInterval)) {
		return
	}
	l.redirectedAt = n.now
	n.entry.controls = mergeControls(n.entry.controls, r.Controls)
	l.failedTries = 0
	n.renew()
}

// mergeControls merges two lists of control VMs. The newer list determines a VM's hall.
func mergeControls(old, newer []ControlVM) []ControlVM {
	merged := slices.Clone(newer)
	for _, c := range old {
		if !slices.ContainsFunc(newer, func(o ControlVM) bool { return o.VM == c.VM }) {
			merged = append(merged, c)
		}
	}
	return merged
}

// drainEntry begins the planned stop of an entry VM: callers are no longer given its address,
// and it accepts work until the longest-kept answer that lists it has expired.
func (n *Node) drainEntry() {
	n.entry.leaveAt = n.now.Add(max(n.settings.Timing.KeepEntries, n.settings.Timing.KeepEntriesAfterLoss) + n.settings.Timing.RenewInterval)
	n.renew()
}

// entryIdle reports whether a draining entry VM has no work left.
func (n *Node) entryIdle() bool {
	if n.now.Before(n.entry.leaveAt) {
		return false
	}
	for _, s := range n.entry.streams {
		if s.phase != phaseDone {
			return false
		}
	}
	return len(n.entry.calls) == 0 && len(n.entry.pendingRecords) == 0 && len(n.entry.streamByConn) == 0
}

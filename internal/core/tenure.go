package core

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// tenure is an entry VM's half of its lease: see grants.go.
type tenure struct {
	leader VMName
	// asked counts requests for renewal; sent holds when each went out.
	asked   uint64
	sent    map[uint64]time.Time
	renewAt time.Time
	// answerBy is when another control VM is asked.
	answerBy time.Time
	turn     int
	term     Term
	until    time.Time
}

// entry is the state of the entry role.
type entry struct {
	tenure tenure
	config config.State
	keys   map[string]string
	// decoded is the document that requests are routed by.
	decoded decoded
	// work is what this VM has under way at registered targets.
	work map[relay.TargetKey]relay.Work
	// workSeen is the number of the newest change of work that this VM was told of.
	workSeen uint64
	// dead and well are the targets that this VM has lately found so.
	dead, well []relay.TargetKey
	// controls are the members of the control state, as the last lease said.
	controls    []VMName
	view        []EntryView
	viewVersion uint64
	// halls holds the data hall of each VM in view.
	halls      map[VMName]string
	pools      map[string]*pool
	targets    map[string]*targetState
	streams    map[RequestID]*stream
	attached   map[ConnID]RequestID
	calls      map[ConnID]*call
	callIDs    map[RequestID]ConnID
	inProgress map[string]int
	kept       map[RequestID]*keptRecord
	links      map[VMName]*keeperLink
	keepNumber uint64
	finds      map[RequestID]*find
	records    map[RequestID]*pendingRecord
	attempts   uint64
	budget     retryBudget
	sweepAt    time.Time
	watchAt    time.Time
	watchKey   watchKey
	watchList  []config.Target
	// leaveAt is when the answers that name this VM have all run out.
	leaveAt time.Time
}

func (n *Node) startEntry() {
	n.entry = entry{
		tenure:     tenure{sent: make(map[uint64]time.Time)},
		keys:       make(map[string]string),
		pools:      make(map[string]*pool),
		targets:    make(map[string]*targetState),
		streams:    make(map[RequestID]*stream),
		attached:   make(map[ConnID]RequestID),
		calls:      make(map[ConnID]*call),
		callIDs:    make(map[RequestID]ConnID),
		inProgress: make(map[string]int),
		kept:       make(map[RequestID]*keptRecord),
		links:      make(map[VMName]*keeperLink),
		finds:      make(map[RequestID]*find),
		records:    make(map[RequestID]*pendingRecord),
		budget:     newRetryBudget(),
	}
}

func (n *Node) receiveEntry(e Envelope) {
	switch b := e.Body; {
	case b.Grant != nil:
		n.granted(e.From, *b.Grant)
	case b.Redirect != nil:
		n.redirected(e.From, *b.Redirect)
	case b.ClaimReply != nil:
		n.claimReplied(*b.ClaimReply)
	case b.RecordReply != nil:
		n.recordReplied(*b.RecordReply)
	case b.Keep != nil:
		n.keepAsked(e.From, *b.Keep)
	case b.KeepReply != nil:
		n.keepReplied(e.From, *b.KeepReply)
	case b.Find != nil:
		n.findAsked(e.From, *b.Find)
	case b.FindReply != nil:
		n.findReplied(e.From.VM, *b.FindReply)
	}
}

func (n *Node) tickEntry() {
	t := &n.entry.tenure
	silent := t.asked > 0 && !t.answerBy.IsZero() && !n.now.Before(t.answerBy)
	if silent {
		t.leader = ""
	}
	if silent || !n.now.Before(t.renewAt) {
		n.renew()
	}
	n.tickWatch()
	n.tickLinks()
	n.tickFinds()
	if !n.now.Before(n.entry.sweepAt) {
		n.entry.sweepAt = n.now.Add(sweepEvery)
		n.sweep()
	}
}

// sweepEvery is the interval between looks at all deadlines of an entry VM.
const sweepEvery = 100 * time.Millisecond

// hasLease reports whether this VM may take new work.
func (n *Node) hasLease() bool { return n.now.Before(n.entry.tenure.until) }

// renew asks for the next lease: the leader, or the control VMs in turn.
func (n *Node) renew() {
	t := &n.entry.tenure
	t.asked++
	t.sent[t.asked] = n.now
	t.renewAt = n.now.Add(n.settings.Timing.RenewEvery)
	t.answerBy = n.now.Add(n.settings.Timing.PeerReply)
	for number := range t.sent {
		if number+keptAsks < t.asked {
			delete(t.sent, number)
		}
	}
	to := t.leader
	if to == "" {
		known := n.controlVMs()
		to = known[t.turn%len(known)]
		t.turn++
	}
	n.deliver(to, Message{Renew: &Renew{
		Number:      t.asked,
		Address:     n.settings.Address,
		Revision:    n.entry.config.Revision,
		ViewVersion: n.entry.viewVersion,
		Leaving:     n.stopping,
		InProgress:  len(n.entry.streams) + len(n.entry.calls),
		Load:        n.load(),
		Reports:     n.reports(),
		WorkSeen:    n.entry.workSeen,
		Work:        n.entry.work,
		Dead:        n.entry.dead,
		Well:        n.entry.well,
	}})
}

// keptAsks bounds the renewals whose answer may still come.
const keptAsks = 16

func (n *Node) redirected(from ReplicaID, r Redirect) {
	t := &n.entry.tenure
	known := r.Leader != "" && r.Leader != from.VM
	if !known {
		if t.leader == from.VM {
			t.leader = ""
		}
		return
	}
	if t.leader != r.Leader {
		t.leader = r.Leader
		n.renew()
	}
}

// granted takes a lease, with the configuration that it carries. A lease with
// an older revision or term than is known here is of the past: it is dropped,
// so that nothing reverts.
func (n *Node) granted(from ReplicaID, g Grant) {
	t := &n.entry.tenure
	sent, ok := t.sent[g.Number]
	if !ok || g.Term < t.term || g.Revision < n.entry.config.Revision {
		return
	}
	t.term = g.Term
	t.leader = from.VM
	t.answerBy = time.Time{}
	before := n.entry.config.Revision
	if !n.takeConfig(g) {
		return
	}
	n.takeView(g)
	until := sent.Add(n.settings.Timing.Shortened(n.settings.Timing.LeaseTerm))
	if until.After(t.until) {
		t.until = until
	}
	n.documentTaken()
	n.fleetTaken(g)
	if n.entry.config.Revision != before {
		n.configTaken()
		n.renew()
	}
}

// takeConfig brings the configuration to the grant's revision, and reports
// whether it got there.
func (n *Node) takeConfig(g Grant) bool {
	if g.State != nil {
		n.entry.config = *g.State
		return true
	}
	for _, d := range g.Deltas {
		if d.Revision != n.entry.config.Revision+1 {
			continue
		}
		next, err := n.entry.config.Apply(d.Revision, d.Changes)
		if err != nil {
			n.note("accepted change can't be applied: "+err.Error(), string(n.settings.Self.VM))
			return false
		}
		n.entry.config = next
	}
	return n.entry.config.Revision == g.Revision
}

// configTaken recomputes what is derived from the configuration.
func (n *Node) configTaken() {
	keys := make(map[string]string, n.entry.config.Organisations.Len())
	for _, o := range n.entry.config.Organisations.Items {
		keys[o.Key] = o.Name
	}
	n.entry.keys = keys
	n.refreshPools()
}

// entriesAsked answers which entry addresses a caller should use: those of its
// hall first, then the less loaded, those without a lease or about to go not
// at all. A VM that has no lease itself knows of none: its list may name VMs that
// are long gone.
func (n *Node) entriesAsked(e EntriesAsked) {
	var addresses []EntryAddress
	if n.hasLease() {
		addresses = n.preferred(e.Hall)
	}
	n.emit(Entries{
		Conn:      e.Conn,
		Addresses: addresses,
		KeepUntil: n.now.Add(n.settings.Timing.KeepEntries),
	})
}

func (n *Node) preferred(hall string) []EntryAddress {
	var views []EntryView
	for _, v := range n.entry.view {
		if !v.Leaving {
			views = append(views, v)
		}
	}
	start := 0
	if len(views) > 0 {
		start = n.rand.IntN(len(views))
	}
	rotated := slices.Concat(views[start:], views[:start])
	slices.SortStableFunc(rotated, func(a, b EntryView) int {
		return cmp.Or(cmp.Compare(away(a, hall), away(b, hall)), cmp.Compare(a.LoadLevel, b.LoadLevel))
	})
	addresses := make([]EntryAddress, len(rotated))
	for i, v := range rotated {
		addresses[i] = v.Address
	}
	return addresses
}

func away(v EntryView, hall string) int {
	if hall == "" || strings.EqualFold(v.Address.Hall, hall) {
		return 0
	}
	return 1
}

// others returns the callers' addresses of other entry VMs.
func (n *Node) others() []string {
	var addresses []string
	for _, a := range n.preferred(n.settings.Address.Hall) {
		if a.VM != n.settings.Self.VM {
			addresses = append(addresses, a.Callers)
		}
	}
	return addresses
}

// leaveEntry begins the planned stop of an entry VM: it leaves the addresses
// at once, and takes work until the longest kept answer has run out.
func (n *Node) leaveEntry() {
	n.entry.leaveAt = n.now.Add(n.settings.Timing.KeepEntries + n.settings.Timing.RenewEvery)
	n.renew()
}

// entryIdle reports whether a stopping entry VM has nothing left to do.
func (n *Node) entryIdle() bool {
	if n.now.Before(n.entry.leaveAt) {
		return false
	}
	for _, s := range n.entry.streams {
		if s.phase != phaseDone {
			return false
		}
	}
	return len(n.entry.calls) == 0 && len(n.entry.records) == 0 && len(n.entry.attached) == 0
}

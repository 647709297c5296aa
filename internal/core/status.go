package core

import (
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// Status is a summary of a Node for metrics and tests.
type Status struct {
	Now        time.Time `json:"now"`
	VM         VMName    `json:"vm"`
	Cluster    string    `json:"cluster"`
	Role       string    `json:"role"`
	Term       Term      `json:"term"`
	Leader     VMName    `json:"leader"`
	Commit     Index     `json:"commit"`
	Applied    Index     `json:"applied"`
	Synced     Index     `json:"synced"`
	LogEntries int       `json:"log_entries"`
	Members    []Member  `json:"members"`
	// MembersSettled is set when the membership is committed. Only then is it in force
	// if another voter is lost.
	MembersSettled bool      `json:"members_settled"`
	LeaseUntil     time.Time `json:"leader_lease_until"`
	// Holders counts the entry VMs that renew with this control VM, and GrantsHeld the
	// batches of grants held back until its log has caught up.
	Holders    int             `json:"holders"`
	GrantsHeld int             `json:"grants_held"`
	HoldsLease bool            `json:"holds_leader_lease"`
	Revision   config.Revision `json:"replicated_revision"`
	Claims     int             `json:"claims"`
	// The fields below are those of the entry role.
	EntryLease time.Time `json:"entry_lease_until"`
	HasLease   bool      `json:"has_entry_lease"`
	// LeaseBy is the control VM that forwarded or granted the last lease.
	LeaseBy       VMName          `json:"entry_lease_by"`
	EntryRevision config.Revision `json:"entry_revision"`
	// EntryNewest is the newest revision that the entry VM knows to exist, and EntryConfirmed when
	// its own was last confirmed to be the newest. GrantsUnapplied counts the grants that did not
	// follow on its own.
	EntryNewest     config.Revision `json:"entry_newest_revision"`
	EntryConfirmed  time.Time       `json:"entry_confirmed_at"`
	GrantsUnapplied uint64          `json:"grants_unapplied"`
	EntryTerm       Term            `json:"entry_term"`
	Streams         int             `json:"streams"`
	Calls           int             `json:"calls"`
	Queued          int             `json:"queued"`
	Kept            int             `json:"kept"`
	Records         int             `json:"records_pending"`
	Load            int             `json:"load_thousandths"`
	View            int             `json:"entry_vms"`
	Stopping        bool            `json:"stopping"`
	Violations      int             `json:"violations"`
	// PlanAnswers and PlanRate are the number of answers in flight and per second that the
	// layers held by engines can bear, as computed by the leader; 0 on other VMs.
	PlanAnswers int `json:"plan_answers"`
	PlanRate    int `json:"plan_answers_per_s"`
	// Policy names the mechanisms that are disabled.
	Policy string `json:"policy"`
}

// Status returns the summary of the Node.
func (n *Node) Status() Status {
	r := &n.replica
	s := Status{
		Now: n.now, VM: n.settings.Self.VM, Cluster: n.cluster, Stopping: n.stopping,
		Role: r.role.String(), Term: r.hard.Term, Leader: n.leaderHint(),
		Commit: r.commit, Applied: r.applied, Synced: r.synced, LogEntries: len(r.log.entries),
		Members: r.members.Members, MembersSettled: r.membersIndex <= r.commit, LeaseUntil: r.leaseUntil, HoldsLease: n.holdsLease(),
		Revision: n.machine.Config.Revision, Claims: len(n.machine.Claims),
		Holders: len(n.forwarding.holders), GrantsHeld: len(n.forwarding.deferredGrants), LeaseBy: n.entry.lease.grantedBy,
		EntryLease: n.entry.lease.until, HasLease: n.hasLease(),
		EntryNewest: n.entry.confirmation.newest, EntryConfirmed: n.entry.confirmation.confirmedAt, GrantsUnapplied: n.entry.confirmation.unapplied,
		EntryRevision: n.entry.config.Revision, EntryTerm: n.entry.lease.term,
		Streams: len(n.entry.streams), Calls: len(n.entry.calls),
		Kept: len(n.entry.keptRecords), Records: len(n.entry.pendingRecords),
		Load: n.load(), View: len(n.entry.view), Violations: len(n.Check()),
		Policy: n.settings.Policy.String(),
	}
	answers, rate := n.heldCapacity()
	s.PlanAnswers, s.PlanRate = int(answers), int(rate)
	for _, p := range n.entry.pools {
		s.Queued += p.queue.length
	}
	return s
}

// Dump is the state of a Node for operators: the summary, the replicated configuration,
// the one that it routes by, its requests, routes and targets, and the claims.
type Dump struct {
	Status   Status           `json:"status"`
	Config   config.State     `json:"config"`
	Entry    config.State     `json:"entry_config"`
	Requests Table            `json:"requests"`
	Routes   Table            `json:"routes"`
	Targets  Table            `json:"targets"`
	Claims   map[string]Claim `json:"claims"`
	Problems []string         `json:"problems"`
}

// Dump returns the state of the Node.
func (n *Node) Dump() Dump {
	d := Dump{
		Status: n.Status(), Config: n.machine.Config, Entry: n.entry.config,
		Requests: n.requestsTable(), Routes: n.routesTable(), Targets: n.knownTargets(),
		Claims: make(map[string]Claim, len(n.machine.Claims)),
	}
	for id, c := range n.machine.Claims {
		d.Claims[string(id)] = c
	}
	for _, err := range n.Check() {
		d.Problems = append(d.Problems, err.Error())
	}
	return d
}

func (n *Node) routesTable() Table {
	t := Table{Columns: []string{"pool", "route", "slots", "window", "used", "waiting"}}
	for _, name := range n.poolNames() {
		p := n.entry.pools[name]
		for _, r := range p.routes {
			t.add(name, r.name, r.slots, r.window, p.used[r.name], p.queue.length)
		}
	}
	return t
}

func (n *Node) knownTargets() Table {
	t := Table{Columns: []string{"target", "used", "suspect_until", "reached", "holding"}}
	for _, target := range n.entry.config.Targets.Sorted() {
		state, ok := n.entry.targets[target.Name]
		if ok {
			t.add(target.Name, state.inFlight, state.suspectUntil, state.report.Reached, state.report.AppliedSequence)
		}
	}
	return t
}

// PipelineNames returns the names of the pipelines that callers can use, sorted.
func (n *Node) PipelineNames() []string {
	var names []string
	for _, p := range n.entry.config.Pipelines.Sorted() {
		names = append(names, p.Name)
	}
	return names
}

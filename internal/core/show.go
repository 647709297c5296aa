package core

import (
	"maps"
	"slices"
	"strings"

	"github.com/spoolbank/spoolbank/query"
)

// show answers a query from this VM's state.
func (n *Node) show(s query.Show) Result {
	table := n.table(s.List)
	kept, err := table.filter(s.Where)
	if err != nil {
		return Result{Kind: ResultInvalid, Revision: n.machine.Config.Revision, Message: err.Error()}
	}
	return Result{Kind: ResultTable, Revision: n.machine.Config.Revision, Table: &kept}
}

func (n *Node) table(what query.ListName) Table {
	switch what {
	case query.Targets:
		return n.targetsTable()
	case query.VMs:
		return n.vmsTable()
	case query.Models:
		return n.modelsTable()
	case query.Pipelines:
		return n.pipelinesTable()
	case query.Events:
		return n.eventsTable()
	case query.Organisations:
		return n.organisationsTable()
	case query.Services:
		return n.servicesTable()
	case query.Replicas:
		return n.replicasTable()
	case query.Leases:
		return n.leasesTable()
	case query.Config:
		return n.configTable()
	case query.Requests:
		return n.requestsTable()
	case query.Quarantine:
		return n.quarantineTable()
	case query.Backoffs:
		return n.backoffsTable()
	case query.Limits:
		return n.limitsTable()
	case query.Unread:
		return n.unreadTable()
	}
	return Table{}
}

func (n *Node) targetsTable() Table {
	t := Table{Columns: []string{"name", "hall", "service", "accelerator", "state", "slots", "chain", "layers", "ready", "address"}}
	for _, target := range n.machine.Config.Targets.Sorted() {
		state := "up"
		switch {
		case target.Down:
			state = "down"
		case target.Drain:
			state = "draining"
		case target.Leaving:
			state = "leaving"
		}
		p, placed := n.machine.Config.Placements.Get(target.Name)
		layers := "-"
		if placed {
			layers = p.Layers.String()
		}
		t.add(target.Name, target.Hall, target.Service, target.Accelerator, state, target.Slots, p.Chain, layers, p.Ready, target.Address)
	}
	return t
}

func (n *Node) vmsTable() Table {
	t := Table{Columns: []string{"name", "hall", "role", "state", "revision", "requests", "load", "callers", "peers"}}
	for _, name := range slices.Sorted(maps.Keys(n.leader.leases)) {
		l := n.leader.leases[name]
		state := "up"
		switch {
		case !n.now.Before(l.until):
			state = "lost"
		case n.isLeaving(l):
			state = "leaving"
		}
		t.add(name, l.renewal.Address.Hall, "entry", state, l.renewal.Revision, l.renewal.InProgress, l.renewal.Load, l.renewal.Address.Callers, l.renewal.Address.Peers)
	}
	return t
}

func (n *Node) modelsTable() Table {
	t := Table{Columns: []string{"name", "layers", "versions", "adapters"}}
	for _, m := range n.machine.Config.Models.Sorted() {
		t.add(m.Name, m.Layers, strings.Join(m.Versions, ","), strings.Join(m.Adapters, ","))
	}
	return t
}

func (n *Node) pipelinesTable() Table {
	t := Table{Columns: []string{"name", "model", "version", "adapter", "class", "max_tokens", "chains", "slots", "bound_tokens_per_s"}}
	for _, p := range n.machine.Config.Pipelines.Sorted() {
		use := n.capacityOfPipeline(p)
		t.add(p.Name, p.Model, p.Version, p.Adapter, int(p.Class), p.MaxTokens, use.chains, use.slots, use.bound)
	}
	return t
}

func (n *Node) eventsTable() Table {
	t := Table{Columns: []string{"name", "start", "end", "pipelines"}}
	for _, e := range n.machine.Config.Events.Sorted() {
		t.add(e.Name, e.Start, e.End, strings.Join(e.Pipelines, ","))
	}
	return t
}

func (n *Node) organisationsTable() Table {
	t := Table{Columns: []string{"name", "weight", "limit"}}
	for _, o := range n.machine.Config.Organisations.Sorted() {
		t.add(o.Name, o.Weight, o.Limit)
	}
	return t
}

func (n *Node) servicesTable() Table {
	t := Table{Columns: []string{"name", "class", "repeatable"}}
	for _, s := range n.machine.Config.Services.Sorted() {
		t.add(s.Name, int(s.Class), strings.Join(s.Repeatable, ", "))
	}
	return t
}

func (n *Node) replicasTable() Table {
	t := Table{Columns: []string{"name", "role", "vote", "settled", "term", "match", "commit"}}
	r := &n.replica
	settled := r.membersIndex <= r.commit
	for _, m := range r.members.Members {
		if m.ID == r.id {
			t.add(m.ID.String(), r.role, m.Voter, settled, r.hard.Term, r.synced, r.commit)
			continue
		}
		match := Index(0)
		if p := r.progress[m.ID]; p != nil {
			match = p.match
		}
		t.add(m.ID.String(), Follower, m.Voter, settled, r.hard.Term, match, r.commit)
	}
	return t
}

func (n *Node) leasesTable() Table {
	t := Table{Columns: []string{"vm", "until", "revision", "via"}}
	for _, name := range slices.Sorted(maps.Keys(n.leader.leases)) {
		l := n.leader.leases[name]
		t.add(name, l.until, l.renewal.Revision, l.via)
	}
	return t
}

func (n *Node) configTable() Table {
	t := Table{Columns: []string{"revision", "targets", "models", "pipelines", "events", "organisations", "services", "claims", "entry_vms", "in_force"}}
	c := n.machine.Config
	vms, waiting := n.countInForce(c.Revision)
	t.add(c.Revision, c.Targets.Len(), c.Models.Len(), c.Pipelines.Len(), c.Events.Len(), c.Organisations.Len(), c.Services.Len(), len(n.machine.Claims), vms, waiting == 0)
	return t
}

func (n *Node) requestsTable() Table {
	t := Table{Columns: []string{"id", "vm", "kind", "organisation", "state", "tokens", "stages"}}
	for _, id := range slices.Sorted(maps.Keys(n.entry.streams)) {
		s := n.entry.streams[id]
		t.add(id, n.settings.Self.VM, s.request.Pipeline, s.request.Organisation, s.phase, len(s.tokens), len(s.chain))
	}
	for _, conn := range slices.Sorted(maps.Keys(n.entry.calls)) {
		c := n.entry.calls[conn]
		t.add(c.request.ID, n.settings.Self.VM, c.request.Service, c.organisation, c.phase, 0, 0)
	}
	return t
}

package core

import (
	"fmt"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/query"
)

// operatorWaiter is an operator that waits for the result of its command.
type operatorWaiter struct {
	conn      ConnID
	waitUntil time.Time
	result    Result
	applied   bool
}

// operate executes an operator's statement. Only a leader that holds its lease
// does so, which makes answers linearizable: none is older than an accepted command.
// A query of a VM's own state is answered by any VM.
func (n *Node) operate(o Operated) {
	if o.Statement.Show != nil && o.Statement.Show.Local() {
		n.emit(Answer{Conn: o.Conn, Result: n.show(*o.Statement.Show)})
		return
	}
	if !n.settings.Control || !n.holdsLease() || !n.replica.committedOwnTerm() {
		n.emit(Answer{Conn: o.Conn, Result: n.notLeader()})
		return
	}
	if o.Statement.Show != nil {
		n.emit(Answer{Conn: o.Conn, Result: n.show(*o.Statement.Show)})
		return
	}
	if o.Operator == "" || o.Number == 0 {
		n.emit(Answer{Conn: o.Conn, Result: Result{Kind: ResultInvalid, Revision: n.machine.Config.Revision,
			Message: "a command carries an operator and a number of 1 or more; give --operator and --number"}})
		return
	}
	changes, err := n.changesOf(o.Statement)
	if err != nil {
		n.emit(Answer{Conn: o.Conn, Result: Result{Kind: ResultInvalid, Revision: n.machine.Config.Revision, Message: err.Error()}})
		return
	}
	index := n.propose(Entry{Command: &Command{
		Operator: o.Operator,
		Number:   o.Number,
		Digest:   o.Digest,
		Expect:   o.Expect,
		Changes:  changes,
	}})
	n.leader.operators[index] = &operatorWaiter{conn: o.Conn, waitUntil: o.WaitUntil}
}

func (n *Node) notLeader() Result {
	hint := n.leaderHint()
	if !n.settings.Control {
		hint = n.entry.lease.leader
	}
	return Result{Kind: ResultNotLeader, Leader: hint,
		Message: "this VM does not lead the control VMs; ask the one that does, or wait for an election"}
}

// changesOf converts a command into changes to the configuration.
func (n *Node) changesOf(s query.Statement) ([]config.Change, error) {
	switch {
	case s.Declare != nil:
		return declared(*s.Declare, nil)
	case s.Set != nil:
		current, err := n.current(s.Set.Ref)
		if err != nil {
			return nil, err
		}
		return declared(*s.Set, current)
	case s.Remove != nil:
		return []config.Change{{Remove: s.Remove}}, nil
	case s.Drain != nil:
		return []config.Change{{Drain: &config.DrainMark{Ref: *s.Drain, Drain: true}}}, nil
	case s.Admit != nil:
		return []config.Change{{Drain: &config.DrainMark{Ref: *s.Admit}}}, nil
	}
	return nil, fmt.Errorf("the statement is empty; `spoolbank help` shows examples")
}

// current returns the object as it is declared now, for a change to some of its fields.
func (n *Node) current(r config.Ref) (any, error) {
	c := n.machine.Config
	switch r.Kind {
	case config.KindTarget:
		return get(c.Targets, r)
	case config.KindModel:
		return get(c.Models, r)
	case config.KindPipeline:
		return get(c.Pipelines, r)
	case config.KindEvent:
		return get(c.Events, r)
	case config.KindOrganisation:
		return get(c.Organisations, r)
	case config.KindService:
		return get(c.Services, r)
	case config.KindVM:
		return get(c.VMs, r)
	}
	return nil, fmt.Errorf("there is no kind %q; use one of %v", r.Kind, config.Kinds())
}

func get[T config.Named](set config.Set[T], r config.Ref) (any, error) {
	item, ok := set.Get(r.Name)
	if !ok {
		return nil, fmt.Errorf("%s is not declared; `declare %s` makes it", r, r)
	}
	return item, nil
}

// declared decodes the fields of a statement over the current object.
func declared(d query.Declare, current any) ([]config.Change, error) {
	var c config.Change
	var err error
	switch d.Ref.Kind {
	case config.KindVM:
		c.VM, err = decode[config.VM](d, current)
	case config.KindTarget:
		c.Target, err = decode[config.Target](d, current)
	case config.KindModel:
		c.Model, err = decode[config.Model](d, current)
	case config.KindPipeline:
		c.Pipeline, err = decode[config.Pipeline](d, current)
	case config.KindEvent:
		c.Event, err = decode[config.Event](d, current)
	case config.KindOrganisation:
		c.Organisation, err = decode[config.Organisation](d, current)
	case config.KindService:
		c.Service, err = decode[config.Service](d, current)
	default:
		err = fmt.Errorf("there is no kind %q; use one of %v", d.Ref.Kind, config.Kinds())
	}
	if err != nil {
		return nil, err
	}
	return []config.Change{c}, nil
}

func decode[T any](d query.Declare, current any) (*T, error) {
	var value T
	if current != nil {
		value = current.(T)
	}
	if err := d.Decode(&value); err != nil {
		return nil, err
	}
	return &value, nil
}

// commandApplied records the result for the operator that waits for the entry at index,
// and answers it if due.
func (n *Node) commandApplied(index Index, result Result) {
	w, ok := n.leader.operators[index]
	if !ok {
		return
	}
	w.result = result
	w.applied = true
	n.answerIfDue(index, w)
}

func (n *Node) answerIfDue(index Index, w *operatorWaiter) {
	if !w.applied {
		return
	}
	vms, waiting := n.countInForce(w.result.Revision)
	due := w.result.Kind != ResultAccepted || waiting == 0 || !n.now.Before(w.waitUntil)
	if !due {
		return
	}
	n.emit(Answer{Conn: w.conn, Result: w.result.WithInForce(vms, waiting)})
	delete(n.leader.operators, index)
}

// failOperators answers the operators whose commands are undecided when this VM loses
// leadership: the outcome is unknown.
func (n *Node) failOperators() {
	for _, w := range n.leader.operators {
		n.emit(Answer{Conn: w.conn, Result: Result{Kind: ResultInterrupted,
			Message: "the leader changed before the command was decided; send it again under the same number: it takes effect once"}})
	}
}

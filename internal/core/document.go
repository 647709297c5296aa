package core

import (
	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file takes whole configurations from operators and reads them back.
//
// A document goes through the log like any other change. The highest version
// wins: one that is not above the version held is acknowledged and alters
// nothing, also when two operators sent different texts under one number, since
// the log puts them in an order. Only a leader that holds its lease answers, so
// that nobody is shown an older document than one that was acknowledged.

// DocumentPut is a document that an operator sends to this VM. Its text has
// been checked.
type DocumentPut struct {
	Conn     ConnID
	Document config.Document
}

// DocumentAsked asks for the newest document.
type DocumentAsked struct{ Conn ConnID }

// DocumentAnswer gives an operator the newest document, or says who leads.
type DocumentAnswer struct {
	Conn     ConnID
	Result   Result
	Document config.Document
}

// DocumentInForce tells the runtime the document that requests are routed by.
type DocumentInForce struct {
	Revision config.Revision
	Document *relay.Document
}

func (DocumentPut) isEvent()   {}
func (DocumentAsked) isEvent() {}

func (DocumentAnswer) isEffect()  {}
func (DocumentInForce) isEffect() {}

// putting is the documents that a leader replicates, one after the other: each is written
// to the log as a change of the one before.
type putting struct {
	// at is the index of the one that is not applied yet, 0 for none.
	at      Index
	waiting []DocumentPut
}

// documentPut replicates a document and answers once it is committed.
func (n *Node) documentPut(p DocumentPut) {
	if !n.mayAnswer() {
		n.emit(Answer{Conn: p.Conn, Result: n.notLeader()})
		return
	}
	if n.leading.putting.at > 0 {
		n.leading.putting.waiting = append(n.leading.putting.waiting, p)
		return
	}
	held := n.machine.Config
	if p.Document.Version <= held.Document.Version {
		n.emit(Answer{Conn: p.Conn, Result: Result{Kind: ResultAccepted, Revision: held.Revision}})
		return
	}
	// With a sole voter whose disk is quick the entry may be applied before propose
	// returns: it is known as the one under way by then.
	n.leading.putting.at = n.replica.log.last() + 1
	n.leading.operators[n.leading.putting.at] = &waiter{conn: p.Conn}
	n.propose(Entry{Changes: []config.Change{held.Document.Change(p.Document)}})
}

// documentApplied goes on with the next document that waits.
func (n *Node) documentApplied(index Index) {
	p := &n.leading.putting
	if p.at != index || index == 0 {
		return
	}
	p.at = 0
	for p.at == 0 && len(p.waiting) > 0 {
		next := p.waiting[0]
		p.waiting = p.waiting[1:]
		n.documentPut(next)
	}
}

// dropDocuments tells the operators whose documents wait that this VM does not lead.
func (n *Node) dropDocuments() {
	for _, p := range n.leading.putting.waiting {
		n.emit(Answer{Conn: p.Conn, Result: n.notLeader()})
	}
	n.leading.putting = putting{}
}

// mayAnswer reports whether this VM may speak for the control state. A new
// cluster takes no document before all its voters are there: until then one
// lost disk could take what was acknowledged with it.
func (n *Node) mayAnswer() bool {
	if !n.settings.Control || !n.holdsLease() || !n.replica.committedOwnTerm() {
		return false
	}
	return n.machine.Config.Document.Version > 0 || n.formed()
}

func (n *Node) documentAsked(a DocumentAsked) {
	if !n.mayAnswer() {
		n.emit(DocumentAnswer{Conn: a.Conn, Result: n.notLeader()})
		return
	}
	c := n.machine.Config
	n.emit(DocumentAnswer{Conn: a.Conn, Result: Result{Kind: ResultAccepted, Revision: c.Revision}, Document: c.Document})
}

// decoded keeps the newest document that was decoded.
type decoded struct {
	version  uint64
	document *relay.Document
}

// read decodes a document, once for each version. A text that was accepted and
// can't be read means that two VMs run different programs: it is logged, and the
// document before it stays.
func (d *decoded) read(n *Node, doc config.Document) *relay.Document {
	if doc.Version == d.version || n.settings.DecodeDocument == nil {
		return d.document
	}
	d.version = doc.Version
	next, err := n.settings.DecodeDocument(doc.Source)
	if err != nil {
		n.note("accepted document can't be read: "+err.Error(), string(n.settings.Self.VM))
		return d.document
	}
	d.document = next
	return next
}

// documentTaken tells the runtime of a document that has come with a lease.
func (n *Node) documentTaken() {
	held := n.entry.config.Document
	if held.Version == 0 || held.Version == n.entry.decoded.version {
		return
	}
	if document := n.entry.decoded.read(n, held); document != nil {
		n.emit(DocumentInForce{Revision: n.entry.config.Revision, Document: document})
	}
}

package core

import (
	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file accepts whole configurations from operators and returns them.
//
// A document is replicated through the log like any other change. The highest
// version wins: a document whose version is not above the current one is
// acknowledged and changes nothing. The same holds when two operators send
// different texts under one version, since the log orders them. Only a leader that
// holds its lease answers, so that no answer is older than an acknowledged document.

// DocumentPut is a document that an operator sent to this VM. Its text has been
// validated.
type DocumentPut struct {
	Conn     ConnID
	Document config.Document
}

// DocumentAsked is a request for the newest document.
type DocumentAsked struct{ Conn ConnID }

// DocumentAnswer returns the newest document to an operator, or names the leader.
type DocumentAnswer struct {
	Conn     ConnID
	Result   Result
	Document config.Document
}

// DocumentInForce gives the runtime the document that requests are routed by.
type DocumentInForce struct {
	Revision config.Revision
	Document *relay.Document
}

func (DocumentPut) isEvent()   {}
func (DocumentAsked) isEvent() {}

func (DocumentAnswer) isEffect()  {}
func (DocumentInForce) isEffect() {}

// documentQueue holds the documents that a leader replicates, one at a time: each is
// written to the log as a change to the previous one.
type documentQueue struct {
	// inFlight is the log index of the document that is not applied yet, 0 for none.
	inFlight Index
	waiting  []DocumentPut
}

// documentPut replicates a document and answers once it is committed.
func (n *Node) documentPut(p DocumentPut) {
	if !n.canAnswer() {
		n.emit(Answer{Conn: p.Conn, Result: n.notLeader()})
		return
	}
	if n.leader.documents.inFlight > 0 {
		n.leader.documents.waiting = append(n.leader.documents.waiting, p)
		return
	}
	current := n.machine.Config
	if p.Document.Version <= current.Document.Version {
		n.emit(Answer{Conn: p.Conn, Result: Result{Kind: ResultAccepted, Revision: current.Revision}})
		return
	}
	// With a sole voter and a fast disk the entry may be applied before propose
	// returns, so the document is recorded as in flight first.
	n.leader.documents.inFlight = n.replica.log.last() + 1
	n.leader.operators[n.leader.documents.inFlight] = &operatorWaiter{conn: p.Conn}
	n.propose(Entry{Changes: []config.Change{current.Document.Change(p.Document)}})
}

// documentApplied continues with the next queued document.
func (n *Node) documentApplied(index Index) {
	p := &n.leader.documents
	if p.inFlight != index || index == 0 {
		return
	}
	p.inFlight = 0
	for p.inFlight == 0 && len(p.waiting) > 0 {
		next := p.waiting[0]
		p.waiting = p.waiting[1:]
		n.documentPut(next)
	}
}

// dropDocuments answers the operators of queued documents that this VM does not lead.
func (n *Node) dropDocuments() {
	for _, p := range n.leader.documents.waiting {
		n.emit(Answer{Conn: p.Conn, Result: n.notLeader()})
	}
	n.leader.documents = documentQueue{}
}

// canAnswer reports whether this VM may answer for the control state. A new cluster
// accepts no document before it is formed: until then the loss of one disk could lose
// an acknowledged document.
func (n *Node) canAnswer() bool {
	if !n.settings.Control || !n.holdsLease() || !n.replica.committedOwnTerm() {
		return false
	}
	return n.machine.Config.Document.Version > 0 || n.isFormed()
}

func (n *Node) documentAsked(a DocumentAsked) {
	if !n.canAnswer() {
		n.emit(DocumentAnswer{Conn: a.Conn, Result: n.notLeader()})
		return
	}
	c := n.machine.Config
	n.emit(DocumentAnswer{Conn: a.Conn, Result: Result{Kind: ResultAccepted, Revision: c.Revision}, Document: c.Document})
}

// documentCache caches the newest document that was decoded.
type documentCache struct {
	version  uint64
	document *relay.Document
}

// read decodes a document, once for each version. An accepted text that cannot be
// decoded means that two VMs run different versions of the program: this is logged, and
// the previous document stays.
func (d *documentCache) read(n *Node, doc config.Document) *relay.Document {
	if doc.Version == d.version || n.settings.DecodeDocument == nil {
		return d.document
	}
	d.version = doc.Version
	next, err := n.settings.DecodeDocument(doc.Source)
	if err != nil {
		n.note("accepted document cannot be decoded: "+err.Error(), string(n.settings.Self.VM))
		return d.document
	}
	d.document = next
	return next
}

// documentReceived gives the runtime a new document that arrived with a lease.
func (n *Node) documentReceived() {
	newest := n.entry.config.Document
	if newest.Version == 0 || newest.Version == n.entry.decoded.version {
		return
	}
	if document := n.entry.decoded.read(n, newest); document != nil {
		n.emit(DocumentInForce{Revision: n.entry.config.Revision, Document: document})
	}
}

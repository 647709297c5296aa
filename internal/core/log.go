package core

import (
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// Entry is one entry of the replicated log. At most one of its payloads is
// set. A new leader begins its term with an entry that has none.
type Entry struct {
	Term  Term  `cbor:"term"`
	Index Index `cbor:"index"`
	// At is the leader's wall clock time. It never decreases along the log, and
	// the state machine uses no other time.
	At      time.Time       `cbor:"at"`
	Command *Command        `cbor:"command,omitempty"`
	Claim   *ClaimOp        `cbor:"claim,omitempty"`
	Record  *RecordOp       `cbor:"record,omitempty"`
	Members *Membership     `cbor:"members,omitempty"`
	Changes []config.Change `cbor:"changes,omitempty"`
}

// HardState is the state that a replica must persist: its term and its vote in it.
type HardState struct {
	Term Term      `cbor:"term"`
	Vote ReplicaID `cbor:"vote"`
}

// replicatedLog is the part of the log after the last snapshot.
type replicatedLog struct {
	base     Index
	baseTerm Term
	entries  []Entry
}

func (l *replicatedLog) last() Index { return l.base + Index(len(l.entries)) }

// term returns the term of the entry at i, and whether the log has it.
func (l *replicatedLog) term(i Index) (Term, bool) {
	if i == l.base {
		return l.baseTerm, true
	}
	if i < l.base || i > l.last() {
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

func (l *replicatedLog) lastTerm() Term {
	term, _ := l.term(l.last())
	return term
}

func (l *replicatedLog) at(i Index) Entry { return l.entries[i-l.base-1] }

// after returns at most limit entries after index i.
func (l *replicatedLog) after(i Index, limit int) []Entry {
	if i >= l.last() {
		return nil
	}
	entries := l.entries[i-l.base:]
	return slices.Clone(entries[:min(limit, len(entries))])
}

// truncate drops the entry at i and all later ones.
func (l *replicatedLog) truncate(i Index) { l.entries = l.entries[:i-l.base-1] }

func (l *replicatedLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// compact drops the entries up to and including i, which must be covered by a snapshot.
func (l *replicatedLog) compact(i Index) {
	term, ok := l.term(i)
	if !ok || i <= l.base {
		return
	}
	l.entries = slices.Clone(l.entries[i-l.base:])
	l.base = i
	l.baseTerm = term
}

// reset empties the log and bases it on a snapshot at i.
func (l *replicatedLog) reset(i Index, term Term) {
	*l = replicatedLog{base: i, baseTerm: term}
}

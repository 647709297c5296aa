package core

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// Settings is the configuration that a Node is created with. Only ControlVMs changes later.
type Settings struct {
	Self ReplicaID
	// Cluster is the identity of the cluster, empty on a VM that has not learned it yet.
	Cluster string
	Address EntryAddress
	// Control is set on a VM that replicates the control state, Entry on one
	// that serves callers.
	Control bool
	Entry   bool
	// ControlVMs lists the VMs of the control role, any of which may become leader.
	ControlVMs []VMName
	// Voters is the number of voting replicas to maintain.
	Voters int
	// SnapshotEvery is the number of log entries between two snapshots.
	SnapshotEvery int
	Timing        Timing
	// Seed seeds the Node's random numbers. It also identifies this run of the
	// process to followers of its registry and in common_start.go, as opposed to
	// Self.Incarnation, which a control VM keeps across restarts.
	Seed uint64
	// Volatile is set on a control VM without a disk: it follows the log and serves
	// entry VMs from it, and never gets a vote.
	Volatile bool
	// DelegatesBootstrap is set on a VM that would bootstrap the cluster but has no disk: it
	// delegates this to another VM; see forming.go.
	DelegatesBootstrap bool
	// DecodeDocument decodes a document; nil where the deployment has none. Its result
	// must depend on the text alone.
	DecodeDocument func(source []byte) (*relay.Document, error)
	// RepeatBudget bounds the repeats of each service; its fixed number is granted by the leader.
	RepeatBudget relay.BudgetTerms
	// Policy selects the mechanisms of the decision logic that are enabled.
	Policy relay.Policy
}

// Recovered is the state that a control VM read from its data folder at its start.
type Recovered struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
	// Targets holds the last saved reports of targets. They are hints only.
	Targets []relay.Target
}

// Node is the state of one process. New creates it and Step advances it.
type Node struct {
	settings Settings
	now      time.Time
	rand     *rand.Rand
	effects  []Effect

	cluster     string
	persistence persistence
	replica     replica
	machine     StateMachine
	leader      leaderState
	entry       entry
	registry    registry
	forwarding  forwarding
	// delegate is the replica that this VM asked to bootstrap the cluster.
	delegate ReplicaID
	stopping bool
	stopped  bool
}

// New returns a Node whose clock starts at now.
func New(settings Settings, recovered Recovered, now time.Time) *Node {
	n := &Node{
		settings: settings,
		now:      now,
		rand:     rand.New(rand.NewPCG(settings.Seed, uint64(settings.Self.Incarnation))),
		cluster:  settings.Cluster,
	}
	n.machine = newMachine()
	n.startRegistry(recovered.Targets)
	n.startForwarding()
	if settings.Control {
		n.startReplica(recovered)
	}
	if settings.Entry {
		n.startEntry()
	}
	return n
}

// Step processes one event at time now and returns the effects to execute. The
// slice is valid until the next call of Step.
func (n *Node) Step(now time.Time, event Event) []Effect {
	n.effects = n.effects[:0]
	if now.After(n.now) {
		n.now = now
	}
	n.dispatch(event)
	return n.effects
}

func (n *Node) dispatch(event Event) {
	switch ev := event.(type) {
	case Tick:
		n.tick()
	case Received:
		n.receive(ev.Envelope)
	case Persisted:
		n.persisted(ev.Sequence)
	case Operated:
		n.operate(ev)
	case StreamAsked:
		n.streamAsked(ev)
	case CallAsked:
		n.callAsked(ev)
	case CallerGone:
		n.callerGone(ev.Conn)
	case RunEnded:
		n.runEnded(ev)
	case RebuildEnded:
		n.rebuildEnded(ev)
	case DispatchEnded:
		n.dispatchEnded(ev)
	case Watched:
		n.watched(ev)
	case PlatformListed:
		n.platformListed(ev)
	case OrderEnded:
		n.orderEnded(ev)
	case EntriesAsked:
		n.entriesAsked(ev)
	case DocumentPut:
		n.documentPut(ev)
	case DocumentAsked:
		n.documentAsked(ev)
	case TargetSpoke:
		n.targetReported(ev)
	case WorkCounted:
		n.entry.work, n.entry.usage = ev.Work, ev.Usage
		n.entry.findings, n.entry.permitRequests = ev.Findings, ev.Limits
	case PermitsWanted:
		n.permitsWanted(ev)
	case TargetDrains:
		if n.settings.Control {
			n.drainingReported([]relay.TargetID{ev.Target}, n.settings.Self.VM)
		}
	case RunsCrashed:
		n.runsCrashed(ev)
	case RunsWentWell:
		n.runsWentWell(ev)
	case TrialWanted:
		n.trialWanted(ev)
	case TrialsUnused:
		n.trialsUnused(ev)
	case LayersOrdered:
		n.layersOrdered(ev)
	case SeedsRead:
		n.settings.ControlVMs = ev.VMs
	case Stopping:
		n.stop()
	}
}

func (n *Node) tick() {
	if n.settings.Control {
		n.tickReplica()
		n.tickLeading()
		n.tickForwarding()
	}
	if n.settings.Entry {
		n.tickEntry()
	}
	n.tickRegistry()
	n.finishStop()
}

func (n *Node) receive(e Envelope) {
	if !n.sameCluster(e) {
		return
	}
	n.receiveRegistry(e)
	if n.settings.Control {
		n.receiveControl(e)
	}
	if n.settings.Entry {
		n.receiveEntry(e)
	}
}

// sameCluster reports whether a message belongs to this cluster. A VM without a
// cluster adopts the identity in the first Append, Install or Grant that it receives.
func (n *Node) sameCluster(e Envelope) bool {
	if n.cluster == "" && e.Cluster != "" && (e.Body.Append != nil || e.Body.Install != nil || e.Body.Grant != nil) {
		n.cluster = e.Cluster
		n.emit(Joined{Cluster: n.cluster})
	}
	return e.Cluster == "" || n.cluster == "" || e.Cluster == n.cluster
}

func (n *Node) emit(effect Effect) { n.effects = append(n.effects, effect) }

func (n *Node) note(text, subject string) { n.emit(Note{Text: text, Subject: subject}) }

func (n *Node) send(to VMName, body Message) { n.emit(n.envelope(to, body)) }

func (n *Node) envelope(to VMName, body Message) Send {
	return Send{Envelope{Cluster: n.cluster, From: n.settings.Self, To: to, Body: body}}
}

// deliver processes a message for this VM locally and sends any other one.
func (n *Node) deliver(to VMName, body Message) {
	if to != n.settings.Self.VM {
		n.send(to, body)
		return
	}
	n.receive(n.envelope(to, body).Envelope)
}

// persistence holds messages back until the records that they depend on are synced.
type persistence struct {
	issued  uint64
	synced  uint64
	pending []pendingSend
}

type pendingSend struct {
	after uint64
	send  Send
}

// persist emits a record to append to the log on disk.
func (n *Node) persist(p Persist) {
	n.persistence.issued++
	p.Sequence = n.persistence.issued
	n.emit(p)
}

// sendAfterSync sends a message once all records issued so far are synced.
func (n *Node) sendAfterSync(to VMName, body Message) {
	send := n.envelope(to, body)
	if n.persistence.synced == n.persistence.issued {
		n.emit(send)
		return
	}
	n.persistence.pending = append(n.persistence.pending, pendingSend{after: n.persistence.issued, send: send})
}

func (n *Node) persisted(sequence uint64) {
	n.persistence.synced = max(n.persistence.synced, sequence)
	released := 0
	for _, h := range n.persistence.pending {
		if h.after > n.persistence.synced {
			break
		}
		n.emit(h.send)
		released++
	}
	n.persistence.pending = slices.Delete(n.persistence.pending, 0, released)
	n.logSynced()
}

// stop begins a planned stop; see docs/OPERATIONS.md.
func (n *Node) stop() {
	if n.stopping {
		return
	}
	n.stopping = true
	n.note("planned stop begins", string(n.settings.Self.VM))
	if n.settings.Control {
		n.transferLeadership()
	}
	if n.settings.Entry {
		n.drainEntry()
	}
}

// finishStop completes a planned stop once nothing is in flight.
func (n *Node) finishStop() {
	if !n.stopping || n.stopped {
		return
	}
	if n.settings.Control && n.replica.role == Leader && len(n.replica.voters()) > 1 {
		n.transferLeadership()
		return
	}
	if n.settings.Entry && !n.entryIdle() {
		return
	}
	n.stopped = true
	n.emit(Stopped{})
}

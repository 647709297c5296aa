package core

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// Settings are what a Node is made with. They do not change in its life.
type Settings struct {
	Self ReplicaID
	// Cluster is empty on a VM that has not yet learned it.
	Cluster string
	Address EntryAddress
	// Control says that this VM replicates the control state; Entry that it
	// serves callers.
	Control bool
	Entry   bool
	// ControlVMs are the VMs of the control role, which may lead.
	ControlVMs []VMName
	// Voters is the number of voting replicas to keep.
	Voters int
	// SnapshotEvery is the number of log entries between two snapshots.
	SnapshotEvery int
	Timing        Timing
	// Seed feeds the Node's own random numbers, and names this life of the
	// process to those who follow its registry.
	Seed uint64
	// Volatile says that a control VM has no disk: it follows the log and speaks for
	// it, and never gets a vote.
	Volatile bool
	// Delegates says that this VM would begin the cluster and has no disk: it has
	// another one do so; see forming.go.
	Delegates bool
	// DecodeDocument reads a document; nil where the deployment has none. It must
	// depend on nothing but the text.
	DecodeDocument func(source []byte) (*relay.Document, error)
	// Policy says which mechanisms of the decision logic are in force.
	Policy relay.Policy
}

// Recovered is what a control VM read from its data folder.
type Recovered struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
	// Targets are hints: what targets had said when they were last saved.
	Targets []relay.Target
}

// Node is the state of one process. New makes it and Step changes it.
type Node struct {
	settings Settings
	now      time.Time
	rand     *rand.Rand
	effects  []Effect

	cluster    string
	persists   persists
	replica    replica
	machine    Machine
	leading    leading
	entry      entry
	registry   registry
	forwarding forwarding
	// delegate is the replica that this VM had begin the cluster.
	delegate ReplicaID
	stopping bool
	stopped  bool
}

// New returns a Node that starts at now.
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

// Step takes one event at time now and returns what is to be done. The slice
// is the Node's own until the next Step.
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
		n.targetSpoke(ev)
	case WorkCounted:
		n.entry.work, n.entry.usage = ev.Work, ev.Usage
		n.entry.findings, n.entry.permitAsks = ev.Findings, ev.Limits
	case PermitsWanted:
		n.permitsWanted(ev)
	case TargetDrains:
		if n.settings.Control {
			n.drainingHeard([]relay.TargetID{ev.Target}, n.settings.Self.VM)
		}
	case RunsCrashed:
		n.runsCrashed(ev)
	case RequestSurvived:
		n.requestSurvived(ev)
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

// sameCluster drops messages of another cluster, and lets a VM that has none
// yet learn the identity from a leader's messages.
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

// deliver hands a message to this very VM or sends it to another one.
func (n *Node) deliver(to VMName, body Message) {
	if to != n.settings.Self.VM {
		n.send(to, body)
		return
	}
	n.receive(n.envelope(to, body).Envelope)
}

// persists holds back what may not be said before the disk has it.
type persists struct {
	issued uint64
	synced uint64
	held   []heldSend
}

type heldSend struct {
	after uint64
	send  Send
}

// persist emits a record for the log on disk.
func (n *Node) persist(p Persist) {
	n.persists.issued++
	p.Sequence = n.persists.issued
	n.emit(p)
}

// sendAfterSync sends once all records issued so far are synced.
func (n *Node) sendAfterSync(to VMName, body Message) {
	send := n.envelope(to, body)
	if n.persists.synced == n.persists.issued {
		n.emit(send)
		return
	}
	n.persists.held = append(n.persists.held, heldSend{after: n.persists.issued, send: send})
}

func (n *Node) persisted(sequence uint64) {
	n.persists.synced = max(n.persists.synced, sequence)
	released := 0
	for _, h := range n.persists.held {
		if h.after > n.persists.synced {
			break
		}
		n.emit(h.send)
		released++
	}
	n.persists.held = slices.Delete(n.persists.held, 0, released)
	n.replicaSynced()
}

// stop begins a planned stop: see docs/OPERATIONS.md.
func (n *Node) stop() {
	if n.stopping {
		return
	}
	n.stopping = true
	n.note("planned stop begins", string(n.settings.Self.VM))
	if n.settings.Control {
		n.handOver()
	}
	if n.settings.Entry {
		n.leaveEntry()
	}
}

// finishStop ends a planned stop once nothing is in progress any more.
func (n *Node) finishStop() {
	if !n.stopping || n.stopped {
		return
	}
	if n.settings.Control && n.replica.role == Leader && len(n.replica.voters()) > 1 {
		n.handOver()
		return
	}
	if n.settings.Entry && !n.entryIdle() {
		return
	}
	n.stopped = true
	n.emit(Stopped{})
}

package core

import (
	"reflect"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// Envelope is a message between two processes of one deployment.
type Envelope struct {
	// The fields are sent without their names: these values are sent most.
	_ struct{} `cbor:",toarray"`
	// Cluster is the identity that bootstrap drew. It is empty until a VM has
	// learned it; a message of another cluster is dropped.
	Cluster string    `cbor:"cluster"`
	From    ReplicaID `cbor:"from"`
	To      VMName    `cbor:"to"`
	Body    Message   `cbor:"body"`
}

// Message is the union of all messages: exactly one field is set, beside Receipt.
type Message struct {
	Vote        *Vote          `cbor:"vote,omitempty"`
	VoteReply   *VoteReply     `cbor:"vote_reply,omitempty"`
	StartAsk    *StartAsk      `cbor:"start_ask,omitempty"`
	StartReply  *StartReply    `cbor:"start_reply,omitempty"`
	Append      *Append        `cbor:"append,omitempty"`
	AppendReply *AppendReply   `cbor:"append_reply,omitempty"`
	Install     *Install       `cbor:"install,omitempty"`
	TimeoutNow  *TimeoutNow    `cbor:"timeout_now,omitempty"`
	Join        *Join          `cbor:"join,omitempty"`
	Renew       *Renew         `cbor:"renew,omitempty"`
	Grant       *Grant         `cbor:"grant,omitempty"`
	Redirect    *Redirect      `cbor:"redirect,omitempty"`
	RenewBatch  *RenewBatch    `cbor:"renew_batch,omitempty"`
	GrantBatch  *GrantBatch    `cbor:"grant_batch,omitempty"`
	Claim       *ClaimRequest  `cbor:"claim,omitempty"`
	ClaimReply  *ClaimReply    `cbor:"claim_reply,omitempty"`
	Record      *RecordRequest `cbor:"record,omitempty"`
	RecordReply *RecordReply   `cbor:"record_reply,omitempty"`
	Keep        *Keep          `cbor:"keep,omitempty"`
	KeepReply   *KeepReply     `cbor:"keep_reply,omitempty"`
	Find        *Find          `cbor:"find,omitempty"`
	FindReply   *FindReply     `cbor:"find_reply,omitempty"`
	Follow      *Follow        `cbor:"follow,omitempty"`
	TargetNews  *TargetNews    `cbor:"target_news,omitempty"`
	Begin       *Begin         `cbor:"begin,omitempty"`
	// Receipt is the runtime's own and may stand beside another field, or alone.
	Receipt *Receipt `cbor:"rc,omitempty"`
}

// Receipt is what the runtimes of two VMs say to each other of the link that a message goes
// over. The Node neither sets nor reads it.
type Receipt struct {
	_ struct{} `cbor:",toarray"`
	// Number is that of this message among all that its sender has sent to this VM.
	Number uint64 `cbor:"number"`
	// Seen is the highest number that the sender has had from this VM.
	Seen uint64 `cbor:"seen"`
	// Ask has the receiver answer at once, on the same connection.
	Ask bool `cbor:"ask"`
}

// Kind names the one field that is set, for logs and metrics.
func (m Message) Kind() string {
	v := reflect.ValueOf(m)
	for i := range v.NumField() {
		if !v.Field(i).IsNil() {
			return v.Type().Field(i).Name
		}
	}
	return "none"
}

// Vote asks for a vote, or, with Pre, whether one would be given.
type Vote struct {
	Term      Term  `cbor:"term"`
	Pre       bool  `cbor:"pre"`
	Transfer  bool  `cbor:"transfer"`
	LastIndex Index `cbor:"last_index"`
	LastTerm  Term  `cbor:"last_term"`
	// StartedIn is the life of the voter in which it has said, as all others have, that it
	// has heard no leader; 0 where that is not so. See common_start.go.
	StartedIn uint64 `cbor:"started_in,omitempty"`
}

// StartAsk asks a voter whether it has heard no leader in its life either. Who has heard one
// does not answer. Incarnation is the asker's, and Number counts its asks.
type StartAsk struct {
	Incarnation uint64 `cbor:"life"`
	Number      uint64 `cbor:"number"`
}

// StartReply answers a StartAsk of AskedBy with the sender's life and the end of its log.
type StartReply struct {
	AskedBy     uint64 `cbor:"asked_by"`
	Number      uint64 `cbor:"number"`
	Incarnation uint64 `cbor:"life"`
	LastTerm    Term   `cbor:"last_term"`
	LastIndex   Index  `cbor:"last_index"`
}

// VoteReply answers a Vote.
type VoteReply struct {
	Term    Term `cbor:"term"`
	Pre     bool `cbor:"pre"`
	Granted bool `cbor:"granted"`
}

// Append replicates entries and is the leader's heartbeat.
type Append struct {
	Term      Term    `cbor:"term"`
	PrevIndex Index   `cbor:"prev_index"`
	PrevTerm  Term    `cbor:"prev_term"`
	Entries   []Entry `cbor:"entries,omitempty"`
	Commit    Index   `cbor:"commit"`
	// Round numbers the leader's heartbeats; its lease counts from the sending
	// of the newest round that a quorum has answered.
	Round uint64 `cbor:"round"`
}

// AppendReply answers an Append or an Install, once what it speaks of is synced.
type AppendReply struct {
	Term     Term   `cbor:"term"`
	Rejected bool   `cbor:"rejected"`
	Match    Index  `cbor:"match"`
	Round    uint64 `cbor:"round"`
}

// Install brings a follower that is behind the log's beginning a snapshot.
type Install struct {
	Term     Term     `cbor:"term"`
	Snapshot Snapshot `cbor:"snapshot"`
	Round    uint64   `cbor:"round"`
}

// TimeoutNow asks a caught-up follower to stand at once: a planned hand-over.
type TimeoutNow struct {
	Term Term `cbor:"term"`
}

// Join asks the leader to take a replica in as a learner. Who does not lead
// passes it on, and names in For the replica that asked.
type Join struct {
	For ReplicaID `cbor:"for"`
	// Volatile says that the replica has no disk.
	Volatile bool `cbor:"volatile,omitempty"`
}

// EntryAddress is where one entry VM is reached.
type EntryAddress struct {
	// The fields are sent without their names: these values are sent most.
	_    struct{} `cbor:",toarray"`
	VM   VMName   `cbor:"vm" json:"vm"`
	Hall string   `cbor:"hall" json:"hall"`
	// Callers is the address for callers, Peers the one for the system.
	Callers string `cbor:"callers" json:"callers"`
	Peers   string `cbor:"peers" json:"peers"`
}

// TargetReport is what a watcher has seen of one target.
type TargetReport struct {
	Target  string `cbor:"target"`
	Reached bool   `cbor:"reached"`
	Leaving bool   `cbor:"leaving"`
	// Holding is the sequence of the placement order that the engine carried out.
	Holding uint64 `cbor:"holding"`
}

// Renew asks the leader for a lease and tells it what the entry VM knows.
type Renew struct {
	Number   uint64          `cbor:"number"`
	Address  EntryAddress    `cbor:"address"`
	Revision config.Revision `cbor:"revision"`
	// ViewVersion is the version of the list of entry VMs that is held, and ViewSum its sum.
	ViewVersion uint64 `cbor:"view_version"`
	ViewSum     uint64 `cbor:"view_sum,omitempty"`
	// Away says that no control VM of the asker's hall has answered it.
	Away bool `cbor:"away,omitempty"`
	// Leaving asks to be left out of the addresses that callers get.
	Leaving bool `cbor:"leaving"`
	// InProgress counts requests; Load is in thousandths of capacity.
	InProgress int            `cbor:"in_progress"`
	Load       int            `cbor:"load"`
	Reports    []TargetReport `cbor:"reports,omitempty"`
	// WorkSeen is the number of the newest change of work that the entry VM was told of.
	WorkSeen uint64 `cbor:"work_seen,omitempty"`
	// MarksSeen is that of the newest change of the marks of targets.
	MarksSeen uint64 `cbor:"marks_seen,omitempty"`
	// Work is what the entry VM has under way at registered targets.
	Work map[relay.TargetKey]relay.Work `cbor:"work,omitempty"`
	// Usage is what the entry VM has asked and repeated in the last window, by service.
	Usage map[string]relay.Usage `cbor:"usage,omitempty"`
	// Dead are the targets that have lately failed it and done nothing since, Sound
	// those that have done their part.
	Dead  []relay.TargetKey `cbor:"dead,omitempty"`
	Sound []relay.TargetKey `cbor:"well,omitempty"`
	// Slow are those that say that they are slow.
	Slow []relay.TargetKey `cbor:"slow,omitempty"`
	// Draining are targets that have said to it with an answer that they leave.
	Draining []relay.TargetID `cbor:"draining,omitempty"`
	// Limits are the targets that take so many requests a second.
	Limits []LimitAsk `cbor:"limits,omitempty"`
	// Crashed are runs that ended with their target, Survived requests that have run well
	// since they were among these.
	Crashed  []CrashReport    `cbor:"crashed,omitempty"`
	Survived []SurvivalReport `cbor:"survived,omitempty"`
}

// renewal returns the part of a Renew that the leader needs of each entry VM.
func (r Renew) renewal(from ReplicaID) Renewal {
	return Renewal{
		From: from, Number: r.Number, Address: r.Address, Revision: r.Revision, Leaving: r.Leaving,
		InProgress: r.InProgress, Load: r.Load, Reports: r.Reports,
	}
}

// Renewal is one entry VM's renewal in a RenewBatch. The fields are those of Renew.
type Renewal struct {
	_          struct{}        `cbor:",toarray"`
	From       ReplicaID       `cbor:"from"`
	Number     uint64          `cbor:"number"`
	Address    EntryAddress    `cbor:"address"`
	Revision   config.Revision `cbor:"revision"`
	Leaving    bool            `cbor:"leaving"`
	InProgress int             `cbor:"in_progress"`
	Load       int             `cbor:"load"`
	Reports    []TargetReport  `cbor:"reports"`
}

// FleetPart is the sum over the entry VMs that renew with one control VM.
type FleetPart struct {
	Work map[relay.TargetKey]relay.Work `cbor:"work,omitempty"`
	// Usage is the sum of what they have asked and repeated, VMs their number.
	Usage map[string]relay.Usage `cbor:"usage,omitempty"`
	VMs   int                    `cbor:"vms"`
	// Dead and Sound count the entry VMs that found a target so.
	Dead  map[relay.TargetKey]int `cbor:"dead,omitempty"`
	Sound map[relay.TargetKey]int `cbor:"well,omitempty"`
	// Slow are the targets that have told any of them that they are slow, sorted.
	Slow []relay.TargetKey `cbor:"slow,omitempty"`
}

// RenewBatch hands the leader the renewals that a control VM has gathered, and says where
// that one stands.
type RenewBatch struct {
	Number   uint64    `cbor:"number"`
	Renewals []Renewal `cbor:"renewals,omitempty"`
	// ViewVersion, WorkSeen and MarksSeen are as in Renew, for the whole fleet.
	ViewVersion uint64 `cbor:"view_version"`
	WorkSeen    uint64 `cbor:"work_seen"`
	MarksSeen   uint64 `cbor:"marks_seen,omitempty"`
	// Following is the number of entry VMs that follow the sender's registry, and Expected
	// are those of them that have not renewed with it yet: after a loss of all VMs there
	// are more of them than leases.
	Following int      `cbor:"following"`
	Expected  []VMName `cbor:"expected,omitempty"`
	// Limits are what the asks of the renewals say of targets with limits.
	Limits []HolderAsks `cbor:"limits,omitempty"`
	// Part is missing where the one sent last still counts.
	Part *FleetPart `cbor:"part,omitempty"`
	// Crashed and Survived are those of the renewals since the last batch.
	Crashed  []CrashReport    `cbor:"crashed,omitempty"`
	Survived []SurvivalReport `cbor:"survived,omitempty"`
}

// GrantBatch grants all renewals of the batch of that number, to holders that are at
// Revision or above, and brings the control VM to the newest state of the fleet. The fields
// are those of Grant.
type GrantBatch struct {
	Term        Term            `cbor:"term"`
	Number      uint64          `cbor:"number"`
	Revision    config.Revision `cbor:"revision"`
	ViewVersion uint64          `cbor:"view_version"`
	View        []EntryView     `cbor:"view,omitempty"`
	Gone        []VMName        `cbor:"gone,omitempty"`
	ViewWhole   bool            `cbor:"view_whole,omitempty"`
	// Work is what all entry VMs together have under way at the targets where that has
	// changed since the number that the batch named as WorkSeen; WorkWhole says that all
	// others have none.
	Work         map[relay.TargetKey]relay.Work `cbor:"work,omitempty"`
	WorkWhole    bool                           `cbor:"work_whole,omitempty"`
	WorkUpto     uint64                         `cbor:"work_upto,omitempty"`
	WorkReported bool                           `cbor:"work_reported,omitempty"`
	// Marks are those of targets that have changed since the number that the batch named as
	// MarksSeen; MarksWhole says that all others have none.
	Marks      map[relay.TargetKey]relay.Mark `cbor:"marks,omitempty"`
	MarksWhole bool                           `cbor:"marks_whole,omitempty"`
	MarksUpto  uint64                         `cbor:"marks_upto,omitempty"`
	VMs        int                            `cbor:"vms,omitempty"`
	Usage      map[string]relay.Usage         `cbor:"usage,omitempty"`
	UsageBy    int                            `cbor:"usage_by,omitempty"`
	// Permits are those that answer the batch's Limits.
	Permits []HolderPermits `cbor:"permits,omitempty"`
}

// ControlVM is a control VM that entry VMs can renew with.
type ControlVM struct {
	_    struct{} `cbor:",toarray"`
	VM   VMName   `cbor:"vm"`
	Hall string   `cbor:"hall"`
}

// EntryView is what callers are told of one entry VM.
type EntryView struct {
	Address     EntryAddress `cbor:"address"`
	Incarnation Incarnation  `cbor:"incarnation"`
	Leaving     bool         `cbor:"leaving"`
	// LoadLevel is coarse, so that it seldom changes: 0 idle to 3 full.
	LoadLevel int `cbor:"load_level"`
}

// Grant is a lease. It carries the changes that bring the holder to Revision,
// or the whole State when it is too far behind.
type Grant struct {
	// To is the incarnation that has asked: the next one of its VM asks under like numbers.
	To       Incarnation     `cbor:"to"`
	Term     Term            `cbor:"term"`
	Number   uint64          `cbor:"number"`
	Revision config.Revision `cbor:"revision"`
	Deltas   []Delta         `cbor:"deltas,omitempty"`
	State    *config.State   `cbor:"state,omitempty"`
	// ViewVersion is that of the list of entry VMs after View and Gone are
	// taken: what has changed since the holder's version. ViewWhole says that
	// View is the whole list.
	ViewVersion uint64      `cbor:"view_version"`
	View        []EntryView `cbor:"view,omitempty"`
	Gone        []VMName    `cbor:"gone,omitempty"`
	ViewWhole   bool        `cbor:"view_whole,omitempty"`
	// ViewSame says that the holder's list is the newest, under another version.
	ViewSame bool   `cbor:"view_same,omitempty"`
	Cluster  string `cbor:"cluster"`
	// Control are the control VMs that live.
	Control []ControlVM `cbor:"control,omitempty"`
	// Leader is the VM that has granted it.
	Leader VMName `cbor:"leader,omitempty"`
	// Others is what all other entry VMs have under way. VMs counts the entry VMs.
	Others map[relay.TargetKey]relay.Work `cbor:"others,omitempty"`
	// OthersWhole says that targets missing in Others have none, or come with the next
	// lease. WorkUpto is what the holder names as WorkSeen from then on.
	OthersWhole bool   `cbor:"others_whole,omitempty"`
	WorkUpto    uint64 `cbor:"work_upto,omitempty"`
	// WorkReported says that Others is known: a new leader has to hear of it first.
	WorkReported bool `cbor:"work_reported,omitempty"`
	// Marks are those of targets that have changed. MarksWhole says that targets missing in
	// it have none, or come with the next lease. MarksUpto is what the holder names as
	// MarksSeen from then on.
	Marks      map[relay.TargetKey]relay.Mark `cbor:"marks,omitempty"`
	MarksWhole bool                           `cbor:"marks_whole,omitempty"`
	MarksUpto  uint64                         `cbor:"marks_upto,omitempty"`
	VMs        int                            `cbor:"vms,omitempty"`
	// Usage is what UsageBy entry VMs have asked and repeated together in the last window,
	// by service; it comes with WorkReported.
	Usage   map[string]relay.Usage `cbor:"usage,omitempty"`
	UsageBy int                    `cbor:"usage_by,omitempty"`
	// Permits are lent for targets with limits; they come with the lease that answers the
	// renewal which asked for them.
	Permits []relay.Permits `cbor:"permits,omitempty"`
}

// Delta is one accepted change of the configuration.
type Delta struct {
	Revision config.Revision `cbor:"revision"`
	Changes  []config.Change `cbor:"changes"`
}

// Redirect tells an entry VM which control VM leads, if that is known, or which ones it
// should renew with.
type Redirect struct {
	Leader   VMName      `cbor:"leader"`
	Controls []ControlVM `cbor:"controls,omitempty"`
}

// ClaimRequest asks for the sole right to dispatch a request that may not be
// repeated.
//
// Attempt numbers the claims of one entry VM. It asks under a new number only
// after the end of the attempt before has been recorded or was never
// dispatched, so a later number of the same holder replaces an earlier one.
type ClaimRequest struct {
	ID      RequestID `cbor:"id"`
	Attempt uint64    `cbor:"attempt"`
	Digest  string    `cbor:"digest"`
	// Peek asks how a claim stands without making one.
	Peek bool `cbor:"peek,omitempty"`
}

// ClaimOutcome is the answer to a ClaimRequest.
type ClaimOutcome string

// The outcomes of a claim.
const (
	// ClaimGranted: the asker alone may dispatch.
	ClaimGranted ClaimOutcome = "granted"
	// ClaimNone: there is no claim; the answer to a Peek only.
	ClaimNone ClaimOutcome = "none"
	// ClaimBusy: another entry VM holds it and is alive; ask again.
	ClaimBusy ClaimOutcome = "busy"
	// ClaimUnknown: the holder is gone and may have dispatched.
	ClaimUnknown ClaimOutcome = "unknown"
	// ClaimRecorded: the answer is in the reply.
	ClaimRecorded ClaimOutcome = "recorded"
	// ClaimConflict: the same identity came with different content.
	ClaimConflict ClaimOutcome = "conflict"
)

// ClaimReply answers a ClaimRequest, after the claim is durable on a quorum.
type ClaimReply struct {
	ID      RequestID    `cbor:"id"`
	Attempt uint64       `cbor:"attempt"`
	Outcome ClaimOutcome `cbor:"outcome"`
	Answer  *CallAnswer  `cbor:"answer,omitempty"`
}

// RecordRequest stores how a claimed request ended.
type RecordRequest struct {
	ID      RequestID  `cbor:"id"`
	Attempt uint64     `cbor:"attempt"`
	Ran     Ran        `cbor:"ran"`
	Answer  CallAnswer `cbor:"answer"`
}

// RecordReply says that a record is durable.
type RecordReply struct {
	ID      RequestID `cbor:"id"`
	Attempt uint64    `cbor:"attempt"`
}

// CallAnswer is the answer of a plain service.
type CallAnswer struct {
	Status      int    `cbor:"status"`
	ContentType string `cbor:"content_type"`
	Body        []byte `cbor:"body"`
}

// Token is one generated token. Position counts from 0 within the answer.
type Token struct {
	ID   uint32 `cbor:"id" json:"id"`
	Text string `cbor:"text" json:"text"`
}

// KeepRecord is what a keeper holds of a stream, so that another entry VM can
// go on with it: the request, and the tokens its caller may have seen.
type KeepRecord struct {
	ID      RequestID     `cbor:"id"`
	Owner   VMName        `cbor:"owner"`
	Epoch   Epoch         `cbor:"epoch"`
	Request StreamRequest `cbor:"request"`
	// Version is that of the model; a stream keeps to one.
	Version  string  `cbor:"version"`
	Chain    []Stage `cbor:"chain"`
	Position int     `cbor:"position"`
	Tokens   []Token `cbor:"tokens"`
	Finish   string  `cbor:"finish"`
}

// KeepUpdate adds to a kept record. From is the place of the first token.
type KeepUpdate struct {
	ID RequestID `cbor:"id"`
	// Record is set at the beginning and when a new keeper is told all.
	Record   *KeepRecord `cbor:"record,omitempty"`
	Epoch    Epoch       `cbor:"epoch"`
	Chain    []Stage     `cbor:"chain,omitempty"`
	Position int         `cbor:"position"`
	From     int         `cbor:"from"`
	Tokens   []Token     `cbor:"tokens,omitempty"`
	Finish   string      `cbor:"finish,omitempty"`
	// Drop says that the record is of no more use.
	Drop bool `cbor:"drop,omitempty"`
}

// Keep is a batch of updates to one keeper.
type Keep struct {
	Number  uint64       `cbor:"number"`
	Updates []KeepUpdate `cbor:"updates"`
}

// KeepReply confirms a batch. Refused names the streams of which the keeper
// knows a later owner, Missing those that it has to be told whole.
type KeepReply struct {
	Number  uint64      `cbor:"number"`
	Refused []RequestID `cbor:"refused,omitempty"`
	Missing []RequestID `cbor:"missing,omitempty"`
}

// Find asks a keeper for a stream, in order to take it over.
type Find struct {
	ID RequestID `cbor:"id"`
}

// FindReply answers Find. A record in it has been handed over: its Epoch is
// the new owner's.
type FindReply struct {
	ID     RequestID   `cbor:"id"`
	Record *KeepRecord `cbor:"record,omitempty"`
}

// StreamRequest is what a caller asked of a model pipeline.
type StreamRequest struct {
	Organisation string    `cbor:"organisation"`
	Pipeline     string    `cbor:"pipeline"`
	Prompt       string    `cbor:"prompt"`
	MaxTokens    int       `cbor:"max_tokens"`
	Deadline     time.Time `cbor:"deadline"`
	// Returnable says that the caller gave the identity itself and can come
	// back with it.
	Returnable bool `cbor:"returnable"`
}

// Stage is one range of layers of a stream on one engine.
type Stage struct {
	Target  string       `cbor:"target" json:"target"`
	Address string       `cbor:"address" json:"address"`
	Layers  config.Range `cbor:"layers" json:"layers"`
}

package core

import (
	"reflect"
	"time"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// Envelope is a message between two processes of one deployment.
type Envelope struct {
	// Fields are encoded without their names, since envelopes are the most frequent values.
	_ struct{} `cbor:",toarray"`
	// Cluster is the identity generated at bootstrap. It is empty until the VM has
	// received it. Messages of another cluster are dropped.
	Cluster string    `cbor:"cluster"`
	From    ReplicaID `cbor:"from"`
	To      VMName    `cbor:"to"`
	Body    Message   `cbor:"body"`
}

// Message is the union of all messages. Exactly one field is set, apart from Receipt.
type Message struct {
	Vote           *Vote             `cbor:"vote,omitempty"`
	VoteReply      *VoteReply        `cbor:"vote_reply,omitempty"`
	StartAsk       *StartQuery       `cbor:"start_ask,omitempty"`
	StartReply     *StartReply       `cbor:"start_reply,omitempty"`
	Append         *Append           `cbor:"append,omitempty"`
	AppendReply    *AppendReply      `cbor:"append_reply,omitempty"`
	Install        *Install          `cbor:"install,omitempty"`
	TimeoutNow     *TimeoutNow       `cbor:"timeout_now,omitempty"`
	Join           *Join             `cbor:"join,omitempty"`
	Renew          *Renew            `cbor:"renew,omitempty"`
	Grant          *Grant            `cbor:"grant,omitempty"`
	MissingChanges *MissingChanges   `cbor:"missing,omitempty"`
	Redirect       *Redirect         `cbor:"redirect,omitempty"`
	RenewBatch     *RenewBatch       `cbor:"renew_batch,omitempty"`
	GrantBatch     *GrantBatch       `cbor:"grant_batch,omitempty"`
	Claim          *ClaimRequest     `cbor:"claim,omitempty"`
	ClaimReply     *ClaimReply       `cbor:"claim_reply,omitempty"`
	Record         *RecordRequest    `cbor:"record,omitempty"`
	RecordReply    *RecordReply      `cbor:"record_reply,omitempty"`
	Keep           *Keep             `cbor:"keep,omitempty"`
	KeepReply      *KeepReply        `cbor:"keep_reply,omitempty"`
	Find           *Find             `cbor:"find,omitempty"`
	FindReply      *FindReply        `cbor:"find_reply,omitempty"`
	Follow         *Follow           `cbor:"follow,omitempty"`
	TargetNews     *RegistryUpdate   `cbor:"target_news,omitempty"`
	Begin          *BootstrapRequest `cbor:"begin,omitempty"`
	// Receipt belongs to the runtime. It may be set alone or together with another field.
	Receipt *Receipt `cbor:"rc,omitempty"`
}

// Receipt acknowledges messages between the runtimes of two VMs, which detect a silent link by
// it. The Node neither sets nor reads it.
type Receipt struct {
	_ struct{} `cbor:",toarray"`
	// Number is the sequence number of this message from its sender to this VM.
	Number uint64 `cbor:"number"`
	// Seen is the highest number that the sender has received from this VM.
	Seen uint64 `cbor:"seen"`
	// ReplyNow requests an immediate reply on the same connection.
	ReplyNow bool `cbor:"ask"`
}

// Kind returns the name of the field that is set, for logs and metrics.
func (m Message) Kind() string {
	v := reflect.ValueOf(m)
	for i := range v.NumField() {
		if !v.Field(i).IsNil() {
			return v.Type().Field(i).Name
		}
	}
	return "none"
}

// Vote requests a vote. With Pre it only asks whether the vote would be granted.
type Vote struct {
	Term      Term  `cbor:"term"`
	Pre       bool  `cbor:"pre"`
	Transfer  bool  `cbor:"transfer"`
	LastIndex Index `cbor:"last_index"`
	LastTerm  Term  `cbor:"last_term"`
	// StartedIn is the incarnation in which the receiving voter replied, as all others did,
	// that it has received nothing from a leader. It is 0 otherwise. See common_start.go.
	StartedIn uint64 `cbor:"started_in,omitempty"`
}

// StartQuery asks a voter whether it too has received nothing from a leader in its current
// incarnation. A voter that has does not reply. Incarnation is the sender's Settings.Seed, and
// Number counts its requests.
type StartQuery struct {
	Incarnation uint64 `cbor:"life"`
	Number      uint64 `cbor:"number"`
}

// StartReply answers the StartQuery of incarnation RequesterIncarnation with the sender's
// incarnation and the end of its log.
type StartReply struct {
	RequesterIncarnation uint64 `cbor:"asked_by"`
	Number               uint64 `cbor:"number"`
	Incarnation          uint64 `cbor:"life"`
	LastTerm             Term   `cbor:"last_term"`
	LastIndex            Index  `cbor:"last_index"`
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
	// Round numbers the leader's heartbeats. Its lease starts when the newest
	// round that a quorum has acknowledged was sent.
	Round uint64 `cbor:"round"`
}

// AppendReply answers an Append or an Install once the data it acknowledges is synced.
type AppendReply struct {
	Term     Term   `cbor:"term"`
	Rejected bool   `cbor:"rejected"`
	Match    Index  `cbor:"match"`
	Round    uint64 `cbor:"round"`
}

// Install sends a snapshot to a follower that is behind the first entry of the log.
type Install struct {
	Term     Term     `cbor:"term"`
	Snapshot Snapshot `cbor:"snapshot"`
	Round    uint64   `cbor:"round"`
}

// TimeoutNow asks a caught-up follower to start an election at once, for a planned
// leadership transfer.
type TimeoutNow struct {
	Term Term `cbor:"term"`
}

// Join asks the leader to add a replica as a learner. A VM that is not the leader
// forwards it, with the requesting replica in For.
type Join struct {
	For ReplicaID `cbor:"for"`
	// Volatile is set when the replica has no disk.
	Volatile bool `cbor:"volatile,omitempty"`
}

// EntryAddress holds the addresses of one entry VM.
type EntryAddress struct {
	// Fields are encoded without their names, since addresses are among the most frequent values.
	_    struct{} `cbor:",toarray"`
	VM   VMName   `cbor:"vm" json:"vm"`
	Hall string   `cbor:"hall" json:"hall"`
	// Callers is the address for callers, Peers the one for other VMs.
	Callers string `cbor:"callers" json:"callers"`
	Peers   string `cbor:"peers" json:"peers"`
}

// TargetReport is the state of one target as observed by a watcher.
type TargetReport struct {
	Target  string `cbor:"target"`
	Reached bool   `cbor:"reached"`
	Leaving bool   `cbor:"leaving"`
	// AppliedSequence is the sequence of the last placement order that the engine has applied.
	AppliedSequence uint64 `cbor:"holding"`
}

// Renew asks the leader for a lease and reports the state of the entry VM.
type Renew struct {
	Number   uint64          `cbor:"number"`
	Address  EntryAddress    `cbor:"address"`
	Revision config.Revision `cbor:"revision"`
	// ViewVersion is the version of the sender's list of entry VMs, and ViewSum its checksum.
	ViewVersion uint64 `cbor:"view_version"`
	ViewSum     uint64 `cbor:"view_sum,omitempty"`
	// ControlsSeen is the version of the newest list of control VMs that the entry VM has received.
	ControlsSeen uint64 `cbor:"control_seen,omitempty"`
	// HallUnreachable is set when no control VM of the sender's hall has answered it.
	HallUnreachable bool `cbor:"away,omitempty"`
	// Leaving asks to be left out of the addresses given to callers.
	Leaving bool `cbor:"leaving"`
	// InProgress is the number of requests in progress. Load is in thousandths of capacity.
	InProgress int            `cbor:"in_progress"`
	Load       int            `cbor:"load"`
	Reports    []TargetReport `cbor:"reports,omitempty"`
	// WorkSeen is the number of the newest work change that the entry VM has received.
	WorkSeen uint64 `cbor:"work_seen,omitempty"`
	// MarksSeen is the number of the newest change of target marks that it has received.
	MarksSeen uint64 `cbor:"marks_seen,omitempty"`
	// Work is what the entry VM has in flight at registered targets.
	Work map[relay.TargetKey]relay.Work `cbor:"work,omitempty"`
	// Usage is the entry VM's requests and repeats in the last window, by service.
	Usage map[string]relay.Usage `cbor:"usage,omitempty"`
	// Failed lists the targets that failed recently without a success since, Healthy
	// those that served successfully.
	Failed  []relay.TargetKey `cbor:"dead,omitempty"`
	Healthy []relay.TargetKey `cbor:"well,omitempty"`
	// Slow lists the targets that report themselves as slow.
	Slow []relay.TargetKey `cbor:"slow,omitempty"`
	// Draining lists the targets that announced in a notice that they leave.
	Draining []relay.TargetID `cbor:"draining,omitempty"`
	// Limits lists the targets with a limit of requests per second.
	Limits []LimitRequest `cbor:"limits,omitempty"`
	// Crashed lists runs that ended with their target, Survived runs of the same fingerprints that
	// went well, and Labels says what these are of.
	Crashed  []CrashReport      `cbor:"crashed,omitempty"`
	Survived []SurvivalReport   `cbor:"survived,omitempty"`
	Labels   []FingerprintLabel `cbor:"labels,omitempty"`
	// Trials lists the trials of requests in quarantine that the entry VM asks for, and Unused those
	// that it returns.
	Trials [][]relay.Fingerprint `cbor:"trials,omitempty"`
	Unused []UnusedTrial         `cbor:"unused,omitempty"`
}

// renewal returns the part of a Renew that the leader needs from each entry VM.
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

// FleetAggregate aggregates the renewals of the entry VMs that renew with one control VM.
type FleetAggregate struct {
	Work map[relay.TargetKey]relay.Work `cbor:"work,omitempty"`
	// Usage is the sum of their requests and repeats, VMs the number of entry VMs.
	Usage map[string]relay.Usage `cbor:"usage,omitempty"`
	VMs   int                    `cbor:"vms"`
	// Failed and Healthy count the entry VMs that reported a target as such.
	Failed  map[relay.TargetKey]int `cbor:"dead,omitempty"`
	Healthy map[relay.TargetKey]int `cbor:"well,omitempty"`
	// Slow lists the targets that report themselves as slow to any of them, sorted.
	Slow []relay.TargetKey `cbor:"slow,omitempty"`
}

// RenewBatch forwards the renewals collected by a control VM to the leader, with the versions
// of that control VM's own state.
type RenewBatch struct {
	Number   uint64    `cbor:"number"`
	Renewals []Renewal `cbor:"renewals,omitempty"`
	// ViewVersion, WorkSeen and MarksSeen are as in Renew, for the whole fleet.
	ViewVersion uint64 `cbor:"view_version"`
	WorkSeen    uint64 `cbor:"work_seen"`
	MarksSeen   uint64 `cbor:"marks_seen,omitempty"`
	// Following is the number of entry VMs that follow the sender's registry. Expected
	// lists those that have not renewed with it yet: after a loss of all VMs there are
	// more followers than leases.
	Following int      `cbor:"following"`
	Expected  []VMName `cbor:"expected,omitempty"`
	// Limits holds the permit requests of the renewals, for targets with limits.
	Limits []HolderRequests `cbor:"limits,omitempty"`
	// Aggregate is nil while the last one sent is still valid.
	Aggregate *FleetAggregate `cbor:"part,omitempty"`
	// Crashed, Survived, Labels and Trials come from the renewals since the last batch.
	Crashed  []CrashReport      `cbor:"crashed,omitempty"`
	Survived []SurvivalReport   `cbor:"survived,omitempty"`
	Labels   []FingerprintLabel `cbor:"labels,omitempty"`
	Trials   []HolderTrials     `cbor:"trials,omitempty"`
}

// GrantBatch grants all renewals of the batch with its number, to holders at Revision or
// above, and brings the control VM to the newest state of the fleet. The fields are those of
// Grant.
type GrantBatch struct {
	Term         Term            `cbor:"term"`
	Number       uint64          `cbor:"number"`
	Revision     config.Revision `cbor:"revision"`
	ViewVersion  uint64          `cbor:"view_version"`
	View         []EntryView     `cbor:"view,omitempty"`
	Removed      []VMName        `cbor:"gone,omitempty"`
	ViewComplete bool            `cbor:"view_whole,omitempty"`
	// Work is what all entry VMs together have in flight, for the targets where it has
	// changed since the WorkSeen of the batch. With WorkComplete all other targets have none.
	Work         map[relay.TargetKey]relay.Work `cbor:"work,omitempty"`
	WorkComplete bool                           `cbor:"work_whole,omitempty"`
	WorkThrough  uint64                         `cbor:"work_upto,omitempty"`
	WorkReported bool                           `cbor:"work_reported,omitempty"`
	// Marks holds the target marks that have changed since the MarksSeen of the batch. With
	// MarksComplete all other targets have none.
	Marks         map[relay.TargetKey]relay.Mark `cbor:"marks,omitempty"`
	MarksComplete bool                           `cbor:"marks_whole,omitempty"`
	MarksThrough  uint64                         `cbor:"marks_upto,omitempty"`
	VMs           int                            `cbor:"vms,omitempty"`
	Usage         map[string]relay.Usage         `cbor:"usage,omitempty"`
	UsageVMs      int                            `cbor:"usage_by,omitempty"`
	// Permits answers the batch's Limits.
	Permits []HolderPermits `cbor:"permits,omitempty"`
}

// ControlVM is a control VM that entry VMs can renew with.
type ControlVM struct {
	_    struct{} `cbor:",toarray"`
	VM   VMName   `cbor:"vm"`
	Hall string   `cbor:"hall"`
}

// EntryView is the state of one entry VM as advertised to callers.
type EntryView struct {
	Address     EntryAddress `cbor:"address"`
	Incarnation Incarnation  `cbor:"incarnation"`
	Leaving     bool         `cbor:"leaving"`
	// LoadLevel ranges from 0 (idle) to 3 (full). It is coarse so that it rarely changes.
	LoadLevel int `cbor:"load_level"`
}

// Grant is a lease. It carries the changes that bring the holder to Revision,
// or the whole State when the holder is too far behind.
type Grant struct {
	// To is the incarnation that asked. The next incarnation of its VM reuses the numbers.
	To       Incarnation     `cbor:"to"`
	Term     Term            `cbor:"term"`
	Number   uint64          `cbor:"number"`
	Revision config.Revision `cbor:"revision"`
	Deltas   []Delta         `cbor:"deltas,omitempty"`
	State    *config.State   `cbor:"state,omitempty"`
	// Round numbers the times that changes were sent to the holder from its own revision on.
	Round uint64 `cbor:"round,omitempty"`
	// ViewVersion is the version of the list of entry VMs after View and Removed
	// are applied, which hold the changes since the holder's version. With
	// ViewComplete, View is the whole list.
	ViewVersion  uint64      `cbor:"view_version"`
	View         []EntryView `cbor:"view,omitempty"`
	Removed      []VMName    `cbor:"gone,omitempty"`
	ViewComplete bool        `cbor:"view_whole,omitempty"`
	// ViewSame is set when the holder's list equals the newest one under another version.
	ViewSame bool   `cbor:"view_same,omitempty"`
	Cluster  string `cbor:"cluster"`
	// ControlVMs lists the live control VMs.
	ControlVMs []ControlVM `cbor:"control,omitempty"`
	// ControlsVersion is the version of that list, which the holder sends as ControlsSeen from
	// then on.
	ControlsVersion uint64 `cbor:"control_version,omitempty"`
	// Leader is the VM that granted the lease.
	Leader VMName `cbor:"leader,omitempty"`
	// Others is what all other entry VMs have in flight. VMs counts the entry VMs.
	Others map[relay.TargetKey]relay.Work `cbor:"others,omitempty"`
	// OthersComplete: targets missing in Others have no work or come with the next lease.
	// WorkThrough is what the holder sends as WorkSeen from then on.
	OthersComplete bool   `cbor:"others_whole,omitempty"`
	WorkThrough    uint64 `cbor:"work_upto,omitempty"`
	// WorkReported is set once Others is known: a new leader has to receive reports first.
	WorkReported bool `cbor:"work_reported,omitempty"`
	// Marks holds the target marks that have changed. With MarksComplete, targets missing in it
	// have none or come with the next lease. MarksThrough is what the holder sends as MarksSeen
	// from then on.
	Marks         map[relay.TargetKey]relay.Mark `cbor:"marks,omitempty"`
	MarksComplete bool                           `cbor:"marks_whole,omitempty"`
	MarksThrough  uint64                         `cbor:"marks_upto,omitempty"`
	VMs           int                            `cbor:"vms,omitempty"`
	// Usage sums the requests and repeats of UsageVMs entry VMs in the last window, by
	// service. It comes with WorkReported.
	Usage    map[string]relay.Usage `cbor:"usage,omitempty"`
	UsageVMs int                    `cbor:"usage_by,omitempty"`
	// Permits are granted for targets with limits, with the lease that answers the renewal
	// which requested them.
	Permits []relay.Permits `cbor:"permits,omitempty"`
}

// Delta is one accepted change of the configuration.
type Delta struct {
	Revision config.Revision `cbor:"revision"`
	Changes  []config.Change `cbor:"changes"`
}

// Redirect names the leader to an entry VM, if it is known, or the control VMs that it
// should renew with.
type Redirect struct {
	Leader   VMName      `cbor:"leader"`
	Controls []ControlVM `cbor:"controls,omitempty"`
}

// ClaimRequest asks for the exclusive right to dispatch a request that may not
// be repeated.
//
// Attempt numbers the claims of one entry VM. The VM uses a new number only
// after the previous attempt was recorded as ended or was never dispatched, so
// a later number of the same holder replaces an earlier one.
type ClaimRequest struct {
	ID      RequestID `cbor:"id"`
	Attempt uint64    `cbor:"attempt"`
	Digest  string    `cbor:"digest"`
	// Peek queries the state of a claim without making one.
	Peek bool `cbor:"peek,omitempty"`
}

// ClaimOutcome is the answer to a ClaimRequest.
type ClaimOutcome string

// The outcomes of a claim.
const (
	// ClaimGranted means that only the requester may dispatch.
	ClaimGranted ClaimOutcome = "granted"
	// ClaimNone means that there is no claim. It only answers a Peek.
	ClaimNone ClaimOutcome = "none"
	// ClaimBusy means that another live entry VM holds the claim; retry later.
	ClaimBusy ClaimOutcome = "busy"
	// ClaimUnknown means that the holder was lost and may have dispatched.
	ClaimUnknown ClaimOutcome = "unknown"
	// ClaimRecorded means that the answer is in the reply.
	ClaimRecorded ClaimOutcome = "recorded"
	// ClaimConflict means that the same identity was used with different content.
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

// RecordReply confirms that a record is durable.
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

// KeepRecord is the copy of a stream at its keeper, from which another entry VM
// can resume it: the request, and the tokens that its caller may have received.
type KeepRecord struct {
	ID      RequestID     `cbor:"id"`
	Owner   VMName        `cbor:"owner"`
	Epoch   Epoch         `cbor:"epoch"`
	Request StreamRequest `cbor:"request"`
	// Version is the model version, which is fixed for the whole stream.
	Version  string  `cbor:"version"`
	Chain    []Stage `cbor:"chain"`
	Position int     `cbor:"position"`
	Tokens   []Token `cbor:"tokens"`
	Finish   string  `cbor:"finish"`
}

// KeepUpdate extends a kept record. From is the position of the first token.
type KeepUpdate struct {
	ID RequestID `cbor:"id"`
	// Record is set in the first update, and whenever a keeper needs the full record.
	Record   *KeepRecord `cbor:"record,omitempty"`
	Epoch    Epoch       `cbor:"epoch"`
	Chain    []Stage     `cbor:"chain,omitempty"`
	Position int         `cbor:"position"`
	From     int         `cbor:"from"`
	Tokens   []Token     `cbor:"tokens,omitempty"`
	Finish   string      `cbor:"finish,omitempty"`
	// Drop is set when the record is no longer needed.
	Drop bool `cbor:"drop,omitempty"`
}

// Keep is a batch of updates to one keeper.
type Keep struct {
	Number  uint64       `cbor:"number"`
	Updates []KeepUpdate `cbor:"updates"`
}

// KeepReply acknowledges a batch. Refused lists the streams for which the keeper
// knows a later owner, Missing those for which it needs the full record.
type KeepReply struct {
	Number  uint64      `cbor:"number"`
	Refused []RequestID `cbor:"refused,omitempty"`
	Missing []RequestID `cbor:"missing,omitempty"`
}

// Find asks a keeper for its record of a stream, to take the stream over.
type Find struct {
	ID RequestID `cbor:"id"`
}

// FindReply answers Find. A record in it has been transferred: its Epoch is
// that of the new owner.
type FindReply struct {
	ID     RequestID   `cbor:"id"`
	Record *KeepRecord `cbor:"record,omitempty"`
}

// StreamRequest is a caller's request to a model pipeline.
type StreamRequest struct {
	Organisation string    `cbor:"organisation"`
	Pipeline     string    `cbor:"pipeline"`
	Prompt       string    `cbor:"prompt"`
	MaxTokens    int       `cbor:"max_tokens"`
	Deadline     time.Time `cbor:"deadline"`
	// Returnable is set when the caller chose the identity itself, so that it
	// can reconnect with it.
	Returnable bool `cbor:"returnable"`
}

// Stage is one range of layers of a stream on one engine.
type Stage struct {
	Target  string       `cbor:"target" json:"target"`
	Address string       `cbor:"address" json:"address"`
	Layers  config.Range `cbor:"layers" json:"layers"`
}

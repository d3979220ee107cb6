// Package replication implements a Raft replicated log: elections with pre-vote
// and check-quorum, log replication, a leader lease, linearizable reads,
// single-voter membership changes, and snapshots.
//
// A Node is a state machine without I/O. The caller passes events and the
// current time to Step and executes the effects that it returns. A message that
// depends on a log entry or on hard state is sent only after the caller has
// reported that entry or state as synced.
package replication

import "time"

// NodeID identifies one incarnation of a replica. A VM that lost its disk
// restarts with a new incarnation and is therefore a different node.
type NodeID struct {
	VM string
	// Incarnation is a random number that is written to the disk on its first
	// use.
	Incarnation uint64
}

// Member is a node with its availability zone and address.
type Member struct {
	ID      NodeID
	Zone    string
	Address string
}

// Membership is the set of nodes that replicate the log.
type Membership struct {
	Voters   []Member
	Learners []Member
	// Replacement names two of the voters while one replaces the other. It is zero otherwise.
	Replacement Replacement
}

// Replacement is the exchange of a voter for another one. Until it ends, a quorum consists of a majority of the
// voters without Incoming and a majority of those without Outgoing.
type Replacement struct {
	Outgoing NodeID
	Incoming NodeID
}

// EntryKind is the kind of a log entry.
type EntryKind uint8

// The kinds of log entry. The values are stored on disk and sent to peers.
const (
	EntryNoop EntryKind = iota
	EntryCommand
	EntryMembership
)

// Entry is a log entry.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	// Data is opaque for EntryCommand. For EntryMembership it is empty and
	// Membership is set.
	Data       []byte
	Membership *Membership
}

// HardState is the state besides the log that must survive a restart. It must
// be synced before any message that depends on it is sent.
type HardState struct {
	Term   uint64
	Vote   NodeID
	Commit uint64
	// LeaseHolder is the leader whose lease may depend on this node, and
	// LeaseHolderTerm the term of that leader. Both are synced before the node
	// acknowledges a heartbeat of that leader and term.
	LeaseHolder     NodeID
	LeaseHolderTerm uint64
}

// Snapshot replaces the log entries up to and including Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	// Data is the state as encoded by the state machine.
	Data []byte
}

// Options configures a Node.
type Options struct {
	Self Member
	// ElectionTimeout is the minimum time without leader contact before a node
	// campaigns. The actual time is drawn at random from [1, 2) times this value.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between two heartbeat rounds of a leader.
	HeartbeatInterval time.Duration
	// LeaseDuration is how long the leader's lease lasts after it sent a
	// heartbeat that a quorum acknowledged. It must be shorter than
	// ElectionTimeout.
	LeaseDuration time.Duration
	// MaxClockDrift is the largest relative deviation of a node's clock rate
	// from real time, as a fraction.
	MaxClockDrift float64
	// MaxBatchBytes limits the entries of one append message and the data of
	// one snapshot message, in bytes.
	MaxBatchBytes int
	// MaxInflight and MaxInflightBytes limit the number of unacknowledged append messages to
	// one peer and the size of their entries. One message may exceed the size.
	MaxInflight      int
	MaxInflightBytes int
	// MinAppendRate is the slowest rate, in bytes per second, at which a peer receives, syncs and
	// acknowledges entries. An append is not sent again before its entries had that time.
	MinAppendRate int
	// MaxPendingBytes limits the data of proposals that are appended but not
	// yet committed. Beyond it, commands are rejected with RejectBusy.
	MaxPendingBytes int
	// RetainEntries and RetainBytes limit the entries covered by a snapshot
	// that are kept in memory for peers that lag behind.
	RetainEntries uint64
	RetainBytes   int
	// TargetVoters is the number of voters that the leader maintains by adding,
	// replacing and removing voters. With zero, only ProposeMembership changes
	// the voters.
	TargetVoters int
	// MinVoters is the number of voters below which commands are rejected
	// with RejectFewVoters, so that no command is stored on too few disks.
	MinVoters int
	// LostDisks is the number of voters whose disks may be lost right after a durable command was committed. With zero, such
	// a command only needs a quorum.
	LostDisks int
	// ReplaceAfter is the time without contact after which the leader replaces
	// a voter with a caught-up learner and removes a learner.
	ReplaceAfter time.Duration
	// Seed seeds the node's random number generator.
	Seed uint64
}

// Restored is the state that storage read from the disk. It is zero for a node
// without state. Bootstrap returns one with a Snapshot at index 0 that holds
// the initial membership.
type Restored struct {
	HardState HardState
	Snapshot  *Snapshot
	Entries   []Entry
}

// Event is an input to Node.Step.
type Event interface{ isEvent() }

// Tick lets the node act on expired timers.
type Tick struct{}

// Receive delivers a message from another node.
type Receive struct {
	Message Message
	// Address is the address that the sender named, or empty.
	Address string
}

// Undelivered reports that an append to a node did not arrive.
type Undelivered struct{ To NodeID }

// Persisted reports that the Persist effect with this sequence number and all
// earlier ones are synced.
type Persisted struct{ Sequence uint64 }

// Propose asks the leader to append a command.
type Propose struct {
	// Token is returned with the result.
	Token uint64
	Data  []byte
	// Durable rejects the command with RejectFewVoters while Options.LostDisks further lost disks would leave no quorum.
	Durable bool
}

// ProposeMembership asks the leader to change to a membership that differs in
// at most one voter.
type ProposeMembership struct {
	Token      uint64
	Membership Membership
}

// Join asks the leader to add a node as a learner, or to update the zone and
// address of a member. It is answered under its token by Appended once the
// membership holds the node, and by Rejected otherwise. The caller repeats the
// request until the node is a member.
type Join struct {
	Token  uint64
	Member Member
}

// Leave announces that a node is about to shut down, for example after a
// reclaim notice for its VM. The leader replaces it like a failed voter, while
// it still votes. It is answered under its token by Appended once the node is
// no voter and may shut down, and by Rejected otherwise; the caller then
// repeats the request. A node that receives its own Leave resigns and campaigns
// later than the other voters. A later Join cancels the replacement.
type Leave struct {
	Token uint64
	ID    NodeID
}

// Resign makes a leader give up its lease and step down at once. The other
// voters can elect a leader without waiting for a timeout. A node that does not
// lead only takes over the fields.
type Resign struct {
	// Leaving makes the node campaign later than the other voters from now on.
	Leaving bool
	// Stopping makes the node never campaign again. It still follows and votes, so
	// that another voter can be elected.
	Stopping bool
}

// Read requests an index at which a read of the state machine is linearizable.
type Read struct {
	Token uint64
	// Durable rejects the read where a durable command would be. It is for reads whose result acknowledges an earlier
	// command.
	Durable bool
}

// Applied reports the last index that the state machine has applied.
type Applied struct{ Index uint64 }

// Compacted reports that a snapshot of the state machine is synced. The node
// then drops log entries up to Snapshot.Index, but for those that
// Options.RetainEntries and Options.RetainBytes keep.
type Compacted struct{ Snapshot Snapshot }

func (Tick) isEvent()              {}
func (Receive) isEvent()           {}
func (Undelivered) isEvent()       {}
func (Persisted) isEvent()         {}
func (Propose) isEvent()           {}
func (ProposeMembership) isEvent() {}
func (Join) isEvent()              {}
func (Leave) isEvent()             {}
func (Resign) isEvent()            {}
func (Read) isEvent()              {}
func (Applied) isEvent()           {}
func (Compacted) isEvent()         {}

// Effects lists the actions that the caller must execute after a step, in the
// order of the fields.
type Effects struct {
	// Persist must be synced and then reported with a Persisted event.
	Persist *Persist
	// Send may be sent immediately. The node itself holds back messages that
	// depend on a sync until that sync is reported.
	Send []Message
	// Install replaces the state of the state machine. The snapshot is already
	// synced on this node.
	Install *Snapshot
	// Committed must be applied in order. The entries are already synced on this
	// node.
	Committed []Entry
	// Rejected lists requests that the node did not take or could not finish.
	// Reads that succeed are answered in Reads, other requests in Appended.
	Rejected []Rejection
	// Appended lists proposals with the index and term of their log entries, and
	// joins and leaves that are already satisfied.
	Appended []AppendedProposal
	// Reads lists the reads that may proceed.
	Reads []ReadResult
	// Removing lists the members that the leader proposed to remove, as it saw them.
	Removing []PeerStatus
	// Role is set when the node's role, term or known leader changed.
	Role *RoleChange
}

// Persist is a write of hard state and log entries to storage.
type Persist struct {
	Sequence  uint64
	HardState HardState
	// Snapshot, if set, replaces the stored log and is written before Entries.
	Snapshot *Snapshot
	// Entries replace all stored entries from the index of the first one on.
	Entries []Entry
}

// Rejection is the answer to a request that the node did not take or could not
// finish.
type Rejection struct {
	Token  uint64
	Reason RejectReason
	// Leader is the current leader, or nil if it is unknown.
	Leader *Member
}

// RejectReason is the reason for a Rejection.
type RejectReason uint8

// The reasons for a rejection.
const (
	RejectNotLeader RejectReason = iota
	// RejectMembership: the membership change is not allowed, or another one
	// is in progress.
	RejectMembership
	// RejectLost: the leader stepped down after it appended the proposal,
	// which may still be committed.
	RejectLost
	// RejectBusy: too many bytes are pending.
	RejectBusy
	// RejectFewVoters: there are fewer voters than Options.MinVoters, or too many of them lost their disks for a durable
	// command.
	RejectFewVoters
	// RejectNoQuorum: no quorum has acknowledged the leader within its lease
	// duration.
	RejectNoQuorum
)

// AppendedProposal is the answer to a request whose effect is in the log, with
// the position of the entry.
type AppendedProposal struct {
	Token uint64
	Index uint64
	Term  uint64
}

// ReadResult allows a read once the state machine has applied Index.
type ReadResult struct {
	Token uint64
	Index uint64
}

// Role is a node's role in the current term.
type Role uint8

// The roles of a node.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// RoleChange is the node's role, term and known leader after a step.
type RoleChange struct {
	Role   Role
	Term   uint64
	Leader *Member
}

// MessageKind is the kind of a message between nodes.
type MessageKind uint8

// The kinds of message. The values are sent to peers.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageHeartbeat
	MessageHeartbeatReply
	MessageSnapshot
	// MessageResign announces that the leader of Term gave up its lease and
	// stepped down.
	MessageResign
	// MessageSnapshotReply requests the snapshot's data from Offset on.
	MessageSnapshotReply
)

// Message is sent from one node to another. It may be lost, duplicated, delayed
// and reordered.
type Message struct {
	Kind MessageKind
	From NodeID
	To   NodeID
	Term uint64
	// PrevIndex and PrevTerm identify the entry before Entries in an append and
	// the candidate's last entry in a vote request. A rejected append reply
	// repeats PrevIndex.
	PrevIndex uint64
	PrevTerm  uint64
	Entries   []Entry
	Commit    uint64
	// Granted answers a vote request. Rejected is set in the reply to an append
	// that does not match the log, and in a heartbeat reply that tells a leader
	// of an older term about the newer term.
	Granted  bool
	Rejected bool
	// Refusal tells why a vote is not granted, for diagnostics.
	Refusal VoteAnswer
	// Index is the last matching index in an append reply, or a hint for it if
	// Rejected; the last index of the log in a heartbeat reply; and the
	// snapshot's index in a snapshot reply.
	Index uint64
	// Round is the number of a heartbeat round, used for leases and reads.
	Round uint64
	// Replaces is set in a heartbeat reply of a node that knows Membership.Replacement. Earlier versions
	// would count a quorum of all voters.
	Replaces bool
	// Snapshot holds the chunk of the snapshot's data that starts at Offset.
	// Size is the size of the complete data, in bytes.
	Snapshot *Snapshot
	Offset   uint64
	Size     uint64
}

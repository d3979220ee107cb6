// Package replication implements the replicated log: elections with pre-vote
// and check-quorum, log replication, a leader lease, linearizable reads,
// membership changes one voter at a time, and snapshots.
//
// A Node is a state machine without I/O. The caller feeds it events with the
// current time and carries out the effects it returns. Nothing that depends on
// a log entry or on hard state is sent before the caller reports it synced.
package replication

import "time"

// NodeID names one incarnation of a replica. A VM that lost its disk comes
// back with another incarnation and is therefore another node.
type NodeID struct {
	VM string
	// Incarnation is a random number written to the disk when it is first
	// used.
	Incarnation uint64
}

// Member is a node with where it runs.
type Member struct {
	ID      NodeID
	Zone    string
	Address string
}

// Membership is the set of nodes that take part in the log.
type Membership struct {
	Voters   []Member
	Learners []Member
}

// EntryKind tells what an entry's data holds.
type EntryKind uint8

// The kinds of entry.
const (
	EntryNoop EntryKind = iota
	EntryCommand
	EntryMembership
)

// Entry is one entry of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	// Data is opaque for EntryCommand. For EntryMembership it is empty and
	// Membership is set.
	Data       []byte
	Membership *Membership
}

// HardState must be synced before any message that depends on it is sent.
type HardState struct {
	Term   uint64
	Vote   NodeID
	Commit uint64
	// Holder is the leader whose lease may count on this node, and HolderTerm the
	// term in which it led. They are synced before the leader is told that it
	// was heard.
	Holder     NodeID
	HolderTerm uint64
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	// Data is the state machine's own encoding.
	Data []byte
}

// Options configures a Node.
type Options struct {
	Self Member
	// ElectionTimeout is the shortest time without a leader before a node
	// campaigns; the actual time is drawn from [1, 2) times it.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between two heartbeats of a leader.
	HeartbeatInterval time.Duration
	// LeaseDuration is how long a quorum's acknowledgement lets the leader
	// act alone. It must be shorter than ElectionTimeout.
	LeaseDuration time.Duration
	// MaxClockDrift is the largest relative difference in the rate of two
	// nodes' clocks, as a fraction.
	MaxClockDrift float64
	// MaxBatchBytes bounds the entries of one append message, in bytes.
	MaxBatchBytes int
	// MaxInflight bounds the append messages to one peer that are not yet
	// acknowledged.
	MaxInflight int
	// MaxPendingBytes bounds the data of proposals that are appended but not
	// yet committed; beyond it proposals are rejected with RejectBusy.
	MaxPendingBytes int
	// RetainEntries and RetainBytes bound the entries before a snapshot that
	// are kept in memory for peers that lag.
	RetainEntries uint64
	RetainBytes   int
	// TargetVoters is the number of voters that the leader grows to and
	// repairs towards. Zero leaves the membership to ProposeMembership.
	TargetVoters int
	// MinVoters is the number of voters below which commands are rejected
	// with RejectBusy, so that nothing is accepted on too few disks.
	MinVoters int
	// ReplaceAfter is how long a voter may be silent before the leader
	// replaces it with a caught-up learner.
	ReplaceAfter time.Duration
	// Seed seeds the node's random source.
	Seed uint64
}

// Restored is what storage found on the disk. A node without any state has a
// zero Restored; bootstrapping gives it a Snapshot at index 0 that holds the
// first membership.
type Restored struct {
	HardState HardState
	Snapshot  *Snapshot
	Entries   []Entry
}

// Event is something that happened to a node.
type Event interface{ isEvent() }

// Tick lets the node act on the passing of time.
type Tick struct{}

// Receive delivers a message from another node.
type Receive struct{ Message Message }

// Persisted reports that the Persist effect with this sequence number and all
// before it are synced.
type Persisted struct{ Sequence uint64 }

// Propose asks the leader to append a command.
type Propose struct {
	// Token is returned with the result.
	Token uint64
	Data  []byte
}

// ProposeMembership asks the leader to move to another membership that
// differs in one voter at most.
type ProposeMembership struct {
	Token      uint64
	Membership Membership
}

// Join asks the leader to take a node in as a learner. It is answered under
// its token by Appended once the membership holds the node, and by Rejected
// otherwise; the caller asks again until it is a member.
type Join struct {
	Token  uint64
	Member Member
}

// Leave says that a node is about to go, as after a reclaim notice. The leader
// replaces it as if it were lost, while it still counts. It is answered under
// its token by Appended once the node does not vote and may go, and by
// Rejected otherwise; the caller asks again. A node that is told of its own
// leaving resigns and campaigns only after the others. A later Join takes it back.
type Leave struct {
	Token uint64
	ID    NodeID
}

// Resign makes a leader give up its lease and its role at once and lets the
// others elect a leader without waiting for a timeout.
type Resign struct{}

// Read asks for an index at which a read of the state machine is
// linearizable.
type Read struct{ Token uint64 }

// Applied reports how far the state machine has applied the log.
type Applied struct{ Index uint64 }

// Compacted reports that a snapshot of the state machine is synced; the log up
// to Snapshot.Index is dropped.
type Compacted struct{ Snapshot Snapshot }

func (Tick) isEvent()              {}
func (Receive) isEvent()           {}
func (Persisted) isEvent()         {}
func (Propose) isEvent()           {}
func (ProposeMembership) isEvent() {}
func (Join) isEvent()              {}
func (Leave) isEvent()             {}
func (Resign) isEvent()            {}
func (Read) isEvent()              {}
func (Applied) isEvent()           {}
func (Compacted) isEvent()         {}

// Effects is one batch of what the caller must do, in the order of the fields.
type Effects struct {
	// Persist must be synced and then reported by Persisted.
	Persist *Persist
	// Send may be sent at once; messages that need a sync are held back by
	// the node until it is reported.
	Send []Message
	// Install replaces the state machine's state. The snapshot is synced.
	Install *Snapshot
	// Committed must be applied in order. The entries are synced here.
	Committed []Entry
	// Rejected answers proposals, joins and reads that will not be done under
	// their token; accepted proposals are answered by the token in Appended.
	Rejected []Rejection
	// Appended gives the index and term at which proposals were appended.
	Appended []AppendedProposal
	// Reads answers reads.
	Reads []ReadResult
	// Role is set when the node's view of its role or leader changed.
	Role *RoleChange
}

// Persist is one write to the log.
type Persist struct {
	Sequence  uint64
	HardState HardState
	// Snapshot, if set, is written before Entries and replaces the log.
	Snapshot *Snapshot
	// Entries replace any stored entries from the first one's index on.
	Entries []Entry
}

// Rejection says that a proposal or read was not taken.
type Rejection struct {
	Token  uint64
	Reason RejectReason
	// Leader is the leader as far as known.
	Leader *Member
}

// RejectReason says why a proposal or read was not taken.
type RejectReason uint8

// The reasons for a rejection. A proposal that was appended but whose leader
// stepped down is reported with RejectLost: it may still be committed.
const (
	RejectNotLeader RejectReason = iota
	// RejectMembership: the change is not allowed, or another is under way.
	RejectMembership
	RejectLost
	// RejectBusy: too much is pending, too few voters, or the leader has not
	// heard from a quorum within its lease.
	RejectBusy
)

// AppendedProposal ties a proposal to its place in the log.
type AppendedProposal struct {
	Token uint64
	Index uint64
	Term  uint64
}

// ReadResult lets a read proceed once the state machine has applied Index.
type ReadResult struct {
	Token uint64
	Index uint64
}

// Role is a node's part in the current term.
type Role uint8

// The roles.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// RoleChange describes the node's role after the step.
type RoleChange struct {
	Role   Role
	Term   uint64
	Leader *Member
}

// MessageKind tells the messages between nodes apart.
type MessageKind uint8

// The kinds of message.
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
	// MessageResign says that the leader of Term gave up its lease and role.
	MessageResign
	// MessageSnapshotReply asks for the snapshot's data from Offset on.
	MessageSnapshotReply
)

// Message travels between two nodes. It may be lost, repeated, delayed and
// reordered.
type Message struct {
	Kind MessageKind
	From NodeID
	To   NodeID
	Term uint64
	// PrevIndex and PrevTerm name the entry before Entries in an append, and
	// the candidate's last entry in a vote. A rejection repeats PrevIndex.
	PrevIndex uint64
	PrevTerm  uint64
	Entries   []Entry
	Commit    uint64
	// Granted is the answer to a vote; Rejected of an append.
	Granted  bool
	Rejected bool
	// Index is the last matching index of an append's reply, or a hint if
	// Rejected; the last index of the log in a heartbeat's reply.
	Index uint64
	// Round numbers heartbeats, for leases and reads.
	Round uint64
	// Snapshot holds the part of the snapshot's data that starts at Offset;
	// Size is that of the whole, in bytes.
	Snapshot *Snapshot
	Offset   uint64
	Size     uint64
}

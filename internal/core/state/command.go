// Package state implements the replicated state machine: the fleet
// configuration with its history, and the idempotency records.
//
// A Machine is pure: the same commands in the same order give the same state
// and the same results on every replica. Times come from the commands.
package state

import "waxwingcart/internal/core/fleet"

// MaxRequestIDBytes bounds a request ID.
const MaxRequestIDBytes = 64

// Owner is the incarnation of the entry that holds a reservation.
type Owner struct {
	VM          string
	Incarnation uint64
}

// Key names one idempotency record.
type Key struct {
	Customer string
	Service  string
	// Key is the caller's Idempotency-Key.
	Key string
}

// RecordState is the state of an idempotency record.
type RecordState uint8

// The states of a record. RecordNone means that the key is free.
const (
	RecordNone RecordState = iota
	// RecordReserved has an owner; its outcome is not known yet.
	RecordReserved
	// RecordAnswered has an answer. It is final.
	RecordAnswered
	// RecordNotRun is known not to have run; the key may be reserved anew.
	RecordNotRun
	// RecordUnknown will never be known to have run or not. It is final.
	RecordUnknown
	// RecordExpired was dropped after its retention.
	RecordExpired
)

// Answer is the outcome that a record replays.
type Answer struct {
	Status  int32
	Headers []Header
	Body    []byte
	// Truncated is true if Body is not the whole body.
	Truncated bool
}

// Header is one header field of an answer.
type Header struct {
	Name  string
	Value string
}

// Command is one change of the state, as it stands in the log.
type Command struct {
	// TimeMS is the proposing leader's clock in milliseconds since 1970. The
	// state's own time is the largest seen so far.
	TimeMS int64
	Body   Body
}

// Body is one of Reserve, Record, ChangeConfig and Expire.
type Body interface{ isBody() }

// Reserve claims a key for one attempt, which RequestID names. Request IDs
// must be unique, and an owner must not dispatch an attempt after it has
// recorded RecordNotRun for it.
type Reserve struct {
	Key Key
	// Digest is the SHA-256 over method, path and body.
	Digest       [32]byte
	Owner        Owner
	OwnerAddress string
	RequestID    string
	RetentionMS  int64
}

// Record sets the outcome of a reservation. State is RecordAnswered,
// RecordNotRun or RecordUnknown.
type Record struct {
	Key       Key
	Owner     Owner
	RequestID string
	State     RecordState
	// Answer is set for RecordAnswered.
	Answer *Answer
}

// ChangeConfig is an operator's change as prepared by Machine.Prepare. The
// leader validates and flattens, so that replicas of different versions agree.
type ChangeConfig struct {
	ChangeID     string
	BaseRevision uint64
	Author       string
	// Digest of the content tells changes with the same ID apart.
	Digest uint64
	// Items turn the configuration at BaseRevision into the new one, or are
	// the whole new one if Complete is true.
	Items    []fleet.Item
	Complete bool
	// Invalid says why the new configuration is refused; empty if it is valid.
	Invalid string
}

// Expire drops records whose retention ended before BeforeMS, but never after
// the state's own time.
type Expire struct {
	BeforeMS int64
}

func (Reserve) isBody()      {}
func (Record) isBody()       {}
func (ChangeConfig) isBody() {}
func (Expire) isBody()       {}

// Result is the answer to a command: a ReserveResult, RecordResult,
// ChangeResult or ExpireResult.
type Result interface{ isResult() }

// ReserveResult answers Reserve.
type ReserveResult struct {
	// Granted is true if the command's owner holds the reservation.
	Granted bool
	// Mismatch is true if the key was used with another digest.
	Mismatch bool
	// Full is true if no record can be taken in before others expire.
	Full bool
	// Record is the record after the command.
	Record RecordView
	// Term is the term of the leader that committed the command.
	Term uint64
}

// RecordView is what a record tells. Its fields are empty in the states
// RecordNone and RecordExpired.
type RecordView struct {
	State        RecordState
	Owner        Owner
	OwnerAddress string
	RequestID    string
	// Answer is set in RecordAnswered. It must not be changed.
	Answer *Answer
}

// RecordResult answers Record.
type RecordResult struct {
	// Accepted is true if the outcome is the record's, also when it was
	// recorded before.
	Accepted bool
	// State is the record's state after the command.
	State RecordState
}

// ChangeResult answers ChangeConfig. Resending a change gives the first result
// again.
type ChangeResult struct {
	// Accepted is true if the change got Revision.
	Accepted bool
	// Revision is the change's own, or the winner's after a conflict.
	Revision uint64
	// Conflict is true if the base revision was not the one in force.
	Conflict       bool
	WinnerChangeID string
	WinnerAuthor   string
	// Invalid says why the change was refused for its content.
	Invalid string
}

// ExpireResult answers Expire.
type ExpireResult struct {
	// Dropped counts the records dropped.
	Dropped int
	// More is true if another Expire would drop more.
	More bool
}

func (ReserveResult) isResult() {}
func (RecordResult) isResult()  {}
func (ChangeResult) isResult()  {}
func (ExpireResult) isResult()  {}

// Package state implements the replicated state machine: the fleet
// configuration with its history, and the idempotency records.
//
// A Machine is deterministic: the same commands in the same order give the same
// state and the same results on every replica. Times come from the commands.
package state

import "waxwingcart/internal/core/fleet"

// MaxRequestIDBytes is the longest allowed request ID.
const MaxRequestIDBytes = 64

// Owner identifies the entry, by VM and incarnation, that holds a reservation.
type Owner struct {
	VM          string
	Incarnation uint64
}

// Key identifies one idempotency record.
type Key struct {
	Customer string
	Service  string
	// Key is the value of the caller's Idempotency-Key header.
	Key string
}

// RecordState is the state of an idempotency record.
type RecordState uint8

// The states of a record. RecordNone means that no record exists for the key.
const (
	RecordNone RecordState = iota
	// RecordReserved means that an owner holds the key and the outcome is
	// pending.
	RecordReserved
	// RecordAnswered means that the answer is stored. The state is final.
	RecordAnswered
	// RecordNotRun means that the request is known not to have run; the key
	// can be reserved again.
	RecordNotRun
	// RecordUnknown means that it can never be determined whether the request
	// ran. The state is final.
	RecordUnknown
	// RecordExpired means that the record was dropped after its retention.
	RecordExpired
)

// Answer is the HTTP response that a record replays.
type Answer struct {
	Status  int32
	Headers []Header
	Body    []byte
	// Truncated is true if Body is only a prefix of the original body.
	Truncated bool
}

// Header is one header field of an answer.
type Header struct {
	Name  string
	Value string
}

// Command is one state change as stored in the log.
type Command struct {
	// TimeMS is the proposing leader's clock in milliseconds since 1970. The
	// machine's time is the largest TimeMS applied so far.
	TimeMS int64
	Body   Body
}

// Body is one of Reserve, RecordOutcome, ChangeConfig and Expire.
type Body interface{ isBody() }

// Reserve claims a key for the attempt identified by RequestID. Request IDs
// must be unique, and an owner must not dispatch an attempt after it has
// recorded RecordNotRun for it.
type Reserve struct {
	Key Key
	// Digest is the SHA-256 of the request's method, path and body.
	Digest       [32]byte
	Owner        Owner
	OwnerAddress string
	RequestID    string
	RetentionMS  int64
}

// RecordOutcome sets the outcome of a reservation. State is RecordAnswered,
// RecordNotRun or RecordUnknown.
type RecordOutcome struct {
	Key       Key
	Owner     Owner
	RequestID string
	State     RecordState
	// Answer is set for RecordAnswered.
	Answer *Answer
}

// ChangeConfig is an operator's change as prepared by Machine.Prepare. Only the
// leader validates and flattens the configuration, so that replicas that run
// different versions of the program still apply the same change.
type ChangeConfig struct {
	ChangeID     string
	BaseRevision uint64
	Author       string
	// Digest is a hash of the content. It detects reuse of a change ID for
	// another change.
	Digest uint64
	// Items is the difference from the configuration at BaseRevision, or the
	// complete new configuration if Complete is true.
	Items    []fleet.Item
	Complete bool
	// Invalid is the reason why the new configuration is rejected; empty if it
	// is valid.
	Invalid string
}

// Expire drops the records whose retention ended before BeforeMS. A BeforeMS
// beyond the machine's time is lowered to it.
type Expire struct {
	BeforeMS int64
}

func (Reserve) isBody()       {}
func (RecordOutcome) isBody() {}
func (ChangeConfig) isBody()  {}
func (Expire) isBody()        {}

// Result is the result of a command: a ReserveResult, RecordOutcomeResult,
// ChangeResult or ExpireResult.
type Result interface{ isResult() }

// ReserveResult is the result of Reserve.
type ReserveResult struct {
	// Granted is true if the command's owner holds the reservation.
	Granted bool
	// Mismatch is true if the key is in use for a request with another digest.
	Mismatch bool
	// Full is true if the record limit is reached; a new key can be reserved
	// only after other records expire.
	Full bool
	// Record is the state of the record after the command.
	Record RecordView
	// Term is the term of the leader that committed the command.
	Term uint64
}

// RecordView is a read-only view of a record. In the states RecordNone and
// RecordExpired all other fields are empty.
type RecordView struct {
	State        RecordState
	Owner        Owner
	OwnerAddress string
	RequestID    string
	// Answer is set in RecordAnswered. It must not be modified.
	Answer *Answer
}

// RecordOutcomeResult is the result of RecordOutcome.
type RecordOutcomeResult struct {
	// Accepted is true if the record has the reported outcome, whether this
	// command or an earlier one stored it.
	Accepted bool
	// State is the record's state after the command.
	State RecordState
}

// ChangeResult is the result of ChangeConfig. A change that is sent again gets
// the result of its first application.
type ChangeResult struct {
	// Accepted is true if the change was committed as Revision.
	Accepted bool
	// Revision is the revision of an accepted change, the revision of the
	// change that won a conflict, or the revision in force when the change was
	// found to be invalid.
	Revision uint64
	// Conflict is true if the base revision was not the revision in force. The
	// winner is the change that was accepted on that base, or the newest
	// change if that one is not in the history.
	Conflict       bool
	WinnerChangeID string
	WinnerAuthor   string
	// Invalid is the reason why the content of the change was rejected.
	Invalid string
}

// ExpireResult is the result of Expire.
type ExpireResult struct {
	// Dropped is the number of records dropped.
	Dropped int
	// More is true if the limit of one command was reached and records remain
	// to be dropped.
	More bool
}

func (ReserveResult) isResult()       {}
func (RecordOutcomeResult) isResult() {}
func (ChangeResult) isResult()        {}
func (ExpireResult) isResult()        {}

// Package request implements the state machine of a single request: admission,
// reservation of an idempotency key, attempts at backend servers, resumption
// of streams, and the one final outcome reported to the caller.
//
// A Request performs no I/O. One attempt is current; while it is silent, a second one may
// be open to replace it. Events of attempts that have ended are dropped and counted.
package request

import "time"

// Kind distinguishes model requests from application requests.
type Kind uint8

// The kinds of request.
const (
	// KindModel requests are answered by a stream of tokens that can be resumed.
	KindModel Kind = iota
	// KindApp requests are answered by one HTTP response.
	KindApp
)

// Position identifies a point in the token stream of an answer.
type Position struct {
	// Server and Stream name the engine and the stream at that engine.
	Server string
	Stream string
	// Next is the offset of the first token not yet forwarded to the caller.
	Next int
	// Sum is the running checksum over the tokens before Next.
	Sum uint64
}

// Spec holds the properties of a request that are fixed on arrival.
type Spec struct {
	ID   string
	Kind Kind
	// Repeatable is true if the request may safely run more than once.
	Repeatable bool
	// Keyed is true if the request carries an idempotency key that must be
	// reserved before dispatch.
	Keyed bool
	// Deadline is the time at which an unfinished request fails.
	Deadline time.Duration
	// MaxAttempts limits the attempts that may have run, including resumptions.
	// Other attempts count only beyond MaxUnstarted.
	MaxAttempts int
	// MaxUnstarted is the number of attempts that don't count toward MaxAttempts
	// because they failed before the request ran.
	MaxUnstarted int
	// Continues is true if any server can continue a stream where another one
	// stopped, so that a new attempt starts with the first token that the
	// caller does not have yet.
	Continues bool
	// TakesUp is true if the caller has the beginning of the stream from an earlier
	// request, so that the first attempt goes on with it.
	TakesUp bool
	// Resume is the position from which the caller asks to resume, if any.
	Resume *Position
}

// Phase is the phase in which an attempt failed.
type Phase uint8

// The phases of an attempt.
const (
	// PhaseDial means that no byte of the request was sent to the server.
	PhaseDial Phase = iota
	// PhaseRefused means that the server refused the request without running it.
	PhaseRefused
	// PhaseHandedOver means that at least a part of the request was sent, so that
	// it may have run.
	PhaseHandedOver
)

// Failure describes a failed attempt.
type Failure struct {
	Phase Phase
	// StreamGone is true if the engine no longer holds the stream.
	StreamGone bool
	// Permanent is true if another attempt would fail in the same way.
	Permanent bool
	// Local is true if the entry ended the attempt for a reason of its own, such as the memory that the
	// answer takes. It says nothing about the server.
	Local bool
	// Silent is true if the attempt exceeded its progress timeout.
	Silent bool
	// Answered is true if the server sent an error answer of its own. The
	// caller gets it if no later attempt has a better answer.
	Answered bool
	// Status is the HTTP status of a refusal, or 0.
	Status int
	// Step and Peer name the step and the peer that failed.
	Step string
	Peer string
}

// Reason is why a request did not get its full answer.
type Reason string

// The reasons for an outcome that is not the full answer.
const (
	ReasonAdmission   Reason = "admission"
	ReasonNoServer    Reason = "no-backend-server"
	ReasonLeaving     Reason = "servers-leaving"
	ReasonPaused      Reason = "servers-paused"
	ReasonOverload    Reason = "overload"
	ReasonDeadline    Reason = "deadline"
	ReasonReservation Reason = "reservation-unavailable"
	ReasonInFlight    Reason = "in-flight"
	ReasonMismatch    Reason = "key-reused"
	ReasonKeyUnknown  Reason = "key-outcome-unknown"
	ReasonNotKept     Reason = "answer-not-kept"
	ReasonKeyExpired  Reason = "key-expired"
	ReasonAbandoned   Reason = "abandoned"
	ReasonAttempt     Reason = "attempt-failed"
	ReasonDiverged    Reason = "recomputed-answer-differs"
	ReasonDraining    Reason = "draining"
	ReasonCallerGone  Reason = "caller-gone"
)

// OutcomeKind is how a request ended, as reported to the caller.
type OutcomeKind uint8

// The kinds of outcome.
const (
	// OutcomeAnswered means that the caller got the full answer.
	OutcomeAnswered OutcomeKind = iota
	// OutcomeReplay means that the caller gets the recorded answer.
	OutcomeReplay
	// OutcomeNotRun means that the request is known not to have run.
	OutcomeNotRun
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
	// OutcomeResumable means that the stream was interrupted and can be resumed.
	OutcomeResumable
)

// Outcome is the final result of a request.
type Outcome struct {
	Kind       OutcomeKind
	Reason     Reason
	Step       string
	Peer       string
	RetryAfter time.Duration
	// Status is the HTTP status of the refusal by a backend server, or 0.
	Status int
}

// ReserveResult is the result of a reservation.
type ReserveResult uint8

// The results of a reservation.
const (
	// ReserveGranted makes this request the owner of the key.
	ReserveGranted ReserveResult = iota
	// ReserveAnswered means that the answer of an earlier request is recorded.
	ReserveAnswered
	// ReserveInFlight means that another request owns the key.
	ReserveInFlight
	ReserveMismatch
	ReserveUnknown
	// ReserveNotKept means that the request ran and was answered, but its
	// answer was too long to be stored.
	ReserveNotKept
	ReserveExpired
	// ReserveFailed means that no quorum was reached; the reservation may
	// or may not be committed.
	ReserveFailed
)

// Event is an input of Request.Step.
type Event interface{ isEvent() }

// Start starts the request.
type Start struct{}

// Admitted reports that the request was admitted.
type Admitted struct{}

// Refused reports that the request was not admitted.
type Refused struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Duplicate reports, ahead of Reserved, that another request owns the key.
type Duplicate struct{}

// Reserved reports the result of Reserve.
type Reserved struct {
	Result     ReserveResult
	RetryAfter time.Duration
}

// Picked names the backend server for the next attempt.
type Picked struct{ Server string }

// NoServer reports that no backend server can take the request now. An empty
// Reason means ReasonNoServer.
type NoServer struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Opened reports that the answer of an attempt has begun.
type Opened struct {
	Attempt int
	Stream  string
}

// Token reports one token of a model's answer.
type Token struct {
	Attempt int
	Offset  int
	// Sum is the running checksum up to and including this token.
	Sum uint64
}

// Completed reports that an attempt delivered its complete answer.
type Completed struct{ Attempt int }

// Hedged reports that a copy of an attempt's request was sent to another server beside it.
type Hedged struct{ Attempt int }

// Failed reports that an attempt ended without a complete answer.
type Failed struct {
	Attempt int
	Failure Failure
}

// BackoffOver reports that the delay before the next attempt is over.
type BackoffOver struct{}

// Move asks to move the stream away from the engine Server.
type Move struct {
	Server string
	// Export is true if the KV cache is moved, false if it is recomputed.
	Export bool
	// Target is the engine that the KV cache is moved to.
	Target string
}

// Moved reports the result of MoveKV.
type Moved struct {
	Attempt int
	// Stream is the stream at the new engine, empty if the move failed.
	Stream string
	Server string
}

// Recorded reports whether the outcome was committed.
type Recorded struct{ OK bool }

// Abandon asks to end the request unless it was dispatched already.
type Abandon struct{}

// CallerGone reports that the caller closed its connection.
type CallerGone struct{}

// Drain asks to end the request at once, as resumable if it is a stream that has begun, since the entry
// is about to stop.
type Drain struct{}

// Tick triggers the deadline check, as every event does.
type Tick struct{}

func (Start) isEvent()       {}
func (Admitted) isEvent()    {}
func (Refused) isEvent()     {}
func (Duplicate) isEvent()   {}
func (Reserved) isEvent()    {}
func (Picked) isEvent()      {}
func (NoServer) isEvent()    {}
func (Opened) isEvent()      {}
func (Token) isEvent()       {}
func (Completed) isEvent()   {}
func (Hedged) isEvent()      {}
func (Failed) isEvent()      {}
func (BackoffOver) isEvent() {}
func (Move) isEvent()        {}
func (Moved) isEvent()       {}
func (Recorded) isEvent()    {}
func (Abandon) isEvent()     {}
func (CallerGone) isEvent()  {}
func (Drain) isEvent()       {}
func (Tick) isEvent()        {}

// Effect is an action that the caller of Step must carry out.
type Effect interface{ isEffect() }

// Admit asks for admission; answered by Admitted or Refused.
type Admit struct{}

// Reserve asks to commit the reservation of the key; answered by Reserved.
type Reserve struct{}

// Pick asks for a backend server; answered by Picked or NoServer.
type Pick struct {
	// Exclude lists servers that failed this request.
	Exclude []string
}

// Dispatch sends the request to a server as a new attempt.
type Dispatch struct {
	Attempt int
	Server  string
	// Beside is true if the attempt replaces a silent one that stays open.
	Beside bool
}

// ResumeStream resumes an existing stream as a new attempt.
type ResumeStream struct {
	Attempt  int
	Position Position
}

// CancelAttempt stops reading the answer of an attempt and cancels it at the
// server.
type CancelAttempt struct {
	Attempt int
	Server  string
	Stream  string
}

// DropAttempt stops reading the answer of an attempt but leaves it running at
// the server.
type DropAttempt struct {
	Attempt int
	// Silent is true if the attempt is dropped for its silence.
	Silent bool
}

// MoveKV exports the stream's KV cache and imports it at the target; answered
// by Moved.
type MoveKV struct {
	Attempt int
	From    Position
	Target  string
}

// Forward sends the token at Offset to the caller.
type Forward struct{ Offset int }

// Backoff waits for a delay; answered by BackoffOver.
type Backoff struct{ Delay time.Duration }

// RecordOutcome asks to commit the outcome of the reserved key; answered by Recorded
// if Await is set.
type RecordOutcome struct {
	Kind  OutcomeKind
	Await bool
}

// Respond reports the outcome to the caller. It is the last effect of a
// request.
type Respond struct{ Outcome Outcome }

func (Admit) isEffect()         {}
func (Reserve) isEffect()       {}
func (Pick) isEffect()          {}
func (Dispatch) isEffect()      {}
func (ResumeStream) isEffect()  {}
func (CancelAttempt) isEffect() {}
func (DropAttempt) isEffect()   {}
func (MoveKV) isEffect()        {}
func (Forward) isEffect()       {}
func (Backoff) isEffect()       {}
func (RecordOutcome) isEffect() {}
func (Respond) isEffect()       {}

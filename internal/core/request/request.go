package request

import (
	"slices"
	"time"
)

// Retrier decides whether a failed attempt may be followed by another.
type Retrier interface {
	// Retry returns the delay before the next attempt, and false if no further
	// attempt is allowed. An allowed attempt is charged to the retry budget
	// unless it is free.
	Retry(now time.Duration, failed FailedAttempt) (time.Duration, bool)
}

// FailedAttempt describes a failed attempt to a Retrier.
type FailedAttempt struct {
	Failure Failure
	// Attempts is the number of attempts so far.
	Attempts int
	// HandedOver is true if this or an earlier attempt may have run.
	HandedOver bool
	// Free is true if another attempt is not charged to the retry budget: it
	// starts no new run, or it replaces a run that delivered tokens.
	Free bool
}

type state uint8

const (
	stateNew state = iota
	stateAdmitting
	stateReserving
	statePicking
	stateBackoff
	stateRunning
	stateMoving
	stateRecording
	stateDone
)

// DefaultRetryAfter is the retry delay sent to callers when no better estimate
// is available.
const DefaultRetryAfter = time.Second

// Request is the state of one request. It is not safe for concurrent use.
type Request struct {
	spec    Spec
	retrier Retrier
	state   state
	// attempt is the number of the latest attempt, counted from 1, and current that of
	// the attempt whose events are forwarded.
	attempt, current int
	// second is the replacement that is open beside the silent current attempt. looking is
	// true while a server for a replacement is asked for, and leaving if it is asked for
	// because the current one's engine leaves.
	second           secondAttempt
	looking, leaving bool
	// stranded is true after a failed move of the KV cache, until another engine is found.
	stranded bool
	// position is the current position in the answer; Server and Stream are
	// those of the current attempt.
	position Position
	// verified is true once the current attempt's tokens before
	// position.Next are known to equal those already forwarded.
	verified bool
	// resumed is true if the current attempt continues an engine's stream.
	resumed bool
	// attemptDelivered is true once the current attempt delivered a new token.
	attemptDelivered bool
	// runDelivered is true if the latest run, including its resumptions,
	// delivered new tokens.
	runDelivered bool
	// replacedFree is true once a replacement of the latest run was free because that
	// run had delivered tokens.
	replacedFree bool
	exclude      []string
	// refusedBy lists the excluded servers that only refused a replacement.
	refusedBy []string
	reserved  bool
	// duplicate is true while another request is known to own the key.
	duplicate bool
	// hasErrorAnswer is true if the caller gets a server's own error answer
	// unless a later attempt has a better one.
	hasErrorAnswer bool
	// handedOver is true if an attempt may have run.
	handedOver bool
	abandoned  bool
	callerGone bool
	// hedges counts the copies of attempts' requests that were sent beside them.
	hedges int
	// unstarted counts the attempts that failed before the request ran.
	unstarted   int
	lastFailure Failure
	late        int
	recomputed  int
}

// New returns a request that waits for Start.
func New(spec Spec, retrier Retrier) *Request {
	r := &Request{spec: spec, retrier: retrier}
	if spec.Resume != nil {
		r.position = *spec.Resume
		// The entry that issued the position dispatched the request.
		r.handedOver = true
		r.runDelivered = true
	}
	return r
}

// Late returns the number of events dropped because their attempt had ended.
func (r *Request) Late() int { return r.late }

// Recomputed returns the number of tokens received that the caller already had.
func (r *Request) Recomputed() int { return r.recomputed }

// Done reports whether the request has reached its final outcome.
func (r *Request) Done() bool { return r.state == stateDone }

// Dispatched reports whether any attempt was started.
func (r *Request) Dispatched() bool { return r.attempt > 0 }

// Attempts returns the number of attempts so far.
func (r *Request) Attempts() int { return r.attempt }

// Position returns the current position in the answer.
func (r *Request) Position() Position { return r.position }

// Step applies one event and returns the effects to carry out.
func (r *Request) Step(now time.Duration, ev Event) []Effect {
	if r.state == stateDone {
		r.countLate(ev)
		return nil
	}
	if expired, effects := r.checkDeadline(now); expired {
		return effects
	}
	switch ev := ev.(type) {
	case Start:
		return r.start()
	case Admitted:
		return r.admitted()
	case Refused:
		return r.refused(ev)
	case Duplicate:
		return r.duplicated()
	case Reserved:
		return r.reservation(ev)
	case Picked:
		return r.picked(ev)
	case NoServer:
		return r.noServer(ev)
	case Opened:
		return r.opened(ev)
	case Token:
		return r.token(ev)
	case Completed:
		return r.completed(ev)
	case Hedged:
		r.hedges++
		return nil
	case Failed:
		return r.failed(now, ev)
	case Silence:
		return r.silent(now, ev)
	case ReplacementPicked:
		return r.replacementPicked(now, ev)
	case NoReplacement:
		return r.noReplacement(ev)
	case OverlapOver:
		return r.overlapOver(ev)
	case BackoffOver:
		return r.backoffOver()
	case Move:
		return r.move(ev)
	case Moved:
		return r.moved(ev)
	case Recorded:
		return r.recorded()
	case Abandon:
		return r.abandon()
	case CallerGone:
		return r.callerLeft()
	case Drain:
		return r.drain()
	}
	return nil
}

// checkDeadline ends the request once its deadline has passed. It lets a
// pending commit of an outcome finish, since the answer is known by then.
func (r *Request) checkDeadline(now time.Duration) (bool, []Effect) {
	if now < r.spec.Deadline || r.state == stateRecording {
		return false, nil
	}
	return true, r.endUnanswered(Outcome{Reason: ReasonDeadline, RetryAfter: DefaultRetryAfter})
}

func (r *Request) start() []Effect {
	if r.state != stateNew {
		return nil
	}
	r.state = stateAdmitting
	return []Effect{Admit{}}
}

func (r *Request) admitted() []Effect {
	if r.state != stateAdmitting {
		return nil
	}
	if r.spec.Keyed {
		r.state = stateReserving
		return []Effect{Reserve{}}
	}
	if r.spec.Resume != nil {
		return r.resume()
	}
	return r.pick()
}

func (r *Request) refused(ev Refused) []Effect {
	if r.state != stateAdmitting {
		return nil
	}
	return r.finish(Outcome{Kind: r.unansweredKind(), Reason: ev.Reason, Step: "admission", RetryAfter: ev.RetryAfter})
}

// duplicated records that another request owns the key and may be running.
func (r *Request) duplicated() []Effect {
	if r.state == stateReserving {
		r.duplicate = true
	}
	return nil
}

// reservation handles the result of the reservation. A reservation that is
// granted after the request was abandoned is recorded as not run.
func (r *Request) reservation(ev Reserved) []Effect {
	if r.state != stateReserving {
		return nil
	}
	outcome := Outcome{Step: "reserve", RetryAfter: ev.RetryAfter}
	switch ev.Result {
	case ReserveGranted:
		r.reserved = true
		r.duplicate = false
		if r.abandoned {
			outcome.Kind, outcome.Reason = OutcomeNotRun, ReasonAbandoned
			return r.finish(outcome)
		}
		return r.pick()
	case ReserveAnswered:
		outcome.Kind = OutcomeReplay
	case ReserveInFlight:
		outcome.Kind, outcome.Reason = OutcomeUnknown, ReasonInFlight
	case ReserveMismatch:
		outcome.Kind, outcome.Reason = OutcomeNotRun, ReasonMismatch
	case ReserveUnknown:
		outcome.Kind, outcome.Reason = OutcomeUnknown, ReasonKeyUnknown
	case ReserveNotKept:
		outcome.Kind, outcome.Reason = OutcomeUnknown, ReasonNotKept
	case ReserveExpired:
		outcome.Kind, outcome.Reason = OutcomeUnknown, ReasonKeyExpired
	case ReserveFailed:
		outcome.Kind, outcome.Reason = r.unansweredKind(), ReasonReservation
	}
	return r.finish(outcome)
}

func (r *Request) pick() []Effect {
	r.state = statePicking
	return []Effect{Pick{Exclude: slices.Clone(r.exclude)}}
}

func (r *Request) picked(ev Picked) []Effect {
	if r.state != statePicking {
		return nil
	}
	return r.dispatch(ev.Server)
}

func (r *Request) noServer(ev NoServer) []Effect {
	if r.state != statePicking {
		return nil
	}
	if r.stranded {
		return r.resume()
	}
	outcome := Outcome{Reason: ReasonNoServer, Step: "pick", RetryAfter: ev.RetryAfter}
	if ev.Reason != "" {
		outcome.Reason = ev.Reason
	}
	if r.lastFailure.Step != "" {
		outcome.Step, outcome.Peer = r.lastFailure.Step, r.lastFailure.Peer
	}
	return r.endUnanswered(outcome)
}

// recorded finishes an answered request. The caller gets the answer even if the
// outcome could not be committed.
func (r *Request) recorded() []Effect {
	if r.state != stateRecording {
		return nil
	}
	return r.finish(Outcome{Kind: OutcomeAnswered})
}

// abandon ends a request that was not dispatched. If a reservation is pending,
// the request ends when its result arrives.
func (r *Request) abandon() []Effect {
	if r.attempt > 0 {
		return nil
	}
	r.abandoned = true
	if r.state == stateReserving {
		return nil
	}
	return r.finish(Outcome{Kind: OutcomeNotRun, Reason: ReasonAbandoned, Step: "abandon", RetryAfter: DefaultRetryAfter})
}

// callerLeft cancels the request. A dispatched application request that is not
// repeatable continues, so that its outcome can be recorded.
func (r *Request) callerLeft() []Effect {
	r.callerGone = true
	if !r.spec.Repeatable && r.spec.Kind == KindApp && r.attempt > 0 {
		return nil
	}
	return r.endUnanswered(Outcome{Reason: ReasonCallerGone, Step: "caller"})
}

// drain ends the request before its entry stops. A stream ends so that the caller can resume it at another
// entry at once; the engine continues to generate it. Any other request gets an answer that says whether
// it may have run. A reservation that is pending is awaited, so that it can be recorded as not run, and so is the
// commit of an outcome.
func (r *Request) drain() []Effect {
	switch {
	case r.state == stateReserving:
		r.abandoned = true
		return nil
	case r.state == stateRecording:
		return nil
	case r.spec.Kind == KindModel && r.state == stateRunning && r.position.Stream != "":
		effects := append(r.cancelSecond(), DropAttempt{Attempt: r.current})
		outcome := Outcome{Kind: OutcomeResumable, Reason: ReasonDraining, Step: "drain"}
		return append(effects, r.finish(outcome)...)
	}
	return r.endUnanswered(Outcome{Reason: ReasonDraining, Step: "drain"})
}

// endUnanswered ends the request without a complete answer. The caller gets the
// error answer of a server if there is one, otherwise the outcome kind says
// whether the request may have run.
func (r *Request) endUnanswered(outcome Outcome) []Effect {
	var effects []Effect
	if r.state == stateRunning || r.state == stateMoving {
		r.markHandedOver(outcome)
		effects = append(effects, r.cancelCurrent())
		effects = append(effects, r.cancelSecond()...)
	}
	if r.hasErrorAnswer && !r.callerGone {
		return append(effects, r.finish(Outcome{Kind: OutcomeAnswered})...)
	}
	outcome.Kind = r.unansweredKind()
	return append(effects, r.finish(outcome)...)
}

// markHandedOver marks the request as handed over, unless the current attempt has
// just failed without being handed over.
func (r *Request) markHandedOver(outcome Outcome) {
	if outcome.Reason == ReasonAttempt && r.lastFailure.Phase != PhaseHandedOver {
		return
	}
	r.handedOver = true
}

// unansweredKind returns the outcome kind of a request without an answer:
// unknown if this request or the owner of its key may have run, otherwise not
// run.
func (r *Request) unansweredKind() OutcomeKind {
	if r.handedOver || r.duplicate {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

func (r *Request) finish(outcome Outcome) []Effect {
	r.state = stateDone
	var effects []Effect
	if r.reserved && outcome.Kind != OutcomeAnswered {
		effects = append(effects, RecordOutcome{Kind: outcome.Kind})
	}
	return append(effects, Respond{Outcome: outcome})
}

// isCurrent reports whether an event belongs to the current attempt. Otherwise it
// counts the event as late.
func (r *Request) isCurrent(attempt int) bool {
	if r.state == stateRunning && attempt == r.current {
		return true
	}
	r.late++
	return false
}

func (r *Request) countLate(ev Event) {
	switch ev.(type) {
	case Token, Completed, Opened, Failed, Moved:
		r.late++
	}
}

package request

import (
	"slices"
	"time"
)

// dispatch sends the request to a server as the only attempt.
func (r *Request) dispatch(server string) []Effect {
	r.state = stateRunning
	r.attempt++
	r.current = r.attempt
	r.position.Server, r.position.Stream = server, ""
	r.beginRun()
	return []Effect{Dispatch{Attempt: r.attempt, Server: server}}
}

// beginRun resets what is known of the current attempt, which begins a new run.
func (r *Request) beginRun() {
	r.looking, r.leaving, r.stranded = false, false, false
	r.resumed, r.attemptDelivered = false, false
	r.runDelivered, r.replacedFree = false, false
	r.verified = r.position.Next == 0 || r.spec.Continues
}

func (r *Request) failed(now time.Duration, ev Failed) []Effect {
	if r.isSecond(ev.Attempt) {
		return r.secondFailed(ev.Failure)
	}
	if !r.isCurrent(ev.Attempt) {
		return nil
	}
	r.noteFailure(ev.Failure)
	if r.second.number != 0 {
		return r.currentFailed()
	}
	r.looking, r.leaving = false, false
	if r.canRetry(ev.Failure) {
		if delay, ok := r.retrier.Retry(now, r.failedAttempt(ev.Failure)); ok && now+delay < r.spec.Deadline {
			r.prepareRetry(ev.Failure)
			r.state = stateBackoff
			return []Effect{Backoff{Delay: delay}}
		}
	}
	return r.endUnanswered(Outcome{
		Reason:     ReasonAttempt,
		Step:       ev.Failure.Step,
		Peer:       ev.Failure.Peer,
		RetryAfter: DefaultRetryAfter,
		Status:     ev.Failure.Status,
	})
}

// noteFailure records the failure of an open attempt.
func (r *Request) noteFailure(f Failure) {
	r.lastFailure = f
	if f.Phase == PhaseHandedOver {
		r.handedOver = true
	} else {
		r.unstarted++
	}
	r.hasErrorAnswer = r.hasErrorAnswer || f.Answered
}

func (r *Request) failedAttempt(f Failure) FailedAttempt {
	return FailedAttempt{
		Failure:    f,
		Attempts:   r.attempt,
		HandedOver: r.handedOver,
		Free:       r.canResume(f) || r.runDelivered,
	}
}

// canRetry reports whether another attempt is allowed after f: a request
// that is not repeatable must not run twice.
func (r *Request) canRetry(f Failure) bool {
	if f.Permanent || r.callerGone || !r.AttemptsLeft() {
		return false
	}
	return r.spec.Repeatable || !r.handedOver
}

// AttemptsLeft reports whether the limit on attempts allows another one. A hedge counts as an
// attempt.
func (r *Request) AttemptsLeft() bool {
	return r.attempt+r.hedges-min(r.unstarted, r.spec.MaxUnstarted) < r.spec.MaxAttempts
}

// prepareRetry prepares the next attempt: it resumes the stream if the
// engine still has it, otherwise it goes to another server.
func (r *Request) prepareRetry(f Failure) {
	if r.canResume(f) {
		return
	}
	r.excludeServer(r.position.Server)
	r.position.Stream = ""
}

// excludeServer excludes a server from later attempts.
func (r *Request) excludeServer(server string) {
	if server != "" && !slices.Contains(r.exclude, server) {
		r.exclude = append(r.exclude, server)
	}
}

// canResume reports whether the next attempt can resume the stream at its
// engine. A resumption that delivered no token is not repeated, so that the
// remaining attempts go to another engine.
func (r *Request) canResume(f Failure) bool {
	if r.resumed && !r.attemptDelivered {
		return false
	}
	return r.spec.Kind == KindModel && r.position.Stream != "" && !f.StreamGone && f.Phase == PhaseHandedOver
}

func (r *Request) backoffOver() []Effect {
	if r.state != stateBackoff {
		return nil
	}
	if r.position.Stream != "" {
		return r.resume()
	}
	return r.pick()
}

// move takes the stream off its engine. That includes one that waits to be resumed
// there: once the engine is gone, it could only be generated again.
func (r *Request) move(ev Move) []Effect {
	waiting := r.state == stateBackoff && r.position.Stream != ""
	if r.state != stateRunning && !waiting || r.spec.Kind != KindModel || r.position.Server != ev.Server {
		return nil
	}
	r.handedOver = true
	if ev.Export && r.position.Stream != "" {
		r.state = stateMoving
		effects := r.cancelSecond()
		move := MoveKV{Attempt: r.current, From: r.position, Target: ev.Target}
		if waiting {
			return []Effect{move}
		}
		return append(effects, DropAttempt{Attempt: r.current}, move)
	}
	if waiting {
		r.excludeServer(ev.Server)
		return append([]Effect{r.cancelCurrent()}, r.pick()...)
	}
	if r.second.number != 0 {
		return r.replaceCurrent(SilenceYielded)
	}
	r.leaving = true
	return r.lookForReplacement()
}

func (r *Request) moved(ev Moved) []Effect {
	if r.state != stateMoving || ev.Attempt != r.current {
		r.late++
		return nil
	}
	if ev.Stream == "" {
		r.excludeServer(r.position.Server)
		r.stranded = true
		return r.pick()
	}
	r.position.Server = ev.Server
	r.position.Stream = ev.Stream
	return r.resume()
}

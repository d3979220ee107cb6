package entry

import (
	"net/http"

	"waxwingcart/internal/core/request"
	"waxwingcart/internal/core/routing"
)

// attemptOf returns the number of an event's attempt, or 0.
func attemptOf(ev request.Event) int {
	switch ev := ev.(type) {
	case request.Opened:
		return ev.Attempt
	case request.Token:
		return ev.Attempt
	case request.Completed:
		return ev.Attempt
	case request.Failed:
		return ev.Attempt
	default:
		return 0
	}
}

// takeAnswer keeps the answer of an open attempt. It becomes the caller's when it is
// complete or an error answer; the head of a stream becomes the caller's with the
// stream's first event.
func (r *run) takeAnswer(ev streamEvent) {
	if r.source == nil {
		return
	}
	if ev.answer != nil {
		r.source.answer = ev.answer
		r.entry.guard.Answered(r.source.server.Name)
	}
	switch ev.event.(type) {
	case request.Completed:
		r.useAnswer(r.source)
	case request.Failed:
		if ev.answer != nil {
			r.useAnswer(r.source)
		}
	}
}

// useAnswer makes an attempt's answer the caller's, unless the caller has the beginning
// of one.
func (r *run) useAnswer(a *attempt) {
	if r.firstTokenAt == 0 {
		r.answer = a.answer
	}
}

// trackAttemptEnd ends the attempt that the event completes or fails.
func (r *run) trackAttemptEnd(ev request.Event) {
	switch ev := ev.(type) {
	case request.Completed:
		if r.source != nil {
			r.last = r.source
			r.noteWholeAnswer(r.source)
			r.endAttempt(r.source, r.source.completedResult())
		}
	case request.Failed:
		r.noteBrokenOff(r.source, ev.Failure)
		r.endAttempt(r.source, resultOf(ev.Failure))
	}
}

func resultOf(failure request.Failure) routing.Result {
	switch {
	case failure.Local:
		return routing.ResultAbandoned
	case failure.Phase == request.PhaseDial:
		return routing.ResultUnreachable
	case failure.Phase == request.PhaseRefused:
		return routing.ResultRefused
	default:
		return routing.ResultFailed
	}
}

// recorded returns the status and header of an answer whose body was not kept,
// or nil.
func (r *run) recorded(outcome request.Outcome) *answer {
	if outcome.Reason != request.ReasonNotKept {
		return nil
	}
	return r.replay
}

// serverFailed reports whether the answer's status is a server error.
func (r *run) serverFailed() bool {
	return r.answer != nil && r.answer.status >= http.StatusInternalServerError
}

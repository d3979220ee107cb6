package request

import (
	"slices"
	"time"
)

// Silence reports that an attempt has made no progress for its progress timeout. It is
// repeated after each further timeout.
type Silence struct{ Attempt int }

// ReplacementPicked names the backend server for a replacement of an open attempt.
type ReplacementPicked struct {
	Attempt int
	Server  string
}

// NoReplacement reports that no other backend server can take the request of an open
// attempt now.
type NoReplacement struct{ Attempt int }

// OverlapOver reports that the time is over for which a stream that has begun may be at two
// servers.
type OverlapOver struct{ Attempt int }

// PickReplacement asks for a backend server that could replace an attempt whose server is
// silent or leaves. The attempt stays open; answered by ReplacementPicked or NoReplacement.
type PickReplacement struct {
	Attempt int
	// Exclude lists the servers that failed this request and the attempt's own one.
	Exclude []string
}

// SilenceDecision is what followed from the silence of an attempt.
type SilenceDecision string

// The decisions on a silent attempt. After those that begin with "waits", the attempt is
// kept and its next silence is decided again.
const (
	// SilenceReplaced means that a second attempt was sent.
	SilenceReplaced SilenceDecision = "replaced"
	// SilenceResumed means that the stream is reopened at its engine.
	SilenceResumed SilenceDecision = "resumed"
	// SilenceRunsOnce means that the request may not run twice.
	SilenceRunsOnce SilenceDecision = "waits-runs-once"
	// SilenceNoAttempts means that the request has used its attempts.
	SilenceNoAttempts SilenceDecision = "waits-no-attempts"
	// SilenceNoServer means that no other server could take the request.
	SilenceNoServer SilenceDecision = "waits-no-server"
	// SilenceNoBudget means that the retry budget or the deadline allowed no attempt.
	SilenceNoBudget SilenceDecision = "waits-no-budget"
	// SilenceWaitsForOutcome means that the caller is gone and only the outcome is
	// awaited.
	SilenceWaitsForOutcome SilenceDecision = "waits-caller-gone"
	// SilenceWentOn means that the silent attempt went on before its replacement.
	SilenceWentOn SilenceDecision = "went-on"
	// SilenceOvertaken means that the replacement went on first.
	SilenceOvertaken SilenceDecision = "overtaken"
	// SilenceYielded means that the silent attempt was cancelled for a replacement that has
	// neither failed nor gone on.
	SilenceYielded SilenceDecision = "yielded"
	// SilenceFailed means that the silent attempt failed beside its replacement.
	SilenceFailed SilenceDecision = "failed"
	// SilenceReplacementFailed means that the replacement failed and the silent attempt
	// was kept.
	SilenceReplacementFailed SilenceDecision = "replacement-failed"
)

// LimitOverlap asks to report when the replacement and the silent attempt have been open
// together for the longest allowed time; answered by OverlapOver.
type LimitOverlap struct{ Attempt int }

// Silenced reports a decision on the silence of an attempt. Nothing has to be done.
type Silenced struct {
	Attempt  int
	Server   string
	Decision SilenceDecision
}

func (Silence) isEvent()           {}
func (ReplacementPicked) isEvent() {}
func (NoReplacement) isEvent()     {}
func (OverlapOver) isEvent()       {}

func (PickReplacement) isEffect() {}
func (Silenced) isEffect()        {}
func (LimitOverlap) isEffect()    {}

// secondAttempt is the replacement of a silent attempt while both are open. Its number
// is 0 if there is none.
type secondAttempt struct {
	number int
	server string
}

// silentFailure describes the silence of an open attempt to a Retrier.
var silentFailure = Failure{Phase: PhaseHandedOver, Silent: true, Step: "wait"}

// silent decides what follows from the silence of the current attempt. The attempt
// stays open until a replacement has been found for it.
func (r *Request) silent(now time.Duration, ev Silence) []Effect {
	if r.state != stateRunning || ev.Attempt != r.current || r.second.number != 0 || r.looking {
		return nil
	}
	if reason := r.irreplaceable(); reason != "" {
		return r.silenced(reason)
	}
	if !r.spec.Continues && r.canResume(silentFailure) {
		return r.resumeSilent(now)
	}
	return r.lookForReplacement()
}

// lookForReplacement asks for a server other than the current one, which keeps the attempt.
func (r *Request) lookForReplacement() []Effect {
	r.looking = true
	exclude := append(slices.Clone(r.exclude), r.position.Server)
	return []Effect{PickReplacement{Attempt: r.current, Exclude: exclude}}
}

// irreplaceable returns why no attempt may follow the current one now, although that
// one may have run, or "".
func (r *Request) irreplaceable() SilenceDecision {
	switch {
	case r.callerGone:
		return SilenceWaitsForOutcome
	case !r.spec.Repeatable:
		return SilenceRunsOnce
	case !r.AttemptsLeft():
		return SilenceNoAttempts
	}
	return ""
}

// resumeSilent reopens the stream of a silent attempt at its engine.
func (r *Request) resumeSilent(now time.Duration) []Effect {
	delay, ok := r.retrier.Retry(now, r.failedAttempt(silentFailure))
	if !ok || now+delay >= r.spec.Deadline {
		return r.silenced(SilenceNoBudget)
	}
	r.handedOver = true
	r.state = stateBackoff
	effects := append(r.silenced(SilenceResumed), DropAttempt{Attempt: r.current, Silent: true})
	return append(effects, Backoff{Delay: delay})
}

// replacementPicked starts a second attempt beside the silent one, if the retry budget
// allows it. A stream that only its own engine can continue, or whose engine leaves, is
// begun again instead.
func (r *Request) replacementPicked(now time.Duration, ev ReplacementPicked) []Effect {
	if !r.lookingFor(ev.Attempt) {
		return nil
	}
	r.looking = false
	if r.leaving {
		effects := []Effect{r.cancelCurrent()}
		r.excludeServer(r.position.Server)
		return append(effects, r.dispatch(ev.Server)...)
	}
	if ev.Server == r.position.Server || slices.Contains(r.exclude, ev.Server) {
		return r.silenced(SilenceNoServer)
	}
	failed := r.failedAttempt(silentFailure)
	failed.Free = r.runDelivered
	if _, ok := r.retrier.Retry(now, failed); !ok {
		return r.silenced(SilenceNoBudget)
	}
	effects := r.silenced(SilenceReplaced)
	if !r.spec.Continues {
		r.handedOver = true
		r.excludeServer(r.position.Server)
		effects = append(effects, DropAttempt{Attempt: r.current, Silent: true})
		return append(effects, r.dispatch(ev.Server)...)
	}
	if failed.Free {
		r.runDelivered, r.replacedFree = false, true
	}
	r.attempt++
	r.second = secondAttempt{number: r.attempt, server: ev.Server}
	effects = append(effects, Dispatch{Attempt: r.attempt, Server: ev.Server, Beside: true})
	if r.position.Next > 0 || r.spec.TakesUp {
		effects = append(effects, LimitOverlap{Attempt: r.attempt})
	}
	return effects
}

// overlapOver leaves a stream that has begun to the replacement, which has the request by
// now and has not refused it: the stream must not go on at two servers.
func (r *Request) overlapOver(ev OverlapOver) []Effect {
	if !r.isSecond(ev.Attempt) {
		return nil
	}
	return r.replaceCurrent(SilenceYielded)
}

// noReplacement keeps the current attempt. Its next silence asks again.
func (r *Request) noReplacement(ev NoReplacement) []Effect {
	if !r.lookingFor(ev.Attempt) {
		return nil
	}
	r.looking = false
	if r.leaving {
		r.leaving = false
		return nil
	}
	r.readmitRefused()
	return r.silenced(SilenceNoServer)
}

// readmitRefused lets the servers that refused a replacement be asked again: they may
// have been full only for a moment, and there is no other one.
func (r *Request) readmitRefused() {
	r.exclude = slices.DeleteFunc(r.exclude, func(server string) bool { return slices.Contains(r.refusedBy, server) })
	r.refusedBy = nil
}

func (r *Request) lookingFor(attempt int) bool {
	return r.state == stateRunning && r.looking && attempt == r.current
}

func (r *Request) isSecond(attempt int) bool {
	return r.state == stateRunning && r.second.number != 0 && attempt == r.second.number
}

// secondToken lets the replacement win if it delivers the event that the caller lacks.
func (r *Request) secondToken(ev Token) []Effect {
	switch {
	case ev.Offset > r.position.Next, ev.Offset == r.position.Next-1 && ev.Sum != r.position.Sum:
		r.excludeServer(r.second.server)
		return r.dropSecond(SilenceReplacementFailed)
	case ev.Offset < r.position.Next:
		r.recomputed++
		return nil
	}
	return append(r.replaceCurrent(SilenceOvertaken), r.token(ev)...)
}

// replaceCurrent cancels the silent attempt and makes its replacement the current one.
func (r *Request) replaceCurrent(decision SilenceDecision) []Effect {
	effects := append(r.silenced(decision), r.cancelCurrent())
	r.handedOver = true
	r.excludeServer(r.position.Server)
	r.promoteSecond()
	return effects
}

// secondFailed keeps the silent attempt after its replacement has failed.
func (r *Request) secondFailed(f Failure) []Effect {
	r.noteFailure(f)
	r.excludeServer(r.second.server)
	if f.Phase == PhaseRefused {
		r.refusedBy = append(r.refusedBy, r.second.server)
	}
	r.second = secondAttempt{}
	return r.silenced(SilenceReplacementFailed)
}

// currentFailed goes on with the replacement after the silent attempt has failed.
func (r *Request) currentFailed() []Effect {
	effects := r.silenced(SilenceFailed)
	r.excludeServer(r.position.Server)
	r.promoteSecond()
	return effects
}

func (r *Request) promoteSecond() {
	r.current = r.second.number
	r.position.Server, r.position.Stream = r.second.server, ""
	r.second = secondAttempt{}
	r.beginRun()
}

// dropSecond cancels the replacement, if there is one, and reports why.
func (r *Request) dropSecond(decision SilenceDecision) []Effect {
	r.looking = r.leaving
	if r.second.number == 0 {
		return nil
	}
	return append(r.silenced(decision), r.cancelSecond()...)
}

// cancelSecond cancels the replacement, if there is one.
func (r *Request) cancelSecond() []Effect {
	if r.second.number == 0 {
		return nil
	}
	cancel := CancelAttempt{Attempt: r.second.number, Server: r.second.server}
	r.handedOver = true
	r.second = secondAttempt{}
	return []Effect{cancel}
}

func (r *Request) cancelCurrent() Effect {
	return CancelAttempt{Attempt: r.current, Server: r.position.Server, Stream: r.position.Stream}
}

// silenced reports a decision on the silence of the current attempt.
func (r *Request) silenced(decision SilenceDecision) []Effect {
	return []Effect{Silenced{Attempt: r.current, Server: r.position.Server, Decision: decision}}
}

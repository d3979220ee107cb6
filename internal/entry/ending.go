package entry

import (
	"strconv"
	"time"

	"github.com/phuslu/log"

	"waxwingcart/internal/core/request"
)

// ending holds what the last line of a request says about why it ended, beside
// its outcome. Only the run's loop uses it.
type ending struct {
	// waiting is true while an attempt is under way, signAt is when its server
	// last gave a sign, and silence the longest time without one.
	waiting bool
	signAt  time.Duration
	silence time.Duration
	// failure is the latest failure of an attempt, if any.
	failure *request.Failure
	// notRetried is the reason for which the retry policy allowed no further
	// attempt, or "".
	notRetried string
}

// Reasons for which no further attempt followed, beside those of core/retry.
const (
	notRepeatable = "not-repeatable"
	noAttempts    = "max-attempts"
	noTime        = "deadline"
	finalFailure  = "final"
)

// attemptBegan starts the measurement of an attempt's silence.
func (n *ending) attemptBegan(now time.Duration) {
	n.waiting, n.signAt = true, now
}

// sign notes an event of an attempt. others is true if another attempt stays open.
func (n *ending) sign(now time.Duration, ev request.Event, others bool) {
	if _, silent := ev.(request.Silence); silent {
		return
	}
	n.measure(now)
	switch ev := ev.(type) {
	case request.Completed:
		n.waiting = false
	case request.Failed:
		n.waiting = others
		n.failure = &ev.Failure
	}
}

// measure updates the longest silence.
func (n *ending) measure(now time.Duration) {
	if n.waiting {
		n.silence = max(n.silence, now-n.signAt)
		n.signAt = now
	}
}

// failureName names the way in which the latest attempt failed, or returns "".
func (n *ending) failureName() string {
	switch {
	case n.failure == nil:
		return ""
	case n.failure.Phase == request.PhaseDial:
		return "dial"
	case n.failure.Phase == request.PhaseRefused:
		return "refused"
	case n.failure.Answered:
		return "answered"
	case n.failure.Silent:
		return "silent"
	default:
		return "broken"
	}
}

// begun reports whether the answer had begun at the caller.
func (r *run) begun() bool {
	return r.firstTokenAt > 0 || r.whole()
}

// whole reports whether the caller got a whole answer.
func (r *run) whole() bool {
	return r.outcome.Kind == request.OutcomeAnswered || r.outcome.Kind == request.OutcomeReplay
}

// whyNotRetried says why no further attempt followed the last one: a reason of
// core/retry, a reason of the request, or that of the refusal to place it. It is
// empty if no attempt failed, or the caller got a whole answer.
func (r *run) whyNotRetried() string {
	switch {
	case r.whole() || r.ending.failure == nil:
		return ""
	case r.outcome.Reason != request.ReasonAttempt:
		return string(r.outcome.Reason)
	case r.ending.notRetried != "":
		return r.ending.notRetried
	case !r.spec.Repeatable:
		return notRepeatable
	case !r.req.AttemptsLeft():
		return noAttempts
	default:
		return finalFailure
	}
}

// endRevision returns the revision in force now, or 0.
func (e *Entry) endRevision() uint64 {
	if config := e.config.inForce(); config != nil {
		return config.revision
	}
	return 0
}

// addEnding adds to the last line of a request why it ended, and counts a request
// that may have run and has no whole answer. A caller that left is not counted.
func (r *run) addEnding(line *log.Entry) {
	r.ending.measure(r.entry.now())
	inForce := r.entry.endRevision()
	line.Bool("begun", r.begun()).Uint64("revision", r.config.revision).Uint64("revision_end", inForce).
		Str("failure", r.ending.failureName()).Str("not_retried", r.whyNotRetried()).
		Int64("silence_ms", r.ending.silence.Milliseconds())
	if r.whole() || r.outcome.Kind == request.OutcomeNotRun || r.outcome.Reason == request.ReasonCallerGone {
		return
	}
	changed := strconv.FormatBool(inForce != r.config.revision)
	r.entry.metrics.unanswered.WithLabelValues(r.service.Name, strconv.FormatBool(r.begun()), r.ending.failureName(), r.whyNotRetried(), changed).Inc()
}

// lastServer returns the name of the latest attempt's backend server, or "".
func (r *run) lastServer() string {
	if r.last == nil {
		return ""
	}
	return r.last.server.Name
}

// lastVersion returns the software version of that server, or "".
func (r *run) lastVersion() string {
	if r.last == nil {
		return ""
	}
	return r.last.version
}

// timeToFirstToken is the time from arrival to the first token, or zero if
// none came.
func (r *run) timeToFirstToken() time.Duration {
	if r.firstTokenAt == 0 {
		return 0
	}
	return r.firstTokenAt - r.arrived
}

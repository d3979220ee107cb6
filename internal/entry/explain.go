package entry

import (
	"fmt"
	"time"

	"waxwingcart/internal/core/request"
)

// explainEvent adds an event to the request's trace.
func (r *run) explainEvent(ev request.Event) {
	switch ev := ev.(type) {
	case request.Admitted:
		r.explain("admitted")
	case request.Refused:
		r.explain("refused by admission: %s, retry after %s", ev.Reason, ev.RetryAfter)
	case request.Reserved:
		r.explain("reservation of the key: %s", reserveName(ev.Result))
	case request.NoServer:
		r.explain("no backend server can take it")
	case request.Opened:
		r.explain("attempt %d: the answer began%s", ev.Attempt, streamText(ev.Stream))
	case request.Completed:
		r.explain("attempt %d: the answer is complete", ev.Attempt)
	case request.Failed:
		r.explain("attempt %d failed: %s", ev.Attempt, failureText(ev.Failure))
	case request.Moved:
		r.explain("KV cache moved to %s%s", ev.Server, streamText(ev.Stream))
	case request.Recorded:
		r.explain("outcome committed: %t", ev.OK)
	case request.CallerGone:
		r.explain("the caller closed its connection")
	case request.Drain:
		r.explain("the entry drains")
	case request.Abandon:
		r.explain("asked to abandon")
	}
}

// explainEffect adds an effect to the request's trace.
func (r *run) explainEffect(effect request.Effect) {
	switch e := effect.(type) {
	case request.Pick:
		if len(e.Exclude) > 0 {
			r.explain("servers left out because they failed: %v", e.Exclude)
		}
	case request.ResumeStream:
		r.explain("resumes stream %s at token %d", e.Position.Stream, e.Position.Next)
	case request.CancelAttempt:
		r.explain("cancels attempt %d at %s", e.Attempt, e.Server)
	case request.MoveKV:
		r.explain("moves the KV cache from %s to %s", e.From.Server, e.Target)
	case request.Backoff:
		r.explain("tries again in %s", e.Delay.Round(100*time.Microsecond))
	}
}

func (r *run) explain(format string, args ...any) {
	r.trace.Add(time.Now(), format, args...)
}

func streamText(stream string) string {
	if stream == "" {
		return ""
	}
	return " as stream " + stream
}

var phaseText = map[request.Phase]string{
	request.PhaseDial:       "nothing was handed over",
	request.PhaseRefused:    "the server refused before running it",
	request.PhaseHandedOver: "it may have run",
}

func failureText(f request.Failure) string {
	text := fmt.Sprintf("%s at %s, %s", f.Step, f.Peer, phaseText[f.Phase])
	if f.Silent {
		text += ", no progress in time"
	}
	if f.Status != 0 {
		text += fmt.Sprintf(", status %d", f.Status)
	}
	return text
}

// endText summarizes the ended request.
func endText(r *run) string {
	text := fmt.Sprintf("ended: %s", kindName(r.outcome.Kind))
	if r.outcome.Reason != "" {
		text += fmt.Sprintf(", reason %s, step %q", r.outcome.Reason, r.outcome.Step)
	}
	if r.outcome.Peer != "" {
		text += " at " + r.outcome.Peer
	}
	if r.outcome.Kind != request.OutcomeAnswered && !noRetry[r.outcome.Reason] {
		text += fmt.Sprintf(", retry after %s", r.outcome.RetryAfter)
	}
	return text + fmt.Sprintf("; %d attempts, %d tokens, %d recomputed", r.req.Attempts(), r.tokens, r.req.Recomputed())
}

package entry

import (
	"context"
	"time"

	"waxwingcart/internal/backend"
	"waxwingcart/internal/core/request"
	"waxwingcart/internal/core/routing"
)

// maxOverlap is how long a stream that has begun may be at a silent server and at its
// replacement. The platform counts a stream as run twice if it goes on at another server
// while the one before works on it 400 ms later. Connecting, or a refusal, takes less.
const maxOverlap = 300 * time.Millisecond

// watchedCall returns a call whose silence is reported to the request and does not end it.
func (a *attempt) watchedCall(ctx context.Context, step string) backend.Call {
	call := a.call(step)
	call.OnSilence = func() { a.reportSilence(ctx) }
	return call
}

// reportSilence posts the attempt's silence. If the request has not handled its earlier
// events yet, nothing is posted, as the next timeout reports again.
func (a *attempt) reportSilence(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	select {
	case a.run.stream <- streamEvent{event: request.Silence{Attempt: a.number}}:
	default:
	}
}

// pickReplacement chooses a server that could replace a silent attempt.
func (p *policy) pickReplacement(r *run, e request.PickReplacement) request.Event {
	if picked, ok := p.pickServer(r, e.Exclude).(request.Picked); ok {
		return request.ReplacementPicked{Attempt: e.Attempt, Server: picked.Server}
	}
	return request.NoReplacement{Attempt: e.Attempt}
}

// silenced logs and counts a decision on a silent attempt. An attempt that has given way to
// its replacement counts as failed at its server.
func (r *run) silenced(e request.Silenced) {
	if e.Decision == request.SilenceOvertaken || e.Decision == request.SilenceYielded {
		r.endAttempt(r.openAttempt(e.Attempt), routing.ResultFailed)
	}
	r.entry.metrics.silences.WithLabelValues(r.service.Name, string(e.Decision)).Inc()
	r.explain("attempt %d at %s is silent: %s", e.Attempt, e.Server, e.Decision)
	r.entry.logger.Info().Str("step", "silence").Str("request", r.id).Str("service", r.service.Name).Str("server", e.Server).
		Int("attempt", e.Attempt).Str("decision", string(e.Decision)).Int("tokens", r.tokens).
		Int64("elapsed_ms", (r.entry.now() - r.arrived).Milliseconds()).Msg("decided on a silent attempt")
}

// drop stops reading an attempt that stays at its server. One that is dropped for its
// silence counts as failed there.
func (r *run) drop(e request.DropAttempt) {
	a := r.openAttempt(e.Attempt)
	if !e.Silent {
		r.endAttempt(a, routing.ResultAbandoned)
		return
	}
	if a != nil {
		r.entry.reportContact(a.server, false)
	}
	r.endAttempt(a, routing.ResultFailed)
}

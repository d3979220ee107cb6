package entry

import (
	"waxwingcart/internal/backend"
	"waxwingcart/internal/core/serverlimit"
)

// Sources of what an entry knows of a server's limit.
const (
	limitFromAnswer = "answer"
	limitFromLeader = "leader"
)

// serverLimit applies what an answer says of its server's limit.
func (e *Entry) serverLimit(call backend.Call, limit backend.Limit) {
	if call.Instance == "" {
		return
	}
	p := e.policy
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit.Err != nil {
		if !p.limits.NoteUnreadable(call.Instance) {
			return
		}
		e.logger.Warn().Str("step", "server limit").Str("server", call.Instance).Str("request", call.RequestID).Err(limit.Err).
			Msg("a backend server names a limit that can't be read; it is ignored")
		return
	}
	now := e.now()
	word := serverlimit.Word{PerSecond: limit.PerSecond, Sent: now - limit.Took, Read: now}
	if p.limits.Observe(now, call.Instance, word) {
		e.noteLimit(call.Instance, word.PerSecond, limitFromAnswer, call.RequestID)
	}
}

// noteLimit logs a limit that has changed. The caller holds the policy's lock.
func (e *Entry) noteLimit(instance string, perSecond float64, source, requestID string) {
	e.policy.anyLimit.Store(e.policy.limits.Any())
	e.metrics.serverLimits.WithLabelValues(source).Inc()
	e.logger.Info().Str("step", "server limit").Str("server", instance).Float64("per_second", perSecond).Str("source", source).Str("request", requestID).
		Msg("the limit of requests that a backend server takes from all entries changed; 0 is none")
}

// limited reports whether a server limits requests.
func (p *policy) limited(instance string) bool {
	if !p.anyLimit.Load() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limits.Limited(instance)
}

package entry

import (
	"slices"
	"time"

	"waxwingcart/internal/backend"
	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/placement"
	"waxwingcart/internal/core/request"
	"waxwingcart/internal/core/serverlimit"
	"waxwingcart/internal/wire"
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
	if limit.Brittle {
		limit.PerSecond = p.roomRate(call.Instance, limit.PerSecond)
	}
	word := serverlimit.Word{PerSecond: limit.PerSecond, Brittle: limit.Brittle, Sent: now - limit.Took, Read: now}
	if p.limits.Observe(now, call.Instance, word) {
		p.placer.SetBrittle(call.Instance, p.limits.Brittle(call.Instance))
		e.noteLimit(call.Instance, word.PerSecond, limitFromAnswer, call.RequestID)
	}
}

// roomRate returns the rate of requests for which a brittle server has room, within the limit that it
// names, if any. The caller holds mu.
func (p *policy) roomRate(instance string, limit float64) float64 {
	rate := p.placer.RoomRate(instance)
	switch {
	case rate == 0:
		return limit
	case limit == 0:
		return rate
	}
	return min(rate, limit)
}

// noteLimit logs a limit that has changed. The caller holds the policy's lock.
func (e *Entry) noteLimit(instance string, perSecond float64, source, requestID string) {
	e.policy.anyLimit.Store(e.policy.limits.Any())
	e.metrics.serverLimits.WithLabelValues(source).Inc()
	e.logger.Info().Str("step", "server limit").Str("server", instance).Float64("per_second", perSecond).Bool("brittle", e.policy.limits.Brittle(instance)).Str("source", source).Str("request", requestID).
		Msg("the limit of requests that a backend server takes from all entries changed; 0 is none")
}

// announces reports whether the other entries need to know of each attempt at a service's servers, as
// these are brittle.
func (p *policy) announces(service string) bool {
	if !p.anyLimit.Load() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placer.Brittle(service)
}

// reasonServersLimited means that all servers that could take the call limit requests.
const reasonServersLimited request.Reason = "servers-limited"

// limiter returns the limits for placement, or nil if there are none. The caller holds mu.
func (p *policy) limiter() placement.Limiter {
	if !p.limits.Any() {
		return nil
	}
	return p.limits
}

// returnUse gives back a request to a server that is not sent.
func (p *policy) returnUse(r *run, server string) {
	if r.routed != nil {
		p.mu.Lock()
		p.entry.rollouts.Unused(&r.routed.rollout, r.service.Name, r.routed.decision.Version)
		p.mu.Unlock()
	}
	if !p.anyLimit.Load() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits.Return(p.entry.now(), server)
}

// limitedTakers returns the servers that could take the call but for their limits. The
// caller holds mu.
func (p *policy) limitedTakers(r *run, now time.Duration) []string {
	verdict, _ := p.quarantined(r)
	takers := p.placer.Takers(now, &placement.Request{
		Service: r.service.Name, Pinned: r.routed.pinned, Version: r.routed.version, Barred: verdict.Barred,
	})
	return slices.DeleteFunc(takers, func(instance string) bool { return !p.limits.Limited(instance) })
}

// awaitGrant waits for a grant if only limits keep a call from the servers and one is expected,
// and reports whether to choose again. Calls whose attempts have to be read don't wait.
func (p *policy) awaitGrant(r *run) bool {
	if r.routed == nil || len(r.attempts) > 0 || !p.anyLimit.Load() {
		return false
	}
	p.mu.Lock()
	now := p.entry.now()
	awaits := p.limits.Await(now, p.limitedTakers(r, now))
	p.mu.Unlock()
	if !awaits {
		return false
	}
	q := p.entry.quota
	q.mu.Lock()
	done := q.wakeDraw()
	q.mu.Unlock()
	return q.await(r.callerCtx, done)
}

// limitRefuses reports whether only limits keep a call from the servers, and when to come back.
// The refused work counts as load, so that more servers are ordered. The caller holds mu.
func (p *policy) limitRefuses(r *run) (time.Duration, bool) {
	if !p.limits.Any() {
		return 0, false
	}
	now := p.entry.now()
	limited := p.limitedTakers(r, now)
	if len(limited) == 0 {
		return 0, false
	}
	p.placer.AddWork(now, r.service.Name, placement.NewJob(placement.JobID{}, placement.Decision{UncachedTokens: r.size.PromptTokens}, r.routed.size).Work)
	return p.limits.Refused(now, limited), true
}

// limitReport returns what the leader has to know of the servers' limits.
func (p *policy) limitReport(now time.Duration) []*wire.ServerLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	return codec.LimitReportToWire(now, p.limits.Renewal(now))
}

// applyLimits applies what the leader says of the servers' limits, and grants.
func (p *policy) applyLimits(response *wire.DrawResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.entry.now()
	for _, instance := range p.limits.Granted(now, codec.LimitGrantFromWire(now, response.Limits), int(response.Entries)) {
		p.placer.SetBrittle(instance, p.limits.Brittle(instance))
		p.entry.noteLimit(instance, p.limits.PerSecond(instance), limitFromLeader, "")
	}
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

package entry

import (
	"waxwingcart/internal/backend"
	"waxwingcart/internal/core/request"
)

// How an entry learns that a server leaves by its own word.
const (
	leavingFromAnswer = "answer"
	leavingFromEntry  = "entry"
)

// serverLeaving records that the response to a call says that its server leaves, and
// tells the other entries if this was not known.
func (e *Entry) serverLeaving(call backend.Call) {
	if call.Instance == "" {
		return
	}
	e.policy.mu.Lock()
	first := e.recordLeaving(call.Instance, leavingFromAnswer, call.RequestID)
	e.policy.mu.Unlock()
	if first {
		e.broadcaster.leaving(call.Instance)
	}
}

// recordLeaving records in placement that a server leaves, and reports whether this
// was not known. requestID is the ID of the request whose answer said so, if this entry
// served it. The caller holds the policy's lock.
func (e *Entry) recordLeaving(instance, source, requestID string) bool {
	if !e.policy.placer.SetLeaving(e.now(), instance, source == leavingFromAnswer) {
		return false
	}
	e.metrics.serversLeaving.WithLabelValues(source).Inc()
	e.logger.Info().Str("step", "server leaving").Str("server", instance).Str("source", source).Str("request", requestID).
		Msg("backend server leaves by its own word; it gets no new work")
	return true
}

// repeatLeaving tells the other entries again of the servers whose word this entry has,
// as datagrams may be lost and entries may have started since.
func (e *Entry) repeatLeaving() {
	e.policy.mu.Lock()
	instances := e.policy.placer.OwnLeaving()
	e.policy.mu.Unlock()
	for _, instance := range instances {
		e.broadcaster.leaving(instance)
	}
}

// noServer says why no server can take a request, and when to come back.
func (p *policy) noServer(r *run) request.NoServer {
	if r.routed == nil {
		return request.NoServer{RetryAfter: retryAfterNoServer}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.doubtful(r) {
		return request.NoServer{Reason: reasonVersionChanged, RetryAfter: addJitter(takeUpRetryAfter)}
	}
	if verdict, everywhere := p.quarantined(r); everywhere {
		return quarantineRefusal(verdict)
	}
	if r.routed.pinned {
		return p.noServerOf(r.service.Name, r.routed.version)
	}
	if wait, limited := p.limitRefuses(r); limited {
		return request.NoServer{Reason: reasonServersLimited, RetryAfter: addJitter(wait)}
	}
	if p.placer.AllLeaving(r.service.Name) {
		return request.NoServer{Reason: request.ReasonLeaving, RetryAfter: addJitter(retryAfterNoServer)}
	}
	if wait, ok := p.placer.SoonestReturn(p.entry.now(), r.service.Name); ok {
		return request.NoServer{Reason: request.ReasonPaused, RetryAfter: addJitter(wait)}
	}
	return request.NoServer{RetryAfter: retryAfterNoServer}
}

// takesWork reports whether the server of a routed call takes this request once more, and
// counts it toward the server's limit.
func (p *policy) takesWork(r *run, server string) bool {
	if r.routed == nil {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, everywhere := p.quarantined(r); everywhere {
		return false
	}
	now := p.entry.now()
	if !p.placer.Takes(now, server) || !p.limits.Takes(now, server, r.routed.priority) {
		return false
	}
	if version, known := p.placer.VersionOf(server); known && !p.entry.rollouts.Use(&r.routed.rollout, r.service.Name, version) {
		return false
	}
	p.limits.Use(now, server)
	return true
}

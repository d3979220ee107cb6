package entry

import "waxwingcart/internal/backend"

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
// was not known. request is the ID of the request whose answer said so, if this entry
// served it. The caller holds the policy's lock.
func (e *Entry) recordLeaving(instance, source, request string) bool {
	if !e.policy.placer.SetLeaving(e.now(), instance, source == leavingFromAnswer) {
		return false
	}
	e.metrics.serversLeaving.WithLabelValues(source).Inc()
	e.logger.Info().Str("step", "server leaving").Str("server", instance).Str("source", source).Str("request", request).
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

// allLeaving reports whether all servers of a routed call's service leave.
func (p *policy) allLeaving(r *run) bool {
	if r.routed == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placer.AllLeaving(r.service.Name)
}

// isLeaving reports whether the server of a routed call leaves.
func (p *policy) isLeaving(r *run, server string) bool {
	if r.routed == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placer.IsLeaving(server)
}

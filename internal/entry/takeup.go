package entry

import (
	"fmt"
	"time"

	"waxwingcart/internal/core/lineage"
	"waxwingcart/internal/core/request"
)

// Reasons for which only take-ups of streams are refused, or end because their version
// has no server left.
const (
	reasonStreamUnnamed   = request.Reason(lineage.ReasonUnnamed)
	reasonStreamUnknown   = request.Reason(lineage.ReasonNoRecord)
	reasonStreamAmbiguous = request.Reason(lineage.ReasonAmbiguous)
	reasonListUnchecked   = request.Reason(lineage.ReasonUnchecked)
	reasonVersionGone     = request.Reason("version-gone")
	reasonVersionChanged  = request.Reason("version-changed")
)

// recordWait is how long a take-up waits for a record that may be on its way: it is sent within
// batchDelay of the first event, and forwarded as late in large deployments.
const recordWait = 4 * batchDelay

// takeUpRetryAfter is the Retry-After delay of a refused take-up, before jitter. By then
// a record that was on its way has arrived.
const takeUpRetryAfter = 200 * time.Millisecond

// Results of take-ups that are not sources of lineage or reasons of refusals.
const takeUpElsewhere = "other-service"

// bindTakeUp binds a call that takes a stream up to the version that began the stream. It
// returns the refusal of one whose version is not known or has no server left. The call
// has not been charged to its customer.
func (r *run) bindTakeUp() *request.Outcome {
	call := &r.routed.call
	if !call.Resumes || !r.routed.route.Stream {
		return nil
	}
	named := call.ResumedID != ""
	if named {
		r.routed.stream = streamID(r.customer.Name, call.ResumedID)
	}
	r.entry.streams.expect(r.takeUpTime())
	decide := func() (lineage.Decision, time.Duration) {
		return r.entry.streams.decide(r.arrived, r.routed.stream, named, r.service.Name)
	}
	decision, reach := decide()
	if decision.Reason == lineage.ReasonUnchecked {
		r.entry.checkList(r.callerCtx)
		decision, reach = decide()
	}
	if decision.Reason == lineage.ReasonNoRecord {
		wait(r.callerCtx, recordWait)
		decision, reach = decide()
	}
	outcome := r.applyTakeUp(decision, reach)
	r.logTakeUp(decision, reach, outcome)
	return outcome
}

// applyTakeUp pins the call, or returns its refusal.
func (r *run) applyTakeUp(decision lineage.Decision, reach time.Duration) *request.Outcome {
	switch decision.Outcome {
	case lineage.Elsewhere:
		return nil
	case lineage.Pinned:
		r.entry.policy.pin(r, decision.Version)
		if r.entry.policy.versionStays(r) {
			return nil
		}
		return refusedTakeUp(reasonVersionGone, fmt.Sprintf("no server of version %q of %s takes work", decision.Version, r.service.Name))
	}
	return refusedTakeUp(request.Reason(decision.Reason), fmt.Sprintf("no version is known for the stream; all versions of %s are known for %s", r.service.Name, reach.Round(time.Second)))
}

func refusedTakeUp(reason request.Reason, step string) *request.Outcome {
	outcome := notRunOutcome(reason, step, addJitter(takeUpRetryAfter))
	return &outcome
}

// logTakeUp logs and counts the decision on a take-up.
func (r *run) logTakeUp(decision lineage.Decision, reach time.Duration, refusal *request.Outcome) {
	result := string(decision.Source)
	switch {
	case refusal != nil:
		result = string(refusal.Reason)
	case decision.Outcome == lineage.Elsewhere:
		result = takeUpElsewhere
	}
	e := r.entry
	e.metrics.takeUps.WithLabelValues(r.service.Name, result).Inc()
	r.trace.Add(time.Now(), "takes up the stream of request %q: %s, version %q, known from %q for %s", r.routed.call.ResumedID, result, decision.Version, decision.Source, decision.Age.Round(time.Millisecond))
	e.logger.Info().Str("step", "take up").Str("request", r.id).Str("resumes", r.routed.call.ResumedID).Str("customer", r.customer.Name).
		Str("service", r.service.Name).Str("result", result).Str("version", decision.Version).Str("source", string(decision.Source)).
		Int64("age_ms", decision.Age.Milliseconds()).Int64("reach_ms", reach.Milliseconds()).Msg("a caller takes a stream up")
}

// pin binds all picks of a call that takes a stream up to a version.
func (p *policy) pin(r *run, version string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.routed.pinned, r.routed.version = true, version
}

// pinBegun binds all later picks of a call to the version of the instance that gave the
// first event, unless the call is bound already.
func (p *policy) pinBegun(r *run, version, instance string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !r.routed.pinned {
		r.routed.pinned, r.routed.version, r.routed.origin = true, version, instance
	}
}

// versionStays reports whether a server of the call's version doesn't leave.
func (p *policy) versionStays(r *run) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placer.VersionStays(r.service.Name, r.routed.version)
}

// noServerOf says why no server of a version can take a request, and when to come back.
// The caller holds mu.
func (p *policy) noServerOf(service, version string) request.NoServer {
	if !p.placer.VersionStays(service, version) {
		return request.NoServer{Reason: reasonVersionGone, RetryAfter: addJitter(takeUpRetryAfter)}
	}
	if wait, ok := p.placer.SoonestReturnOf(p.entry.now(), service, version); ok {
		return request.NoServer{Reason: request.ReasonPaused, RetryAfter: addJitter(wait)}
	}
	return request.NoServer{RetryAfter: retryAfterNoServer}
}

// pickedVersion describes the software version of the picked server of a routed call.
func (r *run) pickedVersion() string {
	if r.routed == nil {
		return ""
	}
	return fmt.Sprintf(" (version %q)", r.routed.decision.Version)
}

package entry

import (
	"slices"
	"time"

	"waxwingcart/internal/core/placement"
	"waxwingcart/internal/core/routing"
	"waxwingcart/internal/rollout"
)

func newRolloutClient(e *Entry) *rollout.Client {
	return rollout.NewClient(rollout.ClientOptions{
		Now: e.now, Incarnation: e.incarnation, Logger: e.logger, Registry: e.opts.Registry,
		Wake: func() {
			select {
			case e.quota.wake <- struct{}{}:
			default:
			}
		},
	})
}

// pickVersion places a request at the target of a roll-out if there is a lease for it and a server of
// the target can serve it in time, and otherwise at the versions that may be used. The caller holds mu.
func (p *policy) pickVersion(now time.Duration, r *run, request *placement.Request) (placement.Decision, bool) {
	versions := p.placer.Versions(r.service.Name)
	plan := p.entry.rollouts.Plan(&r.routed.rollout, r.service.Name, versions)
	if plan.Prefer != "" {
		preferred := *request
		preferred.Barred = slices.Concat(request.Barred, slices.DeleteFunc(versions, func(v string) bool { return v == plan.Prefer }))
		if servers := p.placer.ServersOf(now, r.service.Name, plan.Prefer); len(servers) > plan.Servers {
			preferred.Exclude = slices.Concat(request.Exclude, servers[plan.Servers:])
		}
		decision, ok := p.placer.Pick(now, &preferred)
		_, late := r.wouldBeLate(decision.StartDelay)
		if ok && (plan.Final || !late) && p.entry.rollouts.Use(&r.routed.rollout, r.service.Name, decision.Version) {
			return decision, true
		}
	}
	if len(plan.Barred) > 0 {
		request.Barred = slices.Concat(request.Barred, plan.Barred)
	}
	return p.placer.Pick(now, request)
}

// rolloutEnded counts the result of an attempt. Those at a server that leaves, and those without an answer
// of a server that ran them, say nothing of its version.
func (r *run) rolloutEnded(a *attempt, result routing.Result) {
	failed := jobResult(result, a.answer) == placement.ResultFailed
	r.entry.policy.mu.Lock()
	leaves := r.entry.policy.placer.IsLeaving(a.server.Name)
	r.entry.policy.mu.Unlock()
	counted := (result == routing.ResultCompleted || failed) && !(failed && leaves)
	r.entry.rollouts.Ended(&a.rollout, counted, failed)
}

// failedAtTarget reports whether the latest attempt was made at the target of a roll-out. Its retry is not
// charged to the budget: leases bound the number of such attempts, and the old version serves them.
func (r *run) failedAtTarget() bool {
	return r.last != nil && r.entry.rollouts.AtTarget(&r.last.rollout)
}

// awaitLease waits for a draw if a stream goes on at the target of a roll-out and there is no lease, and reports
// whether to choose again. Calls whose attempts have to be read don't wait.
func (p *policy) awaitLease(r *run) bool {
	if r.routed == nil || len(r.attempts) > 0 {
		return false
	}
	p.mu.Lock()
	waits := r.routed.pinned && p.entry.rollouts.Demand(r.service.Name, r.routed.version)
	p.mu.Unlock()
	return waits && p.entry.quota.drawSoon(r.callerCtx)
}

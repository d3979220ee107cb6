package entry

import (
	"time"

	"waxwingcart/internal/core/placement"
	"waxwingcart/internal/core/routing"
	"waxwingcart/internal/wire"
)

// chooseRouted chooses a server for a routed call.
func (p *policy) chooseRouted(r *run, exclude []string) (routing.Decision, bool) {
	contended := r.contended()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.doubtful(r) {
		return routing.Decision{}, false
	}
	verdict, _ := p.quarantined(r)
	decision, ok := p.pickVersion(p.entry.now(), r, &placement.Request{
		Service: r.service.Name,
		Size:    r.routed.size,
		Exclude: exclude,
		Pinned:  r.routed.pinned,
		Version: r.routed.version,
		Begins:  r.resumable(),
		Barred:  verdict.Barred,
		Limiter: p.limiter(),
		Rank:    r.routed.priority,

		Contended: contended,
	})
	if ok {
		p.limits.Use(p.entry.now(), decision.Server)
		p.entry.guard.Tried(&r.routed.guarded, decision.Version, verdict)
	}
	r.routed.decision = decision
	return routing.Decision{
		Server:             decision.Server,
		ExpectedFirstToken: decision.StartDelay,
		ExpectedCompletion: decision.StartDelay,
		Reason:             routing.ReasonEarliest,
	}, ok
}

// wouldBeLate reports whether an answer that begins after the expected time
// would come too late for its caller, and when capacity should be free again.
// A stream that has begun continues in any case.
func (r *run) wouldBeLate(expected time.Duration) (time.Duration, bool) {
	if r.routed == nil || r.req.Position().Next > 0 {
		return 0, false
	}
	left := r.deadline - r.entry.now()
	maxDelay := placement.MaxStartDelay(r.routed.route.Stream, r.routed.route.FirstTarget, r.routed.route.GapTarget, left)
	return addJitter(placement.RetryAfter(expected, r.routed.route.FirstTarget)), expected > maxDelay
}

// setNewsDelay sets how late this entry learns of what other entries place.
func (p *policy) setNewsDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placer.SetNewsDelay(delay)
}

// promptWork returns the prompt work that this entry placed recently, by
// service.
func (p *policy) promptWork() map[string]*wire.ServiceLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	load := make(map[string]*wire.ServiceLoad)
	for service, work := range p.placer.Work(p.entry.now()) {
		load[service] = &wire.ServiceLoad{Work: work.PerSecond, Rate: work.Rate}
	}
	return load
}

// jobPlaced records a new attempt in this entry's placement, and broadcasts it
// if the call's attempts are announced to the other entries.
func (r *run) jobPlaced(a *attempt) {
	if r.routed == nil {
		return
	}
	e := r.entry
	a.job = placement.JobID{Origin: e.incarnation, Number: e.nextID.Add(1)}
	decision := r.routed.decision
	a.version = decision.Version
	a.rollout = e.rollouts.Began(r.service.Name, a.version, r.routed.route.Name, decision.StartDelay)
	r.routed.announced = r.routed.announced || e.policy.announces(r.service.Name)
	decision.Server = a.server.Name
	job := placement.NewJob(a.job, decision, r.routed.size)
	job.Rank = r.routed.priority
	e.policy.mu.Lock()
	e.policy.placer.Placed(e.now(), job)
	e.policy.placer.AddWork(e.now(), r.service.Name, job.Work)
	e.policy.mu.Unlock()
	if r.routed.announced {
		e.broadcaster.placed(job)
	}
}

// jobStarted records that an attempt's answer has begun, and broadcasts it if the call
// is announced.
func (r *run) jobStarted(a *attempt) {
	if r.routed == nil {
		return
	}
	e := r.entry
	e.policy.mu.Lock()
	e.policy.placer.Started(e.now(), a.job, true)
	e.policy.mu.Unlock()
	e.guard.Begun(&r.routed.guarded, a.version)
	e.rollouts.Started(&a.rollout)
	r.roomBegan()
	if r.routed.announced {
		e.broadcaster.started(a.job, e.policy.loads.Take(a.server.Name))
	}
}

// pausedFraction is the fraction of the token gap target after which a stream
// counts as paused, so that it is reported before it is late.
const pausedFraction = 0.8

// jobPaused records and broadcasts, once per call, that the stream of an
// announced call has paused at an attempt's server.
func (r *run) jobPaused(a *attempt, gap time.Duration) {
	if r.routed == nil || !r.routed.announced || r.routed.paused || r.routed.route.GapTarget <= 0 {
		return
	}
	if float64(gap) < pausedFraction*float64(r.routed.route.GapTarget) {
		return
	}
	r.routed.paused = true
	e := r.entry
	e.policy.mu.Lock()
	e.policy.placer.Paused(e.now(), a.job)
	e.policy.mu.Unlock()
	e.broadcaster.paused(a.job)
}

// jobEnded records an attempt's result in placement and broadcasts it. If the
// call is not announced, only a count of results by server is broadcast.
func (r *run) jobEnded(a *attempt, result routing.Result) {
	if r.routed == nil {
		return
	}
	e := r.entry
	ended := jobResult(result, a.answer)
	r.rolloutEnded(a, result)
	e.policy.mu.Lock()
	e.policy.placer.Ended(e.now(), a.job, ended)
	e.policy.mu.Unlock()
	load := e.policy.loads.Take(a.server.Name)
	if ended == placement.ResultAnswered {
		r.roomBegan()
	}
	if r.routed.announced {
		e.broadcaster.ended(a.job, ended, load)
	} else {
		e.broadcaster.result(a.server.Name, ended, load)
	}
}

// jobResult converts an attempt's result for placement. An answer with a
// server error status counts as a failure of the server.
func jobResult(result routing.Result, answer *answer) placement.Result {
	switch result {
	case routing.ResultUnreachable:
		return placement.ResultUnreachable
	case routing.ResultFailed:
		return placement.ResultFailed
	case routing.ResultRefused:
		return placement.ResultRefused
	case routing.ResultAbandoned:
		return placement.ResultAbandoned
	}
	if answer != nil && answer.status >= 500 {
		return placement.ResultFailed
	}
	return placement.ResultAnswered
}

package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"waxwingcart/internal/core/admission"
	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/placement"
	"waxwingcart/internal/core/request"
	"waxwingcart/internal/core/retry"
	"waxwingcart/internal/core/routing"
	"waxwingcart/internal/core/serverlimit"
	"waxwingcart/internal/serverload"
)

// policyTick is the interval at which admission checks queued requests.
const policyTick = 10 * time.Millisecond

// capacityInterval is the interval at which this entry's share of the servers'
// capacity is recomputed.
const capacityInterval = 250 * time.Millisecond

// retryAfterNoServer is the Retry-After delay when no backend server is
// usable.
const retryAfterNoServer = 2 * time.Second

// policy holds the controllers for admission, routing, retries and placement
// behind one lock.
type policy struct {
	entry *Entry

	mu sync.Mutex
	// config is the newest configuration that the policy was given, or nil.
	config *configuration
	// older holds the configurations that calls in progress may have begun under.
	older     []olderConfiguration
	admission *admission.Controller
	router    *routing.Router
	retry     *retry.Controller
	// placer places routed calls; it is nil if the configuration names the
	// servers.
	placer *placement.Placer
	// loads carries the load that servers report into placer; it is nil if placer is.
	loads *serverload.Tracker
	// limits holds what servers of routed calls say of their limits; anyLimit is true if
	// there is one.
	limits   *serverlimit.Share
	anyLimit atomic.Bool
	// submitted holds the requests passed to admission, by admission ID, until
	// they end.
	submitted map[uint64]*run
	nextID    uint64
	// entries is the number of entries that share the servers.
	entries int
}

func newPolicy(e *Entry) *policy {
	p := &policy{
		entry:     e,
		admission: admission.New(admission.Options{Seed: e.incarnation}),
		router:    routing.New(routing.Options{Zone: e.opts.Zone, Seed: e.incarnation}),
		retry:     retry.New(retryOptions(e)),
		limits:    serverlimit.NewShare(e.incarnation),
		submitted: make(map[uint64]*run),
	}
	if e.opts.Routed != nil {
		p.placer = placement.New(e.incarnation)
		p.loads = serverload.New(&p.mu, p.placer, e.now, e.logger, e.opts.Registry)
	}
	return p
}

// routedRetryBurst is the number of retries of a service that all entries
// together may accumulate, if they share its retry budget.
const routedRetryBurst = 24

func retryOptions(e *Entry) retry.Options {
	options := retry.Options{Seed: e.incarnation}
	if e.opts.Routed != nil {
		options.Burst = routedRetryBurst
	}
	return options
}

// shareRetries divides the services' retry budgets among the entries.
func (p *policy) shareRetries(entries int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retry.SetEntries(entries)
}

// setEntries tells admission how many entries share the limits. The caller
// holds mu.
func (p *policy) setEntries(live admission.LiveEntries) {
	p.entries = live.Entries
	p.applyEffects(p.admission.Step(p.entry.now(), live))
}

// submit passes a request to admission, which replies with an event to the
// run.
func (p *policy) submit(r *run) {
	if r.routed != nil {
		p.submitRouted(r)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextID++
	r.admissionID = p.nextID
	p.submitted[r.admissionID] = r
	p.applyEffects(p.admission.Step(p.entry.now(), admission.Arrived{
		ID:              r.admissionID,
		Customer:        r.customer.Name,
		Service:         r.service.Name,
		Short:           r.service.Short,
		EstimatedTokens: admission.Work(r.size.PromptTokens, r.size.OutputTokens),
		FirstTokenBy:    r.firstTokenBy,
		Deadline:        r.deadline,
		QueueLimit:      r.policy.QueueLimit,
	}))
}

// firstToken tells admission that a request has delivered its first token.
func (p *policy) firstToken(r *run) {
	if r.routed != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyEffects(p.admission.Step(p.entry.now(), admission.FirstToken{ID: r.admissionID}))
}

// endAdmission tells admission that a request has finished or was cancelled.
func (p *policy) endAdmission(r *run, finished bool, tokens int) {
	if r.routed != nil {
		if r.routed.roomID != 0 {
			p.entry.room.Leave(r.routed.roomID)
		}
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.submitted, r.admissionID)
	if finished {
		p.applyEffects(p.admission.Step(p.entry.now(), admission.Finished{ID: r.admissionID, Tokens: admission.Work(r.size.PromptTokens, tokens)}))
		return
	}
	p.applyEffects(p.admission.Step(p.entry.now(), admission.Cancelled{ID: r.admissionID}))
}

// applyEffects posts admission's decisions to the requests. The caller holds mu.
func (p *policy) applyEffects(effects admission.Effects) {
	for _, admit := range effects.Admit {
		if r, ok := p.submitted[admit.ID]; ok {
			r.post(request.Admitted{})
		}
	}
	for _, refuse := range effects.Refuse {
		if r, ok := p.submitted[refuse.ID]; ok {
			r.post(request.Refused{
				Reason:     admissionReason(refuse.Reason),
				RetryAfter: refuse.RetryAfter,
			})
		}
	}
}

func (p *policy) runTicks(ctx context.Context) {
	ticker := time.NewTicker(policyTick)
	defer ticker.Stop()
	capacity := time.NewTicker(capacityInterval)
	defer capacity.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.tick()
		case <-capacity.C:
			p.updateCapacity()
		}
	}
}

func (p *policy) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyEffects(p.admission.Step(p.entry.now(), admission.Tick{}))
}

// pickServer chooses a server for the next attempt. It returns NoServer if
// none is usable or if the answer would come too late.
func (p *policy) pickServer(r *run, exclude []string) request.Event {
	decision, ok := p.chooseServer(r, exclude)
	if !ok && (p.awaitGrant(r) || p.awaitLease(r)) {
		decision, ok = p.chooseServer(r, exclude)
	}
	if !ok {
		return p.noServer(r)
	}
	if wait, late := r.wouldBeLate(decision.ExpectedFirstToken); late {
		p.returnUse(r, decision.Server)
		return request.NoServer{Reason: request.ReasonOverload, RetryAfter: wait}
	}
	r.expectedFirst = decision.ExpectedFirstToken
	r.placedAfter = p.entry.now() - r.arrived
	r.trace.Add(time.Now(), "picked %s%s: %s, first token expected in %s", decision.Server, r.pickedVersion(), decision.Reason, decision.ExpectedFirstToken.Round(time.Millisecond))
	return request.Picked{Server: decision.Server}
}

// chooseServer asks the router or the placer for a server. It is safe for
// concurrent use.
func (p *policy) chooseServer(r *run, exclude []string) (routing.Decision, bool) {
	if r.routed != nil {
		return p.chooseRouted(r, exclude)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.router.Pick(p.entry.now(), routing.Request{
		Service:      r.service.Name,
		PromptTokens: r.size.PromptTokens,
		OutputTokens: r.size.OutputTokens,
		Prefix:       r.size.Prefix,
		Policy:       &r.policy,
		Exclude:      exclude,
	})
}

// attemptStarted tells the router of an attempt at a server.
func (p *policy) attemptStarted(server string, size routing.RequestSize) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.Started(p.entry.now(), server, size)
}

// attemptFinished tells the router that an attempt has ended.
func (p *policy) attemptFinished(server string, outcome routing.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.Finished(p.entry.now(), server, outcome)
}

// report passes a server's load report to the router.
func (p *policy) report(server string, report routing.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.Report(p.entry.now(), server, report)
}

func (p *policy) cacheEvent(server string, seq uint64, kind routing.CacheEventKind, prefix uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.CacheEvent(server, seq, kind, prefix)
}

// cacheReset clears the known cache contents of a server that restarted.
func (p *policy) cacheReset(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.CacheReset(server)
}

// success credits the service's retry budget for an answered request.
func (p *policy) success(service string, policy *fleet.Policy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.entry.now()
	p.retry.Success(now, service, policy)
	p.entry.metrics.retryBudget.WithLabelValues(service).Set(p.retry.Budget(now, service))
}

// decideRetry asks the retry controller about a failed attempt.
func (p *policy) decideRetry(attempt retry.Attempt) retry.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retry.Decide(p.entry.now(), attempt)
}

// limits is the policy's part of the state dump.
type limits struct {
	Queued   int                `json:"queued"`
	InFlight map[string]int     `json:"in_flight"`
	Slots    map[string]int     `json:"slots"`
	Budget   map[string]float64 `json:"retry_budget"`
}

func (p *policy) state() limits {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := limits{
		Queued:   p.admission.Queued(),
		InFlight: make(map[string]int),
		Slots:    make(map[string]int),
		Budget:   make(map[string]float64),
	}
	if p.config == nil {
		return s
	}
	for _, service := range p.config.Services {
		s.InFlight[service.Name] = p.admission.InFlight(service.Name)
		s.Slots[service.Name] = p.router.Slots(service.Name)
		s.Budget[service.Name] = p.retry.Budget(p.entry.now(), service.Name)
	}
	return s
}

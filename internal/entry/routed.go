package entry

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"waxwingcart/internal/backend"
	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/lineage"
	"waxwingcart/internal/core/placement"
	"waxwingcart/internal/core/quota"
	"waxwingcart/internal/core/request"
	"waxwingcart/internal/core/routes"
	"waxwingcart/internal/core/routing"
	"waxwingcart/internal/crashguard"
	"waxwingcart/internal/intake"
	"waxwingcart/internal/observe"
	"waxwingcart/internal/rollout"
	"waxwingcart/internal/room"
	"waxwingcart/internal/traces"
)

// routedCall holds the fields of a run that only routed calls use.
type routedCall struct {
	route *routes.Route
	call  Call
	// stream is the stream that the call begins or takes up.
	stream lineage.StreamID
	// pinned is true once the stream may go on at version only. Both are guarded by
	// the policy's lock.
	pinned  bool
	version string
	// origin is the instance that began the stream, if this call did.
	origin string
	host   string
	// cost is the number of units charged to the customer's limit.
	cost         float64
	usageCounted bool
	// firstEvent is the number of the first stream event that the caller
	// lacks; firstEventKnown is false until the first event has arrived.
	firstEvent      int64
	firstEventKnown bool
	// priority is the call's priority at backend servers; 0 is the most
	// urgent.
	priority int
	// size is the size of the call in tokens, and decision its latest placement.
	size     placement.RequestSize
	decision placement.Decision
	// announced is true if each attempt is broadcast to the other entries.
	// This is done for calls to model engines, whose load delays other calls.
	// Other calls are short, and their servers have spare capacity.
	announced bool
	// guarded is the call as the quarantine sees it, and brokenOff the number of servers that
	// broke it off before its first event.
	guarded   crashguard.Request
	brokenOff int
	// rollout is the call as the roll-out of its service sees it; guarded by the policy's lock.
	rollout rollout.Call
	// paused is true once a pause of the stream has been reported.
	paused bool
	// roomID is the call's ID in room, and verdict how room decided. roomBegan is true once room
	// knows that the answer has begun.
	roomID    uint64
	verdict   atomic.Pointer[room.Verdict]
	roomBegan bool
	// tokensPerEvent is the number of tokens in one event of the answer.
	tokensPerEvent int
}

func (e *Entry) backendOptions() backend.Options {
	if e.opts.Routed == nil {
		return backend.Options{OnEndless: e.endlessAnswer, Buffers: e.opts.Buffers}
	}
	return backend.Options{
		Protocol: e.opts.Routed.Backends, OnLeaving: e.serverLeaving, OnPause: e.serverPause, OnEndless: e.endlessAnswer,
		OnLimit: e.serverLimit, Limited: func(instance string) bool { return e.policy.limited(instance) },
		Buffers: e.opts.Buffers,
		OnLoad:  func(call backend.Call, load backend.Load) { e.policy.loads.Observe(call, load) },
	}
}

// routedConfig returns a configuration with the services of a routing table.
// Customers are looked up in the table itself, and quotaClient enforces their
// limits.
func routedConfig(table *routes.Table) *fleet.Config {
	config := &fleet.Config{Defaults: fleet.DefaultPolicy()}
	for _, service := range table.Services {
		kind := fleet.ServiceApp
		if service.Engine != nil {
			kind = fleet.ServiceModel
		}
		config.Services = append(config.Services, fleet.Service{Name: service.Name, Kind: kind})
	}
	return config
}

// Reasons for which only routed calls are refused.
const (
	reasonNoRoute request.Reason = "no-such-route"
	reasonQuota   request.Reason = "customer-limit"
	// reasonUnconfirmed stands for a denial by a configuration that may be outdated.
	reasonUnconfirmed request.Reason = "configuration-unconfirmed"
)

// maxDenialAge is how old the confirmation of a configuration may be that denies a call what another
// one may allow. It is the time within which a change is in force at every entry.
const maxDenialAge = 2 * time.Second

// denial returns the outcome of a call that the configuration in force does not allow. Without a
// recent confirmation the call may be allowed by a newer configuration, and another entry may have that.
func (e *Entry) denial(reason request.Reason, step string) request.Outcome {
	if age := e.config.unconfirmed(); age > maxDenialAge {
		step = fmt.Sprintf("%s by a configuration that was last confirmed %.1f s ago", step, age.Seconds())
		return notRunOutcome(reasonUnconfirmed, step, addJitter(minUnreadyRetryAfter))
	}
	return notRunOutcome(reason, step, 0)
}

// ServeRouted serves a call according to the routing configuration in force.
func (e *Entry) ServeRouted(w http.ResponseWriter, req *http.Request) {
	call, err := e.opts.Routed.Callers.Parse(req)
	if call.RequestID == "" {
		call.RequestID = e.newRequestID()
	}
	conn := callerConnOf(req.Context())
	conn.begin(call.RequestID)
	sink := &routedSink{w: w, entry: e, id: call.RequestID}
	if req.ContentLength == 0 {
		sink.bodyRead = true
		conn.readBody()
	}
	defer func() { conn.end(sink.aborted) }()
	if err != nil {
		sink.refuse(notRunOutcome(reasonBadRequest, err.Error(), 0), nil)
		return
	}
	defer func() { sink.share.Close() }()
	r := e.prepareRouted(w, req, call, sink)
	if r == nil {
		return
	}
	r.req = request.New(r.spec, r)
	if !e.add(r) {
		e.quota.refund(r.customer.Name, r.routed.cost)
		sink.refuse(notRunOutcome(request.ReasonDraining, "the entry takes no more requests", otherEntryRetryAfter), nil)
		return
	}
	r.serve()
	if sink.aborted {
		// Aborts the connection, so that a truncated answer never looks
		// complete.
		panic(http.ErrAbortHandler)
	}
}

func notRunOutcome(reason request.Reason, step string, retryAfter time.Duration) request.Outcome {
	return request.Outcome{Kind: request.OutcomeNotRun, Reason: reason, Step: step, RetryAfter: retryAfter}
}

const (
	// otherEntryRetryAfter is the Retry-After delay if another entry can serve
	// the call at once.
	otherEntryRetryAfter = 20 * time.Millisecond
	// typicalStartup is how long an entry usually takes to get its first
	// configuration when all processes start at once, because the replicas
	// have to elect a leader.
	typicalStartup = 1500 * time.Millisecond
	// startupWaitDivisor and maxStartupWait bound the time that a call waits
	// for an entry that is starting: the caller's timeout divided by
	// startupWaitDivisor, and maxStartupWait. Callers consider a VM dead if it
	// has not read their body after a second.
	startupWaitDivisor = 4
	maxStartupWait     = 900 * time.Millisecond
	// minUnreadyRetryAfter is the lowest Retry-After delay, before jitter,
	// while the entry is not ready.
	minUnreadyRetryAfter = 250 * time.Millisecond
	// minJitter is the smallest range of the random part of a delay.
	minJitter = 50 * time.Millisecond
)

// addJitter lengthens a delay by a random part of up to half of it plus
// minJitter, so that callers who were refused together don't retry together.
func addJitter(wait time.Duration) time.Duration {
	return wait + rand.N(wait/2+minJitter)
}

// unreadyRetryAfter returns the Retry-After delay while no configuration is in
// force.
func (e *Entry) unreadyRetryAfter() time.Duration {
	return addJitter(max(typicalStartup-e.now(), minUnreadyRetryAfter))
}

// prepareRouted checks a call and charges its customer. It returns the call's
// run, or refuses the call and returns nil.
func (e *Entry) prepareRouted(w http.ResponseWriter, req *http.Request, call Call, sink *routedSink) *run {
	arrived := e.now()
	config := e.awaitInitialized(req.Context(), call.CallerTimeout)
	if config == nil {
		sink.refuse(notRunOutcome(reasonNotReady, "no configuration is in force", e.unreadyRetryAfter()), nil)
		return nil
	}
	path, _, _ := strings.Cut(req.RequestURI, "?")
	if !strings.HasPrefix(path, "/") || req.URL.RequestURI() != req.RequestURI {
		sink.refuse(notRunOutcome(reasonBadRequest, "the target can't be passed on unchanged", 0), nil)
		return nil
	}
	route := config.routes.Route(req.Host, path)
	if route == nil {
		sink.refuse(e.denial(reasonNoRoute, "no route has this host and path"), nil)
		return nil
	}
	customer := config.routes.Customer(call.Key)
	if customer == nil && !route.Public {
		sink.refuse(e.denial(reasonUnauthorized, "the key belongs to no customer"), nil)
		return nil
	}
	sink.share = e.openShare(w, req, customerName(customer))
	body, err := e.readRouted(w, req, config, sink.share)
	if err != nil {
		sink.refuseError(err)
		return nil
	}
	r := e.newRouted(req, call, config, route, customer, arrived)
	r.sink, r.share = sink, sink.share
	sink.bodyRead = true
	r.message = message{method: req.Method, path: req.RequestURI, header: call.Header, body: body}
	r.routed.guarded = r.guarded()
	sink.run = r
	if refusal := r.bindTakeUp(); refusal != nil {
		sink.customer = r.customer.Name
		sink.refuse(*refusal, nil)
		return nil
	}
	if customer == nil {
		return r
	}
	r.routed.cost = customer.Cost(call.Prompt.Tokens, call.Prompt.OutputTokens, call.Prompt.Tokens > 0)
	if wait, ok := e.quota.take(req.Context(), customer.Name, limitClass(route, customer, call), r.routed.cost); !ok {
		sink.customer = customer.Name
		sink.refuse(notRunOutcome(reasonQuota, fmt.Sprintf("the call costs %.0f units; %s of the limit of %.0f a second is used up", r.routed.cost, e.quota.part(), customer.Rate), addJitter(wait)), nil)
		return nil
	}
	return r
}

// limitClass returns the class of a call while its customer sends more than its limit allows.
func limitClass(route *routes.Route, customer *routes.Customer, call Call) quota.Class {
	if customer.CountsTokens && call.Prompt.Tokens == 0 {
		return quota.ClassPlain
	}
	return quota.RankClass(route.Rank)
}

func (e *Entry) readRouted(w http.ResponseWriter, req *http.Request, config *configuration, share *intake.Share) ([]byte, error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(e.opts.BodyTimeout))
	limit := e.opts.BodyLimit
	if configured := config.routes.Limits.BodyBytes; configured > 0 && (limit == 0 || configured < limit) {
		limit = configured
	}
	if req.ContentLength > limit {
		return nil, tooLargeError(limit)
	}
	body, err := e.readBody(w, req, limit, share)
	if err != nil {
		return nil, err
	}
	_ = controller.SetReadDeadline(time.Time{})
	callerConnOf(req.Context()).readBody()
	return body, nil
}

// maxUnstartedAttempts is the number of servers that may refuse a call or be
// unreachable before such failures count toward the route's attempts. None of
// these servers has run the call.
const maxUnstartedAttempts = 3

// customerName returns a customer's name, or "": callers of a public route need not be
// customers.
func customerName(customer *routes.Customer) string {
	if customer == nil {
		return ""
	}
	return customer.Name
}

// newRouted returns the run of a routed call.
func (e *Entry) newRouted(req *http.Request, call Call, config *configuration, route *routes.Route, customer *routes.Customer, arrived time.Duration) *run {
	allowed := route.Timeout
	if call.CallerTimeout > 0 {
		allowed = min(allowed, call.CallerTimeout)
	}
	service := config.services[route.Choose(rand.Float64())]
	name := customerName(customer)
	r := &run{
		entry:        e,
		id:           call.RequestID,
		customer:     &fleet.Customer{Name: name},
		service:      service,
		policy:       routePolicy(route),
		config:       config,
		arrived:      arrived,
		deadline:     arrived + allowed,
		firstTokenBy: arrived + allowed,
		controls:     make(chan control, controlQueue),
		stream:       make(chan streamEvent, streamQueue),
		callerCtx:    req.Context(),
		ended:        make(chan struct{}),
		trace:        &traces.Trace{ID: call.RequestID, Customer: name, Service: service.Name, Arrived: time.Now()},
		routed:       &routedCall{route: route, call: call, host: req.Host, tokensPerEvent: 1},
	}
	r.routed.stream = streamID(name, call.RequestID)
	r.spec = request.Spec{
		ID:           r.id,
		Kind:         request.KindApp,
		Repeatable:   route.Repeatable,
		Deadline:     r.deadline,
		MaxAttempts:  max(route.MaxAttempts, 1),
		MaxUnstarted: maxUnstartedAttempts,
		Continues:    true,
	}
	if route.Stream {
		r.spec.Kind = request.KindModel
		r.service = &fleet.Service{Name: service.Name, Kind: fleet.ServiceModel, Short: route.Rank == 0}
	}
	if call.Resumes {
		r.spec.TakesUp = route.Stream
		r.routed.firstEvent, r.routed.firstEventKnown = call.LastEvent+1, true
	}
	r.size = routing.RequestSize{PromptTokens: max(call.Prompt.Tokens, 1), OutputTokens: max(call.Prompt.OutputTokens, 1)}
	r.routed.size = placement.RequestSize{PromptTokens: call.Prompt.Tokens, OutputTokens: call.Prompt.OutputTokens, Parts: call.Prompt.sharedParts()}
	r.routed.priority = priorityOf(route, customer)
	if engine := config.routes.Service(service.Name).Engine; engine != nil {
		r.routed.announced = true
		r.routed.tokensPerEvent = max(engine.TokensPerEvent, 1)
	}
	return r
}

// routedDialTimeout bounds connecting to a backend server in the same region,
// which takes a few milliseconds unless packets are lost.
const routedDialTimeout = 150 * time.Millisecond

const (
	// The progress timeout of a call that can be retried elsewhere is
	// progressTargetFactor times the first token target, since the answer is
	// late beyond the target, but at least minProgressTimeout, which is twice
	// the usual longest pause.
	minProgressTimeout   = time.Second
	progressTargetFactor = 1.2
)

// routedRetryRatio is the number of retries per success. It is below the
// platform's limit of a fifth of the requests, because that limit also counts
// the retries that entries make without charging their budgets.
const routedRetryRatio = 0.15

// routePolicy returns the policy for a route's calls.
func routePolicy(route *routes.Route) fleet.Policy {
	policy := fleet.DefaultPolicy()
	policy.FirstTokenTargetMS = observe.Milliseconds(route.FirstTarget)
	policy.TokenGapTargetMS = observe.Milliseconds(route.GapTarget)
	policy.DeadlineMS = observe.Milliseconds(route.Timeout)
	policy.ProgressTimeoutMS = observe.Milliseconds(max(minProgressTimeout, time.Duration(progressTargetFactor*float64(route.FirstTarget))))
	policy.DialTimeoutMS = observe.Milliseconds(routedDialTimeout)
	policy.MaxAttempts = max(route.MaxAttempts, 1) + maxUnstartedAttempts
	policy.RetryBudgetRatio = routedRetryRatio
	return policy
}

// routeRanks is the number of route ranks within one customer rank.
const routeRanks = 3

// priorityOf returns a call's priority: by the customer's rank first, then by
// the route's.
func priorityOf(route *routes.Route, customer *routes.Customer) int {
	rank := min(max(route.Rank, 0), routeRanks-1)
	if customer != nil && customer.HasRank {
		return max(customer.Rank, 0)*routeRanks + rank
	}
	return rank
}

// tokensPerEvent is the number of tokens in one event of the answer.
func (r *run) tokensPerEvent() int {
	if r.routed == nil {
		return 1
	}
	return r.routed.tokensPerEvent
}

// resumeAfter returns the number of the last event that the caller has if a
// new attempt has to continue after it, and a negative number otherwise.
func (r *run) resumeAfter() int64 {
	next := r.req.Position().Next
	if r.routed == nil || next == 0 {
		return -1
	}
	return r.routed.firstEvent + int64(next) - 1
}

// withRelativeOffset converts an event's number at the backend server into its
// offset from the first event that the caller lacks. open is true if the event's attempt
// is open.
func (r *run) withRelativeOffset(token request.Token, open bool) request.Token {
	if r.routed == nil {
		return token
	}
	if !r.routed.firstEventKnown && open {
		r.routed.firstEvent, r.routed.firstEventKnown = int64(token.Offset), true
	}
	token.Offset -= int(r.routed.firstEvent)
	return token
}

// countUsage counts the call in its customer's usage, once, when it has begun
// to run.
func (r *run) countUsage() {
	if r.routed == nil || r.routed.usageCounted {
		return
	}
	r.routed.usageCounted = true
	if r.customer.Name != "" {
		r.entry.quota.recordUsage(r.customer.Name)
	}
}

// trackUsage counts a call whose server gave a whole answer, even a server
// error: the call has run. A stream is counted with its first event.
func (r *run) trackUsage(ev request.Event) {
	switch ev := ev.(type) {
	case request.Completed:
		r.countUsage()
	case request.Failed:
		if ev.Failure.Answered {
			r.countUsage()
		}
	}
}

// settleQuota refunds the units of a call that did not run.
func (r *run) settleQuota() {
	if r.routed == nil {
		return
	}
	if r.outcome.Kind == request.OutcomeNotRun {
		r.entry.quota.refund(r.customer.Name, r.routed.cost)
	}
}

package entry

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"waxwingcart/internal/backend"
	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/placement"
	"waxwingcart/internal/core/request"
	"waxwingcart/internal/core/routes"
	"waxwingcart/internal/core/routing"
	"waxwingcart/internal/observe"
)

// routedCall is the part of a run that only routed calls have.
type routedCall struct {
	route *routes.Route
	call  Call
	host  string
	// cost is what the customer's limit was charged.
	cost         float64
	usageCounted bool
	// firstEvent is the number of the stream's first event that the caller lacks;
	// known is false until the first event came.
	firstEvent      int64
	firstEventKnown bool
	// priority orders the call at backend servers; 0 is the most urgent.
	priority int
	// load and decision are the size of the call and its latest placement.
	load     placement.Load
	decision placement.Decision
	// announced is true if the other entries are told of each attempt: those at model
	// engines, which hold others up. Plain calls are short, and their servers have
	// room.
	announced bool
	// paused is true once the stream's pause was told.
	paused bool
	// tokensPerEvent is the number of tokens in an event.
	tokensPerEvent int
}

func (o *Options) backendOptions() backend.Options {
	if o.Routed == nil {
		return backend.Options{}
	}
	return backend.Options{Protocol: o.Routed.Backends}
}

// routedConfig returns a configuration with the services of a table. Customers
// are looked up in the table itself, and limitKeeper keeps their limits.
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

// Reasons for refusing routed calls.
const (
	reasonNoRoute request.Reason = "no-such-route"
	reasonQuota   request.Reason = "customer-limit"
)

// ServeRouted serves a call by the routing configuration in force.
func (e *Entry) ServeRouted(w http.ResponseWriter, req *http.Request) {
	call, err := e.opts.Routed.Callers.Parse(req)
	if call.RequestID == "" {
		call.RequestID = e.newRequestID()
	}
	sink := &routedSink{w: w, entry: e, id: call.RequestID}
	if err != nil {
		sink.refuse(notRunOutcome(reasonBadRequest, err.Error(), 0), nil)
		return
	}
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
		// Ends the connection, so that a cut answer never looks complete.
		panic(http.ErrAbortHandler)
	}
}

func notRunOutcome(reason request.Reason, step string, retryAfter time.Duration) request.Outcome {
	return request.Outcome{Kind: request.OutcomeNotRun, Reason: reason, Step: step, RetryAfter: retryAfter}
}

const (
	// otherEntryRetryAfter is told to callers whom another entry can serve at once.
	otherEntryRetryAfter = 20 * time.Millisecond
	// typicalStartup is how long an entry usually takes to its first configuration
	// when all processes start at once: the replicas have to elect a leader.
	typicalStartup = 1500 * time.Millisecond
	// startupWaitDivisor is the part of its caller's patience that a call waits at
	// most for an entry that starts, and maxStartPatience the longest such wait:
	// callers take a VM for dead that has not read their body after a second.
	startupWaitDivisor = 4
	maxStartupWait     = 900 * time.Millisecond
	// minUnreadyRetryAfter is told to callers beyond that time.
	minUnreadyRetryAfter = 250 * time.Millisecond
	// minJitter is the least by which waits differ.
	minJitter = 50 * time.Millisecond
)

// addJitter lengthens a wait by up to half, so that callers who were refused together
// don't come back together.
func addJitter(wait time.Duration) time.Duration {
	return wait + rand.N(wait/2+minJitter)
}

// unreadyRetryAfter is told to callers while no configuration is in force.
func (e *Entry) unreadyRetryAfter() time.Duration {
	return addJitter(max(typicalStartup-e.now(), minUnreadyRetryAfter))
}

// prepareRouted checks a call and returns its run, or answers it and returns
// nil.
func (e *Entry) prepareRouted(w http.ResponseWriter, req *http.Request, call Call, sink *routedSink) *run {
	arrived := e.now()
	config := e.awaitInitialized(req.Context(), call.Patience)
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
		sink.refuse(notRunOutcome(reasonNoRoute, "no route has this host and path", 0), nil)
		return nil
	}
	customer := config.routes.Customer(call.Key)
	if customer == nil && !route.Public {
		sink.refuse(notRunOutcome(reasonUnauthorized, "the key belongs to no customer", 0), nil)
		return nil
	}
	body, err := e.readRouted(w, req, config)
	if err != nil {
		sink.refuseError(err)
		return nil
	}
	r := e.newRouted(req, call, config, route, customer, arrived)
	r.sink = sink
	r.message = message{method: req.Method, path: req.RequestURI, header: call.Header, body: body}
	sink.run = r
	if customer == nil {
		return r
	}
	r.routed.cost = customer.Cost(call.Prompt.Tokens, call.Prompt.OutputTokens, call.Prompt.Tokens > 0)
	if wait, ok := e.quota.take(req.Context(), customer.Name, r.routed.cost); !ok {
		sink.customer = customer.Name
		sink.refuse(notRunOutcome(reasonQuota, fmt.Sprintf("the call costs %.0f units; the limit of %.0f a second is used up", r.routed.cost, customer.Rate), addJitter(wait)), nil)
		return nil
	}
	return r
}

func (e *Entry) readRouted(w http.ResponseWriter, req *http.Request, config *configuration) ([]byte, error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(e.opts.BodyTimeout))
	limit := e.opts.BodyLimit
	if configured := config.routes.Limits.BodyBytes; configured > 0 && (limit == 0 || configured < limit) {
		limit = configured
	}
	body, err := e.readBody(w, req, limit)
	if err != nil {
		w.Header().Set("Connection", "close")
		return nil, err
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

// maxUnstartedAttempts is how many servers may refuse a call, or not be reached,
// beyond its route's attempts: none of them runs it.
const maxUnstartedAttempts = 3

// newRouted returns the run of a call.
func (e *Entry) newRouted(req *http.Request, call Call, config *configuration, route *routes.Route, customer *routes.Customer, arrived time.Duration) *run {
	allowed := route.Timeout
	if call.Patience > 0 {
		allowed = min(allowed, call.Patience)
	}
	service := config.services[route.Choose(rand.Float64())]
	// A caller of a public route may be nobody's.
	name := ""
	if customer != nil {
		name = customer.Name
	}
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
		trace:        &trace{id: call.RequestID, customer: name, service: service.Name, arrived: time.Now()},
		routed:       &routedCall{route: route, call: call, host: req.Host, tokensPerEvent: 1},
	}
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
		r.routed.firstEvent, r.routed.firstEventKnown = call.LastEvent+1, true
	}
	r.load = routing.Load{PromptTokens: max(call.Prompt.Tokens, 1), OutputTokens: max(call.Prompt.OutputTokens, 1)}
	r.routed.load = placement.Load{PromptTokens: call.Prompt.Tokens, OutputTokens: call.Prompt.OutputTokens, Parts: call.Prompt.sharedParts()}
	r.routed.priority = priorityOf(route, customer)
	if engine := config.routes.Service(service.Name).Engine; engine != nil {
		r.routed.announced = true
		r.routed.tokensPerEvent = max(engine.TokensPerEvent, 1)
	}
	return r
}

// routedDialTimeout bounds connecting to a backend server of the same region,
// where a connection takes some milliseconds unless its packets are lost.
const routedDialTimeout = 150 * time.Millisecond

const (
	// minProgressTimeout and progressTargets bound the silence of a server whose call
	// may go on elsewhere: about the target, as the answer is late beyond it, and
	// twice the usual longest pause.
	minProgressTimeout   = time.Second
	progressTargetFactor = 1.2
)

// routedRetryRatio is the number of retries per success: less than the platform's
// bound of a fifth of the requests, which counts what the entries sent on again
// without their budgets too.
const routedRetryRatio = 0.15

// routePolicy is the policy for a route's calls.
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

// routeRanks is the number of ranks that routes have within one of customers.
const routeRanks = 3

// priorityOf orders calls by the customer's rank and then by the route's.
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

// resumeAfter is the number of the last event that the caller has, if another
// attempt is to go on after it, and negative otherwise.
func (r *run) resumeAfter() int64 {
	next := r.req.Position().Next
	if r.routed == nil || next == 0 {
		return -1
	}
	return r.routed.firstEvent + int64(next) - 1
}

// withRelativeOffset turns an event's number, as the backend server counts, into its
// offset in what the caller lacks.
func (r *run) withRelativeOffset(token request.Token) request.Token {
	if r.routed == nil {
		return token
	}
	if !r.routed.firstEventKnown && r.attempt != nil && token.Attempt == r.attempt.number {
		r.routed.firstEvent, r.routed.firstEventKnown = int64(token.Offset), true
	}
	token.Offset -= int(r.routed.firstEvent)
	return token
}

// countUsage notes that the call began to run, once.
func (r *run) countUsage() {
	if r.routed == nil || r.routed.usageCounted {
		return
	}
	r.routed.usageCounted = true
	if r.customer.Name != "" {
		r.entry.quota.recordUsage(r.customer.Name)
	}
}

// trackUsage counts a call whose server gave a whole answer, errors of its own
// included: it has run. A stream counts with its first event.
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

// settleQuota settles the customer's account of a call that ended.
func (r *run) settleQuota() {
	if r.routed == nil {
		return
	}
	if r.outcome.Kind == request.OutcomeNotRun {
		r.entry.quota.refund(r.customer.Name, r.routed.cost)
	}
}

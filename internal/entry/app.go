package entry

import (
	"context"
	"net/http"
	"time"

	"waxwingcart/internal/answers"
	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/request"
	"waxwingcart/internal/core/retry"
	"waxwingcart/internal/core/routing"
)

// hedgeAttemptOffset is added to an attempt's number for its hedge, so that
// the answers to the two can be distinguished.
const hedgeAttemptOffset = 1000

// busyStatus lists the statuses after which another server may succeed. Only
// repeatable requests are retried.
var busyStatus = map[int]bool{
	http.StatusBadGateway:         true,
	http.StatusServiceUnavailable: true,
	http.StatusGatewayTimeout:     true,
}

// appResult is the result of a call to an application server.
type appResult struct {
	answer *answer
	err    error
	server *fleet.BackendServer
	hedge  bool
}

// runApp sends the request and reads the whole answer. A lookup, which is a
// repeatable GET or HEAD, is also sent to a second server if it is not answered
// in time, and the first answer is used.
func (a *attempt) runApp(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan appResult, 2)
	go func() { results <- a.fetch(ctx, a.server, a.number) }()
	hedge, stop := a.hedgeTimer()
	defer stop()
	var failed *appResult
	for pending := 1; pending > 0; {
		select {
		case <-ctx.Done():
			return
		case <-hedge:
			hedge = nil
			if server := a.chooseHedge(); server != nil {
				pending++
				a.post(ctx, streamEvent{event: request.Hedged{Attempt: a.number}})
				go func() { results <- a.fetchHedge(ctx, server) }()
			}
		case result := <-results:
			pending--
			if a.accept(ctx, result) {
				return
			}
			if failed == nil || !result.hedge {
				failed = &result
			}
		}
	}
	a.failApp(ctx, *failed)
}

// accept posts the answer unless the call failed or another server should be
// tried. It reports whether it did.
func (a *attempt) accept(ctx context.Context, result appResult) bool {
	if result.err != nil || a.worthRetrying(result.answer) {
		return false
	}
	a.hedged.Store(result.hedge)
	a.post(ctx, streamEvent{event: request.Completed{Attempt: a.number}, answer: result.answer})
	return true
}

// worthRetrying reports whether another server may give a better answer. A
// routed call is also retried after status 500.
func (a *attempt) worthRetrying(answer *answer) bool {
	failed := a.run.routed != nil && answer.status == http.StatusInternalServerError
	return a.run.spec.Repeatable && (failed || busyStatus[answer.status])
}

func (a *attempt) failApp(ctx context.Context, result appResult) {
	if result.err != nil {
		a.fail(ctx, result.err)
		return
	}
	failure := request.Failure{
		Phase: request.PhaseHandedOver, Answered: true, Status: result.answer.status,
		Step: "answer", Peer: result.server.Address,
	}
	a.post(ctx, streamEvent{event: request.Failed{Attempt: a.number, Failure: failure}, answer: result.answer})
}

// fetch sends the request to one server and reads the whole answer.
func (a *attempt) fetch(ctx context.Context, server *fleet.BackendServer, number int) appResult {
	result := appResult{server: server, hedge: number != a.number}
	call := a.call("dispatch")
	call.Address, call.Attempt = server.Address, number
	if a.run.routed != nil {
		call.Instance = server.Name
	}
	// A hedge always opens a new connection.
	call.Repeatable = call.Repeatable && number == a.number
	response, err := a.run.entry.backends.Do(ctx, call)
	if err != nil {
		result.err = err
		return result
	}
	defer response.Body.Close()
	a.post(ctx, streamEvent{event: request.Opened{Attempt: a.number}})
	body, err := response.ReadAll(answers.MaxBodyBytes)
	if err != nil {
		result.err = err
		return result
	}
	result.answer = &answer{status: response.Status, header: response.Header, body: body, held: call.Account != nil}
	return result
}

// hedgeTimer returns a channel that fires when the request may be sent a
// second time, and a function that stops it. It never fires for a request that
// is not a lookup, or if the limit on attempts allows no other one.
func (a *attempt) hedgeTimer() (<-chan time.Time, func()) {
	if !a.mayHedge {
		return nil, func() {}
	}
	at, ok := a.run.entry.policy.hedgeAt(a.hedgeCandidate())
	if !ok {
		return nil, func() {}
	}
	timer := time.NewTimer(at - a.run.entry.now())
	return timer.C, func() { timer.Stop() }
}

// chooseHedge picks a second server if the retry budget allows one. If there
// is no other server, the same server gets the request over a new connection,
// because the first connection may be dead, unless the server takes no
// new work.
func (a *attempt) chooseHedge() *fleet.BackendServer {
	p := a.run.entry.policy
	if !p.allowHedge(a.hedgeCandidate()) {
		return nil
	}
	decision, ok := p.chooseServer(a.run, []string{a.server.Name})
	if !ok && !p.takesWork(a.run, a.server.Name) {
		return nil
	}
	if !ok {
		return a.server
	}
	if server := a.run.entry.server(a.run.config, decision.Server); server != nil {
		return server
	}
	return a.server
}

// fetchHedge sends the request to the second server and records the attempt.
func (a *attempt) fetchHedge(ctx context.Context, server *fleet.BackendServer) appResult {
	r := a.run
	r.explain("attempt %d is not answered yet: hedged at %s (%s)", a.number, server.Name, server.Address)
	began := r.entry.now()
	r.entry.policy.attemptStarted(server.Name, r.size)
	result := a.fetch(ctx, server, a.number+hedgeAttemptOffset)
	end := hedgeResult(ctx, result)
	r.entry.policy.attemptFinished(server.Name, routing.Outcome{
		Size: r.size, Result: end, Elapsed: r.entry.now() - began, CachedTokens: -1,
	})
	r.entry.metrics.attempts.WithLabelValues(r.service.Name, server.Name, resultName(end)).Inc()
	return result
}

func hedgeResult(ctx context.Context, result appResult) routing.Result {
	switch {
	case ctx.Err() != nil:
		return routing.ResultAbandoned
	case result.err != nil:
		return resultOf(failureOf(result.err, result.server.Address))
	default:
		return routing.ResultCompleted
	}
}

// completedResult is the result of the attempt's own server when an answer has
// arrived: cancelled if the hedge gave the answer.
func (a *attempt) completedResult() routing.Result {
	if a.hedged.Load() {
		return routing.ResultAbandoned
	}
	return routing.ResultCompleted
}

// hedgeCandidate describes the attempt to the retry controller. If the policy
// does not hedge, the hedge is sent after the progress timeout, because the
// connection is then presumed dead.
func (a *attempt) hedgeCandidate() retry.HedgeCandidate {
	r := a.run
	policy := r.policy
	if policy.HedgeAfterMS == 0 {
		policy.HedgeAfterMS = policy.ProgressTimeoutMS
	}
	return retry.HedgeCandidate{
		Service:    r.service.Name,
		Repeatable: r.spec.Repeatable,
		Cheap:      r.message.method == http.MethodGet || r.message.method == http.MethodHead,
		Started:    a.started,
		Deadline:   r.deadline,
		Policy:     &policy,
	}
}

// hedgeAt returns when a second copy of a lookup may be sent.
func (p *policy) hedgeAt(candidate retry.HedgeCandidate) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retry.HedgeAt(candidate)
}

// allowHedge reports whether the retry budget pays for a second copy of a
// lookup, and charges it.
func (p *policy) allowHedge(candidate retry.HedgeCandidate) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retry.Hedge(p.entry.now(), candidate)
}

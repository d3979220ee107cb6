package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/request"
	"waxwingcart/internal/core/retry"
	"waxwingcart/internal/core/routing"
	"waxwingcart/internal/intake"
	"waxwingcart/internal/traces"
)

// Capacities of a run's channels.
const (
	controlQueue = 32
	streamQueue  = 64
)

// control is an event that the entry itself sends to a request.
type control struct {
	event request.Event
	// handled, if set, is closed once the event has been processed.
	handled chan struct{}
}

// streamEvent is an event of an attempt with its payload.
type streamEvent struct {
	event request.Event
	// data is a token's JSON text, or the bytes of a routed call's event.
	data []byte
	// answer is the whole answer of an application, or the status and header
	// of a routed call's stream.
	answer *answer
	// handled, if set, is closed once the event has been processed.
	handled chan struct{}
}

// answer is a whole HTTP answer.
type answer struct {
	status int
	header http.Header
	body   []byte
	// held is true if the request's share holds the body.
	held bool
}

// unheld returns the length of the body if nothing holds it yet, or 0.
func (a *answer) unheld() int {
	if a.held {
		return 0
	}
	return len(a.body)
}

// run drives the state machine of one request. Its loop runs in the goroutine
// that serves the caller's HTTP request.
type run struct {
	entry *Entry
	id    string
	// key is the run's key in Entry.runs. It differs from id if two callers
	// used the same ID.
	key      string
	routed   *routedCall
	customer *fleet.Customer
	service  *fleet.Service
	policy   fleet.Policy
	config   *configuration
	size     routing.RequestSize
	arrived  time.Duration
	// deadline and firstTokenBy are times since the entry's start.
	deadline     time.Duration
	firstTokenBy time.Duration
	// expectedFirst is the predicted time to the first token at the latest
	// chosen server, and placedAfter the time from arrival until that server
	// was chosen.
	expectedFirst time.Duration
	placedAfter   time.Duration
	admissionID   uint64
	spec          request.Spec
	req           *request.Request
	message       message
	reservation   *reservation
	sink          sink
	// share is what the request holds of the memory for callers, or nil.
	share *intake.Share
	trace *traces.Trace

	controls  chan control
	stream    chan streamEvent
	callerCtx context.Context
	// dispatched is true once an attempt has been sent to a server.
	dispatched atomic.Bool
	// position is the answer's position in its stream; delivered counts the
	// tokens sent to the caller.
	position  atomic.Pointer[request.Position]
	delivered atomic.Int64
	ended     chan struct{}

	// The fields below are used by the loop alone.
	queue []request.Event
	// attempts holds the open attempts: one, or a silent one and its replacement.
	attempts []*attempt
	// source is the open attempt whose event is handled, or nil.
	source *attempt
	// last is the latest attempt, or the one that sent the latest forwarded event.
	last         *attempt
	token        []byte
	answer       *answer
	replay       *answer
	lastToken    time.Duration
	longestGap   time.Duration
	firstTokenAt time.Duration
	tokens       int
	outcome      *request.Outcome
	ending       ending
	// inDoubt is true while a reservation has been requested but not answered:
	// it may be committed.
	inDoubt bool
}

// message is the caller's HTTP request in the form sent to backend servers.
type message struct {
	method string
	path   string
	header http.Header
	body   []byte
}

// post sends an event to the request without blocking. The channel holds more
// events than one request receives, so only repeated events can be lost.
func (r *run) post(ev request.Event) {
	select {
	case r.controls <- control{event: ev}:
	default:
	}
}

func (r *run) drain() { r.post(request.Drain{}) }

// serve runs the request until it has an outcome.
func (r *run) serve() {
	defer r.finish()
	deadline := time.NewTimer(r.deadline - r.entry.now())
	defer deadline.Stop()
	callerGone := r.callerCtx.Done()
	r.step(request.Start{})
	for r.outcome == nil {
		select {
		case c := <-r.controls:
			r.step(c.event)
			if c.handled != nil {
				close(c.handled)
			}
		case ev := <-r.stream:
			r.handleStreamEvent(ev)
		case <-deadline.C:
			r.step(request.Tick{})
		case <-callerGone:
			callerGone = nil
			r.step(request.CallerGone{})
		}
	}
}

func (r *run) handleStreamEvent(ev streamEvent) {
	if ev.handled != nil {
		defer close(ev.handled)
	}
	defer r.share.Unqueue(len(ev.data))
	r.token = ev.data
	r.source = r.openAttempt(attemptOf(ev.event))
	r.takeAnswer(ev)
	if token, ok := ev.event.(request.Token); ok {
		ev.event = r.withRelativeOffset(token, r.source != nil)
	}
	r.ending.sign(r.entry.now(), ev.event, len(r.attempts) > 1)
	r.trackAttemptEnd(ev.event)
	r.trackUsage(ev.event)
	r.step(ev.event)
	if _, ok := ev.event.(request.Opened); ok {
		position := r.req.Position()
		r.position.Store(&position)
	}
}

// step feeds the event to the state machine, and then the events that its
// effects queue.
func (r *run) step(ev request.Event) {
	r.queue = append(r.queue, ev)
	for len(r.queue) > 0 {
		next := r.queue[0]
		r.queue = r.queue[1:]
		r.explainEvent(next)
		r.trackReservation(next)
		for _, effect := range r.req.Step(r.entry.now(), next) {
			r.applyEffect(effect)
		}
	}
}

func (r *run) applyEffect(effect request.Effect) {
	r.explainEffect(effect)
	switch e := effect.(type) {
	case request.Admit:
		r.entry.policy.submit(r)
	case request.Reserve:
		r.inDoubt = true
		go r.reserve()
	case request.Pick:
		r.queue = append(r.queue, r.entry.policy.pickServer(r, e.Exclude))
	case request.PickReplacement:
		r.queue = append(r.queue, r.entry.policy.pickReplacement(r, e))
	case request.Dispatch:
		if !e.Beside {
			r.ending.attemptBegan(r.entry.now())
		}
		r.dispatch(e)
	case request.ResumeStream:
		r.ending.attemptBegan(r.entry.now())
		r.resume(e)
	case request.CancelAttempt:
		r.cancel(e)
	case request.DropAttempt:
		r.drop(e)
	case request.LimitOverlap:
		time.AfterFunc(maxOverlap, func() { r.post(request.OverlapOver(e)) })
	case request.Silenced:
		r.silenced(e)
	case request.MoveKV:
		go r.moveKV(e)
	case request.Forward:
		r.forward(e)
	case request.Backoff:
		time.AfterFunc(e.Delay, func() { r.post(request.BackoffOver{}) })
	case request.RecordOutcome:
		r.record(e)
	case request.Respond:
		r.respond(e.Outcome)
	}
}

// forward sends the current token to the caller.
func (r *run) forward(e request.Forward) {
	now := r.entry.now()
	a := r.source
	if a.tokens == 0 {
		r.jobStarted(a)
	}
	if r.firstTokenAt == 0 {
		r.useAnswer(a)
		r.firstTokenAt = now
		r.countUsage()
		r.bindStream(a)
		r.entry.policy.firstToken(r)
		r.entry.metrics.firstToken.WithLabelValues(r.service.Name).Observe((now - r.arrived).Seconds())
	} else {
		r.entry.metrics.tokenGap.WithLabelValues(r.service.Name).Observe((now - r.lastToken).Seconds())
		r.longestGap = max(r.longestGap, now-r.lastToken)
		if a.tokens > 0 {
			r.jobPaused(a, now-r.lastToken)
		}
	}
	r.lastToken, r.last = now, a
	r.tokens += r.tokensPerEvent()
	r.delivered.Store(int64(r.tokens))
	a.countTokens(now, r.tokensPerEvent())
	r.sink.token(r.token, r.req.Position())
}

func (r *run) respond(outcome request.Outcome) {
	r.outcome = &outcome
	switch outcome.Kind {
	case request.OutcomeAnswered:
		r.sink.complete(r.answer)
	case request.OutcomeReplay:
		r.sink.complete(r.replay)
	default:
		r.sink.refuse(outcome, r.recorded(outcome))
	}
}

// finish releases what the request holds and records its outcome.
func (r *run) finish() {
	answered := r.outcome.Kind == request.OutcomeAnswered
	r.endAttempts(routing.ResultAbandoned)
	r.entry.policy.endAdmission(r, answered, r.tokens)
	r.settleQuota()
	if answered && !r.serverFailed() {
		r.entry.policy.success(r.service.Name, &r.policy)
	}
	r.recordMetrics(answered)
	r.trace.Dispatched = r.req.Dispatched()
	r.trace.End(time.Now(), "%s", endText(r))
	r.entry.history.Put(r.trace)
	if r.inDoubt && !r.trace.Dispatched {
		r.entry.releaser.release(r.reservation, r.id)
	}
	close(r.ended)
	r.entry.remove(r)
}

// trackReservation clears inDoubt when the replicas have answered. Without
// their answer the reservation may still have been committed.
func (r *run) trackReservation(ev request.Event) {
	if reserved, ok := ev.(request.Reserved); ok && reserved.Result != request.ReserveFailed {
		r.inDoubt = false
	}
}

func (r *run) recordMetrics(answered bool) {
	m := r.entry.metrics
	service := r.service.Name
	m.outcomes.WithLabelValues(service, kindName(r.outcome.Kind), string(r.outcome.Reason)).Inc()
	m.lateEvents.Add(float64(r.req.Late()))
	m.recomputedTokens.WithLabelValues(service).Add(float64(r.req.Recomputed()))
	m.tokens.WithLabelValues(service).Add(float64(r.tokens))
	if retries := r.req.Attempts() - 1; retries > 0 {
		m.retries.WithLabelValues(service).Add(float64(retries))
	}
	if answered && r.service.Kind == fleet.ServiceApp {
		m.firstToken.WithLabelValues(service).Observe((r.entry.now() - r.arrived).Seconds())
	}
	event := r.entry.logger.Info()
	event.Str("step", "request").Str("request", r.id).Str("customer", r.customer.Name).Str("service", service).
		Str("outcome", kindName(r.outcome.Kind)).Str("reason", string(r.outcome.Reason)).Str("at", r.outcome.Step).
		Int("attempts", r.req.Attempts()).Int("tokens", r.tokens).Int("prompt", r.size.PromptTokens).
		Str("server", r.lastServer()).Str("version", r.lastVersion()).Int64("placed_ms", r.placedAfter.Milliseconds()).
		Int64("expected_ms", r.expectedFirst.Milliseconds()).Int64("first_ms", r.timeToFirstToken().Milliseconds()).
		Int64("gap_ms", r.longestGap.Milliseconds()).
		Int64("elapsed_ms", (r.entry.now() - r.arrived).Milliseconds())
	r.addEnding(event)
	event.Msg("request ended")
}

func kindName(kind request.OutcomeKind) string {
	switch kind {
	case request.OutcomeAnswered:
		return "answered"
	case request.OutcomeReplay:
		return "replayed"
	default:
		return outcomeName(kind)
	}
}

// Retry implements request.Retrier with the entry's retry budget.
func (r *run) Retry(_ time.Duration, failed request.FailedAttempt) (time.Duration, bool) {
	if r.mayCrash() {
		r.ending.notRetried = string(reasonCrashingPart)
		return 0, false
	}
	decision := r.entry.policy.decideRetry(retry.Attempt{
		Service:    r.service.Name,
		Error:      errorClass(failed.Failure),
		Repeatable: r.spec.Repeatable,
		HandedOver: failed.HandedOver,
		Attempts:   failed.Attempts,
		Free:       failed.Free || r.failedAtTarget(),
		Deadline:   r.deadline,
		Policy:     &r.policy,
	})
	if !decision.Retry {
		r.trace.Add(time.Now(), "not tried again: %s", decision.Reason)
		r.ending.notRetried = decision.Reason.String()
	} else if r.entry.now()+decision.Delay >= r.deadline {
		r.ending.notRetried = noTime
	}
	return decision.Delay, decision.Retry
}

func errorClass(failure request.Failure) retry.ErrorClass {
	switch {
	case failure.Permanent:
		return retry.ErrorFinal
	case failure.Phase == request.PhaseDial:
		return retry.ErrorDial
	case failure.Phase == request.PhaseRefused:
		return retry.ErrorNotStarted
	case failure.Silent:
		return retry.ErrorTimeout
	case failure.Status >= http.StatusInternalServerError:
		return retry.ErrorServer
	default:
		return retry.ErrorConnectionLost
	}
}

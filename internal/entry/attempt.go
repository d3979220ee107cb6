package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingcart/internal/answers"
	"waxwingcart/internal/backend"
	"waxwingcart/internal/chat"
	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/placement"
	"waxwingcart/internal/core/request"
	"waxwingcart/internal/core/routing"
	"waxwingcart/internal/rollout"
)

// Bounds on single calls to backend servers.
const (
	cancelTimeout  = 2 * time.Second
	moveTimeout    = 20 * time.Second
	maxExportBytes = 1 << 30
)

// chatPath is the path of chat completions, at entries and at engines.
const chatPath = "/v1/chat/completions"

// attempt is one attempt at a backend server. Its goroutine reads the answer
// and posts events under the attempt's number.
type attempt struct {
	run     *run
	number  int
	server  *fleet.BackendServer
	cancel  context.CancelFunc
	started time.Duration
	// progressTimeout bounds the wait for the first sign of progress.
	progressTimeout time.Duration
	// answer is the head of the server's answer, or its whole answer.
	answer *answer
	// firstToken is the time from the attempt's start to its first token.
	firstToken time.Duration
	tokens     int
	// job identifies the attempt at other entries; zero if the call is not
	// routed.
	job placement.JobID
	// version is the software version of the server of a routed call.
	version string
	// rollout counts the attempt for the roll-out of its service.
	rollout rollout.Attempt
	// mayHedge is true if the limit on attempts allows a hedge beside this attempt.
	mayHedge bool
	// hedged is true if the hedge's server gave the answer.
	hedged atomic.Bool
}

// countTokens counts an event with the given number of tokens.
func (a *attempt) countTokens(now time.Duration, tokens int) {
	a.tokens += tokens
	if a.firstToken == 0 {
		a.firstToken = now - a.started
	}
}

// dispatch starts an attempt that sends the request to a server.
func (r *run) dispatch(e request.Dispatch) {
	r.dispatched.Store(true)
	resumeAfter := r.resumeAfter()
	if !e.Beside {
		r.endAttempts(routing.ResultFailed)
	}
	r.startAttempt(e.Attempt, e.Server, r.firstTokenTimeout(), func(ctx context.Context, a *attempt) {
		switch {
		case r.service.Kind == fleet.ServiceApp:
			a.runApp(ctx)
			return
		case r.routed != nil:
			a.runPassThrough(ctx, resumeAfter)
			return
		}
		stream, err := r.entry.backends.Stream(ctx, a.watchedCall(ctx, "dispatch"))
		a.runStream(ctx, stream, err, 0)
	})
}

// resume reopens a stream at the first token that the caller lacks.
func (r *run) resume(e request.ResumeStream) {
	r.dispatched.Store(true)
	timeout := r.progressTimeout()
	if e.Position.Next == 0 {
		timeout = r.firstTokenTimeout()
	}
	r.endAttempts(routing.ResultFailed)
	r.startAttempt(e.Attempt, e.Position.Server, timeout, func(ctx context.Context, a *attempt) {
		stream, err := r.entry.backends.Resume(ctx, a.watchedCall(ctx, "resume"), e.Position.Stream, int64(e.Position.Next))
		a.runStream(ctx, stream, err, e.Position.Sum)
	})
}

// startAttempt registers an attempt and runs work in a goroutine of its own.
// It queues a failure if the server is no longer known.
func (r *run) startAttempt(number int, name string, timeout time.Duration, work func(context.Context, *attempt)) {
	server := r.entry.server(r.config, name)
	if server == nil {
		r.queue = append(r.queue, request.Failed{Attempt: number, Failure: request.Failure{
			Phase: request.PhaseDial, StreamGone: true, Step: "resolve", Peer: name,
		}})
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &attempt{run: r, number: number, server: server, cancel: cancel, started: r.entry.now(), progressTimeout: timeout, mayHedge: r.req.AttemptsLeft()}
	r.attempts = append(r.attempts, a)
	r.last = a
	if r.routed != nil {
		r.jobPlaced(a)
	} else {
		r.entry.policy.attemptStarted(server.Name, r.size)
	}
	r.explain("attempt %d at %s (%s)", number, server.Name, server.Address)
	go work(ctx, a)
}

// openAttempt returns the open attempt with a number, or nil.
func (r *run) openAttempt(number int) *attempt {
	for _, a := range r.attempts {
		if a.number == number {
			return a
		}
	}
	return nil
}

// endAttempts ends all open attempts.
func (r *run) endAttempts(result routing.Result) {
	for len(r.attempts) > 0 {
		r.endAttempt(r.attempts[0], result)
	}
}

// endAttempt stops an attempt and reports its result to routing or placement. The
// attempt may be nil.
func (r *run) endAttempt(a *attempt, result routing.Result) {
	i := slices.Index(r.attempts, a)
	if a == nil || i < 0 {
		return
	}
	r.attempts = slices.Delete(r.attempts, i, i+1)
	a.cancel()
	r.jobEnded(a, result)
	r.entry.policy.attemptFinished(a.server.Name, routing.Outcome{
		Size:         r.size,
		Result:       result,
		FirstToken:   a.firstToken,
		Elapsed:      r.entry.now() - a.started,
		OutputTokens: a.tokens,
		CachedTokens: -1,
	})
	r.entry.metrics.attempts.WithLabelValues(r.service.Name, a.server.Name, resultName(result)).Inc()
}

func resultName(result routing.Result) string {
	switch result {
	case routing.ResultCompleted:
		return "completed"
	case routing.ResultUnreachable:
		return "connect-failed"
	case routing.ResultRefused:
		return "refused"
	case routing.ResultAbandoned:
		return "cancelled"
	default:
		return "failed"
	}
}

// cancel ends the attempt and asks the engine to cancel its stream.
func (r *run) cancel(e request.CancelAttempt) {
	r.endAttempt(r.openAttempt(e.Attempt), routing.ResultAbandoned)
	server, ok := r.config.servers[e.Server]
	if e.Stream == "" || !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := r.entry.backends.Cancel(ctx, server.Address, e.Stream); err != nil {
			r.entry.logger.Debug().Str("step", "cancel").Str("peer", server.Address).Str("request", r.id).Err(err).Msg("cancelling the stream at the backend server failed")
		}
	}()
}

// Priorities of requests at engines; lower is more urgent.
const (
	priorityShort  = 0
	priorityNormal = 10
)

func (a *attempt) call(step string) backend.Call {
	r := a.run
	priority := priorityNormal
	if r.service.Short {
		priority = priorityShort
	}
	call := backend.Call{
		Step:            step,
		Address:         a.server.Address,
		Method:          r.message.method,
		Path:            r.message.path,
		Header:          r.message.header,
		Body:            r.message.body,
		Repeatable:      r.spec.Repeatable,
		RequestID:       r.id,
		Attempt:         a.number,
		Priority:        priority,
		DialTimeout:     milliseconds(r.policy.DialTimeoutMS),
		ProgressTimeout: a.progressTimeout,
	}
	if r.share != nil {
		call.Account = r.share.Answer()
	}
	if r.routed != nil {
		call.Host = r.routed.host
		call.Instance = a.server.Name
		call.Customer = r.customer.Name
		call.TimeLeft = r.deadline - r.entry.now()
		call.Priority = r.routed.priority
	}
	return call
}

// Bounds on the time that an engine may take for a prompt, beyond the progress
// timeout.
const (
	// minPrefillRate is the lowest rate at which an engine is expected to
	// process a prompt, in tokens per second.
	minPrefillRate = 10_000
	// firstTokenFactor is the allowed ratio of the actual to the predicted
	// time to the first token.
	firstTokenFactor = 2
)

// server returns the backend server with a name, or nil: among the discovered
// ones, in the configuration in force, or in the configuration that the
// request began with.
func (e *Entry) server(initial *configuration, name string) *fleet.BackendServer {
	if server := e.directory.Server(name); server != nil {
		return server
	}
	if current := e.config.inForce(); current != nil && current.servers[name] != nil {
		return current.servers[name]
	}
	return initial.servers[name]
}

// firstTokenTimeout bounds the wait for the first token of a new attempt,
// which includes the time in the engine's queue and the time to process the
// prompt.
func (r *run) firstTokenTimeout() time.Duration {
	prefill := time.Duration(r.size.PromptTokens) * time.Second / minPrefillRate
	return r.progressTimeout() + max(prefill, firstTokenFactor*r.expectedFirst)
}

// progressTimeout bounds the time between signs of progress. An application
// sends its answer all at once, so only the deadline bounds it.
func (r *run) progressTimeout() time.Duration {
	if r.service.Kind == fleet.ServiceApp {
		return r.untilDeadline()
	}
	return milliseconds(r.policy.ProgressTimeoutMS)
}

func (r *run) untilDeadline() time.Duration {
	return max(r.deadline-r.entry.now(), time.Millisecond)
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// largeEvent is the size in bytes from which an event of a stream is not queued: a
// caller that reads slowly would make the entry hold many of them.
const largeEvent = 4 << 10

// post sends an event to the request's loop, unless the attempt is over, and waits
// until a large one has been processed. It reports whether it did.
func (a *attempt) post(ctx context.Context, ev streamEvent) bool {
	if len(ev.data) >= largeEvent {
		ev.handled = make(chan struct{})
	}
	a.run.share.Queue(len(ev.data))
	select {
	case a.run.stream <- ev:
	case <-ctx.Done():
		a.run.share.Unqueue(len(ev.data))
		return false
	}
	if ev.handled == nil {
		return true
	}
	select {
	case <-ev.handled:
		return true
	case <-ctx.Done():
		return false
	}
}

// runStream reads a stream to its end and posts its tokens.
func (a *attempt) runStream(ctx context.Context, stream *backend.Stream, err error, sum uint64) {
	if err != nil {
		a.fail(ctx, err)
		return
	}
	defer func() {
		stream.Close()
		a.run.entry.metrics.lateEvents.Add(float64(stream.Duplicates()))
	}()
	a.post(ctx, streamEvent{event: request.Opened{Attempt: a.number, Stream: stream.ID}})
	for {
		ev, err := stream.Next()
		if errors.Is(err, io.EOF) {
			a.post(ctx, streamEvent{event: request.Completed{Attempt: a.number}})
			return
		}
		if err != nil {
			a.fail(ctx, err)
			return
		}
		stream.SetProgressTimeout(a.run.progressTimeout())
		sum = addToSum(sum, ev.Data)
		token := request.Token{Attempt: a.number, Offset: int(ev.Offset), Sum: sum}
		if !a.post(ctx, streamEvent{event: token, data: ev.Data}) {
			return
		}
	}
}

// addToSum extends the running checksum by a token's text. It covers the
// generated text alone, as an engine's other fields differ between runs.
func addToSum(sum uint64, data []byte) uint64 {
	var parsed chat.Chunk
	if json.Unmarshal(data, &parsed) != nil {
		return sum
	}
	digest := xxhash.NewWithSeed(sum)
	_, _ = digest.WriteString(parsed.Text())
	return digest.Sum64()
}

// fail logs and posts the attempt's failure.
func (a *attempt) fail(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	failure := failureOf(err, a.server.Address)
	a.run.entry.reportContact(a.server, failure.Phase != request.PhaseDial && !failure.Silent)
	a.run.entry.logger.Warn().Str("step", failure.Step).Str("peer", failure.Peer).Str("request", a.run.id).Int("attempt", a.number).Err(err).Msg("attempt failed")
	a.post(ctx, streamEvent{event: request.Failed{Attempt: a.number, Failure: failure}})
}

func failureOf(err error, address string) request.Failure {
	failure := request.Failure{Phase: request.PhaseHandedOver, Step: "dispatch", Peer: address}
	var callErr *backend.Error
	if !errors.As(err, &callErr) {
		return failure
	}
	failure.Step, failure.Peer, failure.Status = callErr.Step, callErr.Peer, callErr.Status
	switch callErr.Phase {
	case backend.PhaseDial:
		failure.Phase = request.PhaseDial
	case backend.PhaseRefused:
		failure.Phase = request.PhaseRefused
	case backend.PhaseSilent:
		failure.Silent = true
	case backend.PhaseInvalid:
		failure.StreamGone = true
		if answers.KindOf(err) == answers.KindMemory {
			failure.Local, failure.Permanent = true, true
		}
	case backend.PhaseAnswered:
		failure.StreamGone = true
		failure.Permanent = callErr.Status >= 400 && callErr.Status < 500 && callErr.Status != http.StatusNotFound
	}
	return failure
}

// moveKV moves the stream's KV cache to the target server.
func (r *run) moveKV(e request.MoveKV) {
	moved := request.Moved{Attempt: e.Attempt, Server: e.Target}
	from, to := r.config.servers[e.From.Server], r.config.servers[e.Target]
	if from != nil && to != nil {
		moved.Stream = r.entry.transfer(r.id, from, to, e.From.Stream)
	}
	r.post(moved)
}

// transfer exports a KV cache and imports it at the target. It returns the new
// stream's ID, or "" if it failed.
func (e *Entry) transfer(requestID string, from, to *fleet.BackendServer, stream string) string {
	ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
	defer cancel()
	cache, err := e.backends.Export(ctx, from.Address, stream, maxExportBytes)
	if err != nil {
		e.logger.Warn().Str("step", "export").Str("peer", from.Address).Str("request", requestID).Err(err).Msg("exporting the KV cache from a backend server failed")
		return ""
	}
	moved, err := e.backends.Import(ctx, to.Address, cache)
	if err != nil {
		e.logger.Warn().Str("step", "import").Str("peer", to.Address).Str("request", requestID).Err(err).Msg("importing the KV cache at a backend server failed")
		return ""
	}
	return moved
}

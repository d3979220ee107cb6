package request

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
		_ = flag.Set("rapid.checks", "5000")
	}
	os.Exit(m.Run())
}

// fixedRetrier allows a fixed number of attempts that are not free.
type fixedRetrier struct{ left, charged int }

func (f *fixedRetrier) Retry(_ time.Duration, failed FailedAttempt) (time.Duration, bool) {
	if failed.Free {
		return time.Millisecond, true
	}
	if f.left == 0 {
		return 0, false
	}
	f.left--
	f.charged++
	return time.Millisecond, true
}

const answerTokens = 6

// run is an attempt that a simulated backend server runs.
type run struct {
	attempt int
	next    int
	sum     uint64
	ended   bool
	// wrong makes the run generate a different answer from the other runs.
	wrong bool
}

// harness simulates the entry, the backend servers and the caller of one
// request. It delivers events in random order and records what the caller and
// the servers observe.
type harness struct {
	t        *rapid.T
	req      *Request
	spec     Spec
	now      time.Duration
	ready    []Event
	runs     []*run
	started  int
	got      []int
	outcomes []Outcome
	records  []OutcomeKind
	retrier  *fixedRetrier
	// dispatches counts dispatched runs, delivered the runs that delivered tokens
	// to the caller, moves the moves away from an engine.
	dispatches, delivered, moves int
	// awaitingToken is true until the latest run delivers its first token.
	awaitingToken bool
}

func sumAfter(sum uint64, offset int, wrong bool) uint64 {
	if wrong {
		sum++
	}
	return sum*31 + uint64(offset) + 1
}

func (h *harness) step(ev Event) {
	for _, effect := range h.req.Step(h.now, ev) {
		h.carryOut(effect)
	}
}

func (h *harness) carryOut(effect Effect) {
	if len(h.outcomes) > 0 {
		h.t.Fatalf("effect %T after the final outcome", effect)
	}
	switch e := effect.(type) {
	case Admit:
		h.queue(rapid.SampledFrom([]Event{Admitted{}, Admitted{}, Admitted{}, Refused{Reason: ReasonAdmission}}).Draw(h.t, "admission"))
	case Reserve:
		results := []ReserveResult{ReserveGranted, ReserveGranted, ReserveAnswered, ReserveInFlight, ReserveFailed, ReserveUnknown}
		if rapid.Bool().Draw(h.t, "duplicate") {
			h.queue(Duplicate{})
		}
		h.queue(Reserved{Result: rapid.SampledFrom(results).Draw(h.t, "reservation")})
	case Pick:
		server := fmt.Sprintf("e%d", len(e.Exclude))
		h.queue(rapid.SampledFrom([]Event{Picked{Server: server}, Picked{Server: server}, NoServer{}}).Draw(h.t, "pick"))
	case PickReplacement:
		picked := ReplacementPicked{Attempt: e.Attempt, Server: fmt.Sprintf("e%d", len(e.Exclude))}
		h.queue(rapid.SampledFrom([]Event{picked, picked, NoReplacement{Attempt: e.Attempt}}).Draw(h.t, "replacement"))
	case Dispatch:
		h.dispatches++
		h.awaitingToken = true
		h.dispatch(e)
	case ResumeStream:
		h.runs = append(h.runs, &run{attempt: e.Attempt, next: e.Position.Next, sum: e.Position.Sum})
	case MoveKV:
		stream := rapid.SampledFrom([]string{"", "moved"}).Draw(h.t, "moved")
		h.queue(Moved{Attempt: e.Attempt, Stream: stream, Server: e.Target})
	case CancelAttempt:
		h.stop(e.Attempt)
	case DropAttempt:
		h.stop(e.Attempt)
	case Backoff:
		h.queue(BackoffOver{})
	case Forward:
		if h.awaitingToken {
			h.delivered++
		}
		h.awaitingToken = false
		h.got = append(h.got, e.Offset)
	case RecordOutcome:
		h.records = append(h.records, e.Kind)
		if e.Await {
			h.queue(Recorded{OK: rapid.Bool().Draw(h.t, "recorded")})
		}
	case Respond:
		h.outcomes = append(h.outcomes, e.Outcome)
	}
}

func (h *harness) queue(ev Event) { h.ready = append(h.ready, ev) }

// stop ends the run or, at random, lets it continue, since a server may send
// events after it was told to stop.
func (h *harness) stop(attempt int) {
	for _, r := range h.runs {
		if r.attempt == attempt && rapid.Bool().Draw(h.t, "late") {
			r.ended = true
		}
	}
}

func (h *harness) dispatch(e Dispatch) {
	failure := Failure{Phase: PhaseDial, Step: "dial", Peer: e.Server}
	switch rapid.IntRange(0, 5).Draw(h.t, "dispatch") {
	case 4:
		h.queue(Failed{Attempt: e.Attempt, Failure: failure})
		return
	case 5:
		failure.Phase, failure.Step = PhaseRefused, "refused"
		h.queue(Failed{Attempt: e.Attempt, Failure: failure})
		return
	}
	h.started++
	wrong := rapid.IntRange(0, 9).Draw(h.t, "wrong") == 9
	h.runs = append(h.runs, &run{attempt: e.Attempt, wrong: wrong})
	if h.spec.Kind == KindModel {
		h.queue(Opened{Attempt: e.Attempt, Stream: fmt.Sprintf("s%d", e.Attempt)})
	}
}

// advance performs one randomly chosen action.
func (h *harness) advance() {
	// Small numbers are drawn more often, so rare events have large ones.
	choice := rapid.IntRange(0, 59).Draw(h.t, "choice")
	switch {
	case choice == 59:
		h.now += time.Duration(rapid.IntRange(1, 400).Draw(h.t, "ms")) * time.Millisecond
		h.step(Tick{})
	case choice == 58:
		h.step(rapid.SampledFrom([]Event{Tick{}, Drain{}, Abandon{}, CallerGone{}}).Draw(h.t, "other"))
	case choice >= 55:
		h.move()
	case choice == 54:
		h.step(Silence{Attempt: h.req.attempt})
	case choice >= 20 && len(h.ready) > 0:
		i := rapid.IntRange(0, len(h.ready)-1).Draw(h.t, "event")
		ev := h.ready[i]
		h.ready = append(h.ready[:i:i], h.ready[i+1:]...)
		h.step(ev)
	case len(h.runs) > 0:
		h.progress(h.runs[len(h.runs)-1-rapid.IntRange(0, len(h.runs)-1).Draw(h.t, "run")])
	}
}

// move asks the request to move away from its engine.
func (h *harness) move() {
	before, leaving := h.req.state, h.req.leaving
	h.step(Move{Server: h.req.Position().Server, Export: rapid.Bool().Draw(h.t, "export"), Target: "other"})
	if (before == stateRunning || before == stateBackoff) && h.req.state != before || h.req.leaving && !leaving {
		h.moves++
	}
}

func (h *harness) progress(r *run) {
	if r.ended {
		return
	}
	if rapid.IntRange(0, 11).Draw(h.t, "break") == 11 {
		r.ended = true
		failure := Failure{Phase: PhaseHandedOver, Step: "read", StreamGone: rapid.Bool().Draw(h.t, "gone")}
		failure.Answered = h.spec.Kind == KindApp && h.spec.Repeatable && rapid.Bool().Draw(h.t, "answered")
		h.step(Failed{Attempt: r.attempt, Failure: failure})
		return
	}
	if h.spec.Kind == KindApp || r.next == answerTokens {
		r.ended = true
		h.step(Completed{Attempt: r.attempt})
		return
	}
	r.sum = sumAfter(r.sum, r.next, r.wrong)
	r.next++
	h.step(Token{Attempt: r.attempt, Offset: r.next - 1, Sum: r.sum})
}

func genSpec(t *rapid.T) Spec {
	spec := Spec{
		ID:          "r1",
		Kind:        Kind(rapid.IntRange(0, 1).Draw(t, "kind")),
		Deadline:    time.Second,
		MaxAttempts: rapid.IntRange(1, 6).Draw(t, "attempts"),
	}
	spec.Repeatable = spec.Kind == KindModel || rapid.Bool().Draw(t, "repeatable")
	spec.Keyed = !spec.Repeatable && rapid.Bool().Draw(t, "keyed")
	return spec
}

// For random interleavings of events: the caller gets exactly one outcome, the
// forwarded tokens are contiguous, the outcome is not-run only if no server ran
// the request, and a request that is not repeatable runs at most once.
func TestEveryInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := genSpec(t)
		retrier := &fixedRetrier{left: 3}
		h := &harness{t: t, spec: spec, req: New(spec, retrier), retrier: retrier}
		h.step(Start{})
		for range 120 {
			h.advance()
		}
		h.now = spec.Deadline
		for range 3 {
			h.step(Tick{})
			h.step(Recorded{})
		}
		h.check()
	})
}

func (h *harness) check() {
	if len(h.outcomes) != 1 {
		h.t.Fatalf("%d outcomes, expected 1: %+v", len(h.outcomes), h.outcomes)
	}
	outcome := h.outcomes[0]
	for i, offset := range h.got {
		if i != offset {
			h.t.Fatalf("token with offset %d was forwarded in place of %d", offset, i)
		}
	}
	if outcome.Kind == OutcomeAnswered && h.spec.Kind == KindModel && len(h.got) != answerTokens {
		h.t.Fatalf("outcome answered after %d tokens, expected %d", len(h.got), answerTokens)
	}
	if outcome.Kind == OutcomeNotRun && h.started > 0 {
		h.t.Fatalf("outcome not-run after %d runs", h.started)
	}
	if !h.spec.Repeatable && h.started > 1 {
		h.t.Fatalf("request that is not repeatable ran %d times", h.started)
	}
	if allowed := 1 + h.retrier.charged + h.delivered + h.moves; h.dispatches > allowed {
		h.t.Fatalf("%d runs dispatched, expected at most 1 plus %d charged retries, %d runs that delivered tokens and %d moves", h.dispatches, h.retrier.charged, h.delivered, h.moves)
	}
	for _, kind := range h.records {
		if kind == OutcomeNotRun && h.started > 0 {
			h.t.Fatalf("recorded not-run after %d runs", h.started)
		}
	}
}

// A request that is abandoned while its reservation is pending must not run
// when the reservation is granted later.
func TestAbandonBeforeGrant(t *testing.T) {
	r := New(Spec{ID: "r1", Kind: KindApp, Keyed: true, Deadline: time.Second, MaxAttempts: 2}, &fixedRetrier{})
	r.Step(0, Start{})
	r.Step(0, Admitted{})
	if effects := r.Step(0, Abandon{}); len(effects) != 0 {
		t.Fatalf("effects before the grant: got %v, expected none", effects)
	}
	effects := r.Step(0, Reserved{Result: ReserveGranted})
	want := []Effect{
		RecordOutcome{Kind: OutcomeNotRun},
		Respond{Outcome: Outcome{Kind: OutcomeNotRun, Reason: ReasonAbandoned, Step: "reserve"}},
	}
	if fmt.Sprint(effects) != fmt.Sprint(want) {
		t.Fatalf("got %v, want %v", effects, want)
	}
}

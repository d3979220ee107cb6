package request

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// silentRun is an attempt at a simulated server that may fall silent and go on.
type silentRun struct {
	attempt, next int
	// ended is true once the server has sent its last event, and delivered once the
	// caller has an event of this run.
	ended, delivered bool
	// kept is true once the silent attempt has yielded to this run.
	kept bool
}

// silentHarness plays the entry and the servers of one request that any server can
// continue. It delivers events in random order, those of cancelled attempts as well.
type silentHarness struct {
	t       *rapid.T
	req     *Request
	spec    Spec
	retrier *fixedRetrier
	// sound is true if neither the caller, nor the first server, nor a server that it has
	// given way to fails.
	sound bool
	now   time.Duration
	ready []Event
	runs  []*silentRun
	open  map[int]bool
	// servers holds the attempts' servers, and left those that failed or were overtaken.
	servers map[int]string
	left    []string
	// refused holds the servers that refused a replacement since none was last to be had.
	refused []string
	// limited is the latest attempt whose overlap is limited, or 0.
	limited  int
	got      int
	started  int
	outcomes []Outcome
}

func (h *silentHarness) step(ev Event) {
	before := len(h.open)
	h.close(ev)
	effects := h.req.Step(h.now, ev)
	stopped := false
	for _, effect := range effects {
		stopped = h.carryOut(ev, effect) || stopped
	}
	if forwarded(effects) && len(h.open) > 1 {
		h.t.Fatalf("%d attempts are open after an event was forwarded", len(h.open))
	}
	if len(h.outcomes) > 0 && len(h.open) > 0 {
		h.t.Fatalf("%d attempts are open after the outcome", len(h.open))
	}
	if len(h.open) > 2 {
		h.t.Fatalf("%d attempts are open", len(h.open))
	}
	if _, silence := ev.(Silence); silence && len(h.open) < before {
		h.t.Fatalf("a silence ended an attempt: %+v", effects)
	}
	if stopped && len(h.outcomes) == 0 && len(h.open) == 0 {
		h.t.Fatalf("the last open attempt was given up on %T: %+v", ev, effects)
	}
}

func forwarded(effects []Effect) bool {
	return slices.ContainsFunc(effects, func(effect Effect) bool { _, ok := effect.(Forward); return ok })
}

// close notes that a server has ended an attempt.
func (h *silentHarness) close(ev Event) {
	switch ev := ev.(type) {
	case Failed:
		switch {
		case !h.open[ev.Attempt]:
		case ev.Failure.Phase == PhaseRefused && h.req.isSecond(ev.Attempt):
			h.refused = append(h.refused, h.servers[ev.Attempt])
		default:
			h.left = append(h.left, h.servers[ev.Attempt])
		}
		delete(h.open, ev.Attempt)
	case Completed:
		delete(h.open, ev.Attempt)
	case NoReplacement:
		if h.req.lookingFor(ev.Attempt) && !h.req.leaving {
			h.refused = nil
		}
	}
}

// carryOut reports whether the effect stops an attempt.
func (h *silentHarness) carryOut(ev Event, effect Effect) bool {
	if len(h.outcomes) > 0 {
		h.t.Fatalf("effect %T after the final outcome", effect)
	}
	switch e := effect.(type) {
	case Admit:
		h.ready = append(h.ready, Admitted{})
	case Pick:
		h.checkExcluded(append(slices.Clone(h.left), h.refused...), e.Exclude)
		h.ready = append(h.ready, h.pick(e.Exclude))
	case PickReplacement:
		h.checkExcluded(append(append(slices.Clone(h.left), h.refused...), h.servers[e.Attempt]), e.Exclude)
		h.pickReplacement(e)
	case LimitOverlap:
		if h.got == 0 {
			h.t.Fatalf("the overlap of a stream that has not begun is limited")
		}
		h.limited = e.Attempt
	case Silenced:
		if e.Decision == SilenceYielded {
			h.keep(h.req.current)
		}
		if e.Decision == SilenceOvertaken || e.Decision == SilenceYielded {
			h.left = append(h.left, e.Server)
		}
	case Dispatch:
		h.dispatch(e)
	case Backoff:
		h.ready = append(h.ready, BackoffOver{})
	case Forward:
		h.forward(ev, e)
	case CancelAttempt:
		if !h.open[e.Attempt] && h.now < h.spec.Deadline && e.Attempt != attemptOf(ev) {
			h.t.Fatalf("attempt %d was cancelled but is not open", e.Attempt)
		}
		delete(h.open, e.Attempt)
		return true
	case DropAttempt, ResumeStream, MoveKV:
		h.t.Fatalf("got %+v for a stream that any server can continue", e)
	case Respond:
		h.outcomes = append(h.outcomes, e.Outcome)
	}
	return false
}

// keep notes that a run is the only one left.
func (h *silentHarness) keep(attempt int) {
	for _, r := range h.runs {
		r.kept = r.kept || r.attempt == attempt
	}
}

func (h *silentHarness) checkExcluded(servers, excluded []string) {
	for _, server := range servers {
		if !slices.Contains(excluded, server) {
			h.t.Fatalf("%s is not excluded, only %v", server, excluded)
		}
	}
}

func attemptOf(ev Event) int {
	switch ev := ev.(type) {
	case Failed:
		return ev.Attempt
	case Token:
		return ev.Attempt
	case Completed:
		return ev.Attempt
	}
	return 0
}

func (h *silentHarness) pick(exclude []string) Event {
	if !h.sound && rapid.IntRange(0, 3).Draw(h.t, "pick") == 3 {
		return NoServer{}
	}
	return Picked{Server: fmt.Sprintf("e%d", len(exclude))}
}

func (h *silentHarness) pickReplacement(e PickReplacement) {
	if rapid.Bool().Draw(h.t, "replacement") {
		h.ready = append(h.ready, ReplacementPicked{Attempt: e.Attempt, Server: fmt.Sprintf("e%d", len(e.Exclude))})
		return
	}
	h.ready = append(h.ready, NoReplacement{Attempt: e.Attempt})
}

func (h *silentHarness) dispatch(e Dispatch) {
	if e.Beside != (len(h.open) == 1) {
		h.t.Fatalf("attempt %d was sent with %d open, Beside %t", e.Attempt, len(h.open), e.Beside)
	}
	h.open[e.Attempt], h.servers[e.Attempt] = true, e.Server
	failure := Failure{Phase: PhaseDial, Step: "dial", Peer: e.Server}
	if !h.sound || e.Beside {
		switch rapid.IntRange(0, 5).Draw(h.t, "dispatch") {
		case 4:
			h.ready = append(h.ready, Failed{Attempt: e.Attempt, Failure: failure})
			return
		case 5:
			failure.Phase = PhaseRefused
			h.ready = append(h.ready, Failed{Attempt: e.Attempt, Failure: failure})
			return
		}
	}
	h.started++
	h.runs = append(h.runs, &silentRun{attempt: e.Attempt, next: h.got})
	h.ready = append(h.ready, Opened{Attempt: e.Attempt})
}

func (h *silentHarness) forward(ev Event, e Forward) {
	token, ok := ev.(Token)
	if !ok || e.Offset != token.Offset || e.Offset != h.got {
		h.t.Fatalf("event %d was forwarded on %+v, expected event %d", e.Offset, ev, h.got)
	}
	if !h.open[token.Attempt] || h.req.current != token.Attempt {
		h.t.Fatalf("event %d of attempt %d was forwarded, which is not the open current one", e.Offset, token.Attempt)
	}
	h.got++
	for _, r := range h.runs {
		r.delivered = r.delivered || r.attempt == token.Attempt
	}
}

func (h *silentHarness) advance() {
	// Small numbers are drawn more often, so rare events have large ones.
	choice := rapid.IntRange(0, 59).Draw(h.t, "choice")
	switch {
	case choice == 59 && !h.sound:
		h.now += time.Duration(rapid.IntRange(1, 300).Draw(h.t, "ms")) * time.Millisecond
		h.step(rapid.SampledFrom([]Event{Tick{}, CallerGone{}, Drain{}}).Draw(h.t, "other"))
	case choice < 5 && len(h.runs) > 0:
		h.step(Silence{Attempt: h.runs[rapid.IntRange(0, len(h.runs)-1).Draw(h.t, "silent")].attempt})
	case choice == 5 && h.runs != nil && h.runs[len(h.runs)-1].attempt == h.limited:
		h.step(OverlapOver{Attempt: h.limited})
	case choice < 25 && len(h.ready) > 0:
		i := rapid.IntRange(0, len(h.ready)-1).Draw(h.t, "event")
		ev := h.ready[i]
		h.ready = append(h.ready[:i:i], h.ready[i+1:]...)
		h.step(ev)
	case len(h.runs) > 0:
		h.progress(h.runs[rapid.IntRange(0, len(h.runs)-1).Draw(h.t, "run")])
	}
}

// progress lets a server send its next event, at random in a wrong place, or end.
func (h *silentHarness) progress(r *silentRun) {
	if r.ended {
		return
	}
	own := h.sound && (r.attempt == 1 || r.delivered || r.kept)
	if !own && rapid.IntRange(0, 7).Draw(h.t, "break") == 7 {
		r.ended = true
		answered := h.spec.Kind == KindApp && rapid.Bool().Draw(h.t, "answered")
		h.step(Failed{Attempt: r.attempt, Failure: Failure{Phase: PhaseHandedOver, Step: "read", Answered: answered}})
		return
	}
	if h.spec.Kind == KindApp || r.next == answerTokens {
		r.ended = true
		h.step(Completed{Attempt: r.attempt})
		return
	}
	if !own && rapid.IntRange(0, 19).Draw(h.t, "skip") == 19 {
		r.next = min(r.next+1, answerTokens-1)
	}
	r.next++
	h.step(Token{Attempt: r.attempt, Offset: r.next - 1})
}

// finish lets all that is under way happen, without new silence.
func (h *silentHarness) finish() {
	for range 200 {
		if len(h.ready) > 0 {
			ev := h.ready[0]
			h.ready = h.ready[1:]
			h.step(ev)
			continue
		}
		for _, r := range h.runs {
			h.progress(r)
		}
	}
}

// A silent attempt and its replacement, with random interleavings: each event is forwarded
// once and in order, by the open current attempt; at most two attempts are open; a silence
// ends none, and none is given up without another one in progress; a request that may not
// be repeated runs once; runs stay within the attempts and the budget. If
// neither the first server fails nor one that it has given way to, the answer is whole.
func TestSilentAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := Spec{
			ID: "r1", Kind: Kind(rapid.IntRange(0, 1).Draw(t, "kind")), Continues: true, Deadline: time.Second,
			Repeatable: rapid.IntRange(0, 3).Draw(t, "repeatable") < 3, MaxAttempts: rapid.IntRange(1, 4).Draw(t, "attempts"), MaxUnstarted: 3,
		}
		retrier := &fixedRetrier{left: rapid.IntRange(0, 3).Draw(t, "budget")}
		h := &silentHarness{t: t, spec: spec, retrier: retrier, req: New(spec, retrier), open: make(map[int]bool), servers: make(map[int]string)}
		h.sound = rapid.Bool().Draw(t, "sound")
		h.step(Start{})
		for range 100 {
			h.advance()
		}
		h.finish()
		h.now = spec.Deadline
		h.step(Tick{})
		h.check()
	})
}

func (h *silentHarness) check() {
	if len(h.outcomes) != 1 {
		h.t.Fatalf("%d outcomes, expected 1: %+v", len(h.outcomes), h.outcomes)
	}
	outcome := h.outcomes[0]
	if outcome.Kind == OutcomeAnswered && h.spec.Kind == KindModel && h.got != answerTokens {
		h.t.Fatalf("outcome answered after %d events, expected %d", h.got, answerTokens)
	}
	if outcome.Kind == OutcomeNotRun && h.started > 0 {
		h.t.Fatalf("outcome not-run after %d runs", h.started)
	}
	if limit := h.spec.MaxAttempts; h.started > limit || !h.spec.Repeatable && h.started > 1 {
		h.t.Fatalf("%d runs with %d attempts, repeatable %t", h.started, limit, h.spec.Repeatable)
	}
	delivered := 0
	for _, r := range h.runs {
		if r.delivered {
			delivered++
		}
	}
	if allowed := 1 + h.retrier.charged + delivered; h.req.Attempts() > allowed {
		h.t.Fatalf("%d attempts, expected at most 1 plus %d charged and %d for runs that delivered", h.req.Attempts(), h.retrier.charged, delivered)
	}
	if h.sound && outcome.Kind != OutcomeAnswered {
		h.t.Fatalf("the first server was sound, but the outcome is %+v after %d events", outcome, h.got)
	}
}

// A stream that only its own engine can continue is left by a silence only for its
// resumption, or for a server that begins it again. Without either it waits.
func TestSilenceOfOwnStream(t *testing.T) {
	begin := func(retries int, events ...Event) *Request {
		r := New(Spec{ID: "r1", Kind: KindModel, Repeatable: true, Deadline: time.Second, MaxAttempts: 9}, &fixedRetrier{left: retries})
		steps(r, Start{}, Admitted{}, Picked{Server: "e0"})
		steps(r, events...)
		return r
	}
	opened, token := Opened{Attempt: 1, Stream: "s"}, Token{Attempt: 1, Sum: 1}
	for name, c := range map[string]struct{ got, want string }{
		"resumed at its engine": {
			steps(begin(0, opened, token), Silence{Attempt: 1}),
			"[{Attempt:1 Server:e0 Decision:resumed} {Attempt:1 Silent:true} {Delay:1ms}]",
		},
		"another engine is asked for": {steps(begin(1), Silence{Attempt: 1}), "[{Attempt:1 Exclude:[e0]}]"},
		"begun again": {
			steps(begin(1), Silence{Attempt: 1}, ReplacementPicked{Attempt: 1, Server: "e1"}),
			"[{Attempt:1 Server:e0 Decision:replaced} {Attempt:1 Silent:true} {Attempt:2 Server:e1 Beside:false}]",
		},
		"no other engine": {
			steps(begin(1), Silence{Attempt: 1}, NoReplacement{Attempt: 1}), "[{Attempt:1 Server:e0 Decision:waits-no-server}]",
		},
		"no budget": {
			steps(begin(0), Silence{Attempt: 1}, ReplacementPicked{Attempt: 1, Server: "e1"}), "[{Attempt:1 Server:e0 Decision:waits-no-budget}]",
		},
		"asked for again": {
			steps(begin(1), Silence{Attempt: 1}, NoReplacement{Attempt: 1}, Silence{Attempt: 1}), "[{Attempt:1 Exclude:[e0]}]",
		},
	} {
		if c.got != c.want {
			t.Errorf("%s: got %s, want %s", name, c.got, c.want)
		}
	}
}

// A stream that has begun is left to its replacement once both have been open for the
// longest allowed time. One that has not begun may run at both until one of them goes on.
func TestOverlapOfBegunStream(t *testing.T) {
	replace := func(events ...Event) string {
		r := New(Spec{Kind: KindModel, Repeatable: true, Continues: true, MaxAttempts: 2, Deadline: time.Second}, alwaysRetrier{})
		steps(r, Start{}, Admitted{}, Picked{Server: "a"})
		steps(r, events...)
		return steps(r, Silence{Attempt: 1}, ReplacementPicked{Attempt: 1, Server: "b"}) + steps(r, OverlapOver{Attempt: 2})
	}
	sent := "[{Attempt:1 Server:a Decision:replaced} {Attempt:2 Server:b Beside:true}"
	if got, want := replace(), sent+"][{Attempt:1 Server:a Decision:yielded} {Attempt:1 Server:a Stream:}]"; got != want {
		t.Errorf("before the first event: got %s, want %s", got, want)
	}
	if got, want := replace(Token{Attempt: 1}), sent+" {Attempt:2}][{Attempt:1 Server:a Decision:yielded} {Attempt:1 Server:a Stream:}]"; got != want {
		t.Errorf("after the first event: got %s, want %s", got, want)
	}
	r := New(Spec{Kind: KindModel, Repeatable: true, Continues: true, MaxAttempts: 2, Deadline: time.Second}, alwaysRetrier{})
	steps(r, Start{}, Admitted{}, Picked{Server: "a"}, Token{Attempt: 1}, Silence{Attempt: 1}, ReplacementPicked{Attempt: 1, Server: "b"})
	steps(r, Failed{Attempt: 2, Failure: Failure{Phase: PhaseRefused}})
	if got := steps(r, OverlapOver{Attempt: 2}); got != "[]" {
		t.Errorf("after the replacement was refused: got %s, want nothing", got)
	}
}

package request

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// steps applies events and returns the effects of the last one as text.
func steps(r *Request, events ...Event) string {
	var effects []Effect
	for _, ev := range events {
		effects = r.Step(0, ev)
	}
	return fmt.Sprintf("%+v", effects)
}

func modelRequest() *Request {
	return New(Spec{ID: "r1", Kind: KindModel, Repeatable: true, Deadline: time.Second, MaxAttempts: 9}, &fixedRetrier{left: 9})
}

// A failed resumption is repeated at the same engine only if it delivered a
// token; otherwise the next attempt goes to another engine.
func TestResumeWithoutProgress(t *testing.T) {
	silent := Failure{Phase: PhaseHandedOver, Silent: true, Step: "read", Peer: "e0"}
	r := modelRequest()
	steps(r, Start{}, Admitted{}, Picked{Server: "e0"}, Opened{Attempt: 1, Stream: "s"}, Token{Attempt: 1, Sum: 1})
	steps(r, Failed{Attempt: 1, Failure: silent})
	if got, want := steps(r, BackoffOver{}), "[{Attempt:2 Position:{Server:e0 Stream:s Next:1 Sum:1}}]"; got != want {
		t.Fatalf("after the first failure: got %s, want %s", got, want)
	}
	steps(r, Token{Attempt: 2, Offset: 1, Sum: 2}, Failed{Attempt: 2, Failure: silent})
	if got, want := steps(r, BackoffOver{}), "[{Attempt:3 Position:{Server:e0 Stream:s Next:2 Sum:2}}]"; got != want {
		t.Fatalf("after a resumption with progress: got %s, want %s", got, want)
	}
	steps(r, Failed{Attempt: 3, Failure: silent})
	if got, want := steps(r, BackoffOver{}), "[{Exclude:[e0]}]"; got != want {
		t.Fatalf("after a resumption without progress: got %s, want %s", got, want)
	}
}

func keyedRequest() *Request {
	r := New(Spec{ID: "r1", Kind: KindApp, Keyed: true, Deadline: time.Second, MaxAttempts: 2}, &fixedRetrier{})
	steps(r, Start{}, Admitted{})
	return r
}

// While another request owns the key and may run, a duplicate must not end as
// not-run, however it ends.
func TestDuplicateNeverEndsAsNotRun(t *testing.T) {
	ends := map[string]func(*Request) []Effect{
		"deadline":    func(r *Request) []Effect { return r.Step(time.Second, Tick{}) },
		"no quorum":   func(r *Request) []Effect { return r.Step(0, Reserved{Result: ReserveFailed}) },
		"in flight":   func(r *Request) []Effect { return r.Step(0, Reserved{Result: ReserveInFlight}) },
		"caller gone": func(r *Request) []Effect { return r.Step(0, CallerGone{}) },
	}
	for name, end := range ends {
		r := keyedRequest()
		steps(r, Duplicate{})
		effects := end(r)
		respond, ok := effects[len(effects)-1].(Respond)
		if !ok || respond.Outcome.Kind != OutcomeUnknown {
			t.Errorf("%s: got %+v, want outcome unknown", name, effects)
		}
	}
}

// A duplicate that is granted the key after all is no longer treated as one: if
// it does not run, its outcome is not-run.
func TestDuplicateTakesOver(t *testing.T) {
	r := keyedRequest()
	steps(r, Duplicate{}, Reserved{Result: ReserveGranted})
	got := steps(r, NoServer{})
	want := "[{Kind:2 Await:false} {Outcome:{Kind:2 Reason:no-backend-server Step:pick Peer: RetryAfter:0s Status:0}}]"
	if got != want {
		t.Fatalf("got %s, want %s", got, want)
	}
}

// The caller gets a server's own error answer if no later attempt succeeds.
func TestErrorAnswerIsKept(t *testing.T) {
	busy := Failure{Phase: PhaseHandedOver, Answered: true, Status: 503, Step: "answer", Peer: "a1"}
	for _, retries := range []int{0, 1} {
		r := New(Spec{ID: "r1", Kind: KindApp, Repeatable: true, Deadline: time.Second, MaxAttempts: 3}, &fixedRetrier{left: retries})
		steps(r, Start{}, Admitted{}, Picked{Server: "a1"})
		got := steps(r, Failed{Attempt: 1, Failure: busy})
		if retries > 0 {
			got = steps(r, BackoffOver{}, NoServer{})
		}
		want := "[{Outcome:{Kind:0 Reason: Step: Peer: RetryAfter:0s Status:0}}]"
		if retries == 0 {
			want = "[{Attempt:1 Server:a1 Stream:} {Outcome:{Kind:0 Reason: Step: Peer: RetryAfter:0s Status:0}}]"
		}
		if got != want {
			t.Fatalf("%d retries: got %s, want %s", retries, got, want)
		}
	}
}

// A replacement is asked for only while another attempt could follow a silent one that has
// run. The silent attempt is not ended for it.
func TestReplaceable(t *testing.T) {
	silence := func(spec Spec, failures ...Phase) string {
		spec.Kind, spec.Continues, spec.Deadline = KindModel, true, time.Hour
		r := New(spec, alwaysRetrier{})
		r.Step(0, Start{})
		r.Step(0, Admitted{})
		for i, phase := range failures {
			r.Step(0, Picked{Server: "f"})
			r.Step(0, Failed{Attempt: i + 1, Failure: Failure{Phase: phase}})
			r.Step(0, BackoffOver{})
		}
		r.Step(0, Picked{Server: "s"})
		return steps(r, Silence{Attempt: len(failures) + 1})
	}
	for name, c := range map[string]struct{ got, want string }{
		"first of two":    {silence(Spec{Repeatable: true, MaxAttempts: 2}), "[{Attempt:1 Exclude:[s]}]"},
		"second of two":   {silence(Spec{Repeatable: true, MaxAttempts: 2}, PhaseHandedOver), "[{Attempt:2 Server:s Decision:waits-no-attempts}]"},
		"not repeatable":  {silence(Spec{MaxAttempts: 2}), "[{Attempt:1 Server:s Decision:waits-runs-once}]"},
		"after a refusal": {silence(Spec{Repeatable: true, MaxAttempts: 2, MaxUnstarted: 3}, PhaseRefused), "[{Attempt:2 Exclude:[f s]}]"},
	} {
		if c.got != c.want {
			t.Errorf("%s: got %s, want %s", name, c.got, c.want)
		}
	}
}

// alwaysRetrier allows every retry without a delay.
type alwaysRetrier struct{}

func (alwaysRetrier) Retry(time.Duration, FailedAttempt) (time.Duration, bool) { return 0, true }

// A server's own error answer is kept only until a later attempt forwards a
// token. If it were kept longer, a stream that fails after that token would end
// as answered although it is incomplete.
func TestErrorAnswerDoesNotCompleteBrokenStream(t *testing.T) {
	r := New(Spec{Kind: KindModel, Repeatable: true, Continues: true, MaxAttempts: 2, Deadline: time.Hour}, alwaysRetrier{})
	r.Step(0, Start{})
	r.Step(0, Admitted{})
	r.Step(0, Picked{Server: "failing"})
	r.Step(0, Failed{Attempt: 1, Failure: Failure{Phase: PhaseHandedOver, Answered: true, Status: 500}})
	r.Step(0, BackoffOver{})
	r.Step(0, Picked{Server: "crashing"})
	r.Step(0, Token{Attempt: 2, Offset: 0})
	for _, effect := range r.Step(0, Failed{Attempt: 2, Failure: Failure{Phase: PhaseHandedOver}}) {
		if respond, ok := effect.(Respond); ok && respond.Outcome.Kind == OutcomeAnswered {
			t.Error("an incomplete stream ended as answered")
		}
	}
}

// A hedge is an attempt: with it the request reaches no more servers than its limit on attempts.
func TestHedgeCountsAsAttempt(t *testing.T) {
	for attempts, want := range map[int]string{2: "{Outcome:", 3: "{Delay:"} {
		r := New(Spec{ID: "r1", Kind: KindApp, Repeatable: true, Deadline: time.Second, MaxAttempts: attempts}, &fixedRetrier{left: 9})
		steps(r, Start{}, Admitted{}, Picked{Server: "a"})
		if !r.AttemptsLeft() {
			t.Fatalf("%d attempts: none is left for a hedge", attempts)
		}
		steps(r, Hedged{Attempt: 1})
		if left := r.AttemptsLeft(); left != (attempts == 3) {
			t.Errorf("%d attempts, one of them a hedge: attempts left %t", attempts, left)
		}
		got := steps(r, Failed{Attempt: 1, Failure: Failure{Phase: PhaseHandedOver, Step: "read", Peer: "a"}})
		if !strings.Contains(got, want) {
			t.Errorf("%d attempts: after the attempt and its hedge failed got %s, want %s", attempts, got, want)
		}
	}
}

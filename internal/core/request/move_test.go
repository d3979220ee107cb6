package request

import (
	"testing"
	"time"
)

// newStalled returns a request that has forwarded one token of the stream s1 at m1 and
// waits to resume it there after its connection has failed.
func newStalled(t *testing.T) *Request {
	t.Helper()
	r := New(Spec{ID: "r1", Kind: KindModel, Repeatable: true, Deadline: time.Minute, MaxAttempts: 4}, &fixedRetrier{left: 3})
	for _, ev := range []Event{Start{}, Admitted{}, Picked{Server: "m1"}, Opened{Attempt: 1, Stream: "s1"}, Token{Attempt: 1, Sum: 7}} {
		r.Step(0, ev)
	}
	effects := r.Step(0, Failed{Attempt: 1, Failure: Failure{Phase: PhaseHandedOver, Step: "read"}})
	if _, ok := effects[0].(Backoff); !ok || len(effects) != 1 {
		t.Fatalf("got %+v, expected a backoff", effects)
	}
	return r
}

// A stream whose engine leaves while the request waits to resume it moves with its KV
// cache, as one that is being read does.
func TestMoveDuringBackoff(t *testing.T) {
	r := newStalled(t)
	effects := r.Step(0, Move{Server: "m1", Export: true, Target: "m2"})
	if len(effects) != 1 {
		t.Fatalf("got %+v, expected the move of the KV cache alone", effects)
	}
	move, ok := effects[0].(MoveKV)
	if !ok || move.Target != "m2" || move.From.Stream != "s1" || move.From.Next != 1 {
		t.Fatalf("got %+v, expected the move of s1 to m2", effects[0])
	}
	if effects := r.Step(0, BackoffOver{}); len(effects) != 0 {
		t.Fatalf("got %+v after the backoff, expected nothing", effects)
	}
	effects = r.Step(0, Moved{Attempt: 1, Server: "m2", Stream: "s2"})
	if resume, ok := effects[0].(ResumeStream); !ok || resume.Position.Server != "m2" || resume.Position.Stream != "s2" {
		t.Fatalf("got %+v, expected to resume s2 at m2", effects)
	}
}

// Without an export, the leaving engine's stream is cancelled and another engine is
// picked at once.
func TestMoveWithoutExportDuringBackoff(t *testing.T) {
	r := newStalled(t)
	effects := r.Step(0, Move{Server: "m1"})
	if len(effects) != 2 {
		t.Fatalf("got %+v, expected a cancellation and a pick", effects)
	}
	cancel, cancelled := effects[0].(CancelAttempt)
	pick, picked := effects[1].(Pick)
	if !cancelled || cancel.Stream != "s1" || !picked || len(pick.Exclude) != 1 || pick.Exclude[0] != "m1" {
		t.Fatalf("got %+v, expected the cancellation of s1 and a pick that excludes m1", effects)
	}
}

// A stream that is to leave its engine stays there until another engine has been picked for
// it. Without one, it goes on.
func TestMoveWaitsForAnotherEngine(t *testing.T) {
	begin := func() *Request {
		r := New(Spec{ID: "r1", Kind: KindModel, Repeatable: true, Deadline: time.Minute, MaxAttempts: 4}, &fixedRetrier{})
		steps(r, Start{}, Admitted{}, Picked{Server: "m1"}, Opened{Attempt: 1, Stream: "s1"}, Token{Attempt: 1, Sum: 7})
		return r
	}
	r := begin()
	if got, want := steps(r, Move{Server: "m1"}), "[{Attempt:1 Exclude:[m1]}]"; got != want {
		t.Fatalf("got %s, want %s", got, want)
	}
	if got := steps(r, NoReplacement{Attempt: 1}); got != "[]" {
		t.Errorf("without another engine: got %s, want nothing", got)
	}
	if got, want := steps(r, Token{Attempt: 1, Offset: 1, Sum: 8}), "[{Offset:1}]"; got != want {
		t.Errorf("after that: got %s, want %s", got, want)
	}
	r = begin()
	got := steps(r, Move{Server: "m1"}, ReplacementPicked{Attempt: 1, Server: "m2"})
	if want := "[{Attempt:1 Server:m1 Stream:s1} {Attempt:2 Server:m2 Beside:false}]"; got != want {
		t.Errorf("with another engine: got %s, want %s", got, want)
	}
}

// A stream whose KV cache could not be moved, and for which there is no other engine, is
// resumed where it was left.
func TestFailedMoveWithoutAnotherEngine(t *testing.T) {
	r := newStalled(t)
	steps(r, BackoffOver{}, Move{Server: "m1", Export: true, Target: "m2"}, Moved{Attempt: 2})
	got := steps(r, NoServer{})
	if want := "[{Attempt:3 Position:{Server:m1 Stream:s1 Next:1 Sum:7}}]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

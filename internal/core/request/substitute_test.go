package request

import (
	"strings"
	"testing"
	"time"
)

// A stream that leaves its engine without an export is not cancelled there before another
// engine has been picked: if there is none, the engine may still end it.
func TestMoveWaitsForSubstitute(t *testing.T) {
	r := New(Spec{Kind: KindModel, Repeatable: true, MaxAttempts: 9, Deadline: time.Second}, &fixedRetrier{left: 9})
	steps(r, Start{}, Admitted{}, Picked{Server: "a"}, Opened{Attempt: 1, Stream: "s"}, Token{Attempt: 1, Sum: 1})
	if got := steps(r, Move{Server: "a"}); strings.Contains(got, "Stream:s") {
		t.Errorf("got %s for the move, expected a pick before the stream is cancelled", got)
	}
	steps(r, NoServer{}, NoReplacement{Attempt: 1})
	if r.Done() {
		t.Error("the stream was cut off for want of another engine, though its own one goes on")
	}
}

// A stream whose KV cache could not be moved is still held by its engine: if no other
// engine can be picked, it goes on there.
func TestFailedMoveGoesOnAtItsEngine(t *testing.T) {
	r := New(Spec{Kind: KindModel, Repeatable: true, MaxAttempts: 9, Deadline: time.Second}, &fixedRetrier{left: 9})
	steps(r, Start{}, Admitted{}, Picked{Server: "a"}, Opened{Attempt: 1, Stream: "s"}, Token{Attempt: 1, Sum: 1})
	steps(r, Move{Server: "a", Export: true, Target: "b"}, Moved{Attempt: 1, Server: "b"}, NoServer{})
	if r.Done() {
		t.Error("the stream was cut off for want of another engine, though its own one still holds it")
	}
}

// A server that refused the replacement of a silent attempt without running it can be asked
// again at a later silence, if there is no other one.
func TestRefusedReplacementMayBeAskedAgain(t *testing.T) {
	r := New(Spec{Kind: KindModel, Repeatable: true, Continues: true, MaxAttempts: 2, MaxUnstarted: 3, Deadline: time.Second}, &fixedRetrier{left: 9})
	steps(r, Start{}, Admitted{}, Picked{Server: "a"}, Silence{Attempt: 1}, ReplacementPicked{Attempt: 1, Server: "b"})
	steps(r, Failed{Attempt: 2, Failure: Failure{Phase: PhaseRefused}}, Silence{Attempt: 1}, NoReplacement{Attempt: 1})
	if got, want := steps(r, Silence{Attempt: 1}), "[{Attempt:1 Exclude:[a]}]"; got != want {
		t.Errorf("got %s at the next silence, want %s", got, want)
	}
}

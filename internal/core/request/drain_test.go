package request

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Before its entry stops, each request must end with an outcome that says whether it may have run: requests of
// application services were left without an answer.
func TestDrainEndsEveryRequest(t *testing.T) {
	dispatched := []Event{Start{}, Admitted{}, Picked{Server: "a"}}
	for name, c := range map[string]struct {
		spec   Spec
		events []Event
		want   string
	}{
		"held before a server was picked": {Spec{Kind: KindApp, MaxAttempts: 1}, []Event{Start{}, Admitted{}}, fmt.Sprintf("Kind:%v", OutcomeNotRun)},
		"running":                         {Spec{Kind: KindApp, MaxAttempts: 1}, dispatched, fmt.Sprintf("Kind:%v", OutcomeUnknown)},
		"running lookup":                  {Spec{Kind: KindApp, Repeatable: true, MaxAttempts: 2}, dispatched, fmt.Sprintf("Kind:%v", OutcomeUnknown)},
		"stream that has not begun":       {Spec{Kind: KindModel, MaxAttempts: 1}, dispatched, fmt.Sprintf("Kind:%v", OutcomeUnknown)},
		"stream that has begun":           {Spec{Kind: KindModel, MaxAttempts: 1}, append(dispatched, Opened{Attempt: 1, Stream: "s"}), fmt.Sprintf("Kind:%v", OutcomeResumable)},
	} {
		c.spec.ID, c.spec.Deadline = "r1", time.Minute
		r := New(c.spec, &fixedRetrier{})
		steps(r, c.events...)
		if got := steps(r, Drain{}); !strings.Contains(got, c.want) || !strings.Contains(got, string(ReasonDraining)) {
			t.Errorf("%s: got %s, want an outcome with %s and the reason %s", name, got, c.want, ReasonDraining)
		}
	}
}

// A reservation that is granted while the entry drains is recorded as not run, so that the key can be used again, and
// an outcome that is being committed is kept.
func TestDrainAwaitsCommits(t *testing.T) {
	spec := Spec{ID: "r1", Kind: KindApp, Keyed: true, Deadline: time.Minute, MaxAttempts: 1}
	r := New(spec, &fixedRetrier{})
	steps(r, Start{}, Admitted{})
	if got := r.Step(0, Drain{}); len(got) > 0 {
		t.Errorf("while the key was being reserved got %+v, want nothing", got)
	}
	want := fmt.Sprintf("%+v", []Effect{RecordOutcome{Kind: OutcomeNotRun}})
	if got := fmt.Sprintf("%+v", r.Step(0, Reserved{Result: ReserveGranted})[:1]); got != want {
		t.Errorf("after the reservation got %s first, want %s", got, want)
	}
	r = New(spec, &fixedRetrier{})
	steps(r, Start{}, Admitted{}, Reserved{Result: ReserveGranted}, Picked{Server: "a"}, Completed{Attempt: 1})
	if got := r.Step(0, Drain{}); len(got) > 0 {
		t.Errorf("while the outcome was being committed got %+v, want nothing", got)
	}
}

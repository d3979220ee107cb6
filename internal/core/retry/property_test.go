package retry

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingcart/internal/core/fleet"
)

// TestMain fixes the seed so that every run checks the same cases.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// TestRetriesAreSafeAndBounded checks in random sequences of successes and failures
// that no retry can run a request twice that must run once, and that retries and
// hedges stay within the budget.
func TestRetriesAreSafeAndBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		policy := &fleet.Policy{MaxAttempts: rapid.IntRange(0, 4).Draw(rt, "attempts"), HedgeAfterMS: 50,
			RetryBudgetRatio: rapid.Float64Range(0, 1).Draw(rt, "ratio")}
		c := New(Options{Seed: 1, Burst: rapid.Float64Range(1, 50).Draw(rt, "burst")})
		var now time.Duration
		var extraAttempts, successes int
		rt.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			},
			"succeed": func(t *rapid.T) {
				for range rapid.IntRange(1, 100).Draw(t, "successes") {
					c.Success(now, "s", policy)
					successes++
				}
			},
			"fail often": func(t *rapid.T) {
				for range 8 {
					if c.Decide(now, Attempt{Service: "s", Policy: policy, Error: ErrorDial, Attempts: 1}).Retry {
						extraAttempts++
					}
				}
			},
			"fail": func(t *rapid.T) {
				a := Attempt{
					Service: "s", Policy: policy, Error: ErrorClass(rapid.IntRange(1, int(ErrorFinal)).Draw(t, "class")),
					Repeatable: rapid.Bool().Draw(t, "repeatable"), HandedOver: rapid.Bool().Draw(t, "handed over"),
					Attempts: rapid.IntRange(1, 5).Draw(t, "attempt"), Expected: time.Duration(rapid.IntRange(0, 100).Draw(t, "needs")),
				}
				if rapid.Bool().Draw(t, "has deadline") {
					a.Deadline = now + time.Duration(rapid.IntRange(-100, 200).Draw(t, "left"))*time.Millisecond
				}
				d := c.Decide(now, a)
				if a.HandedOver && (d.NotRun && (a.Error != ErrorNotStarted || a.Attempts > 1)) {
					t.Fatalf("%+v is reported as not run", a)
				}
				if !d.Retry {
					return
				}
				extraAttempts++
				if a.HandedOver && !a.Repeatable || a.Error == ErrorFinal || a.Attempts >= max(1, policy.MaxAttempts) ||
					a.Deadline != 0 && now+d.Delay+a.Expected >= a.Deadline {
					t.Fatalf("%+v must not be retried, got %+v", a, d)
				}
			},
			"hedge": func(t *rapid.T) {
				candidate := HedgeCandidate{Service: "s", Policy: policy, Repeatable: rapid.Bool().Draw(t, "idempotent"), Cheap: rapid.Bool().Draw(t, "cheap"),
					Hedges: rapid.IntRange(0, 1).Draw(t, "hedges"), Started: now - time.Duration(rapid.IntRange(0, 100).Draw(t, "age"))*time.Millisecond}
				if !c.Hedge(now, candidate) {
					return
				}
				extraAttempts++
				if !candidate.Repeatable || !candidate.Cheap || candidate.Hedges > 0 || now-candidate.Started < 50*time.Millisecond {
					t.Fatalf("%+v must not be hedged", candidate)
				}
			},
			"": func(t *rapid.T) {
				budget := floorBurst + DefaultFloorPerSecond*now.Seconds() + policy.RetryBudgetRatio*float64(successes)
				if float64(extraAttempts) > budget+1e-6 {
					t.Fatalf("%d retries and hedges exceed the budget of %v", extraAttempts, budget)
				}
			},
		})
	})
}

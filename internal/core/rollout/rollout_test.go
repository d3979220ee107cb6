package rollout

import (
	"fmt"
	"testing"
	"time"
)

// bad versions by the way in which they are bad; none of them may complete.
var badVersions = map[string]func(s *simulation, route string) (bool, float64){
	"fails always":  func(*simulation, string) (bool, float64) { return true, 1 },
	"fails a third": func(s *simulation, _ string) (bool, float64) { return s.random.Float64() < 0.33, 1 },
	"fails a tenth": func(s *simulation, _ string) (bool, float64) { return s.random.Float64() < 0.1, 1 },
	"fails later": func(s *simulation, _ string) (bool, float64) {
		return s.now > 5*time.Second && s.random.Float64() < 0.4, 1
	},
	"fails as the steps begin": func(s *simulation, _ string) (bool, float64) {
		return s.now > 7*time.Second && s.random.Float64() < 0.5, 1
	},
	"fails under load": func(s *simulation, _ string) (bool, float64) { return s.running > 6 && s.random.Float64() < 0.5, 1 },
	"fails on one route": func(s *simulation, route string) (bool, float64) {
		return route == "verdict" && s.random.Float64() < 0.5, 1
	},
	"is four times slower":      func(*simulation, string) (bool, float64) { return false, 4 },
	"is slower for a half":      func(s *simulation, _ string) (bool, float64) { return false, 1 + 4*float64(s.random.IntN(2)) },
	"is slower later":           func(s *simulation, _ string) (bool, float64) { return false, 1 + 4*boolFloat(s.now > 5*time.Second) },
	"is slow on one route only": func(_ *simulation, route string) (bool, float64) { return false, 1 + 4*boolFloat(route == "long") },
}

func boolFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// checkExposure checks the bounds for a bad version: a tenth of the requests and 50 in sum over all
// entries, and nothing later than 5 s after the 50th bad response.
func checkExposure(t *testing.T, s *simulation) {
	t.Helper()
	if s.decision == nil || s.decision.State != StateReverted {
		t.Errorf("got %+v, expected a bad version to be reverted; %d of %d requests, %d bad", s.decision, s.toTarget, s.requests, s.bad)
		return
	}
	allowed := 0.1*float64(s.requests) + 50
	if float64(s.toTarget) > allowed {
		t.Errorf("%d requests to the target, expected at most %.0f; decided at %s: %s", s.toTarget, allowed, s.decidedAt, s.decision.Cause)
	}
	if s.sentAfterBad > 0 {
		t.Errorf("%d requests were sent later than 5 s after the 50th bad response", s.sentAfterBad)
	}
	t.Logf("%d of %d requests, %d bad, decided at %s: %s", s.toTarget, s.requests, s.bad, s.decidedAt, s.decision.Cause)
}

// A bad version must be reverted within the bounds, however it is bad.
func TestBadVersionIsReverted(t *testing.T) {
	for name, behave := range badVersions {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				l := usualLoad()
				l.behave, l.seed = behave, seed
				checkExposure(t, run(l))
			}
		})
	}
}

// A good version must complete before the deadline, at several rates and sizes, also beside an old version
// that fails now and then, and no request may run at the old version then.
func TestGoodVersionCompletes(t *testing.T) {
	for name, change := range map[string]func(l *load){
		"usual":             func(*load) {},
		"few requests":      func(l *load) { l.rate = 25 },
		"many requests":     func(l *load) { l.rate = 650 },
		"servers come late": func(l *load) { l.ready = 5500 * time.Millisecond },
		"lost answers":      func(l *load) { l.lost = 0.15 },
		"slow draws":        func(l *load) { l.drawEvery = 1200 * time.Millisecond },
		"both fail at times": func(l *load) {
			l.baseFailure = 0.02
			l.behave = func(s *simulation, _ string) (bool, float64) { return s.random.Float64() < 0.02, 1 }
		},
		"few entries": func(l *load) { l.entries = 3; l.oldServers, l.newServers = 2, 2 },
		"one slow second": func(l *load) {
			l.behave = func(s *simulation, _ string) (bool, float64) {
				return false, 1 + 3*boolFloat(s.now > 4*time.Second && s.now < 5*time.Second)
			}
		},
		"longer": func(l *load) { l.duration = time.Minute },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				l := usualLoad()
				l.seed = seed
				change(&l)
				s := run(l)
				if s.decision == nil || s.decision.State != StateComplete {
					t.Errorf("seed %d: got %+v, expected it to complete; %d of %d requests", seed, s.decision, s.toTarget, s.requests)
					continue
				}
				// Requests that failed at the target are retried at the old version until the end.
				if s.oldAtDecision > 0 && l.baseFailure == 0 || s.oldAfterComplete > 0 {
					t.Errorf("seed %d: %d requests ran at the old version when the roll-out was complete at %s, and %d were sent there later: %s", seed, s.oldAtDecision, s.decidedAt, s.oldAfterComplete, s.decision.Cause)
				}
			}
		})
	}
}

// A leader that is lost midway must neither add to what a bad version gets nor keep a good one from completing.
func TestLeaderLostMidway(t *testing.T) {
	for _, at := range []time.Duration{3500 * time.Millisecond, 5 * time.Second, 7 * time.Second} {
		for name, behave := range badVersions {
			l := usualLoad()
			l.behave, l.leaderLost, l.outage = behave, at, 1300*time.Millisecond
			t.Run(name+" "+at.String(), func(t *testing.T) { checkExposure(t, run(l)) })
		}
		l := usualLoad()
		l.leaderLost, l.outage = at, 1300*time.Millisecond
		if s := run(l); s.decision == nil || s.decision.State != StateComplete {
			t.Errorf("leader lost at %s: got %+v, expected a good version to complete", at, s.decision)
		}
	}
}

// An entry that learns late of a roll-out sends nothing to the target before, and one that is cut off
// with a lease nothing once it has expired.
func TestEntryLateOrCutOff(t *testing.T) {
	l := usualLoad()
	l.entries, l.late, l.cutOff = 8, map[int]time.Duration{3: 4 * time.Second, 4: 6 * time.Second}, 9500*time.Millisecond
	s := run(l)
	if s.cutOffSends > 0 {
		t.Errorf("an entry that was cut off sent %d requests to the target after its lease", s.cutOffSends)
	}
	gate := NewGate(1)
	gate.Listed(0, map[string][]string{testService: {oldName}}, true)
	gate.Answered(0, 0, nil)
	gate.Listed(10*time.Second, map[string][]string{testService: {oldName, newName}}, false)
	if plan := gate.Plan(11*time.Second, testService, []string{oldName, newName}, false); len(plan.Barred) != 1 || plan.Barred[0] != newName {
		t.Errorf("got %+v, expected a version that the leader has not named to be barred", plan)
	}
	gate.Answered(12*time.Second, 11*time.Second, nil)
	if plan := gate.Plan(12*time.Second, testService, []string{oldName, newName}, false); len(plan.Barred) != 0 {
		t.Errorf("got %+v, expected all versions to be used without a roll-out", plan)
	}
}

// A target without a ready server, or without requests, is reverted before the deadline.
func TestTooLittleEvidenceIsReverted(t *testing.T) {
	for name, change := range map[string]func(l *load){
		"no server":   func(l *load) { l.ready = time.Hour },
		"no requests": func(l *load) { l.rate = 0.5 },
	} {
		l := usualLoad()
		change(&l)
		if s := run(l); s.decision == nil || s.decision.State != StateReverted || s.decidedAt >= l.duration {
			t.Errorf("%s: got %+v at %s, expected it to be reverted before the deadline", name, s.decision, s.decidedAt)
		}
	}
}

// Orders are idempotent, another one conflicts while a roll-out is active, and a decision is made once.
func TestOrders(t *testing.T) {
	order := Order{Service: testService, Target: newName, Duration: 12 * time.Second}
	table, answer := Table{}.Place(1000, order, oldName)
	if answer != AnswerStarted || table.Rollouts[testService].DeadlineMS != 13_000 {
		t.Fatalf("got %v, %+v", answer, table)
	}
	other := order
	other.Target = "v3"
	if _, answer := table.Place(2000, other, oldName); answer != AnswerConflict {
		t.Errorf("another target: got %v, expected a conflict", answer)
	}
	reverted, ok := table.Decide(5000, 1, Decision{State: StateReverted, Cause: "bad"})
	if _, again := reverted.Decide(6000, 1, Decision{State: StateComplete}); !ok || again {
		t.Error("a roll-out was decided twice")
	}
	for _, table := range []Table{table, reverted} {
		if _, answer := table.Place(6000, order, oldName); answer != AnswerRepeated {
			t.Errorf("the same order again: got %v", answer)
		}
	}
	next, answer := reverted.Place(7000, other, oldName)
	if answer != AnswerStarted {
		t.Errorf("another target after the end: got %v", answer)
	}
	if _, answer := next.Place(8000, order, oldName); answer != AnswerRepeated {
		t.Errorf("an order that is sent again after the next one: got %v", answer)
	}
}

// The probability of as many failures must be exact enough for the levels, and must not vanish for large counts.
func TestTail(t *testing.T) {
	for _, c := range []struct {
		k, n     uint64
		p        float64
		min, max float64
	}{
		{4, 4, 0.01, 0.99e-8, 1.01e-8},
		{10, 100, 0.05, 0.0281, 0.0283},
		{2, 50_000, 0.05, 1, 1},
		{2_700, 50_000, 0.05, 1e-5, 1e-4},
		{0, 0, 0.5, 1, 1},
	} {
		if got := tail(c.k, c.n, c.p); got < c.min || got > c.max {
			t.Errorf("at least %d of %d at %g: got %g, expected %g to %g", c.k, c.n, c.p, got, c.min, c.max)
		}
	}
}

// Requests that began before an entry knew of the roll-out hold back its completion too: the old servers stop
// at once when it is complete.
func TestRequestsFromBeforeTheOrderRun(t *testing.T) {
	gate := NewGate(1)
	gate.Began(testService, oldName)
	early := Attempt{Service: testService, Version: oldName, Number: gate.Number(testService), Counted: true}
	gate.Answered(0, 0, []Lease{{Service: testService, Target: newName, Number: 1, State: StateActive, Servers: 1}})
	gate.Began(testService, newName)
	if got := gate.Reports(0)[testService].Old; got != 1 {
		t.Errorf("got %d running at the old version, expected 1", got)
	}
	gate.Ended(early)
	if report := gate.Reports(0)[testService]; report.Old != 0 || len(report.Evidence) != 0 {
		t.Errorf("got %+v, expected no request at the old version, and no evidence", report)
	}
}

// Routes that differ from entry to entry must not make the leader's evidence grow without bound.
func TestEvidenceIsBounded(t *testing.T) {
	c := New(0, Rollout{Number: 1, DeadlineMS: 12_000, State: StateActive}, true)
	for i := range uint64(1_000) {
		c.Draw(0, Report{Number: 1, Incarnation: i, Evidence: Evidence{{true, fmt.Sprint(i)}: {Responses: 1}}})
	}
	if len(c.evidence) > maxKeys+2 || c.evidence.total(true).Responses != 1_000 {
		t.Errorf("got %d keys with %d responses, expected at most %d with 1000", len(c.evidence), c.evidence.total(true).Responses, maxKeys+2)
	}
}

// A new leader grants nothing until entries have reported what the leases of the former one were used for.
func TestNewTermWaits(t *testing.T) {
	c := New(5*time.Second, Rollout{Number: 1, DeadlineMS: 12_000, State: StateActive}, false)
	c.SetFleet(Fleet{Target: 28, Old: 28})
	report := Report{Number: 1, Incarnation: 1, Sequence: 1, Wanted: 2}
	if lease := c.Draw(5*time.Second+termWait-1, report); lease.Requests != 0 {
		t.Errorf("got %+v, expected no request", lease)
	}
	report.Sequence++
	if lease := c.Draw(5*time.Second+termWait, report); lease.Requests == 0 {
		t.Errorf("got %+v, expected requests", lease)
	}
}

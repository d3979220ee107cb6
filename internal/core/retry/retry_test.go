package retry

import (
	"testing"
	"time"

	"waxwingcart/internal/core/fleet"
)

func TestDecide(t *testing.T) {
	policy := &fleet.Policy{MaxAttempts: 3, RetryBudgetRatio: 0.1}
	base := Attempt{Service: "s", Error: ErrorConnectionLost, Repeatable: true, HandedOver: true, Attempts: 1, Deadline: time.Second, Policy: policy}
	tests := []struct {
		name   string
		change func(*Attempt)
		retry  bool
		notRun bool
		reason Reason
	}{
		{"repeatable", func(*Attempt) {}, true, false, ReasonRetry},
		{"not repeatable", func(a *Attempt) { a.Repeatable = false }, false, false, ReasonNotRepeatable},
		{"not repeatable while dialling", func(a *Attempt) { a.Repeatable, a.HandedOver, a.Error = false, false, ErrorDial }, true, true, ReasonRetry},
		{"not repeatable, refused by the server", func(a *Attempt) { a.Repeatable, a.Error = false, ErrorNotStarted }, false, true, ReasonNotRepeatable},
		{"final", func(a *Attempt) { a.Error = ErrorFinal }, false, false, ReasonFinal},
		{"too many", func(a *Attempt) { a.Attempts = 3 }, false, false, ReasonMaxAttempts},
		{"too late", func(a *Attempt) { a.Expected = time.Second }, false, false, ReasonDeadline},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := base
			test.change(&a)
			d := New(Options{Seed: 1}).Decide(0, a)
			if d.Retry != test.retry || d.NotRun != test.notRun || d.Reason != test.reason {
				t.Errorf("decision %+v does not have the retry, notRun and reason of the test case", d)
			}
		})
	}
}

// Servers fail half of all requests at eighty entries for ten seconds, after
// minutes of success have filled the budgets. The retries of all entries together
// must stay within a fifth of the requests plus the accumulated budgets.
func TestRetriesOfManyEntriesStayWithinBudget(t *testing.T) {
	const entries, perSecond, seconds, burst = 80, 8, 10, 24
	policy := &fleet.Policy{MaxAttempts: 4, RetryBudgetRatio: 0.15}
	retries := 0
	for i := range entries {
		c := New(Options{Seed: uint64(i), Burst: burst})
		c.SetEntries(entries)
		for range 100 * perSecond {
			c.Success(0, "models", policy)
		}
		for n := range perSecond * seconds {
			now := time.Duration(n) * time.Second / perSecond
			if n%2 == 0 {
				c.Success(now, "models", policy)
				continue
			}
			if c.Decide(now, Attempt{Service: "models", Error: ErrorServer, Repeatable: true, HandedOver: true, Attempts: 1, Policy: policy}).Retry {
				retries++
			}
		}
	}
	if most := entries*perSecond*seconds/5 + 2*entries; retries > most {
		t.Errorf("%d retries of %d requests, expected at most %d", retries, entries*perSecond*seconds, most)
	}
}

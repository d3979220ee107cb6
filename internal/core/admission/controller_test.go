package admission

import (
	"testing"
	"time"

	"waxwingcart/internal/core/fleet"
)

// newController returns a Controller with one service with the given slots.
func newController(slots int, customers ...fleet.Customer) *Controller {
	c := New(Options{Seed: 1, GrowAfter: -1})
	c.Step(0, LiveEntries{Entries: 1, Confirmed: true})
	c.Step(0, Tick{})
	c.Step(0, Customers{Customers: customers})
	c.Step(0, Capacity{Service: "model", Slots: slots, TokensPerSecond: 100 * float64(slots)})
	return c
}

func TestAdmitThenQueueThenAdmit(t *testing.T) {
	c := newController(1, fleet.Customer{Name: "a"})
	e := c.Step(0, Arrived{ID: 1, Customer: "a", Service: "model", EstimatedTokens: 100})
	if len(e.Admit) != 1 || e.Admit[0].ID != 1 {
		t.Fatalf("first request: got %+v, expected it to be admitted", e)
	}
	e = c.Step(0, Arrived{ID: 2, Customer: "a", Service: "model", EstimatedTokens: 100, Deadline: 10 * time.Second})
	if len(e.Admit)+len(e.Refuse) != 0 || c.Queued() != 1 {
		t.Fatalf("second request: got %+v, expected it to be queued", e)
	}
	e = c.Step(time.Second, Finished{ID: 1, Tokens: 100})
	if len(e.Admit) != 1 || e.Admit[0] != (Admit{ID: 2, Waited: time.Second}) {
		t.Fatalf("after the first finished: got %+v, expected request 2 to be admitted after a wait of 1s", e)
	}
}

func TestRefusesRequestThatWouldMissDeadline(t *testing.T) {
	c := newController(1, fleet.Customer{Name: "a"})
	c.Step(0, Arrived{ID: 1, Customer: "a", Service: "model", EstimatedTokens: 1000})
	e := c.Step(0, Arrived{ID: 2, Customer: "a", Service: "model", EstimatedTokens: 1000, Deadline: 5 * time.Second})
	if len(e.Refuse) != 1 || e.Refuse[0].Reason != ReasonDeadline || e.Refuse[0].RetryAfter < time.Second {
		t.Fatalf("request that misses its deadline: got %+v, expected a refusal for its deadline with a retry delay of at least 1s", e)
	}
}

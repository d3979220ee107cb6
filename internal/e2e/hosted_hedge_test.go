package e2e

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// hedgeCluster returns a cluster with a lookup route of the given attempts and two servers, the first
// of which leaves requests unanswered.
func hedgeCluster(t *testing.T, attempts int) (h *hostedCluster, stalled, other *hostedEngine) {
	t.Helper()
	h = newHostedCluster(t, 1)
	stalled = h.platform.addEngine(t, "i-a1", "ledger")
	other = h.platform.addEngine(t, "i-a2", "ledger")
	h.applyDocument(document(7, map[string]any{
		"name": "archive", "host": "desk.example", "path_prefix": "/archive/", "type": "safe", "timeout_ms": 15000, "attempts": attempts, "service": "ledger",
	}))
	stalled.stall.Set(true)
	return h, stalled, other
}

// A lookup that its server leaves unanswered is sent to a second one, addressed to
// that server's instance, if its route allows a second attempt.
func TestHostedHedge(t *testing.T) {
	h, stalled, _ := hedgeCluster(t, 2)
	calls := 0
	h.eventually("a lookup reaches the stalled server", func() bool {
		calls++
		got := h.call("e1", "GET", "/archive/1", fmt.Sprintf("id-%d", calls), callerKey, "", "Waxwingcart-Deadline-Ms", "15000")
		if got.status != 200 {
			t.Errorf("got %+v, want status 200 from the second server", got)
		}
		return stalled.arrived() > 0
	})
}

// Hedges count as attempts: a lookup on a route with one attempt must reach one server at most. It gets a
// failure that does not say that nothing ran once its time is over.
func TestHostedHedgeWithinAttempts(t *testing.T) {
	h, stalled, other := hedgeCluster(t, 1)
	lookups := 0
	h.eventually("a lookup reaches the stalled server", func() bool {
		lookups++
		before := stalled.arrived()
		began := time.Now()
		got := h.call("e1", "GET", "/archive/1", fmt.Sprintf("id-%d", lookups), callerKey, "", "Waxwingcart-Deadline-Ms", "3000")
		reached := stalled.arrived() > before
		if reached && got.status != http.StatusGatewayTimeout && got.status != http.StatusBadGateway {
			t.Errorf("got %+v after %s, want a failure, as one attempt was allowed", got, time.Since(began))
		}
		return reached
	})
	if arrived := stalled.arrived() + other.arrived(); arrived != lookups {
		t.Errorf("%d lookups with one attempt each reached servers %d times", lookups, arrived)
	}
}

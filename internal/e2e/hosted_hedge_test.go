package e2e

import (
	"fmt"
	"testing"
)

// A lookup that its server leaves unanswered is sent to a second one, addressed to
// that server's instance.
func TestHostedHedge(t *testing.T) {
	h := newHostedCluster(t, 1)
	stalled := h.platform.addEngine(t, "i-a1", "ledger")
	h.platform.addEngine(t, "i-a2", "ledger")
	h.applyDocument(document(7, map[string]any{
		"name": "archive", "host": "desk.example", "path_prefix": "/archive/", "type": "safe", "timeout_ms": 15000, "attempts": 1, "service": "ledger",
	}))
	stalled.stall.Set(true)
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

package e2e

import (
	"fmt"
	"strconv"
	"testing"
)

// A server that refuses a request with Retry-After gets nothing more from this entry
// until then; calls go to the other server. When both pause, calls are refused at once
// with the time of the soonest return.
func TestHostedPausingServers(t *testing.T) {
	h := newHostedCluster(t, 1)
	first, second := h.platform.addEngine(t, "i-a1", "ledger"), h.platform.addEngine(t, "i-a2", "ledger")
	h.applyDocument(document(7))
	first.pause.Set(600)
	calls := 0
	h.eventually("a request reaches the pausing server", func() bool {
		calls++
		got := h.call("e1", "GET", "/records/1", fmt.Sprintf("first-%d", calls), callerKey, "")
		if got.status != 200 {
			t.Errorf("got %+v, want status 200 from the other server", got)
		}
		return first.arrived() > 0
	})
	for i := range 30 {
		if got := h.call("e1", "GET", "/records/1", fmt.Sprintf("other-%d", i), callerKey, ""); got.status != 200 {
			t.Errorf("call %d: got %+v, want status 200 from the other server", i, got)
		}
	}
	if got := first.arrived(); got != 1 {
		t.Errorf("%d requests reached the pausing server, want 1", got)
	}
	second.pause.Set(100)
	arrived := second.arrived()
	for i := range 5 {
		got := h.call("e1", "POST", "/claims/1", fmt.Sprintf("refused-%d", i), callerKey, "call")
		wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		// The second server returns in 100 s, the first one in five minutes, the longest
		// pause that is kept.
		if got.status != 503 || err != nil || wait < 1 || wait > 160 {
			t.Errorf("call %d: got %+v, want status 503 with the soonest return", i, got)
		}
	}
	if got := second.arrived() - arrived; got != 1 || first.arrived() != 1 {
		t.Errorf("%d and %d requests reached the pausing servers, want 1 each", first.arrived(), got)
	}
}

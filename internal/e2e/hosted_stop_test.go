package e2e

import (
	"net/http"
	"syscall"
	"testing"
	"time"
)

// A request that still runs when the grace period of its entry ends must be told that it may have run,
// and must not be cut off without an answer, as its process is killed then.
func TestHostedStopAnswersWhatStillRuns(t *testing.T) {
	// The engine takes longer than the grace period, which is 5 s in these settings.
	const work = 9 * time.Second
	h := newHostedCluster(t, 1)
	engine := h.platform.addEngine(t, "i-a1", "ledger")
	engine.callTime.Set(int(work.Milliseconds()))
	silent := h.platform.addEngine(t, "i-m1", "models")
	silent.silentBefore.Set(0)
	silent.silenceMS.Set(int(work.Milliseconds()))
	route := func(kind string) map[string]any {
		return map[string]any{
			"name": "slow-" + kind, "host": "desk.example", "path_prefix": "/slow-" + kind + "/", "type": kind, "timeout_ms": 20000, "attempts": 1, "service": "ledger",
		}
	}
	h.applyDocument(document(7, route("safe"), route("unsafe")))
	calls := []struct{ method, path, id, body, key, value string }{
		{"GET", "/slow-safe/1", "lookup", "", "Waxwingcart-Deadline-Ms", "20000"},
		{"POST", "/slow-unsafe/1", "unsafe", "call", "Waxwingcart-Deadline-Ms", "20000"},
		{"POST", "/replies/1", "stream", "prompt", "Waxwingcart-Token-Count", "50,20"},
	}
	answers := make(chan hostedAnswer, len(calls))
	for _, c := range calls {
		go func() { answers <- h.call("e1", c.method, c.path, c.id, callerKey, c.body, c.key, c.value) }()
	}
	h.eventually("all requests run", func() bool {
		runs, _ := engine.count()
		more, _ := silent.count()
		return runs+more == len(calls)
	})
	began := time.Now()
	exited := make(chan error, 1)
	go func() { exited <- h.stop("e1", syscall.SIGTERM) }()
	for range calls {
		got := <-answers
		if !got.complete || got.status != http.StatusBadGateway || got.header.Get("Waxwingcart-Outcome") != "unknown" {
			t.Errorf("after %s: got %+v, want status 502 and outcome unknown", time.Since(began), got)
		}
	}
	if err := <-exited; err != nil || time.Since(began) > 5*time.Second {
		t.Errorf("the entry ended after %s with %v, want a clean exit within its grace period", time.Since(began), err)
	}
}

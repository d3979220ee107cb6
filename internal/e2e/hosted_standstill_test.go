package e2e

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The time for which an entry's process stands still is not the silence of its servers:
// their events lie unread meanwhile.
func TestHostedPauseOfEntryIsNoSilence(t *testing.T) {
	h := newHostedCluster(t, 1)
	for i := range 4 {
		h.platform.addEngine(t, fmt.Sprintf("i-m%d", i), "models").eventInterval.Set(300)
	}
	// The streams last longer than the standstill. The progress timeout of the route is
	// 3 s: longer than servers pause on a busy machine, and shorter than the standstill.
	h.applyDocument(document(7, map[string]any{
		"name": "patient", "host": "desk.example", "path_prefix": "/patient/", "type": "stream", "resumable": true, "sticky": true,
		"timeout_ms": 20000, "slo_ms": 2500, "attempts": 2, "service": "models",
	}))
	const (
		streams    = 8
		standstill = 4 * time.Second
	)
	answers := make(chan hostedAnswer, streams)
	for i := range streams {
		go func() {
			answers <- h.call("e1", "POST", "/patient/1", fmt.Sprintf("paused-%d", i), callerKey, "prompt", "Waxwingcart-Token-Count", "50,20", "Waxwingcart-Deadline-Ms", "19000")
		}()
	}
	h.eventually("the streams run", func() bool {
		running := 0
		for _, engine := range h.platform.engines {
			runs, _ := engine.count()
			running += runs
		}
		return running == streams
	})
	time.Sleep(300 * time.Millisecond)
	h.signal("e1", syscall.SIGSTOP)
	time.Sleep(standstill)
	h.signal("e1", syscall.SIGCONT)
	for range streams {
		if got := <-answers; !got.complete || got.body != streamBody(0) {
			t.Errorf("got status %d, complete %t, %d bytes, want the whole stream", got.status, got.complete, len(got.body))
		}
	}
	silent := h.linesWith("e1", "silent:")
	if len(silent) > 0 {
		t.Errorf("%d attempts were given up as silent, want none: %s", len(silent), strings.Join(silent[:1], ""))
	}
}

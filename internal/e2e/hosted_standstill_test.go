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
		h.platform.addEngine(t, fmt.Sprintf("i-m%d", i), "models").eventInterval.Set(150)
	}
	h.applyDocument(document(7))
	const streams = 8
	answers := make(chan hostedAnswer, streams)
	for i := range streams {
		go func() {
			answers <- h.call("e1", "POST", "/dossiers/1", fmt.Sprintf("paused-%d", i), callerKey, "prompt", "Waxwingcart-Token-Count", "50,20")
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
	time.Sleep(1500 * time.Millisecond)
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

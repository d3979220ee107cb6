package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// With two and a half times the streams that engines have slots for, calls that can't begin in time are refused as not run,
// with the time to come back, and never reach an engine. Before, all were sent and waited at the engines.
func TestHostedInsufficientCapacity(t *testing.T) {
	const (
		entries, engines, perSecond = 3, 2, 20
		lasting                     = 8 * time.Second
	)
	h := startHostedCluster(t, 3, entries, true)
	var list []*hostedEngine
	for i := range engines {
		e := h.platform.addEngine(t, fmt.Sprintf("i-m%d", i), "models")
		e.slots = make(chan struct{}, 8)
		e.eventInterval.Set(100)
		list = append(list, e)
	}
	h.platform.addEngine(t, "i-a1", "ledger")
	h.applyDocument(document(7))
	var (
		calls    sync.WaitGroup
		mu       sync.Mutex
		refused  []string
		answered int
	)
	for i := range int(lasting.Seconds()) * perSecond {
		id := fmt.Sprintf("c-%d", i)
		calls.Go(func() {
			got := h.call(fmt.Sprintf("e%d", 1+i%entries), "POST", "/dossiers/1", id, callerKey, "prompt", "Waxwingcart-Token-Count", "450,20",
				"Waxwingcart-Model", "m", "Waxwingcart-Prefix-Hash", fmt.Sprintf("f%x:400,%s:50", i%16, id))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case got.status == http.StatusOK && got.body == streamBody(0):
				answered++
			case got.status == http.StatusServiceUnavailable && strings.Contains(got.body, `"no-room"`):
				refused = append(refused, id)
				if got.header.Get("Waxwingcart-Outcome") != "not-run" || got.header.Get("Retry-After") == "" {
					t.Errorf("%s refused with %v", id, got.header)
				}
			default:
				t.Errorf("%s: got status %d, %.200q", id, got.status, got.body)
			}
		})
		time.Sleep(time.Second / perSecond)
	}
	calls.Wait()
	t.Logf("%d answered, %d refused", answered, len(refused))
	if len(refused) == 0 || answered < int(lasting.Seconds())*engines*2 {
		t.Errorf("%d calls answered and %d refused, want some refused, and half of the engines' slots used", answered, len(refused))
	}
	for _, e := range list {
		for _, id := range refused {
			if e.header(id) != nil {
				t.Errorf("%s was refused and reached %s", id, e.id)
			}
		}
	}
	if lines := h.linesWith("e1", `step="capacity"`); len(lines) == 0 {
		t.Error("e1 logged no decision")
	} else {
		t.Log(lines[len(lines)-1])
	}
}

package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// silence is how long a sound server falls silent, in milliseconds. It is longer than the
// progress timeout of the route /dossiers/, 1.2 s.
const silence = 1300

// silentServers adds servers of the service models that fall silent before an event.
func (h *hostedCluster) silentServers(count, before, ms int) []*hostedEngine {
	h.t.Helper()
	var servers []*hostedEngine
	for i := range count {
		engine := h.platform.addEngine(h.t, fmt.Sprintf("i-m%d", i+1), "models")
		engine.silentBefore.Set(before)
		engine.silenceMS.Set(ms)
		servers = append(servers, engine)
	}
	return servers
}

// streamAll sends resumable streams at once and fails the test unless all are whole.
func (h *hostedCluster) streamAll(prefix string, count int) {
	h.t.Helper()
	answers := make([]hostedAnswer, count)
	var group sync.WaitGroup
	for i := range answers {
		group.Go(func() {
			answers[i] = h.call("e1", "POST", "/dossiers/1", fmt.Sprintf("%s-%d", prefix, i), callerKey, "prompt", "Waxwingcart-Token-Count", "50,20")
		})
	}
	group.Wait()
	broken := 0
	for i, got := range answers {
		if !whole(got) {
			broken++
			h.t.Logf("%s-%d: got status %d, complete %t, %d bytes, want the whole stream", prefix, i, got.status, got.complete, len(got.body))
		}
	}
	if broken > 0 {
		h.t.Errorf("%s: %d of %d streams were not whole", prefix, broken, count)
	}
}

func whole(got hostedAnswer) bool {
	return got.status == 200 && got.complete && got.body == streamBody(0)
}

// The only server of a service falls silent and goes on. Its streams are whole, though
// their route lets a second server replace it.
func TestHostedSilentServerWithoutReplacement(t *testing.T) {
	for _, before := range []int{0, 5} {
		t.Run(fmt.Sprintf("before event %d", before), func(t *testing.T) {
			h := newHostedCluster(t, 1)
			server := h.silentServers(1, before, silence)[0]
			h.applyDocument(document(7))
			h.streamAll("alone", 4)
			if runs, _ := server.count(); runs != 4 {
				t.Errorf("the server ran %d streams, want 4", runs)
			}
		})
	}
}

// Both servers of a service fall silent in the same streams and go on.
func TestHostedSilentServers(t *testing.T) {
	for _, before := range []int{0, 5} {
		t.Run(fmt.Sprintf("before event %d", before), func(t *testing.T) {
			h := newHostedCluster(t, 1)
			servers := h.silentServers(2, before, silence)
			h.applyDocument(document(7))
			h.streamAll("both", 4)
			first, _ := servers[0].count()
			second, _ := servers[1].count()
			if first+second > 8 {
				t.Errorf("the servers ran %d and %d streams for 4 requests with two attempts", first, second)
			}
		})
	}
}

// More streams fall silent before their first event than the retry budget of the service
// can replace. Those without a replacement go on.
func TestHostedSilenceBeyondRetryBudget(t *testing.T) {
	h := newHostedCluster(t, 1)
	h.silentServers(4, 0, silence)
	h.applyDocument(document(7))
	h.streamAll("many", 24)
}

// A new document takes the service of a silent stream away, or leads its route elsewhere.
// The stream goes on at its own server.
func TestHostedSilenceBesideDocument(t *testing.T) {
	moved := document(8)
	moved["routes"].([]map[string]any)[0]["service"] = "ledger"
	dropped := document(8)
	dropped["routes"] = dropped["routes"].([]map[string]any)[2:]
	dropped["services"] = dropped["services"].([]map[string]any)[1:]
	for name, next := range map[string]map[string]any{"route moved": moved, "service dropped": dropped} {
		t.Run(name, func(t *testing.T) {
			h := newHostedCluster(t, 1)
			server := h.silentServers(1, 5, 60_000)[0]
			h.platform.addEngine(t, "i-a1", "ledger")
			h.applyDocument(document(7))
			answered := make(chan hostedAnswer, 1)
			go func() { answered <- h.call("e1", "POST", "/dossiers/1", "id-1", callerKey, "prompt") }()
			h.eventually("the stream is silent", func() bool { return server.hasFallenSilent("id-1") })
			next["routes"] = append(next["routes"].([]map[string]any), map[string]any{"name": "added", "host": "desk.example",
				"path_prefix": "/added/", "type": "safe", "timeout_ms": 1000, "attempts": 1, "service": "ledger"})
			h.eventually("the document is acknowledged", func() bool { return h.put("r1", next) == 200 })
			h.eventually("the document is in force", func() bool {
				return h.call("e1", "GET", "/added/1", "id-2", callerKey, "").status == 200
			})
			time.Sleep(silence * time.Millisecond)
			server.goOn()
			if got := <-answered; !whole(got) {
				t.Errorf("got status %d, complete %t, %d bytes, want the whole stream", got.status, got.complete, len(got.body))
			}
		})
	}
}

// No other server takes a silent stream: each leaves, pauses, refuses or is unreachable.
// The stream goes on at its own server.
func TestHostedSilenceWithoutOtherServer(t *testing.T) {
	withdraw := map[string]func(*hostedEngine){
		"leaving":  func(e *hostedEngine) { e.draining.Set(true) },
		"paused":   func(e *hostedEngine) { e.pause.Set(100) },
		"refusing": func(e *hostedEngine) { e.refuse.Set(true) },
		"failing":  func(e *hostedEngine) { e.fail.Set(true) },
	}
	for name, set := range withdraw {
		t.Run(name, func(t *testing.T) {
			h := newHostedCluster(t, 1)
			servers := h.silentServers(2, 10, silence)
			h.applyDocument(document(7))
			for _, engine := range servers {
				engine.eventInterval.Set(300)
			}
			answered := make(chan hostedAnswer, 1)
			go func() { answered <- h.call("e1", "POST", "/dossiers/1", "id-1", callerKey, "prompt") }()
			h.eventually("the stream runs", func() bool {
				return servers[0].header("id-1") != nil || servers[1].header("id-1") != nil
			})
			own, other := servers[0], servers[1]
			if own.header("id-1") == nil {
				own, other = other, own
			}
			set(other)
			h.eventually("the stream is silent", func() bool { return own.hasFallenSilent("id-1") })
			own.eventInterval.Set(0)
			got := <-answered
			if !whole(got) {
				t.Errorf("got status %d, complete %t, %d bytes, want the whole stream", got.status, got.complete, len(got.body))
			}
			took := name != "failing" && other.header("id-1") != nil
			if _, disconnects := own.count(); disconnects != 0 && !took {
				t.Error("the stream's own server was given up, though no other one took the stream")
			}
		})
	}
	t.Run("unreachable", func(t *testing.T) {
		h := newHostedCluster(t, 1)
		h.silentServers(1, 5, silence)
		h.platform.addUnreachable("i-m9", "models")
		h.applyDocument(document(7))
		h.streamAll("unreachable", 4)
	})
}

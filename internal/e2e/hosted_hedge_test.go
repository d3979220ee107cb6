package e2e

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
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

// runTroubled plays the trouble that is drawn for a request at this server: one in six fails, one in six has its
// connection closed, and half of these and of all others are late. It reports whether the request has ended.
func (e *hostedEngine) runTroubled(w http.ResponseWriter, req *http.Request, id string) bool {
	const (
		late     = 1300 * time.Millisecond
		outcomes = 6
	)
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(e.id + id))
	drawn := sum.Sum32()
	if isLate := drawn%2 == 1; isLate {
		select {
		case <-time.After(late):
		case <-req.Context().Done():
		}
	}
	switch drawn / 2 % outcomes {
	case 0:
		http.Error(w, "failed", http.StatusInternalServerError)
	case 1:
		panic(http.ErrAbortHandler)
	default:
		return false
	}
	return true
}

// routesWithAttempts returns routes for lookups and streams with one attempt up to a number of them.
func routesWithAttempts(most int) (routes []map[string]any) {
	for _, kind := range []string{"safe", "stream"} {
		for attempts := 1; attempts <= most; attempts++ {
			name := fmt.Sprintf("%s-%d", kind, attempts)
			routes = append(routes, map[string]any{
				"name": name, "host": "desk.example", "path_prefix": "/" + name + "/", "type": kind, "resumable": kind == "stream",
				"timeout_ms": 6000, "slo_ms": 500, "attempts": attempts, "service": "ledger",
			})
		}
	}
	return routes
}

// serversThatRan returns the number of servers that ran the request with an ID.
func serversThatRan(engines []*hostedEngine, id string) (count int) {
	for _, engine := range engines {
		if engine.header(id) != nil {
			count++
		}
	}
	return count
}

// No request may run on more servers than its route has attempts, whether it is hedged, sent again after
// a failure, or a stream whose silent server is replaced.
func TestHostedServersWithinAttempts(t *testing.T) {
	const servers, requests, maxAttempts = 5, 120, 3
	h := newHostedCluster(t, 1)
	engines := make([]*hostedEngine, servers)
	for i := range engines {
		engines[i] = h.platform.addEngine(t, fmt.Sprintf("i-a%d", i), "ledger")
		engines[i].troubled.Set(true)
	}
	routes := routesWithAttempts(maxAttempts)
	h.applyDocument(document(7, routes...))
	var calls sync.WaitGroup
	for i := range requests {
		for _, route := range routes {
			method, tokens := "GET", ""
			if route["type"] == "stream" {
				method, tokens = "POST", "50,20"
			}
			calls.Go(func() {
				h.call("e1", method, route["path_prefix"].(string)+"1", fmt.Sprintf("%s-%d", route["name"], i), callerKey, "", "Waxwingcart-Token-Count", tokens)
			})
		}
		time.Sleep(20 * time.Millisecond)
	}
	calls.Wait()
	ranTwice := 0
	for _, route := range routes {
		for i := range requests {
			id := fmt.Sprintf("%s-%d", route["name"], i)
			ran := serversThatRan(engines, id)
			if limit := route["attempts"].(int); ran > limit {
				t.Errorf("%s ran on %d servers, its route has %d attempts", id, ran, limit)
			}
			if ran > 1 {
				ranTwice++
			}
		}
	}
	if ranTwice == 0 {
		t.Error("no request ran on a second server, so that nothing was tested")
	}
	t.Logf("%d of %d requests ran on more than one server", ranTwice, requests*len(routes))
}

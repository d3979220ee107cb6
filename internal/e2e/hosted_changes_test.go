package e2e

import (
	"fmt"
	"testing"
)

// documentWithout returns a document without a service and the routes to it.
func documentWithout(version int, service string) map[string]any {
	content := document(version)
	var routes, services []map[string]any
	for _, route := range content["routes"].([]map[string]any) {
		if route["service"] != service {
			routes = append(routes, route)
		}
	}
	for _, known := range content["services"].([]map[string]any) {
		if known["name"] != service {
			services = append(services, known)
		}
	}
	content["routes"], content["services"] = routes, services
	return content
}

// A stream that was accepted goes on at another server of its service, although a
// document has dropped the service and its routes meanwhile.
func TestHostedStreamGoesOnAfterItsServiceIsDropped(t *testing.T) {
	h := newHostedCluster(t, 1)
	first, second := h.platform.addEngine(t, "i-m1", "models"), h.platform.addEngine(t, "i-m2", "models")
	h.platform.addEngine(t, "i-a1", "ledger")
	h.applyDocument(document(7))
	for _, engine := range []*hostedEngine{first, second} {
		engine.eventInterval.Set(300)
	}
	streamed := make(chan hostedAnswer, 1)
	go func() {
		streamed <- h.call("e1", "POST", "/dossiers/1", "moved-1", callerKey, "prompt", "Waxwingcart-Token-Count", "50,20", "Waxwingcart-Deadline-Ms", "9000")
	}()
	h.eventually("the stream runs", func() bool { return first.header("moved-1") != nil || second.header("moved-1") != nil })
	h.eventually("version 8 is acknowledged", func() bool { return h.put("r1", documentWithout(8, "models")) == 200 })
	h.eventually("placement is set from it", func() bool { return len(h.linesWith("e1", `step="configure" revision=2 `)) > 0 })
	running, other := first, second
	if second.header("moved-1") != nil {
		running, other = second, first
	}
	other.eventInterval.Set(0)
	running.cutAfter.Set(1)
	running.eventInterval.Set(0)
	if got := <-streamed; !got.complete || got.body != streamBody(0) {
		t.Errorf("got status %d, complete %t, %d bytes, want the whole stream; %v", got.status, got.complete, len(got.body), h.linesWith("e1", `request="moved-1"`))
	}
	if got := h.call("e1", "POST", "/dossiers/1", "late-1", callerKey, "prompt"); got.status != 404 {
		t.Errorf("a new call to the dropped route got status %d, want 404", got.status)
	}
}

// Calls that are accepted and wait at their server, or for another one, get whole
// answers or refusals around a document that shortens their timeout, lowers their limit
// or drops their key.
func TestHostedCallsAroundChangesAreAnswered(t *testing.T) {
	for name, change := range map[string]func(content map[string]any){
		"shorter timeout": func(content map[string]any) {
			for _, route := range content["routes"].([]map[string]any) {
				route["timeout_ms"] = 300
			}
		},
		"lower limit": func(content map[string]any) {
			content["tenants"].([]map[string]any)[0]["rate_per_s"] = 0.1
			content["tenants"].([]map[string]any)[0]["burst"] = 1
		},
		"key dropped": func(content map[string]any) {
			content["tenants"].([]map[string]any)[0]["api_keys"] = []string{"another-key"}
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHostedCluster(t, 1)
			engines := []*hostedEngine{h.platform.addEngine(t, "i-m1", "models"), h.platform.addEngine(t, "i-m2", "models")}
			ledger := h.platform.addEngine(t, "i-a1", "ledger")
			h.platform.addEngine(t, "i-a2", "ledger")
			h.applyDocument(document(7))
			for _, engine := range engines {
				engine.eventInterval.Set(100)
			}
			ledger.refuse.Set(true)
			const calls = 12
			answers := make(chan hostedAnswer, 2*calls)
			for i := range calls {
				go func() {
					answers <- h.call("e1", "POST", "/dossiers/1", fmt.Sprintf("s-%d", i), callerKey, "prompt", "Waxwingcart-Token-Count", "50,20")
				}()
			}
			h.eventually("streams run", func() bool { return engines[0].arrived()+engines[1].arrived() >= calls })
			content := document(8)
			change(content)
			go func() {
				for i := range calls {
					answers <- h.call("e1", "GET", "/records/1", fmt.Sprintf("c-%d", i), callerKey, "")
				}
			}()
			h.eventually("version 8 is acknowledged", func() bool { return h.put("r1", content) == 200 })
			h.eventually("placement is set from it", func() bool { return len(h.linesWith("e1", `step="configure" revision=2 `)) > 0 })
			for _, engine := range engines {
				engine.cutAfter.Set(19)
			}
			for range 2 * calls {
				if got := <-answers; got.status == 0 || !got.complete {
					t.Errorf("got status %d, complete %t, %d bytes, want a whole answer or a refusal", got.status, got.complete, len(got.body))
				}
			}
		})
	}
}

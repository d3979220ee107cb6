package e2e

import "testing"

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
		engine.eventInterval.Set(1000)
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

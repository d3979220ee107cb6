package e2e

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// After one answer that says that its server leaves, no entry sends this server
// another request, although the list still shows it as ready. A stream that runs
// there goes on.
func TestHostedLeavingServer(t *testing.T) {
	h := newHostedCluster(t, 2)
	servers := []*hostedEngine{h.platform.addEngine(t, "i-m1", "models"), h.platform.addEngine(t, "i-m2", "models")}
	h.applyDocument(document(7))
	for _, engine := range servers {
		engine.eventInterval.Set(200)
	}
	running := make(chan hostedAnswer, 1)
	go func() { running <- h.call("e1", "POST", "/dossiers/1", "running", callerKey, "prompt") }()
	var leaving, other *hostedEngine
	h.eventually("the stream runs", func() bool {
		for i, engine := range servers {
			if runs, _ := engine.count(); runs == 1 {
				leaving, other = engine, servers[1-i]
			}
		}
		return leaving != nil
	})
	leaving.leaving.Set(true)
	last := 0
	h.eventually("an answer says that the server leaves", func() bool {
		last++
		got := h.call("e1", "POST", "/dossiers/1", fmt.Sprintf("first-%d", last), callerKey, "call")
		return got.header.Get("Server-Leaving") == "1"
	})
	arrived := leaving.arrived()
	for i := range 30 {
		if got := h.call("e1", "POST", "/dossiers/1", fmt.Sprintf("e1-%d", i), callerKey, "call"); got.status != 200 {
			t.Errorf("call %d: got %+v, want status 200 from the other server", i, got)
		}
	}
	if got := leaving.arrived(); got != arrived {
		t.Errorf("%d more requests reached the leaving server from the entry that knew, want none", got-arrived)
	}
	h.eventually("the other entry hears of it", func() bool {
		log, err := os.ReadFile(h.vms["e2"].logPath)
		return err == nil && strings.Contains(string(log), `step="server leaving"`)
	})
	for i := range 30 {
		if got := h.call("e2", "POST", "/dossiers/1", fmt.Sprintf("e2-%d", i), callerKey, "call"); got.status != 200 {
			t.Errorf("call %d: got %+v, want status 200 from the other server", i, got)
		}
	}
	if got := leaving.arrived(); got != arrived {
		t.Errorf("%d more requests reached the leaving server from the entry that heard of it, want none", got-arrived)
	}
	leaving.eventInterval.Set(0)
	if got := <-running; got.status != 200 || got.body != streamBody(0) || other.header("running") != nil {
		t.Errorf("the stream at the leaving server: got %+v, want it complete and from this server alone", got)
	}
	if runs, _ := other.count(); runs < 60 {
		t.Errorf("the other server ran %d requests, want at least 60", runs)
	}
}

// When all servers of a service leave, calls are refused at once as not run. Another
// instance at the same address is used.
func TestHostedAllServersLeaving(t *testing.T) {
	h := newHostedCluster(t, 1)
	engine := h.platform.addEngine(t, "i-a1", "ledger")
	h.applyDocument(document(7))
	engine.leaving.Set(true)
	if got := h.call("e1", "POST", "/claims/1", "id-1", callerKey, "call"); got.status != 200 || got.header.Get("Server-Leaving") != "1" {
		t.Fatalf("got %+v, want status 200 with the server's word", got)
	}
	arrived := engine.arrived()
	for i := range 5 {
		got := h.call("e1", "POST", "/claims/1", fmt.Sprintf("refused-%d", i), callerKey, "call")
		if got.status != 503 || got.header.Get("Retry-After") == "" {
			t.Errorf("got %+v, want status 503 with Retry-After", got)
		}
	}
	if got := engine.arrived(); got != arrived {
		t.Errorf("%d more requests reached the leaving server, want none", got-arrived)
	}
	restarted := h.platform.restart(engine, "i-a2")
	last := 0
	h.eventually("the new instance is used", func() bool {
		last++
		return h.call("e1", "POST", "/claims/1", fmt.Sprintf("new-%d", last), callerKey, "call").status == 200
	})
	if runs, _ := restarted.count(); runs != 1 {
		t.Errorf("the new instance ran %d requests, want 1", runs)
	}
}

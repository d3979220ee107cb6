package e2e

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// loseDisk kills a replica, erases its disk and starts it again.
func (h *hostedCluster) loseDisk(name string) {
	h.t.Helper()
	h.endWithDisk(name)
	h.start(name)
}

// endWithDisk kills a replica and erases its disk.
func (h *hostedCluster) endWithDisk(name string) {
	h.t.Helper()
	v := h.vms[name]
	h.signal(name, syscall.SIGKILL)
	_ = v.cmd.Wait()
	v.cmd = nil
	if err := os.RemoveAll(v.dataDir); err != nil {
		h.t.Fatal(err)
	}
	h.writeHostedSettings(v, false)
}

// complete reports whether three replicas vote, and each replica holds all that the
// others hold.
func (h *hostedCluster) complete() bool {
	applied := map[uint64]bool{}
	voters := 0
	for name := range h.vms {
		if name[0] != 'r' {
			continue
		}
		d, err := h.dump(name)
		if err != nil || len(d.Replica.Voters) != 3 {
			return false
		}
		if d.isVoter() {
			voters++
		}
		applied[d.Replica.Applied] = true
	}
	return voters == 3 && len(applied) == 1
}

// longDocument returns a document that is much longer than the headers of a message.
func longDocument(version int) map[string]any {
	var routes []map[string]any
	for i := range 300 {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("route-%d-%s", i, strings.Repeat("x", 150)), "host": "desk.example", "path_prefix": fmt.Sprintf("/long-%d/", i),
			"type": "safe", "public": true, "timeout_ms": 2000 + version, "attempts": 1, "service": "ledger",
		})
	}
	return document(version, routes...)
}

// Each replica in turn, always the one that leads, loses its disk while documents are
// acknowledged, with time for the repair in between. In the end one more disk is lost and all
// lose power. The last document that was acknowledged is read back.
func TestHostedDisksLostInSeries(t *testing.T) {
	h := newHostedCluster(t, 1)
	h.platform.addEngine(t, "i-a1", "ledger")
	h.addHostedVM("r4", 3)
	h.writeHostedSettings(h.vms["r4"], false)
	h.start("r4")
	version := 7
	h.applyDocument(document(version))
	for range 4 {
		h.eventually("the first replicas are complete, or time for a repair is over", h.completeOr(10*time.Second))
		for range 4 {
			version++
			h.eventually("the document is acknowledged", func() bool {
				return h.put(fmt.Sprintf("r%d", 1+version%4), longDocument(version)) == http.StatusOK
			})
		}
		h.loseDisk(h.leader(""))
	}
	h.eventually("the replicas are complete, or time for a repair is over", h.completeOr(10*time.Second))
	version++
	h.eventually("the last document is acknowledged", func() bool { return h.put("r1", longDocument(version)) == http.StatusOK })
	h.powerOff(h.leader(""))
	for _, replica := range []string{"r1", "r2", "r3", "r4"} {
		h.eventually(replica+" returns the document", func() bool {
			got := h.version(replica)
			if got != 0 && got != version {
				t.Fatalf("%s: got version %d, want the acknowledged version %d", replica, got, version)
			}
			return got == version
		})
	}
}

// completeOr returns a condition that holds once the replicas are complete, or after limit.
func (h *hostedCluster) completeOr(limit time.Duration) func() bool {
	end := time.Now().Add(limit)
	return func() bool { return h.complete() || time.Now().After(end) }
}

package e2e

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
)

// powerOff ends all processes at once, erases the disk of one replica, and starts all
// again. It can't take away what a process wrote but did not sync: that is part of
// the crash tests of the storage package.
func (h *hostedCluster) powerOff(wiped string) {
	h.t.Helper()
	for name := range h.vms {
		h.signal(name, syscall.SIGKILL)
	}
	for _, v := range h.vms {
		_ = v.cmd.Wait()
		v.cmd = nil
	}
	lost := h.vms[wiped]
	if err := os.RemoveAll(lost.dataDir); err != nil {
		h.t.Fatal(err)
	}
	h.writeHostedSettings(lost, false)
	for name := range h.vms {
		h.start(name)
	}
}

// repaired reports whether all replicas vote with their current incarnations, and
// hold all that the others hold.
func (h *hostedCluster) repaired() bool {
	applied := map[uint64]bool{}
	for i := range 3 {
		d, err := h.dump(fmt.Sprintf("r%d", i+1))
		if err != nil || !d.isVoter() || len(d.Replica.Voters) != 3 {
			return false
		}
		applied[d.Replica.Applied] = true
	}
	return len(applied) == 1
}

// No document that was acknowledged is lost or read back older if all VMs lose power
// right after the acknowledgement and one of the replicas loses its disk, again and
// again once the log has been repaired.
func TestHostedPowerLostByAllWithLostDisk(t *testing.T) {
	h := newHostedCluster(t, 2)
	h.platform.addEngine(t, "i-a1", "ledger")
	version := 7
	h.applyDocument(document(version))
	for round := range 3 {
		h.eventually("the replicas are complete", h.repaired)
		for range 4 {
			version++
			content := document(version, map[string]any{
				"name": "added", "host": "desk.example", "path_prefix": fmt.Sprintf("/added-%d/", version), "type": "safe", "public": true,
				"timeout_ms": 2000, "attempts": 1, "service": "ledger",
			})
			h.eventually("the document is acknowledged", func() bool {
				return h.put(fmt.Sprintf("r%d", 1+version%3), content) == http.StatusOK
			})
		}
		h.powerOff(fmt.Sprintf("r%d", 1+round))
		for _, replica := range []string{"r1", "r2", "r3"} {
			h.eventually(replica+" returns the document", func() bool {
				got := h.version(replica)
				if got != 0 && got != version {
					t.Fatalf("%s: got version %d, want the acknowledged version %d", replica, got, version)
				}
				return got == version
			})
		}
		path := fmt.Sprintf("/added-%d/1", version)
		for _, entry := range []string{"e1", "e2"} {
			h.eventually(entry+" serves the route of the acknowledged document", func() bool {
				got := h.call(entry, "GET", path, fmt.Sprintf("after-%d-%s", round, entry), "", "")
				if got.status == http.StatusNotFound {
					t.Fatalf("%s has an older document in force: %s", entry, strings.TrimSpace(got.body))
				}
				return got.status == http.StatusOK
			})
		}
	}
}

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

// followerReads is longer than the interval at which a replica that does not lead reads the list.
const followerReads = 6 * time.Second

// powerOff ends all processes at once, erases the disk of one replica unless its name is empty, and
// starts all again. It can't take away what a process wrote but did not sync: that is part of
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
	if lost := h.vms[wiped]; lost != nil {
		if err := os.RemoveAll(lost.dataDir); err != nil {
			h.t.Fatal(err)
		}
		h.writeHostedSettings(lost, false)
	}
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

// All VMs lose power while the platform does not answer, once with the disk of the leader. Entries serve by
// the list of backend servers that a replica kept, and follow the platform's list when it answers again.
func TestHostedPowerLostByAllWithoutPlatform(t *testing.T) {
	for name, wiped := range map[string]bool{"with all disks": false, "with a lost disk": true} {
		t.Run(name, func(t *testing.T) {
			h := newHostedCluster(t, 2)
			h.platform.addEngine(t, "i-a1", "ledger")
			h.applyDocument(document(7))
			h.eventually("the replicas are complete", h.repaired)
			// Replicas that do not lead read the list now and then.
			time.Sleep(followerReads)
			h.platform.silent.Store(true)
			lost := ""
			if wiped {
				lost = h.leader("")
			}
			h.powerOff(lost)
			served := func(entry string) func() bool {
				sent := 0
				return func() bool {
					sent++
					return h.call(entry, "GET", "/notices/1", fmt.Sprintf("%s-%s-%d", name, entry, sent), "", "").status == http.StatusOK
				}
			}
			for _, entry := range []string{"e1", "e2"} {
				h.eventually(entry+" serves while the platform is silent", served(entry))
			}
			added := h.platform.addEngine(t, "i-a2", "ledger")
			h.platform.silent.Store(false)
			h.eventually("a server that joined later is used", func() bool {
				served("e1")()
				runs, _ := added.count()
				return runs > 0
			})
		})
	}
}

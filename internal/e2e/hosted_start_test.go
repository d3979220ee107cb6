package e2e

import (
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// roleChanges returns how often a replica logged a change of its role or leader.
func (h *hostedCluster) roleChanges(replica string) int {
	data, err := os.ReadFile(h.vms[replica].logPath)
	if err != nil {
		return 0
	}
	return strings.Count(string(data), `step="role"`)
}

// learnsLog reports whether a replica that joins has heard from the leader and then
// received the log, which names the leader's address. It is no voter until it has
// acknowledged the log.
func (h *hostedCluster) learnsLog(replica string) bool { return h.roleChanges(replica) >= 2 }

// The replicas of a new deployment that join are frozen before they vote, for longer
// than replace_voter_ms. The deployment takes a document once they run again.
func TestHostedLearnersFrozenAfterStart(t *testing.T) {
	h := newHostedCluster(t, 0)
	joining := []string{"r2", "r3"}
	for end := time.Now().Add(waitTimeout); len(joining) > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		kept := joining[:0]
		for _, name := range joining {
			if !h.learnsLog(name) {
				kept = append(kept, name)
				continue
			}
			h.signal(name, syscall.SIGSTOP)
		}
		joining = kept
	}
	if len(joining) > 0 {
		t.Fatalf("%v did not receive the log", joining)
	}
	time.Sleep(3 * time.Second)
	h.signal("r2", syscall.SIGCONT)
	h.signal("r3", syscall.SIGCONT)
	h.eventually("a replica acknowledges the document", func() bool { return h.put("r1", document(7)) == http.StatusOK })
}

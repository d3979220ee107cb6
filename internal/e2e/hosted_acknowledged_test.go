package e2e

import (
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"
)

// putUntilAcknowledged sends a document to the replicas in turn until one of them acknowledges it, as an operator does.
func (h *hostedCluster) putUntilAcknowledged(end time.Time, content any, replicas []string) {
	h.t.Helper()
	for next := 0; ; next++ {
		if h.put(replicas[next%len(replicas)], content) == http.StatusOK {
			return
		}
		if time.Now().After(end) {
			h.t.Fatal("the document was not acknowledged in time")
		}
		time.Sleep(pollInterval)
	}
}

// A replica that had lost its disk did not vote yet when a document was acknowledged. Two further disks were lost right
// after that: no leader was elected any more.
func TestHostedDisksLostRightAfterAcknowledgementDuringRepair(t *testing.T) {
	h := startHostedCluster(t, 5, 1, false)
	h.platform.addEngine(t, "i-a1", "ledger")
	h.applyDocument(document(7))
	h.eventually("all replicas vote", h.allVote)
	replicas := []string{"r1", "r2", "r3", "r4", "r5"}
	leader := h.leader("")
	followers := slices.DeleteFunc(slices.Clone(replicas), func(name string) bool { return name == leader })
	returning, dark, lost := followers[0], followers[1:3], []string{leader, followers[3]}
	for _, name := range dark {
		_ = h.stop(name, syscall.SIGKILL)
	}
	h.loseDisk(returning)
	time.Sleep(catchUpTime)
	for _, name := range dark {
		h.start(name)
	}
	h.putUntilAcknowledged(time.Now().Add(recoveryTime), document(8), replicas)
	for _, name := range lost {
		h.endWithDisk(name)
	}
	for _, name := range lost {
		h.start(name)
	}
	calm := time.Now().Add(recoveryTime)
	for _, replica := range replicas {
		h.within(calm, replica+" returns the document", func() bool { return h.version(replica) == 8 })
	}
}

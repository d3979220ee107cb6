package e2e

import (
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// recoveryTime is the target for recovery once nothing is disturbed any more.
	recoveryTime = 12 * time.Second
	// catchUpTime is the time after its return in which a VM still counts as lost.
	catchUpTime = 6 * time.Second
	// longestFreeze is less than the silence after which a replica counts as not live.
	longestFreeze = 550 * time.Millisecond
)

// within polls like eventually, but until a deadline.
func (h *hostedCluster) within(end time.Time, what string, condition func() bool) {
	h.t.Helper()
	for !condition() {
		if time.Now().After(end) {
			h.t.Fatalf("not in time: %s", what)
		}
		time.Sleep(pollInterval)
	}
}

// allVote reports whether all replicas vote with their current incarnations, beside no others.
func (h *hostedCluster) allVote() bool {
	for name := range h.vms {
		if name[0] != 'r' {
			continue
		}
		if d, err := h.dump(name); err != nil || !d.isVoter() || len(d.Replica.Voters) != h.replicas {
			return false
		}
	}
	return true
}

// loseVoterWhileItIsReplaced ends a replica with its disk, starts it with an empty one, and ends it with its disk again
// while both its voters are listed. It reports false if the leader ended the replacement before. The survivor is frozen for
// a moment, as the commit that ends the replacement waits for it.
func (h *hostedCluster) loseVoterWhileItIsReplaced(leader, returning, survivor string) bool {
	h.t.Helper()
	lostAt := time.Now()
	h.loseDisk(returning)
	isReturning := func(member string) bool { return strings.HasPrefix(member, returning+"/") }
	var frozenAt time.Time
	defer func() {
		if !frozenAt.IsZero() {
			h.signal(survivor, syscall.SIGCONT)
		}
	}()
	for end := lostAt.Add(recoveryTime); time.Now().Before(end); time.Sleep(time.Millisecond) {
		d, err := h.dump(leader)
		if err != nil {
			continue
		}
		isLearner := slices.ContainsFunc(d.Replica.Learners, isReturning)
		voters := len(slices.DeleteFunc(slices.Clone(d.Replica.Voters), func(voter string) bool { return !isReturning(voter) }))
		switch {
		case voters == 2 && len(d.Replica.Voters) == h.replicas+1:
			h.endWithDisk(returning)
			return true
		case frozenAt.IsZero() && isLearner && time.Since(lostAt) > 400*time.Millisecond:
			h.signal(survivor, syscall.SIGSTOP)
			frozenAt = time.Now()
		case !frozenAt.IsZero() && time.Since(frozenAt) > longestFreeze:
			return false
		}
	}
	return false
}

// Two of five VMs lose their disks, and one of them again as soon as its new replica votes: no leader was elected any more.
func TestHostedVoterLostAgainWhileItIsReplaced(t *testing.T) {
	h := startHostedCluster(t, 5, 1, false)
	h.platform.addEngine(t, "i-a1", "ledger")
	h.applyDocument(document(7))
	h.eventually("all replicas vote", h.allVote)
	h.eventually("the document is acknowledged", func() bool { return h.put("r1", document(8)) == http.StatusOK })
	replicas := []string{"r1", "r2", "r3", "r4", "r5"}
	others := func(excluded ...string) []string {
		return slices.DeleteFunc(slices.Clone(replicas), func(name string) bool { return slices.Contains(excluded, name) })
	}
	away := others(h.leader(""))[0]
	h.endWithDisk(away)
	returning := ""
	for attempt := 1; ; attempt++ {
		leader := h.leader("")
		followers := others(leader, away)
		returning = followers[0]
		if h.loseVoterWhileItIsReplaced(leader, returning, followers[1]) {
			break
		}
		if attempt == 5 {
			t.Fatal("no replica lost its disk while it was replaced")
		}
		time.Sleep(catchUpTime)
	}
	h.start(returning)
	h.start(away)
	calm := time.Now().Add(recoveryTime)
	for _, replica := range replicas {
		h.within(calm, replica+" returns the document", func() bool {
			got := h.version(replica)
			if got != 0 && got != 8 {
				t.Fatalf("%s: got version %d, want the acknowledged version 8", replica, got)
			}
			return got == 8
		})
	}
	h.within(calm, "a further document is acknowledged", func() bool { return h.put(away, document(9)) == http.StatusOK })
}

package replication

import (
	"testing"
	"time"
)

// TestSecondVoterLostAfterRepair loses a voter, lets it be replaced, and loses
// a second one at once, while the first one's VM is still gone.
func TestSecondVoterLostAfterRepair(t *testing.T) {
	for seed := range uint64(10) {
		w, leader, followers := settled(t, seed, 5)
		w.propose(leader)
		w.run(time.Second)
		lost := followers[0]
		w.wipe(lost)
		w.runUntil(t, 10*time.Second, func() bool {
			m := leader.node.log.membership()
			return !m.Contains(lost.self.ID) && len(m.Voters) == 3 && leader.node.log.commit >= leader.node.log.membershipIndex() && !hasVM(m, lost)
		})
		before := len(w.chain)
		w.wipe(followers[1])
		w.run(8 * time.Second)
		w.propose(w.leader())
		w.run(time.Second)
		if len(w.chain) <= before {
			t.Fatalf("seed %d: no progress after the second loss", seed)
		}
		w.heal()
		w.run(10 * time.Second)
		w.checkProgress(t)
		w.expectSound(t)
	}
}

func hasVM(m *Membership, h *host) bool {
	for _, voter := range m.Voters {
		if voter.ID.VM == h.self.ID.VM {
			return true
		}
	}
	return false
}

func (w *network) runUntil(t *testing.T, limit time.Duration, done func() bool) {
	t.Helper()
	for end := w.now + limit; !done(); w.run(quantum) {
		if w.now > end {
			t.Fatal("not reached in time")
		}
	}
}

// TestSecondVoterLostDuringRepair loses a second voter while four are in
// force: progress stops, nothing is lost, and it returns with the second disk.
func TestSecondVoterLostDuringRepair(t *testing.T) {
	for seed := range uint64(10) {
		w, leader, followers := settled(t, seed, 4)
		w.propose(leader)
		w.run(time.Second)
		w.wipe(followers[0])
		w.runUntil(t, 10*time.Second, func() bool {
			return len(leader.node.log.membership().Voters) == 4
		})
		w.stop(followers[1])
		w.run(5 * time.Second)
		before := len(w.chain)
		w.start(followers[0])
		w.run(2 * time.Second)
		for _, h := range w.hosts {
			w.propose(h)
		}
		w.run(2 * time.Second)
		// The change may have been committed just before the loss.
		stopped := w.leader() == nil
		if stopped && len(w.chain) != before {
			t.Fatalf("seed %d: committed without a quorum", seed)
		}
		w.heal()
		w.run(10 * time.Second)
		w.checkProgress(t)
		w.expectSound(t)
	}
}

// TestOlderDisk: a voter whose disk comes back older than what it acknowledged
// is found out and replaced.
func TestOlderDisk(t *testing.T) {
	w, leader, followers := settled(t, 1, 4)
	older := followers[0].disk
	for range 20 {
		w.propose(leader)
	}
	w.run(time.Second)
	w.stop(followers[0])
	followers[0].disk = older
	w.start(followers[0])
	w.runUntil(t, 10*time.Second, func() bool { return !leader.node.log.membership().IsVoter(followers[0].self.ID) })
	w.run(10 * time.Second)
	w.checkProgress(t)
	w.expectSound(t)
}

// lostDisk commits an entry on the leader and one follower, takes away that
// follower's disk, and leaves it alone with the follower that lacks the entry.
func lostDisk(t *testing.T, keepName bool) *network {
	w, leader, followers := settled(t, 1, 3)
	w.keepName = keepName
	w.isolate(followers[1], true, true)
	w.run(100 * time.Millisecond)
	w.propose(leader)
	w.run(100 * time.Millisecond)
	clear(w.cut)
	w.isolate(leader, true, true)
	w.wipe(followers[0])
	w.start(followers[0])
	w.run(3 * time.Second)
	return w
}

// TestVoteOfEmptyDisk: a voter that lost its disk must not vote. If it does,
// under its old incarnation, a committed entry is lost and the checks say so.
func TestVoteOfEmptyDisk(t *testing.T) {
	if w := lostDisk(t, true); len(w.broken) == 0 {
		t.Fatal("a vote by an empty disk under its old incarnation was not found out")
	}
	w := lostDisk(t, false)
	w.expectSound(t)
	w.heal()
	w.run(10 * time.Second)
	w.checkProgress(t)
	w.expectSound(t)
}

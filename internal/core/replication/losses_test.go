package replication

import (
	"testing"
	"time"
)

// TestSecondVoterLostAfterRepair checks that the log makes progress after a voter
// is lost and replaced and a second one is lost right afterwards, while the VM of
// the first one is still down.
func TestSecondVoterLostAfterRepair(t *testing.T) {
	for seed := range uint64(10) {
		net, leader, followers := newSettledNetwork(t, seed, 5)
		net.propose(leader)
		net.run(time.Second)
		lost := followers[0]
		net.wipe(lost)
		net.runUntil(t, 10*time.Second, func() bool {
			m := leader.node.log.membership()
			return !m.Contains(lost.self.ID) && len(m.Voters) == 3 && leader.node.log.commit >= leader.node.log.membershipIndex() && !hasVoterOnVM(m, lost)
		})
		before := len(net.committedDigests)
		net.wipe(followers[1])
		net.run(8 * time.Second)
		net.propose(net.leader())
		net.run(time.Second)
		if len(net.committedDigests) <= before {
			t.Fatalf("seed %d: no entry committed after the loss of the second voter", seed)
		}
		net.heal()
		net.run(10 * time.Second)
		net.checkProgress(t)
		net.expectNoViolations(t)
	}
}

func hasVoterOnVM(m *Membership, h *host) bool {
	for _, voter := range m.Voters {
		if voter.ID.VM == h.self.ID.VM {
			return true
		}
	}
	return false
}

func (net *network) runUntil(t *testing.T, limit time.Duration, done func() bool) {
	t.Helper()
	for end := net.now + limit; !done(); net.run(timeStep) {
		if net.now > end {
			t.Fatal("condition not met within the limit of simulated time")
		}
	}
}

// TestSecondVoterLostDuringRepair checks the loss of a second of three voters while the
// first one is being replaced: nothing is committed and no entry is lost, and
// progress returns with the disk of the second voter.
func TestSecondVoterLostDuringRepair(t *testing.T) {
	for seed := range uint64(10) {
		net, leader, followers := newSettledNetwork(t, seed, 4)
		net.propose(leader)
		net.run(time.Second)
		net.wipe(followers[0])
		net.runUntil(t, 10*time.Second, func() bool {
			return len(leader.node.log.membership().Voters) == 4
		})
		net.stop(followers[1])
		net.run(5 * time.Second)
		before := len(net.committedDigests)
		net.start(followers[0])
		net.run(2 * time.Second)
		for _, h := range net.hosts {
			net.propose(h)
		}
		net.run(2 * time.Second)
		// The membership change may have been committed just before the loss.
		stopped := net.leader() == nil
		if stopped && len(net.committedDigests) != before {
			t.Fatalf("seed %d: an entry was committed without a quorum", seed)
		}
		net.heal()
		net.run(10 * time.Second)
		net.checkProgress(t)
		net.expectNoViolations(t)
	}
}

// TestVoterWithOlderDiskIsReplaced checks that the leader detects and replaces a
// voter that restarts with an older state of its disk, which lacks entries that
// the voter had acknowledged.
func TestVoterWithOlderDiskIsReplaced(t *testing.T) {
	net, leader, followers := newSettledNetwork(t, 1, 4)
	older := followers[0].disk
	for range 20 {
		net.propose(leader)
	}
	net.run(time.Second)
	net.stop(followers[0])
	followers[0].disk = older
	net.start(followers[0])
	net.runUntil(t, 10*time.Second, func() bool { return !leader.node.log.membership().IsVoter(followers[0].self.ID) })
	net.run(10 * time.Second)
	net.checkProgress(t)
	net.expectNoViolations(t)
}

// networkWithLostDisk commits an entry on the leader and one follower, wipes the
// disk of that follower, and isolates the leader, so that the wiped follower can
// only reach the one that lacks the entry.
func networkWithLostDisk(t *testing.T, reuseIncarnation bool) *network {
	net, leader, followers := newSettledNetwork(t, 1, 3)
	net.reuseIncarnation = reuseIncarnation
	net.isolate(followers[1], true, true)
	net.run(100 * time.Millisecond)
	net.propose(leader)
	net.run(100 * time.Millisecond)
	clear(net.blockedLinks)
	net.isolate(leader, true, true)
	net.wipe(followers[0])
	net.start(followers[0])
	net.run(3 * time.Second)
	return net
}

// TestVoterWithEmptyDiskDoesNotVote checks that a voter that lost its disk does
// not vote. If it voted under its old incarnation, a committed entry would be
// lost; the test also checks that the invariant checks detect this.
func TestVoterWithEmptyDiskDoesNotVote(t *testing.T) {
	if net := networkWithLostDisk(t, true); len(net.violations) == 0 {
		t.Fatal("the checks did not detect a vote with an empty disk under the old incarnation")
	}
	net := networkWithLostDisk(t, false)
	net.expectNoViolations(t)
	net.heal()
	net.run(10 * time.Second)
	net.checkProgress(t)
	net.expectNoViolations(t)
}

// The disks of all hosts take no writes for some seconds, one after the other, while commands are proposed, the
// log is compacted, and voters are replaced meanwhile. Each time and in the end, commands must be committed again
// without further help.
func TestDisksStallInTurn(t *testing.T) {
	for seed := range uint64(20) {
		opts := testOptions()
		opts.MinVoters = opts.TargetVoters
		net, _, _ := newSettledNetworkWith(t, seed, 4, opts)
		rounds := func(h *host, count int) {
			for range count {
				if leader := net.leader(); leader != nil {
					net.propose(leader)
				}
				net.run(100 * time.Millisecond)
				if other := net.hosts[net.rand.IntN(len(net.hosts))]; other != h {
					net.compact(other)
				}
			}
		}
		for range 12 {
			stalled := net.hosts[net.rand.IntN(len(net.hosts))]
			if leader := net.leader(); leader != nil && net.rand.IntN(2) == 0 {
				stalled = leader
			}
			stalled.extraSyncTime = 4 * time.Second
			rounds(stalled, 15+net.rand.IntN(30))
			stalled.extraSyncTime = 0
			stalled.writeDoneAt = min(stalled.writeDoneAt, net.now)
			before := len(net.committedDigests)
			rounds(nil, 20)
			if len(net.committedDigests) == before {
				t.Fatalf("seed %d: nothing was committed for two seconds after the disk of %v took writes again", seed, stalled.self.ID)
			}
		}
		net.run(5 * time.Second)
		net.checkProgress(t)
		net.expectNoViolations(t)
	}
}

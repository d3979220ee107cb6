package replication

import (
	"testing"
	"time"
)

// proposeUntilCommitted proposes commands at any leader until one of them is committed, and returns that leader.
func (net *network) proposeUntilCommitted(t *testing.T, limit time.Duration) *host {
	t.Helper()
	var leader *host
	var term, index uint64
	net.runUntil(t, limit, func() bool {
		if leader != nil && leader.node.leaderState != nil && leader.node.term == term && leader.node.log.commit >= index {
			return true
		}
		current := net.leader()
		if current == nil || current == leader && current.node.term == term {
			return false
		}
		before := current.node.log.lastIndex()
		if net.propose(current); current.node.log.lastIndex() > before {
			leader, term, index = current, current.node.term, current.node.log.lastIndex()
		}
		return false
	})
	return leader
}

// productionOptions has the times of internal/replica, and those of a hosting platform.
func productionOptions() Options {
	opts := fiveVoterOptions()
	opts.ElectionTimeout, opts.HeartbeatInterval, opts.LeaseDuration = 600*time.Millisecond, 100*time.Millisecond, 400*time.Millisecond
	opts.ReplaceAfter = 2 * time.Second
	return opts
}

// One of five VMs lost its disk and returned without a quorum. Right after the quorum was back, a command was committed,
// while the lost disk still voted and its replacement did not: two further lost disks left no quorum for good.
func TestDisksLostRightAfterCommitDuringRepair(t *testing.T) {
	for seed := range uint64(40) {
		net, leader, others := newSettledNetworkWith(t, seed, 5, productionOptions())
		net.joinInterval, net.keepAddresses = 500*time.Millisecond, true
		net.run(2 * time.Second)
		returning, dark := others[0], others[1:3]
		for _, h := range dark {
			net.stop(h)
		}
		net.wipe(returning)
		net.start(returning)
		net.run(6 * time.Second)
		if seed%2 == 1 {
			// All processes restart, so that none remembers that the VM returned without its disk.
			net.powerOff(nil)
		}
		for _, h := range dark {
			if h.node == nil {
				net.start(h)
			}
		}
		acknowledging := net.proposeUntilCommitted(t, 10*time.Second)
		lost := []*host{acknowledging, others[3]}
		if acknowledging == others[3] {
			lost[1] = leader
		}
		for _, h := range lost {
			net.wipe(h)
		}
		net.expectLeader(t)
	}
}

// A new replica that answers, but whose disk takes no writes, held up acknowledgements for good.
func TestReplicaThatNeverVotesDoesNotStopAcknowledgements(t *testing.T) {
	for seed := range uint64(10) {
		net, leader, others := newSettledNetworkWith(t, seed, 5, productionOptions())
		net.joinInterval, net.keepAddresses = 500*time.Millisecond, true
		net.run(2 * time.Second)
		net.wipe(others[0])
		net.run(time.Second)
		others[0].extraSyncTime = 1000 * time.Hour
		net.start(others[0])
		net.run(20 * time.Second)
		before := leader.node.log.lastIndex()
		net.propose(leader)
		if leader.node.log.lastIndex() == before {
			t.Errorf("seed %d: a command was refused", seed)
		}
	}
}

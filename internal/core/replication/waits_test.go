package replication

import (
	"slices"
	"testing"
	"time"
)

// learnerWaits returns the reasons of the leader's learners on a VM.
func (net *network) learnerWaits(leader *host, vm string) (waits []LearnerWait) {
	if leader.node.leaderState == nil {
		return nil
	}
	for _, p := range leader.node.Status().Peers {
		if !p.Voter && p.Member.ID.VM == vm {
			waits = append(waits, p.Learner.Wait)
		}
	}
	return waits
}

// expectWait runs until the leader names a reason for the learner on a VM.
func (net *network) expectWait(t *testing.T, leader *host, vm string, want LearnerWait) {
	t.Helper()
	net.runUntil(t, 10*time.Second, func() bool { return slices.Contains(net.learnerWaits(leader, vm), want) })
}

// A voter's VM is back with the log before the leader counts the voter as silent.
func TestLearnerWaitsForPredecessor(t *testing.T) {
	net, leader, others := settledFiveVoters(t, 1)
	returning := others[0]
	former := returning.self.ID
	net.wipe(returning)
	net.start(returning)
	net.step(leader, Join{Member: returning.self})
	net.runUntil(t, 10*time.Second, func() bool {
		// Messages of the former incarnation are still on their way.
		if p := leader.node.leaderState.peers[former]; p != nil {
			p.contactAt = leader.node.now
		}
		return slices.Contains(net.learnerWaits(leader, returning.self.ID.VM), WaitPredecessor)
	})
	net.runUntil(t, 10*time.Second, func() bool { return leader.node.log.membership().IsVoter(returning.self.ID) })
}

// The learner is silent, and then lacks more entries than a caught-up one may.
func TestLearnerWaitsSilentAndBehind(t *testing.T) {
	opts := fiveVoterOptions()
	opts.ReplaceAfter = time.Minute
	net, leader, others := newSettledNetworkWith(t, 1, 5, opts)
	net.runUntil(t, 10*time.Second, func() bool { return len(leader.node.log.membership().Voters) == 5 })
	returning := others[0]
	net.wipe(returning)
	net.start(returning)
	net.runUntil(t, 10*time.Second, func() bool { return leader.node.log.membership().IsLearner(returning.self.ID) })
	net.isolate(returning, true, true)
	net.expectWait(t, leader, returning.self.ID.VM, WaitSilent)
	if got := leader.node.Status().Peers; !slices.ContainsFunc(got, func(p PeerStatus) bool { return p.Learner.Waited >= opts.ElectionTimeout/2 }) {
		t.Errorf("no learner has waited for long: %+v", got)
	}
	for range 2 * maxCatchUpLag {
		net.propose(leader)
	}
	net.run(time.Second)
	net.isolate(returning, false, false)
	net.expectWait(t, leader, returning.self.ID.VM, WaitBehind)
	net.runUntil(t, 10*time.Second, func() bool { return leader.node.log.membership().IsVoter(returning.self.ID) })
}

// A sixth node finds five live voters.
func TestLearnerWaitsWithoutPlace(t *testing.T) {
	opts := fiveVoterOptions()
	net, leader, _ := newSettledNetworkWith(t, 1, 6, opts)
	net.runUntil(t, 10*time.Second, func() bool {
		m := leader.node.log.membership()
		return len(m.Voters) == 5 && len(m.Learners) == 1
	})
	net.expectWait(t, leader, leader.node.log.membership().Learners[0].ID.VM, WaitNoPlace)
}

// Heartbeats of the returning node, or of another voter, are not acknowledged yet.
func TestLearnerWaitsForHeartbeat(t *testing.T) {
	for _, want := range []LearnerWait{WaitHeartbeat, WaitOtherVoter} {
		net, leader, others := settledFiveVoters(t, 1)
		returning, other := others[0], others[1]
		net.wipe(returning)
		net.run(2 * net.opts.ElectionTimeout)
		net.start(returning)
		found := false
		for end := net.now + 10*time.Second; net.now < end && !found; {
			net.run(timeStep)
			if p := leader.node.leaderState.peers[returning.self.ID]; p != nil && want == WaitHeartbeat {
				p.acked = false
			}
			if want == WaitOtherVoter {
				leader.node.leaderState.peers[other.self.ID].acked = false
			}
			found = slices.Contains(net.learnerWaits(leader, returning.self.ID.VM), want)
		}
		if !found {
			t.Errorf("the leader never named reason %d", want)
		}
		net.run(5 * time.Second)
		if !leader.node.log.membership().IsVoter(returning.self.ID) {
			t.Errorf("reason %d: the learner did not become a voter afterwards", want)
		}
	}
}

// Three of five voters are gone: the two that are left can't elect a leader, and say why.
func TestElectionStatusTellsLostVoters(t *testing.T) {
	net, leader, others := settledFiveVoters(t, 1)
	lost := []*host{leader, others[0], others[1]}
	former := make(map[NodeID]bool)
	for _, h := range lost {
		former[h.self.ID] = true
		net.wipe(h)
	}
	net.run(5 * net.opts.ElectionTimeout)
	survivor := others[2]
	if s := survivor.node.Status().Election; s.Kept != 5 || s.Need != 3 {
		t.Errorf("before the return of the lost VMs: kept %d, need %d, want 5 and 3", s.Kept, s.Need)
	}
	for _, h := range lost {
		net.start(h)
		net.step(survivor, Join{Member: h.self})
	}
	net.run(5 * net.opts.ElectionTimeout)
	s := survivor.node.Status().Election
	if s.Kept != 2 || s.Need != 3 || len(s.Voters) != 5 {
		t.Fatalf("kept %d, need %d, %d voters, want 2, 3 and 5", s.Kept, s.Need, len(s.Voters))
	}
	for _, v := range s.Voters {
		if v.Gone != former[v.ID] || v.Asked != (v.ID != survivor.self.ID) {
			t.Errorf("wrong state of voter %+v", v)
		}
	}
	// An empty replica knows no voter.
	if s := lost[0].node.Status().Election; s.Leaderless == 0 || s.Kept != 0 || s.Need != 0 || len(s.Voters) != 0 {
		t.Errorf("an empty replica: %+v", s)
	}
}

// A write that never returns shows in the status once the node no longer campaigns because of it.
func TestStatusTellsStalledWrite(t *testing.T) {
	net, leader, others := settledFiveVoters(t, 1)
	stuck := others[0]
	stuck.extraSyncTime = time.Hour
	net.propose(leader)
	net.run(2 * net.opts.ElectionTimeout)
	if got := stuck.node.Status().WriteStalled; got != 0 {
		t.Errorf("stalled for %v after two election timeouts", got)
	}
	net.run(2 * net.opts.ElectionTimeout)
	if got := stuck.node.Status().WriteStalled; got < diskStallTimeouts*net.opts.ElectionTimeout {
		t.Errorf("stalled for %v after four election timeouts", got)
	}
}

package replication

import (
	"testing"
	"time"
)

// An outage could not be told from outside: no status named the voters that did not answer, or why others refused.
func TestStatusTellsWhyThereIsNoLeader(t *testing.T) {
	net, leader, followers := newSettledNetwork(t, 1, 3)
	behind, lost := followers[0], followers[1]
	net.stop(behind)
	net.propose(leader)
	net.run(time.Second)
	if s := leader.node.Status().Election; s.Leaderless != 0 || len(s.Answers) != 0 {
		t.Fatalf("the leader reports %+v", s)
	}
	net.stop(lost)
	net.start(behind)
	net.isolate(leader, true, false)
	net.run(2 * time.Second)
	election := behind.node.Status().Election
	if election.Leaderless < time.Second {
		t.Fatalf("no leader for %v after two seconds without one", election.Leaderless)
	}
	clear(net.blockedLinks)
	leader.node.stopping = true
	net.run(time.Second)
	want := map[NodeID]VoteAnswer{leader.self.ID: VoteRefusedLog, lost.self.ID: VoteUnanswered}
	election = behind.node.Status().Election
	if len(election.Answers) != len(want) {
		t.Fatalf("got answers %v, want %v", election.Answers, want)
	}
	for _, a := range election.Answers {
		if a.Answer != want[a.Voter] {
			t.Errorf("got answers %v, want %v", election.Answers, want)
		}
	}
}

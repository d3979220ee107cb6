package replication

import (
	"testing"
	"time"
)

// TestStoppingNodeNeverLeads checks that a leader that resigns because it stops is
// followed by another voter, for which it votes, and that it never campaigns again,
// nor wins an election that it had started.
func TestStoppingNodeNeverLeads(t *testing.T) {
	for seed := range uint64(20) {
		net, leader, followers := newSettledNetwork(t, seed, 3)
		net.isolate(followers[0], true, true)
		net.step(leader, Resign{Stopping: true})
		net.run(time.Second)
		if net.leader() != followers[1] {
			t.Fatalf("seed %d: the voter that the stopped leader can reach does not lead", seed)
		}
		net.isolate(followers[1], true, true)
		term := leader.node.term
		net.run(5 * time.Second)
		if leader.node.role != RoleFollower || leader.node.term != term {
			t.Fatalf("seed %d: the stopped leader is %v in term %d, want a follower in term %d", seed, leader.node.role, leader.node.term, term)
		}
		net.expectNoViolations(t)
	}
	for _, start := range []func(*Node){(*Node).preCampaign, (*Node).campaign} {
		_, _, followers := newSettledNetwork(t, 1, 3)
		n := followers[0].node
		n.leaderContact = false
		start(n)
		term := n.term
		n.Step(n.now, Resign{Stopping: true})
		for _, kind := range []MessageKind{MessagePreVoteReply, MessageVoteReply} {
			for _, other := range n.others() {
				n.Step(n.now, Receive{Message: Message{Kind: kind, From: other.ID, To: n.self(), Term: term, Granted: true}})
			}
		}
		if n.role != RoleFollower {
			t.Fatalf("a candidate that stops became %v, want a follower", n.role)
		}
	}
}

// TestDrainingNodeLeadsOnlyAlone checks that a leader that resigns because it drains
// is followed by another voter, and campaigns again only if no other voter does.
func TestDrainingNodeLeadsOnlyAlone(t *testing.T) {
	for seed := range uint64(20) {
		net, leader, followers := newSettledNetwork(t, seed, 3)
		net.step(leader, Resign{Leaving: true})
		net.run(2 * time.Second)
		if successor := net.leader(); successor == nil || successor == leader {
			t.Fatalf("seed %d: no other voter leads", seed)
		}
		for _, h := range followers {
			net.step(h, Resign{Stopping: true})
		}
		net.run(5 * time.Second)
		if net.leader() != leader {
			t.Fatalf("seed %d: the draining node does not lead although no other voter campaigns", seed)
		}
		net.expectNoViolations(t)
	}
}

// TestMessagesAfterResignAreNotFollowed checks that a follower does not return to a
// leader that has resigned when earlier messages of that leader arrive late.
func TestMessagesAfterResignAreNotFollowed(t *testing.T) {
	for _, kind := range []MessageKind{MessageHeartbeat, MessageAppend} {
		_, leader, followers := newSettledNetwork(t, 1, 3)
		n := followers[0].node
		from, term := leader.node.self(), n.term
		n.Step(n.now, Receive{Message: Message{Kind: MessageResign, From: from, To: n.self(), Term: term}})
		n.Step(n.now, Receive{Message: Message{Kind: kind, From: from, To: n.self(), Term: term}})
		if !n.leader.IsZero() || n.refusesVotes() {
			t.Errorf("message kind %v: the follower follows %v again and refuses votes: %v", kind, n.leader, n.refusesVotes())
		}
	}
}

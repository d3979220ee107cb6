package replication

import (
	"slices"
	"time"
)

const (
	// joinRequestTimeouts is how long a join request counts, in election timeouts. A node that is no member repeats
	// its request sooner.
	joinRequestTimeouts = 5
	// joinReportHeartbeats is the time that other replicas have to tell a new leader of join requests, in heartbeat
	// intervals.
	joinReportHeartbeats = 2
	// repairTimeouts is how long an incarnation that doesn't vote yet holds up acknowledgements, in election timeouts. One that
	// never catches up must not stop them for good.
	repairTimeouts = 10
	// maxJoinRequests bounds the VMs whose join requests are kept.
	maxJoinRequests = 64
)

// joinRequest is the latest request of a VM to join.
type joinRequest struct {
	member Member
	at     time.Duration
}

// recordJoinRequest keeps a join request, also while this node does not lead: it tells the next leader that the VM's
// former voter is gone.
func (n *Node) recordJoinRequest(member Member) {
	n.joinRequests = slices.DeleteFunc(n.joinRequests, func(r joinRequest) bool { return r.member.ID.VM == member.ID.VM })
	if len(n.JoinRequests()) < maxJoinRequests {
		n.joinRequests = append(n.joinRequests, joinRequest{member, n.now})
	}
}

// answerForPredecessor answers a heartbeat for an earlier incarnation on this VM, so that the leader hears at once that its
// disk is lost.
func (n *Node) answerForPredecessor(m *Message) {
	if m.Kind == MessageHeartbeat && m.To.VM == n.self().VM {
		n.sendInTerm(Message{Kind: MessageHeartbeatReply, To: m.From, Rejected: true})
	}
}

// recordSuccessor counts a message of a node that is no member as a request to join, if the voter on its VM does not answer.
func (n *Node) recordSuccessor(from NodeID) {
	if n.leaderState == nil || n.log.membership().Contains(from) {
		return
	}
	for _, voter := range n.log.membership().Voters {
		if address := n.AddressOf(from); voter.ID.VM == from.VM && !n.hasAnswered(voter.ID) && address != "" {
			n.recordJoinRequest(Member{ID: from, Zone: voter.Zone, Address: address})
		}
	}
}

// JoinRequests returns the nodes that asked to join lately and are no members yet.
func (n *Node) JoinRequests() (members []Member) {
	n.joinRequests = slices.DeleteFunc(n.joinRequests, func(r joinRequest) bool {
		return n.now-r.at >= joinRequestTimeouts*n.opts.ElectionTimeout || n.log.membership().Contains(r.member.ID)
	})
	for _, r := range n.joinRequests {
		members = append(members, r.member)
	}
	return members
}

// bearsLostDisks reports whether a quorum is left if Options.LostDisks further voters lose their disks. What is acknowledged while
// a voter's disk is lost already could not be read any more after such losses.
func (n *Node) bearsLostDisks() bool {
	if n.opts.LostDisks == 0 {
		return true
	}
	if !n.heardVoters() {
		return false
	}
	r := n.log.membership().Replacement
	if r.IsZero() {
		return n.bearsLostDisksWithout(NodeID{})
	}
	return n.bearsLostDisksWithout(r.Incoming) && n.bearsLostDisksWithout(r.Outgoing)
}

// bearsLostDisksWithout is bearsLostDisks for a majority of the voters other than excluded.
func (n *Node) bearsLostDisksWithout(excluded NodeID) bool {
	voters, kept := 0, 0
	for _, voter := range n.log.membership().Voters {
		if voter.ID == excluded {
			continue
		}
		voters++
		if !n.returnedWithoutDisk(voter.ID) {
			kept++
		}
	}
	return kept-n.opts.LostDisks > voters/2
}

// heardVoters reports whether the leader knows which VMs run without the disk that votes: each voter has answered it, or
// it leads for long enough to have heard of their join requests.
func (n *Node) heardVoters() bool {
	if n.now-n.leaderState.electedAt >= joinReportHeartbeats*n.opts.HeartbeatInterval {
		return true
	}
	return !slices.ContainsFunc(n.log.membership().Voters, func(m Member) bool { return !n.hasAnswered(m.ID) })
}

// hasAnswered reports whether the member is live and has acknowledged a heartbeat of this leader.
func (n *Node) hasAnswered(id NodeID) bool {
	return id == n.self() || n.isLive(id) && n.leaderState.peers[id].acked
}

// returnedWithoutDisk reports whether a voter's VM runs another incarnation, which may not vote yet, and has not done so for
// long. A voter that answers has its disk.
func (n *Node) returnedWithoutDisk(voter NodeID) bool {
	if n.hasAnswered(voter) || !n.isSucceeded(voter) {
		return false
	}
	since, known := n.leaderState.returnedAt[voter]
	return !known || n.now-since < repairTimeouts*n.opts.ElectionTimeout
}

// recordReturns records since when the VMs of voters run other incarnations.
func (n *Node) recordReturns() {
	for _, voter := range n.log.membership().Voters {
		if _, known := n.leaderState.returnedAt[voter.ID]; !known && !n.hasAnswered(voter.ID) && n.isSucceeded(voter.ID) {
			n.leaderState.returnedAt[voter.ID] = n.now
		}
	}
}

// isSucceeded reports whether another incarnation on the voter's VM was heard of lately.
func (n *Node) isSucceeded(voter NodeID) bool {
	isSuccessor := func(m Member) bool { return m.ID.VM == voter.VM && m.ID != voter }
	return n.hasSuccessor(voter) || slices.ContainsFunc(n.JoinRequests(), isSuccessor) ||
		slices.ContainsFunc(n.log.membership().Learners, func(m Member) bool { return isSuccessor(m) && n.isLive(m.ID) })
}

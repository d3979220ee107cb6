package replication

import "time"

// recordLeaseHolder records the leader whose lease may depend on this node from
// now on.
func (n *Node) recordLeaseHolder(leader NodeID) {
	if n.leaseHolder == leader && n.leaseHolderTerm == n.term {
		return
	}
	n.leaseHolder, n.leaseHolderTerm = leader, n.term
	n.writes.hardStateDirty = true
}

// recordLeaderContact records contact with a leader and resets the election
// timer.
func (n *Node) recordLeaderContact() {
	n.leaderContact = true
	n.leaderContactAt = n.now
	n.campaignsAsNonVoter = false
	n.resetElectionTimer()
}

// leavingDelayTimeouts is the additional wait of a leaving node before it
// campaigns, in election timeouts. It lets the other voters campaign first.
const leavingDelayTimeouts = 2

// resetElectionTimer sets the next election to a random time in [1, 2) election
// timeouts from now, and later for a leaving node.
func (n *Node) resetElectionTimer() {
	jitter := time.Duration(n.rand.Int64N(int64(n.opts.ElectionTimeout)))
	n.electionAt = n.now + n.opts.ElectionTimeout + jitter
	if n.leaving {
		n.electionAt += leavingDelayTimeouts * n.opts.ElectionTimeout
	}
}

// refusesVotes reports whether a leader may hold a lease that depends on this
// node. The term does not matter: the lease of a leader of an older term may last
// for up to an election timeout after this node last heard from that leader.
func (n *Node) refusesVotes() bool {
	if n.leaderState != nil {
		return true
	}
	return n.leaderContact && n.now-n.leaderContactAt < n.opts.ElectionTimeout
}

// endLeaseOnVoteRequest stops waiting for the lease of the leader last heard
// from if that leader requests votes in a later term: it has stepped down and
// holds no lease.
func (n *Node) endLeaseOnVoteRequest(m *Message) {
	if n.leaderState == nil && m.From == n.leaseHolder && m.Term > n.leaseHolderTerm {
		n.leaderContact = false
	}
}

// becomeFollower adopts a term and its leader, if known. A node that was leader
// rejects its pending proposals and reads.
func (n *Node) becomeFollower(term uint64, leader NodeID) {
	if term > n.term {
		n.term = term
		n.vote = NodeID{}
		n.writes.hardStateDirty = true
	}
	pending := n.leaderState
	n.leaderState = nil
	n.role = RoleFollower
	n.leader = leader
	n.votes = nil
	if pending != nil {
		n.resetElectionTimer()
		n.rejectPending(pending)
	}
}

// rejectPending rejects the proposals and reads that a former leader had not
// finished.
func (n *Node) rejectPending(l *leadership) {
	for _, p := range l.pending {
		n.reject(p.Token, RejectLost)
	}
	for _, r := range l.reads {
		n.reject(r.token, RejectNotLeader)
	}
}

// restartRetryHeartbeats is the wait of a restarted leader between two pre-vote
// requests, in heartbeat intervals. It is long enough for the replies of the
// voters that are already running.
const restartRetryHeartbeats = 2

// preCampaign starts a pre-vote, which finds out whether the node could win an
// election without raising its term. A restarted leader that has not been
// replaced repeats it at short intervals, since the other voters wait for its
// former lease to expire.
func (n *Node) preCampaign() {
	n.resetElectionTimer()
	if !n.leaderContact && n.now < n.restartRetryUntil {
		n.electionAt = n.now + restartRetryHeartbeats*n.opts.HeartbeatInterval
	}
	if n.refusesVotes() || n.diskStalled() {
		return
	}
	n.role = RolePreCandidate
	n.leader = NodeID{}
	n.startBallot()
	// HasQuorum counts voters alone.
	n.votes = map[NodeID]bool{n.self(): true}
	if n.hasVoteQuorum() {
		n.campaign()
		return
	}
	for _, voter := range n.log.membership().Voters {
		if voter.ID != n.self() {
			n.send(n.voteRequest(MessagePreVote, voter.ID, n.term+1))
		}
	}
}

// campaign starts an election. The node's own vote counts once it is synced.
func (n *Node) campaign() {
	n.becomeFollower(n.term+1, NodeID{})
	n.resetElectionTimer()
	n.role = RoleCandidate
	n.vote = n.self()
	n.votes = make(map[NodeID]bool)
	n.startBallot()
	n.sendSynced(Message{Kind: MessageVoteReply, To: n.self(), Granted: true})
	for _, voter := range n.log.membership().Voters {
		if voter.ID != n.self() {
			n.sendSynced(n.voteRequest(MessageVote, voter.ID, n.term))
		}
	}
}

func (n *Node) voteRequest(kind MessageKind, to NodeID, term uint64) Message {
	return Message{
		Kind:      kind,
		To:        to,
		Term:      term,
		PrevIndex: n.log.lastIndex(),
		PrevTerm:  n.log.lastTerm(),
	}
}

func (n *Node) hasVoteQuorum() bool {
	return n.log.membership().HasQuorum(func(voter NodeID) bool { return n.votes[voter] })
}

func (n *Node) receivePreVote(m *Message) {
	n.endLeaseOnVoteRequest(m)
	answer := n.preVoteAnswer(m)
	granted := answer == VoteGranted
	if granted && n.role == RolePreCandidate {
		n.role = RoleFollower
		n.votes = nil
	}
	if granted {
		n.send(Message{Kind: MessagePreVoteReply, To: m.From, Granted: true, Term: m.Term})
		return
	}
	n.campaignsAsNonVoter = n.campaignsAsNonVoter || answer == VoteRefusedLog && !n.isVoter()
	n.sendInTerm(Message{Kind: MessagePreVoteReply, To: m.From, Refusal: answer})
}

func (n *Node) preVoteAnswer(m *Message) VoteAnswer {
	switch {
	case m.Term <= n.term:
		return VoteRefusedTerm
	case n.refusesVotes():
		return VoteRefusedLease
	case !n.log.isUpToDate(m.PrevIndex, m.PrevTerm):
		return VoteRefusedLog
	case n.hasPrecedence(m):
		return VoteRefusedPrecedence
	}
	return VoteGranted
}

// hasPrecedence reports whether this node runs a pre-vote itself and precedes
// the sender, whose log is the same. It prevents the two from splitting the
// votes.
func (n *Node) hasPrecedence(m *Message) bool {
	same := m.PrevIndex == n.log.lastIndex() && m.PrevTerm == n.log.lastTerm()
	return n.role == RolePreCandidate && same && n.self().less(m.From)
}

// less orders node IDs by VM and incarnation.
func (id NodeID) less(other NodeID) bool {
	if id.VM != other.VM {
		return id.VM < other.VM
	}
	return id.Incarnation < other.Incarnation
}

func (n *Node) receivePreVoteReply(m *Message) {
	n.recordAnswer(m)
	if n.role != RolePreCandidate || !m.Granted || m.Term != n.term+1 {
		return
	}
	n.votes[m.From] = true
	if n.hasVoteQuorum() {
		n.campaign()
	}
}

// receiveVote handles a vote request of the current term.
func (n *Node) receiveVote(m *Message) {
	answer := n.voteAnswer(m)
	if answer != VoteGranted {
		n.sendSynced(Message{Kind: MessageVoteReply, To: m.From, Refusal: answer})
		return
	}
	if n.vote != m.From {
		n.vote = m.From
		n.writes.hardStateDirty = true
		n.resetElectionTimer()
	}
	n.sendSynced(Message{Kind: MessageVoteReply, To: m.From, Granted: true})
}

func (n *Node) voteAnswer(m *Message) VoteAnswer {
	free := n.vote.IsZero() && n.leader.IsZero()
	switch {
	case !free && n.vote != m.From:
		return VoteRefusedOther
	case n.refusesVotes():
		return VoteRefusedLease
	case !n.log.isUpToDate(m.PrevIndex, m.PrevTerm):
		return VoteRefusedLog
	}
	return VoteGranted
}

func (n *Node) receiveVoteReply(m *Message) {
	n.recordAnswer(m)
	if n.role != RoleCandidate || !m.Granted {
		return
	}
	n.votes[m.From] = true
	if n.hasVoteQuorum() {
		n.becomeLeader()
	}
}

// handleResign steps down if the node leads, and ends its own campaign if it may
// not campaign any more.
func (n *Node) handleResign(r Resign) {
	n.leaving = n.leaving || r.Leaving
	n.stopping = n.stopping || r.Stopping
	n.resign()
	if n.stopping && n.role != RoleFollower {
		n.becomeFollower(n.term, NodeID{})
	}
}

// resign gives up the lease and steps down. The lease of this term is never
// resumed, so the other voters need not wait for it to expire.
func (n *Node) resign() {
	if n.leaderState == nil {
		return
	}
	for _, member := range n.others() {
		n.send(Message{Kind: MessageResign, To: member.ID})
	}
	n.becomeFollower(n.term, NodeID{})
}

// receiveResign lets the node campaign at once after its leader resigned.
func (n *Node) receiveResign(m *Message) {
	if m.Term != n.term || n.leaderState != nil {
		return
	}
	n.resignedTerm = m.Term
	if n.leader != m.From {
		return
	}
	n.handleLeaderLoss()
}

// noteSuccessor lets the node campaign at once if the leader last heard from no
// longer exists, because successor is another incarnation on the same VM.
func (n *Node) noteSuccessor(successor NodeID) {
	gone := n.leaderState == nil && successor.VM == n.leaseHolder.VM && successor != n.leaseHolder
	if gone && (n.leader.IsZero() || n.leader == n.leaseHolder) {
		n.handleLeaderLoss()
	}
}

// handleLeaderLoss clears the leader, which no longer holds a lease, and schedules
// an immediate election unless the node is leaving.
func (n *Node) handleLeaderLoss() {
	n.leader = NodeID{}
	n.leaderContact = false
	if !n.leaving {
		n.scheduleCampaign(0)
	}
}

// forgetLeader clears the leader of a node that does not vote and heard from no leader
// until its election timer ended. The leader may have removed it; it gets no entry that
// says so, and asks to join only while it knows no leader.
func (n *Node) forgetLeader() { n.leader = NodeID{} }

// scheduleCampaign sets the next election to wait from now plus a random part of
// a heartbeat interval, which makes split votes rare.
func (n *Node) scheduleCampaign(wait time.Duration) {
	n.electionAt = n.now + wait + time.Duration(n.rand.Int64N(int64(n.opts.HeartbeatInterval)))
}

// others returns all members except the node itself, voters first.
func (n *Node) others() []Member {
	membership := n.log.membership()
	members := make([]Member, 0, len(membership.Voters)+len(membership.Learners))
	for _, list := range [][]Member{membership.Voters, membership.Learners} {
		for _, member := range list {
			if member.ID != n.self() {
				members = append(members, member)
			}
		}
	}
	return members
}

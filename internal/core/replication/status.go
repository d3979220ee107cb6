package replication

import "time"

// Status is a copy of a node's state for diagnostics and metrics.
type Status struct {
	Self            Member
	Term            uint64
	Role            Role
	Leader          *Member
	Membership      Membership
	MembershipIndex uint64
	Commit          uint64
	Applied         uint64
	LastIndex       uint64
	StableIndex     uint64
	SnapshotIndex   uint64
	// LogBytes is the size of the entries that are kept in memory. It decreases
	// when a snapshot compacts the log.
	LogBytes int
	// AppendTimeouts counts the waits for the acknowledgement of appends that ended without one.
	// The appends are sent again.
	AppendTimeouts uint64
	// Peers is set only on the leader.
	Peers []PeerStatus
	Lease LeaseStatus
	// WriteStalled is the age of the outstanding write once it counts as stalled, and 0 before. The node then neither
	// campaigns nor acknowledges.
	WriteStalled time.Duration
	// Election tells why no leader is known.
	Election ElectionStatus
}

// LeaseStatus is the state of the leader's lease.
type LeaseStatus struct {
	// Valid is true if the lease was valid at the time of the last step.
	Valid bool
	// Leads is true if no other node could be leader at that time. For a new
	// leader, it becomes true before Valid.
	Leads bool
	// Until is when the lease ends unless it is renewed.
	Until time.Duration
}

// PeerStatus is a leader's view of another member.
type PeerStatus struct {
	Member Member
	Voter  bool
	Match  uint64
	Next   uint64
	// Silent is the time since the last message from the peer.
	Silent time.Duration
	// Lost is true if the peer no longer has entries that it had acknowledged.
	Lost bool
	// NeedsSnapshot is true while a snapshot is being sent to the peer.
	NeedsSnapshot bool
	// Learner tells why the peer does not vote.
	Learner LearnerStatus
}

// Status returns the state after the last step.
func (n *Node) Status() Status {
	s := Status{
		Self:            n.opts.Self,
		Term:            n.term,
		Role:            n.role,
		Leader:          n.leaderMember(),
		Membership:      n.log.membership().clone(),
		MembershipIndex: n.log.membershipIndex(),
		Commit:          n.log.commit,
		Applied:         n.applied,
		LastIndex:       n.log.lastIndex(),
		StableIndex:     n.log.stable,
		LogBytes:        n.log.bytes,
		AppendTimeouts:  n.appendTimeouts,
		Election:        n.electionStatus(),
	}
	if n.log.snapshot != nil {
		s.SnapshotIndex = n.log.snapshot.Index
	}
	if n.diskStalled() {
		s.WriteStalled = n.now - n.writes.issuedAt
	}
	s.Lease.Until, s.Lease.Leads = n.SoleLeaderUntil()
	_, s.Lease.Valid = n.LeaseUntil()
	if n.leaderState == nil {
		return s
	}
	for _, member := range n.leaderState.others {
		s.Peers = append(s.Peers, n.peerStatus(member))
	}
	return s
}

// peerStatus returns the leader's view of another member.
func (n *Node) peerStatus(member Member) PeerStatus {
	p := n.leaderState.peers[member.ID]
	return PeerStatus{
		Member:        member,
		Voter:         n.log.membership().IsVoter(member.ID),
		Match:         p.match,
		Next:          p.next,
		Silent:        n.now - p.contactAt,
		Lost:          p.lostEntries,
		NeedsSnapshot: p.state == progressSnapshot,
		Learner:       n.learnerStatus(member.ID),
	}
}

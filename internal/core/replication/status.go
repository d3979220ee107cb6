package replication

import "time"

// Status is a copy of a node's state for dumps and metrics.
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
	// LogBytes is the size of the entries held in memory. It shrinks with
	// each snapshot.
	LogBytes int
	// Peers is set on a leader.
	Peers []PeerStatus
	Lease LeaseStatus
}

// LeaseStatus is the state of the leader's lease.
type LeaseStatus struct {
	// Valid is true if the lease held at the time of the last step.
	Valid bool
	// Leads is true if no other node led then; a new leader leads before its
	// lease is valid.
	Leads bool
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
	// Lost is true if the peer no longer holds what it acknowledged.
	Lost bool
	// NeedsSnapshot is true while a snapshot is on its way to the peer.
	NeedsSnapshot bool
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
	}
	if n.log.snapshot != nil {
		s.SnapshotIndex = n.log.snapshot.Index
	}
	s.Lease.Until, s.Lease.Leads = n.LeadsUntil()
	_, s.Lease.Valid = n.LeaseUntil()
	if n.lead == nil {
		return s
	}
	for _, member := range n.lead.others {
		p := n.lead.peers[member.ID]
		s.Peers = append(s.Peers, PeerStatus{
			Member:        member,
			Voter:         n.log.membership().IsVoter(member.ID),
			Match:         p.match,
			Next:          p.next,
			Silent:        n.now - p.heardAt,
			Lost:          p.lost,
			NeedsSnapshot: p.state == progressSnapshot,
		})
	}
	return s
}

package replication

// receive handles a message. One for another incarnation is dropped.
func (n *Node) receive(m *Message) {
	if m.To != n.self() {
		return
	}
	if m.Term < n.term {
		n.receiveStale(m)
		return
	}
	if m.Term > n.term && !n.adoptTerm(m) {
		return
	}
	switch m.Kind {
	case MessagePreVote:
		n.receivePreVote(m)
	case MessagePreVoteReply:
		n.receivePreVoteReply(m)
	case MessageVote:
		n.receiveVote(m)
	case MessageVoteReply:
		n.receiveVoteReply(m)
	case MessageAppend:
		if n.follow(m.From) {
			n.receiveAppend(m)
		}
	case MessageHeartbeat:
		if n.follow(m.From) {
			n.receiveHeartbeat(m)
		}
	case MessageSnapshot:
		if n.follow(m.From) {
			n.receiveSnapshot(m)
		}
	case MessageAppendReply:
		n.receiveAppendReply(m)
	case MessageSnapshotReply:
		n.receiveSnapshotReply(m)
	case MessageHeartbeatReply:
		n.receiveHeartbeatReply(m)
	case MessageResign:
		n.receiveResign(m)
	}
}

// receiveStale tells the sender of an older term's request of the newer term.
func (n *Node) receiveStale(m *Message) {
	switch m.Kind {
	case MessageAppend, MessageSnapshot, MessageHeartbeat:
		n.sendInTerm(Message{Kind: MessageHeartbeatReply, To: m.From, Rejected: true})
	case MessagePreVote:
		n.sendInTerm(Message{Kind: MessagePreVoteReply, To: m.From})
	case MessageVote:
		n.sendInTerm(Message{Kind: MessageVoteReply, To: m.From})
	}
}

// adoptTerm takes over a newer term. It returns false if the message must be
// dropped: a vote is not even looked at while a leader may hold a lease.
func (n *Node) adoptTerm(m *Message) bool {
	switch m.Kind {
	case MessagePreVote:
		return true
	case MessagePreVoteReply:
		if m.Granted {
			return true
		}
	case MessageVote:
		n.released(m)
		if n.refusesVotes() {
			return false
		}
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		n.becomeFollower(m.Term, m.From)
		return true
	}
	n.becomeFollower(m.Term, NodeID{})
	return true
}

// follow notes that the sender leads the present term. It returns false if the
// node itself leads it, which no correct sender brings about.
func (n *Node) follow(leader NodeID) bool {
	if n.lead != nil {
		return false
	}
	if n.role != RoleFollower || n.leader != leader {
		n.becomeFollower(n.term, leader)
	}
	n.hold(leader)
	n.hear()
	return true
}

func (n *Node) receiveAppend(m *Message) {
	if m.PrevIndex < n.log.commit {
		m = n.skipCommitted(m)
	}
	term, ok := n.log.termAt(m.PrevIndex)
	if !ok || term != m.PrevTerm {
		n.sendInTerm(Message{
			Kind:      MessageAppendReply,
			To:        m.From,
			Rejected:  true,
			PrevIndex: m.PrevIndex,
			Index:     n.log.conflictHint(m.PrevIndex),
		})
		return
	}
	n.writes.truncated(n.log.store(m.Entries))
	match := m.PrevIndex + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, match))
	n.sendSynced(Message{Kind: MessageAppendReply, To: m.From, Index: match})
}

// skipCommitted drops the leading entries that are committed here: they match
// any leader's log.
func (n *Node) skipCommitted(m *Message) *Message {
	skip := min(n.log.commit-m.PrevIndex, uint64(len(m.Entries)))
	rest := *m
	rest.PrevIndex = n.log.commit
	rest.PrevTerm, _ = n.log.termAt(n.log.commit)
	rest.Entries = m.Entries[skip:]
	return &rest
}

func (n *Node) commitTo(index uint64) {
	n.log.commit = max(n.log.commit, min(index, n.log.lastIndex()))
}

func (n *Node) receiveHeartbeat(m *Message) {
	n.commitTo(m.Commit)
	reply := Message{
		Kind:  MessageHeartbeatReply,
		To:    m.From,
		Round: m.Round,
		Index: n.log.lastIndex(),
	}
	if n.writes.stableHolderTerm != n.term {
		n.sendSynced(reply)
		return
	}
	n.sendInTerm(reply)
}

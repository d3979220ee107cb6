package replication

// receive handles a message. Messages to another incarnation are dropped, but for the answer that tells a leader of this one.
func (n *Node) receive(m *Message) {
	if m.To != n.self() {
		n.answerForPredecessor(m)
		return
	}
	n.recordSuccessor(m.From)
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

// receiveStale replies to a request of an older term, so that its sender learns
// the newer term. Other messages of an older term are dropped.
func (n *Node) receiveStale(m *Message) {
	switch m.Kind {
	case MessageAppend, MessageSnapshot, MessageHeartbeat:
		n.sendInTerm(Message{Kind: MessageHeartbeatReply, To: m.From, Rejected: true})
	case MessagePreVote:
		n.sendInTerm(Message{Kind: MessagePreVoteReply, To: m.From, Refusal: VoteRefusedTerm})
	case MessageVote:
		n.sendInTerm(Message{Kind: MessageVoteReply, To: m.From, Refusal: VoteRefusedTerm})
	}
}

// adoptTerm adopts the newer term of a message where its kind requires that. It
// returns false if the message must be dropped: a vote request is ignored while a
// leader may hold a lease that depends on this node.
func (n *Node) adoptTerm(m *Message) bool {
	switch m.Kind {
	case MessagePreVote:
		return true
	case MessagePreVoteReply:
		if m.Granted {
			return true
		}
	case MessageVote:
		n.endLeaseOnVoteRequest(m)
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

// follow accepts the sender as leader of the current term. It returns false if
// the leader of that term has resigned, whose earlier messages may arrive later, or if
// the node itself leads that term, which cannot happen with correct senders.
func (n *Node) follow(leader NodeID) bool {
	if n.leaderState != nil || n.resignedTerm == n.term {
		return false
	}
	if n.role != RoleFollower || n.leader != leader {
		n.becomeFollower(n.term, leader)
	}
	n.recordLeaseHolder(leader)
	n.recordLeaderContact()
	return true
}

// receiveAppend stores the entries of an append whose preceding entry matches
// the log, and rejects any other.
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
	n.writes.noteTruncation(n.log.mergeEntries(m.Entries))
	match := m.PrevIndex + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, match))
	n.sendSynced(Message{Kind: MessageAppendReply, To: m.From, Index: match})
}

// skipCommitted returns a copy of the append without the entries that are
// committed on this node, since those match the log of every leader.
func (n *Node) skipCommitted(m *Message) *Message {
	skip := min(n.log.commit-m.PrevIndex, uint64(len(m.Entries)))
	rest := *m
	rest.PrevIndex = n.log.commit
	rest.PrevTerm, _ = n.log.termAt(n.log.commit)
	rest.Entries = m.Entries[skip:]
	return &rest
}

// commitTo raises the commit index to index, limited to the end of the log.
func (n *Node) commitTo(index uint64) {
	n.log.commit = max(n.log.commit, min(index, n.log.lastIndex()))
}

// receiveHeartbeat acknowledges a heartbeat. The reply waits until the lease
// holder of this term is synced, so that a restart cannot forget it.
func (n *Node) receiveHeartbeat(m *Message) {
	n.commitTo(m.Commit)
	reply := Message{
		Kind:  MessageHeartbeatReply,
		To:    m.From,
		Round: m.Round,
		Index: n.log.lastIndex(),

		Replaces: true,
	}
	if n.writes.stableLeaseHolderTerm != n.term {
		n.sendSynced(reply)
		return
	}
	n.sendInTerm(reply)
}

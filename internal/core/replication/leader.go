package replication

import "time"

// leadership is the state that a node has only while it is the leader.
type leadership struct {
	electedAt time.Duration
	// termStartIndex is the index of the no-op entry that started the term.
	// Until it is committed, the leader neither changes the membership nor
	// serves reads.
	termStartIndex uint64
	// others holds the other members, and peers their progress.
	others []Member
	peers  map[NodeID]*progress
	// leaving holds the members that announced their shutdown with Leave.
	leaving map[NodeID]bool
	// decision is why the learners don't vote.
	decision decision
	// returnedAt holds when this leader heard first that a voter's VM runs another incarnation.
	returnedAt map[NodeID]time.Duration

	// round is the number of the last heartbeat round, and rounds holds the
	// start times of the recent ones.
	round         uint64
	rounds        []roundStart
	nextHeartbeat time.Duration

	// pending holds the proposals that are not yet committed, ordered by index.
	pending      []AppendedProposal
	pendingBytes int
	reads        []pendingRead
}

// becomeLeader makes the node leader and appends the no-op entry that starts
// its term.
func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leader = n.self()
	n.recordLeaseHolder(n.self())
	n.votes = nil
	n.leaderState = &leadership{
		electedAt:      n.now,
		termStartIndex: n.log.lastIndex() + 1,
		leaving:        make(map[NodeID]bool),
		returnedAt:     make(map[NodeID]time.Duration),
	}
	n.append(Entry{Kind: EntryNoop})
	n.updatePeers()
	n.startRound()
}

// append appends an entry in the leader's term and returns its index.
func (n *Node) append(e Entry) uint64 {
	e.Index = n.log.lastIndex() + 1
	e.Term = n.term
	n.log.push(e)
	if e.Kind == EntryMembership {
		n.updatePeers()
	}
	return e.Index
}

// updatePeers brings others and peers in line with the membership. Members that
// were there before keep their progress.
func (n *Node) updatePeers() {
	l := n.leaderState
	former := l.peers
	l.others = n.others()
	l.peers = make(map[NodeID]*progress, len(l.others))
	for _, member := range l.others {
		p := former[member.ID]
		if p == nil {
			p = newProgress(n.log.stable+1, n.now)
		}
		l.peers[member.ID] = p
	}
}

func (n *Node) propose(p Propose) {
	switch {
	case n.leaderState == nil:
		n.reject(p.Token, RejectNotLeader)
	case len(n.log.membership().Voters) < n.opts.MinVoters, p.Durable && !n.bearsLostDisks():
		n.reject(p.Token, RejectFewVoters)
	case n.now-n.quorumContactAt() >= n.leaderLeaseDuration():
		n.reject(p.Token, RejectNoQuorum)
	case n.leaderState.pendingBytes > n.opts.MaxPendingBytes:
		n.reject(p.Token, RejectBusy)
	default:
		n.appendProposal(p.Token, Entry{Kind: EntryCommand, Data: p.Data})
	}
}

// appendProposal appends the entry of a proposal and answers the proposal with
// its index and term.
func (n *Node) appendProposal(token uint64, e Entry) {
	index := n.append(e)
	appended := AppendedProposal{Token: token, Index: index, Term: n.term}
	n.effects.Appended = append(n.effects.Appended, appended)
	n.leaderState.pending = append(n.leaderState.pending, appended)
	n.leaderState.pendingBytes += entryBytes(&e)
}

func (n *Node) proposeMembership(token uint64, next Membership) {
	if n.leaderState == nil {
		n.reject(token, RejectNotLeader)
		return
	}
	if !n.canChangeMembership() || n.log.membership().checkChange(&next) != nil {
		n.reject(token, RejectMembership)
		return
	}
	next = next.clone()
	n.appendProposal(token, Entry{Kind: EntryMembership, Membership: &next})
}

// canChangeMembership reports whether the previous membership change and an
// entry of the leader's own term are committed.
func (n *Node) canChangeMembership() bool {
	committed := n.log.commit
	return committed >= n.leaderState.termStartIndex && committed >= n.log.membershipIndex()
}

func (n *Node) tickLeader() {
	if n.diskStalled() {
		n.resign()
		return
	}
	if n.now >= n.leaderState.nextHeartbeat {
		n.startRound()
	}
	n.recordReturns()
	n.repair()
}

// replicate sends each member the entries that it lacks, within its flow control
// limits. Only entries that are synced on the leader are sent.
func (n *Node) replicate() {
	for _, member := range n.leaderState.others {
		n.sendNext(member.ID, n.leaderState.peers[member.ID])
	}
}

func (n *Node) sendNext(to NodeID, p *progress) {
	if p.state == progressSnapshot {
		n.retrySnapshot(to, p)
		return
	}
	if p.probeAfterTimeout(n.now, appendRetryHeartbeats*n.opts.HeartbeatInterval, n.opts.MinAppendRate) {
		n.appendTimeouts++
	}
	for p.canAppend(n.log.stable, n.opts.MaxInflight, n.opts.MaxInflightBytes) {
		if p.next <= n.log.baseIndex || p.state == progressProbe && n.log.snapshotIsShorter(p.next) {
			n.startSnapshot(to, p)
			return
		}
		n.sendAppend(to, p)
	}
}

func (n *Node) sendAppend(to NodeID, p *progress) {
	prev := p.next - 1
	prevTerm, _ := n.log.termAt(prev)
	entries := n.log.entriesBetween(p.next, n.log.stable, n.opts.MaxBatchBytes)
	n.send(Message{
		Kind:      MessageAppend,
		To:        to,
		PrevIndex: prev,
		PrevTerm:  prevTerm,
		Entries:   entries,
		Commit:    n.log.commit,
	})
	p.recordAppend(sentAppend{last: prev + uint64(len(entries)), bytes: totalBytes(entries)}, n.now)
}

// undelivered records that an append did not arrive.
func (n *Node) undelivered(to NodeID) {
	if n.leaderState == nil {
		return
	}
	if p := n.leaderState.peers[to]; p != nil && p.waiting() {
		p.undelivered = true
	}
}

func (n *Node) receiveAppendReply(m *Message) {
	p := n.recordPeerContact(m.From)
	if p == nil {
		return
	}
	if m.Rejected {
		p.recordRejection(m.PrevIndex, m.Index)
		return
	}
	if p.recordMatch(min(m.Index, n.log.lastIndex()), n.now) {
		p.matchRound = n.leaderState.round
		n.advanceCommit()
	}
}

// recordPeerContact records contact with a member and returns its progress. It
// returns nil if the node is not the leader or the sender is no member.
func (n *Node) recordPeerContact(id NodeID) *progress {
	if n.leaderState == nil {
		return nil
	}
	p := n.leaderState.peers[id]
	if p != nil {
		p.contactAt = n.now
	}
	return p
}

// advanceCommit raises the commit index to the last entry that a quorum has
// synced, if that entry is of the leader's own term. A leader that is no longer a
// voter resigns once the membership that removes it is committed.
func (n *Node) advanceCommit() {
	index := quorumValue(n, n.log.stable, func(p *progress) uint64 { return p.match })
	term, _ := n.log.termAt(index)
	if index <= n.log.commit || term != n.term {
		return
	}
	n.log.commit = index
	n.dropCommittedProposals()
	if index >= n.log.membershipIndex() && !n.isVoter() {
		n.resign()
	}
}

// dropCommittedProposals removes the committed proposals from pending.
func (n *Node) dropCommittedProposals() {
	l := n.leaderState
	done := 0
	for done < len(l.pending) && l.pending[done].Index <= n.log.commit {
		e := &n.log.entries[l.pending[done].Index-n.log.baseIndex-1]
		l.pendingBytes -= entryBytes(e)
		done++
	}
	l.pending = l.pending[done:]
}

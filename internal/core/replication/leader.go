package replication

import "time"

// leadership is the state that a node holds only while it leads.
type leadership struct {
	electedAt time.Duration
	// firstIndex is the entry that opened the term. Until it is committed, the
	// leader neither changes the membership nor serves reads.
	firstIndex uint64
	// others and peers hold the other members and their progress.
	others []Member
	peers  map[NodeID]*progress
	// leaving holds the members that are about to go.
	leaving map[NodeID]bool

	round         uint64
	rounds        []roundStart
	nextHeartbeat time.Duration

	// pending holds the proposals that are not yet committed, by index.
	pending      []AppendedProposal
	pendingBytes int
	reads        []pendingRead
}

// becomeLeader opens the term with an empty entry.
func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leader = n.self()
	n.hold(n.self())
	n.votes = nil
	n.lead = &leadership{
		electedAt:  n.now,
		firstIndex: n.log.lastIndex() + 1,
		leaving:    make(map[NodeID]bool),
	}
	n.append(Entry{Kind: EntryNoop})
	n.syncPeers()
	n.startRound()
}

// append adds one entry of the leader's term and returns its index.
func (n *Node) append(e Entry) uint64 {
	e.Index = n.log.lastIndex() + 1
	e.Term = n.term
	n.log.push(e)
	if e.Kind == EntryMembership {
		n.syncPeers()
	}
	return e.Index
}

// syncPeers keeps one progress for each other member.
func (n *Node) syncPeers() {
	l := n.lead
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
	case n.lead == nil:
		n.reject(p.Token, RejectNotLeader)
	case !n.mayAccept() || n.lead.pendingBytes > n.opts.MaxPendingBytes:
		n.reject(p.Token, RejectBusy)
	default:
		n.accept(p.Token, Entry{Kind: EntryCommand, Data: p.Data})
	}
}

// mayAccept is false for a leader that has lost touch with a quorum for as
// long as its lease, or that has too few voters.
func (n *Node) mayAccept() bool {
	if len(n.log.membership().Voters) < n.opts.MinVoters {
		return false
	}
	return n.now-n.contactAt() < n.leaseSpan()
}

func (n *Node) accept(token uint64, e Entry) {
	index := n.append(e)
	placed := AppendedProposal{Token: token, Index: index, Term: n.term}
	n.effects.Appended = append(n.effects.Appended, placed)
	n.lead.pending = append(n.lead.pending, placed)
	n.lead.pendingBytes += entryBytes(&e)
}

func (n *Node) proposeMembership(token uint64, next Membership) {
	if n.lead == nil {
		n.reject(token, RejectNotLeader)
		return
	}
	if !n.mayChangeMembership() || n.log.membership().checkChange(&next) != nil {
		n.reject(token, RejectMembership)
		return
	}
	next = next.clone()
	n.accept(token, Entry{Kind: EntryMembership, Membership: &next})
}

// mayChangeMembership is true if the previous change and an entry of the
// leader's own term are committed.
func (n *Node) mayChangeMembership() bool {
	committed := n.log.commit
	return committed >= n.lead.firstIndex && committed >= n.log.membershipIndex()
}

func (n *Node) tickLeader() {
	if n.stalled() {
		n.resign()
		return
	}
	if n.now >= n.lead.nextHeartbeat {
		n.startRound()
	}
	n.repair()
}

// replicate sends each member what it lacks and may take now. Only synced
// entries are sent.
func (n *Node) replicate() {
	for _, member := range n.lead.others {
		n.sendNext(member.ID, n.lead.peers[member.ID])
	}
}

func (n *Node) sendNext(to NodeID, p *progress) {
	if p.state == progressSnapshot {
		n.retrySnapshot(to, p)
		return
	}
	p.retry(n.now, retryHeartbeats*n.opts.HeartbeatInterval)
	for p.mayAppend(n.log.stable, n.opts.MaxInflight) {
		if p.next <= n.log.baseIndex {
			n.startSnapshot(to, p)
			return
		}
		n.sendAppend(to, p)
	}
}

func (n *Node) sendAppend(to NodeID, p *progress) {
	prev := p.next - 1
	prevTerm, _ := n.log.termAt(prev)
	entries := n.log.between(p.next, n.log.stable, n.opts.MaxBatchBytes)
	n.send(Message{
		Kind:      MessageAppend,
		To:        to,
		PrevIndex: prev,
		PrevTerm:  prevTerm,
		Entries:   entries,
		Commit:    n.log.commit,
	})
	p.sent(prev+uint64(len(entries)), n.now)
}

func (n *Node) receiveAppendReply(m *Message) {
	p := n.peer(m.From)
	if p == nil {
		return
	}
	if m.Rejected {
		p.rejected(m.PrevIndex, m.Index)
		return
	}
	if p.matched(min(m.Index, n.log.lastIndex()), n.now) {
		p.matchRound = n.lead.round
		n.advanceCommit()
	}
}

// peer notes contact with a member and returns its progress, or nil.
func (n *Node) peer(id NodeID) *progress {
	if n.lead == nil {
		return nil
	}
	p := n.lead.peers[id]
	if p != nil {
		p.heardAt = n.now
	}
	return p
}

// advanceCommit commits what a quorum has synced, if it is of the own term.
func (n *Node) advanceCommit() {
	index := quorumValue(n, n.log.stable, func(p *progress) uint64 { return p.match })
	term, _ := n.log.termAt(index)
	if index <= n.log.commit || term != n.term {
		return
	}
	n.log.commit = index
	n.settle()
	if index >= n.log.membershipIndex() && !n.isVoter() {
		n.resign()
	}
}

// settle drops the committed proposals from the pending ones.
func (n *Node) settle() {
	l := n.lead
	done := 0
	for done < len(l.pending) && l.pending[done].Index <= n.log.commit {
		e := &n.log.entries[l.pending[done].Index-n.log.baseIndex-1]
		l.pendingBytes -= entryBytes(e)
		done++
	}
	l.pending = l.pending[done:]
}

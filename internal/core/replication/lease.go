package replication

import "time"

// roundStart is the time at which a heartbeat round was sent.
type roundStart struct {
	round uint64
	at    time.Duration
}

// pendingRead is a read that waits for a lease or for the acknowledgement of a
// heartbeat round that started after the read arrived.
type pendingRead struct {
	token uint64
	// round is 0 until a round is started for the read.
	round uint64
	// index is the commit index when that round started.
	index uint64
}

// startRound sends a round of heartbeats. Replies of a quorum prove that the
// node was the leader when the round was sent.
func (n *Node) startRound() {
	l := n.leaderState
	l.round++
	l.rounds = append(l.rounds, roundStart{l.round, n.now})
	for len(l.rounds) > 1 && n.now-l.rounds[0].at > 2*n.opts.ElectionTimeout {
		l.rounds = l.rounds[1:]
	}
	l.nextHeartbeat = n.now + n.opts.HeartbeatInterval
	for _, member := range n.leaderState.others {
		p := l.peers[member.ID]
		n.send(Message{
			Kind:   MessageHeartbeat,
			To:     member.ID,
			Commit: min(p.match, n.log.commit),
			Round:  l.round,
		})
	}
}

// receiveHeartbeatReply records which round a peer has acknowledged. A reply to a
// round that started after the last match, with a log that ends before that
// match, shows that the peer has lost entries.
func (n *Node) receiveHeartbeatReply(m *Message) {
	p := n.recordPeerContact(m.From)
	if p == nil || m.Rejected {
		return
	}
	p.replaces = m.Replaces
	if m.Round > p.matchRound && m.Index < p.match {
		p.recordLostEntries(m.Index)
	}
	for _, r := range n.leaderState.rounds {
		if r.round == m.Round && m.Round > p.ackedRound {
			p.acked = true
			p.ackedRound = r.round
			p.ackedAt = r.at
		}
	}
}

// quorumContactAt returns the latest time at which a quorum is known to have
// followed this leader: the later of its election and the sending of the last
// round that a quorum acknowledged.
func (n *Node) quorumContactAt() time.Duration {
	return max(n.leaderState.electedAt, n.quorumAckedAt())
}

// quorumAckedAt returns the time at which the last round that a quorum
// acknowledged was sent. Before the first such round, it is an election timeout
// before the leader's election.
func (n *Node) quorumAckedAt() time.Duration {
	never := n.leaderState.electedAt - n.opts.ElectionTimeout
	since := quorumValue(n, n.now-never, func(p *progress) time.Duration {
		if !p.acked {
			return 0
		}
		return p.ackedAt - never
	})
	return never + since
}

// leaderLeaseDuration returns how long a lease is valid by the leader's clock.
// It is shortened because a voter refuses votes for an election timeout by its
// own clock, which may run fast while the leader's clock runs slow.
func (n *Node) leaderLeaseDuration() time.Duration {
	drift := n.opts.MaxClockDrift
	return time.Duration(float64(n.opts.LeaseDuration) * (1 - drift) / (1 + drift))
}

// voterLeaseDuration returns how long, by this node's clock, a lease may depend
// on this node after the last time that it may have heard from a leader.
func (n *Node) voterLeaseDuration() time.Duration {
	drift := n.opts.MaxClockDrift
	return time.Duration(float64(n.opts.LeaseDuration) * (1 + drift) / (1 - drift))
}

// SoleLeaderUntil returns the time until which no other node can be leader, and
// whether this was so at the time of the last step: a quorum acknowledged this
// leader within the lease duration, and an entry of its own term is committed. No
// earlier leader can be active then, since voters refuse votes for longer than a
// lease after they heard from a leader. Unlike LeaseUntil, it does not wait for a
// lease duration after the election.
func (n *Node) SoleLeaderUntil() (time.Duration, bool) {
	if n.leaderState == nil {
		return 0, false
	}
	until := n.quorumAckedAt() + n.leaderLeaseDuration()
	return until, n.log.commit >= n.leaderState.termStartIndex && n.now < until
}

// LeaseUntil returns the time until which the node may act as the only leader,
// and whether its lease was valid at the time of the last step. The caller
// compares the time with its own clock before each action. Unlike with
// SoleLeaderUntil, a new leader has no lease until a lease duration after its
// election, since actions that an earlier leader started under its own lease may
// still be in progress.
func (n *Node) LeaseUntil() (time.Duration, bool) {
	until, ok := n.SoleLeaderUntil()
	return until, ok && n.now-n.leaderState.electedAt >= n.opts.LeaseDuration
}

// HoldsLeaseFor reports whether the lease is valid at now and for at least
// margin longer.
func (n *Node) HoldsLeaseFor(now, margin time.Duration) bool {
	until, ok := n.LeaseUntil()
	return ok && max(now, n.now)+margin < until
}

func (n *Node) read(r Read) {
	switch {
	case n.leaderState == nil:
		n.reject(r.Token, RejectNotLeader)
	case r.Durable && !n.bearsLostDisks():
		n.reject(r.Token, RejectFewVoters)
	default:
		n.leaderState.reads = append(n.leaderState.reads, pendingRead{token: r.Token})
	}
}

// serveReads answers reads at once while the lease is valid, and otherwise when a
// quorum has acknowledged the round that was started for them. Reads that arrive
// during such a round share the next one.
func (n *Node) serveReads() {
	l := n.leaderState
	if len(l.reads) == 0 || n.log.commit < l.termStartIndex {
		return
	}
	_, leased := n.LeaseUntil()
	confirmed := quorumValue(n, l.round, func(p *progress) uint64 { return p.ackedRound })
	waiting := l.reads[:0]
	hasPendingRound, hasNewReads := false, false
	for _, r := range l.reads {
		switch {
		case leased:
			n.answerRead(r.token, n.log.commit)
		case r.round != 0 && r.round <= confirmed:
			n.answerRead(r.token, r.index)
		default:
			hasPendingRound = hasPendingRound || r.round != 0
			hasNewReads = hasNewReads || r.round == 0
			waiting = append(waiting, r)
		}
	}
	l.reads = waiting
	if hasNewReads && !hasPendingRound {
		n.startReadRound()
	}
}

// startReadRound starts a heartbeat round for all pending reads.
func (n *Node) startReadRound() {
	n.startRound()
	for i := range n.leaderState.reads {
		n.leaderState.reads[i].round = n.leaderState.round
		n.leaderState.reads[i].index = n.log.commit
	}
}

func (n *Node) answerRead(token, index uint64) {
	n.effects.Reads = append(n.effects.Reads, ReadResult{Token: token, Index: index})
}

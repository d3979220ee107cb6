package replication

import (
	"cmp"
	"slices"
	"time"
)

// progressState is the way in which a leader sends to a peer.
type progressState uint8

const (
	// progressProbe sends one append at a time to find where the logs match.
	progressProbe progressState = iota
	// progressReplicate sends up to Options.MaxInflight appends without waiting
	// for acknowledgements.
	progressReplicate
	// progressSnapshot sends a snapshot in chunks.
	progressSnapshot
)

// appendRetryHeartbeats is the time after which an unacknowledged append counts
// as lost, in heartbeat intervals.
const appendRetryHeartbeats = 2

// progress is a leader's state of replication to a peer. Invariant: match < next.
type progress struct {
	// match is the last index that the peer is known to have synced, and next
	// the index of the next entry to send.
	match uint64
	next  uint64
	state progressState
	// inflight holds the unacknowledged appends, and inflightBytes the size of their entries.
	inflight      []sentAppend
	inflightBytes int
	// probeSent is true while a probe is unanswered, and probeBytes the size of its entries.
	probeSent  bool
	probeBytes int
	// undelivered is true if an append that is waited for is known not to have arrived.
	undelivered bool
	// sentAt is the start of the wait for an acknowledgement.
	sentAt time.Duration
	// contactAt is when the last message from the peer arrived.
	contactAt time.Duration
	// addedAt is when this leader began to replicate to the peer.
	addedAt time.Duration
	// wait is why a learner could not vote when the leader last looked for one that can.
	wait LearnerWait
	// matchRound is the heartbeat round that was current when match last rose.
	matchRound uint64
	// ackedRound is the last acknowledged heartbeat round, and ackedAt the time
	// at which it was sent. acked is true once there is one.
	ackedRound uint64
	ackedAt    time.Duration
	acked      bool
	// replaces is true once the peer told that it knows Membership.Replacement.
	replaces bool
	// snapshot is the snapshot being sent, and offset the start of the chunk
	// that was sent last.
	snapshot *Snapshot
	offset   uint64
	// lostEntries is true once the peer no longer has entries that it had
	// acknowledged. It then counts for no quorum.
	lostEntries bool
}

// sentAppend is an append that the peer has not acknowledged. last is the index of its last entry, and
// bytes the size of its entries.
type sentAppend struct {
	last  uint64
	bytes int
}

func newProgress(next uint64, now time.Duration) *progress {
	return &progress{next: next, contactAt: now, addedAt: now}
}

// canAppend reports whether another append may be sent now, given the last synced index and the limits on
// the number and the size of unacknowledged appends.
func (p *progress) canAppend(stable uint64, window, windowBytes int) bool {
	switch p.state {
	case progressProbe:
		return !p.probeSent
	case progressReplicate:
		return p.next <= stable && len(p.inflight) < window && p.inflightBytes < windowBytes
	}
	return false
}

// recordAppend records that an append was sent.
func (p *progress) recordAppend(sent sentAppend, now time.Duration) {
	if len(p.inflight) == 0 || p.state == progressProbe {
		p.sentAt = now
	}
	if p.state == progressProbe {
		p.probeSent, p.probeBytes = true, sent.bytes
		return
	}
	p.next = sent.last + 1
	p.inflight = append(p.inflight, sent)
	p.inflightBytes += sent.bytes
}

// waiting reports whether an acknowledgement is waited for.
func (p *progress) waiting() bool { return p.probeSent || len(p.inflight) > 0 }

// probeAfterTimeout returns to probing if no acknowledgement arrived within wait, and within the
// time that the entries sent take at rate, in bytes per second, unless they are known not to have arrived.
// To send long entries again while they are on their way would delay them further. It reports
// whether it returned to probing.
func (p *progress) probeAfterTimeout(now, wait time.Duration, rate int) bool {
	if !p.undelivered {
		wait += time.Duration(p.probeBytes+p.inflightBytes) * time.Second / time.Duration(rate)
	}
	if !p.waiting() || now-p.sentAt < wait {
		return false
	}
	p.startProbe(p.match + 1)
	return true
}

// startProbe starts to probe at next and forgets what is in flight.
func (p *progress) startProbe(next uint64) {
	p.state = progressProbe
	p.next = next
	p.inflight = nil
	p.inflightBytes = 0
	p.probeSent, p.probeBytes = false, 0
	p.undelivered = false
	p.snapshot = nil
}

// recordMatch records that the peer has synced the log up to index. It reports
// whether match rose.
func (p *progress) recordMatch(index uint64, now time.Duration) bool {
	advanced := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	if p.state == progressSnapshot && !advanced {
		return false
	}
	if p.state != progressReplicate {
		p.startProbe(p.match + 1)
		p.state = progressReplicate
		return advanced
	}
	done := 0
	for done < len(p.inflight) && p.inflight[done].last <= p.match {
		p.inflightBytes -= p.inflight[done].bytes
		done++
	}
	p.inflight = p.inflight[done:]
	p.sentAt, p.undelivered = now, false
	return advanced
}

// recordLostEntries records that the peer's log ends at last, before entries that
// it had acknowledged.
func (p *progress) recordLostEntries(last uint64) {
	p.lostEntries = true
	p.match = 0
	p.startProbe(last + 1)
}

// recordRejection handles the rejection of an append with entries after prev.
// Replies to appends that were sent before the last match are stale and ignored.
func (p *progress) recordRejection(prev, hint uint64) {
	if prev <= p.match || prev >= p.next || p.state == progressSnapshot {
		return
	}
	p.startProbe(max(p.match, min(hint, prev-1)) + 1)
}

// typicalVoters is the number of voters up to which quorumValue allocates no
// memory.
const typicalVoters = 8

// quorumValue returns the largest value that a quorum of voters has reached. The
// leader, if it is a voter, counts with own and a peer with valueOf. Peers that
// lost acknowledged entries count with the zero value.
func quorumValue[T cmp.Ordered](n *Node, own T, valueOf func(*progress) T) T {
	r := n.log.membership().Replacement
	if r.IsZero() {
		return majorityValue(n, NodeID{}, own, valueOf)
	}
	return min(majorityValue(n, r.Incoming, own, valueOf), majorityValue(n, r.Outgoing, own, valueOf))
}

// majorityValue returns the largest value that a majority of the voters other than excluded has reached.
func majorityValue[T cmp.Ordered](n *Node, excluded NodeID, own T, valueOf func(*progress) T) T {
	var buffer [typicalVoters]T
	values := buffer[:0]
	for _, voter := range n.log.membership().Voters {
		if voter.ID == excluded {
			continue
		}
		var value T
		p := n.leaderState.peers[voter.ID]
		switch {
		case voter.ID == n.self():
			value = own
		case p != nil && !p.lostEntries:
			value = valueOf(p)
		}
		values = append(values, value)
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

package replication

import (
	"cmp"
	"slices"
	"time"
)

// progressState tells how a leader sends to a peer.
type progressState uint8

const (
	// progressProbe sends one append at a time to find where the logs match.
	progressProbe progressState = iota
	// progressReplicate sends up to a window of appends ahead.
	progressReplicate
	// progressSnapshot sends a snapshot in parts.
	progressSnapshot
)

// retryHeartbeats is the time to wait for an append's acknowledgement, in
// heartbeat intervals.
const retryHeartbeats = 2

// progress is what a leader knows of a peer. Invariant: match < next.
type progress struct {
	match uint64
	next  uint64
	state progressState
	// inflight holds the last index of each unacknowledged append.
	inflight []uint64
	// probing is true while a probe is unanswered.
	probing bool
	sentAt  time.Duration
	heardAt time.Duration
	// matchRound is the round that was under way when match last rose.
	matchRound uint64
	// ackedRound is the last acknowledged round, ackedAt when it was sent.
	ackedRound uint64
	ackedAt    time.Duration
	acked      bool
	// snapshot is the one under way, offset where its last sent part starts.
	snapshot *Snapshot
	offset   uint64
	// lost is true once the peer no longer holds what it acknowledged. It does
	// not count for any quorum.
	lost bool
}

func newProgress(next uint64, now time.Duration) *progress {
	return &progress{next: next, heardAt: now}
}

func (p *progress) mayAppend(stable uint64, window int) bool {
	switch p.state {
	case progressProbe:
		return !p.probing
	case progressReplicate:
		return p.next <= stable && len(p.inflight) < window
	}
	return false
}

// sent notes an append whose last entry is at index.
func (p *progress) sent(index uint64, now time.Duration) {
	if len(p.inflight) == 0 || p.state == progressProbe {
		p.sentAt = now
	}
	if p.state == progressProbe {
		p.probing = true
		return
	}
	p.next = index + 1
	p.inflight = append(p.inflight, index)
}

// retry goes back to probing if an append seems to be lost.
func (p *progress) retry(now, wait time.Duration) {
	waiting := p.probing || len(p.inflight) > 0
	if waiting && now-p.sentAt >= wait {
		p.probe(p.match + 1)
	}
}

func (p *progress) probe(next uint64) {
	p.state = progressProbe
	p.next = next
	p.inflight = nil
	p.probing = false
	p.snapshot = nil
}

// matched notes that the peer has synced up to index. It returns true if that
// is news.
func (p *progress) matched(index uint64, now time.Duration) bool {
	news := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	if p.state == progressSnapshot && !news {
		return false
	}
	if p.state != progressReplicate {
		p.probe(p.match + 1)
		p.state = progressReplicate
		return news
	}
	done := 0
	for done < len(p.inflight) && p.inflight[done] <= p.match {
		done++
	}
	p.inflight = p.inflight[done:]
	p.sentAt = now
	return news
}

// lose notes that the peer's log ends at last, before what it acknowledged.
func (p *progress) lose(last uint64) {
	p.lost = true
	p.match = 0
	p.probe(last + 1)
}

// rejected handles the refusal of an append that followed prev. Answers to
// messages sent before the last match are stale.
func (p *progress) rejected(prev, hint uint64) {
	if prev <= p.match || prev >= p.next || p.state == progressSnapshot {
		return
	}
	p.probe(max(p.match, min(hint, prev-1)) + 1)
}

// usualVoters is the number of voters up to which counting needs no allocation.
const usualVoters = 8

// quorumValue returns the largest value that a quorum of voters has reached.
// The leader counts with own if it is a voter itself; peers that lost acknowledged
// entries count with the zero value.
func quorumValue[T cmp.Ordered](n *Node, own T, of func(*progress) T) T {
	voters := n.log.membership().Voters
	var buffer [usualVoters]T
	values := buffer[:0]
	for _, voter := range voters {
		var value T
		p := n.lead.peers[voter.ID]
		switch {
		case voter.ID == n.self():
			value = own
		case p != nil && !p.lost:
			value = of(p)
		}
		values = append(values, value)
	}
	slices.Sort(values)
	return values[len(values)-n.log.membership().Quorum()]
}

package replication

import (
	"slices"
	"time"
)

// LearnerWait is the reason why a leader has not made a learner a voter.
type LearnerWait uint8

// The reasons of a learner's wait.
const (
	// WaitNone: the leader has not decided yet, or does not change members itself.
	WaitNone LearnerWait = iota
	// WaitBehind: the learner lacks committed entries.
	WaitBehind
	// WaitSilent: the leader has not heard from the learner within an election timeout.
	WaitSilent
	// WaitLost: the learner lost entries that it had acknowledged.
	WaitLost
	// WaitLeaving: the learner is to be removed.
	WaitLeaving
	// WaitPredecessor: the voter that ran on the learner's VM before counts as live.
	WaitPredecessor
	// WaitHeartbeat: the learner has not acknowledged a heartbeat.
	WaitHeartbeat
	// WaitOtherVoter: another voter has not acknowledged a heartbeat.
	WaitOtherVoter
	// WaitQuorum: no quorum of the next voters is live.
	WaitQuorum
	// WaitChange: a membership change or a replacement is in progress, or the leader's term has no committed entry yet.
	WaitChange
	// WaitNoPlace: the voters are complete, and none needs replacement.
	WaitNoPlace
	// WaitOtherLearner: another learner goes first.
	WaitOtherLearner
)

// LearnerStatus tells why a member does not vote.
type LearnerStatus struct {
	// Waited is the time since this leader first knew the learner, or 0 for a voter.
	Waited time.Duration
	Wait   LearnerWait
}

// decision is what repair decided last about the learners that could vote. learner is the one that goes next, or zero if
// none was chosen; then the reason is that of each learner.
type decision struct {
	learner NodeID
	reason  LearnerWait
}

// hold records why the learner, or each one if its ID is zero, is not made a voter by the current step.
func (n *Node) hold(learner NodeID, reason LearnerWait) {
	n.leaderState.decision = decision{learner, reason}
}

// unacked returns the reason for one of the concerned that has not acknowledged a heartbeat, or WaitNone.
func (n *Node) unacked(learner NodeID, concerned []*progress) LearnerWait {
	if !slices.ContainsFunc(concerned, func(p *progress) bool { return !p.acked }) {
		return WaitNone
	}
	if p := n.leaderState.peers[learner]; !p.acked {
		return WaitHeartbeat
	}
	return WaitOtherVoter
}

// catchUpWait returns why the member does not count as caught up, or WaitNone if it does: it is live and lags at most
// maxCatchUpLag entries behind the commit index.
func (n *Node) catchUpWait(id NodeID) LearnerWait {
	p := n.leaderState.peers[id]
	switch {
	case p == nil || !n.isLive(id):
		return WaitSilent
	case p.lostEntries:
		return WaitLost
	case p.match+maxCatchUpLag < n.log.commit || p.match == 0:
		return WaitBehind
	}
	return WaitNone
}

// learnerStatus returns how long a learner has waited for its vote, and why.
func (n *Node) learnerStatus(id NodeID) LearnerStatus {
	if !n.log.membership().IsLearner(id) {
		return LearnerStatus{}
	}
	p, d := n.leaderState.peers[id], n.leaderState.decision
	s := LearnerStatus{Waited: n.now - p.addedAt, Wait: d.reason}
	switch {
	case d.learner.IsZero() && d.reason != WaitNone || d.learner == id:
	case p.wait != WaitNone:
		s.Wait = p.wait
	case !d.learner.IsZero():
		s.Wait = WaitOtherLearner
	}
	return s
}

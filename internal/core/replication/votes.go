package replication

import "time"

// VoteAnswer is the answer of a voter to a request for its vote. The values are sent to peers.
type VoteAnswer uint8

// The answers to a request for a vote.
const (
	// VoteUnanswered is also the reason of a refusal by an earlier version, which names none.
	VoteUnanswered VoteAnswer = iota
	VoteGranted
	// VoteRefusedLease: a leader may hold a lease that depends on the voter.
	VoteRefusedLease
	// VoteRefusedLog: the voter's log holds entries that the candidate lacks.
	VoteRefusedLog
	// VoteRefusedTerm: the voter is in the term that the candidate asks for, or in a later one.
	VoteRefusedTerm
	// VoteRefusedPrecedence: the voter requests pre-votes itself and precedes the candidate.
	VoteRefusedPrecedence
	// VoteRefusedOther: the voter granted its vote to another candidate, or follows a leader of this term.
	VoteRefusedOther
)

// VoterAnswer is what a voter answered to a node's last request for its vote.
type VoterAnswer struct {
	Voter  NodeID
	Answer VoteAnswer
}

// ElectionStatus tells why a node knows no leader.
type ElectionStatus struct {
	// Leaderless is the time since the node last knew a leader or, if it never did, since its start. It is 0 while it
	// knows one.
	Leaderless time.Duration
	// Answers holds an answer for each other voter to the node's last request for votes since it knew no leader. It is
	// empty if the node made none.
	Answers []VoterAnswer
}

// startBallot forgets the answers to the previous request for votes.
func (n *Node) startBallot() { n.answers = make(map[NodeID]VoteAnswer) }

// recordAnswer records an answer to the node's last request for votes, which may be late.
func (n *Node) recordAnswer(m *Message) {
	if n.answers == nil {
		return
	}
	if m.Granted {
		n.answers[m.From] = VoteGranted
		return
	}
	n.answers[m.From] = m.Refusal
}

// noteLeader records since when no leader is known.
func (n *Node) noteLeader() {
	if !n.leader.IsZero() {
		n.leaderless, n.answers = false, nil
		return
	}
	if !n.leaderless {
		n.leaderless, n.leaderlessAt = true, n.now
	}
}

func (n *Node) electionStatus() ElectionStatus {
	if !n.leaderless {
		return ElectionStatus{}
	}
	s := ElectionStatus{Leaderless: n.now - n.leaderlessAt}
	if n.answers == nil {
		return s
	}
	for _, voter := range n.log.membership().Voters {
		if voter.ID != n.self() {
			s.Answers = append(s.Answers, VoterAnswer{voter.ID, n.answers[voter.ID]})
		}
	}
	return s
}

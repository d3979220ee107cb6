package replication

import (
	"slices"
	"time"
)

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

// VoterState is what a node that knows no leader knows of a voter of its log.
type VoterState struct {
	ID NodeID
	// Asked is true if the node's last request for votes went to the voter, or the voter answered one. Answer is its answer.
	Asked  bool
	Answer VoteAnswer
	// Gone is true if another incarnation is known to have followed on the voter's VM.
	Gone bool
}

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
	// Voters holds all voters of the node's log, itself included.
	Voters []VoterState
	// Kept is the number of voters that are not known to be gone, and Need how many must agree. During a replacement, they
	// are those of the majority that lacks more voters. Both are 0 if the node's log names no voter.
	Kept, Need int
}

// startBallot forgets the answers to the previous request for votes. A new request goes to all other voters.
func (n *Node) startBallot() {
	n.answers = make(map[NodeID]VoteAnswer)
	for _, voter := range n.log.membership().Voters {
		if voter.ID != n.self() {
			n.answers[voter.ID] = VoteUnanswered
		}
	}
}

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
	s := ElectionStatus{Leaderless: n.now - n.leaderlessAt, Voters: n.voterStates()}
	s.Kept, s.Need = n.keptVoters()
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

func (n *Node) voterStates() []VoterState {
	var states []VoterState
	for _, voter := range n.log.membership().Voters {
		answer, asked := n.answers[voter.ID]
		states = append(states, VoterState{ID: voter.ID, Asked: asked, Answer: answer, Gone: n.isGone(voter.ID)})
	}
	return states
}

// keptVoters returns ElectionStatus.Kept and Need.
func (n *Node) keptVoters() (kept, need int) {
	membership := n.log.membership()
	r := membership.Replacement
	switch {
	case len(membership.Voters) == 0:
		return 0, 0
	case r.IsZero():
		return n.keptVotersWithout(NodeID{})
	}
	kept, need = n.keptVotersWithout(r.Incoming)
	if k, m := n.keptVotersWithout(r.Outgoing); k-m < kept-need {
		return k, m
	}
	return kept, need
}

// keptVotersWithout is keptVoters for a majority of the voters other than excluded.
func (n *Node) keptVotersWithout(excluded NodeID) (kept, need int) {
	voters := 0
	for _, voter := range n.log.membership().Voters {
		if voter.ID == excluded {
			continue
		}
		voters++
		if !n.isGone(voter.ID) {
			kept++
		}
	}
	return kept, voters/2 + 1
}

// isGone reports whether another incarnation is known to have followed on the voter's VM: this node, a learner, a later
// voter, or one that asked to join.
func (n *Node) isGone(voter NodeID) bool {
	if voter.VM == n.self().VM {
		return voter != n.self()
	}
	membership := n.log.membership()
	later := membership.Voters[indexOf(membership.Voters, voter)+1:]
	onSameVM := func(m Member) bool { return m.ID.VM == voter.VM }
	return n.gone[voter] || slices.ContainsFunc(later, onSameVM) || slices.ContainsFunc(membership.Learners, onSameVM)
}

// maxGone bounds the former voters that are kept.
const maxGone = 64

// noteJoiner records the voters that another incarnation on their VM followed, which asks to join.
func (n *Node) noteJoiner(joiner NodeID) {
	delete(n.gone, joiner)
	for _, voter := range n.log.membership().Voters {
		if voter.ID.VM != joiner.VM || voter.ID == joiner {
			continue
		}
		if len(n.gone) >= maxGone {
			clear(n.gone)
		}
		n.gone[voter.ID] = true
	}
}

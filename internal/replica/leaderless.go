package replica

import (
	"strings"
	"time"

	"waxwingcart/internal/core/replication"
)

// An outage without a leader is logged once it lasts longer than an election takes, and then again at an interval.
const (
	leaderlessAfter       = 2 * electionTimeout
	leaderlessLogInterval = 5 * time.Second
)

var voteAnswerNames = map[replication.VoteAnswer]string{
	replication.VoteUnanswered:        "none",
	replication.VoteGranted:           "granted",
	replication.VoteRefusedLease:      "refused: lease",
	replication.VoteRefusedLog:        "refused: longer log",
	replication.VoteRefusedTerm:       "refused: later term",
	replication.VoteRefusedPrecedence: "refused: precedence",
	replication.VoteRefusedOther:      "refused: other candidate",
}

// leaderlessLog writes who votes by this replica's log and what the voters answered while no leader is known. It is
// used by the event loop alone.
type leaderlessLog struct {
	// logged is true once a line was written for the current outage, at loggedAt.
	logged   bool
	loggedAt time.Duration
}

// logLeaderless writes a line if one is due.
func (r *Replica) logLeaderless(status replication.Status, now time.Duration) {
	l := &r.leaderless
	outage := status.Election.Leaderless
	switch {
	case outage == 0 && l.logged:
		l.logged = false
		r.logger.Info().Str("step", "election").Uint64("term", status.Term).Msg("a leader is known again")
		return
	case outage < leaderlessAfter || l.logged && now-l.loggedAt < leaderlessLogInterval:
		return
	}
	l.logged, l.loggedAt = true, now
	r.logger.Warn().Str("step", "election").Int64("leaderless_ms", outage.Milliseconds()).
		Str("node", status.Self.ID.String()).Str("role", roleNames[status.Role]).Uint64("term", status.Term).
		Uint64("last_index", status.LastIndex).Uint64("commit", status.Commit).Uint64("members_index", status.MembershipIndex).
		Bool("voter", status.Membership.IsVoter(status.Self.ID)).
		Str("voters", strings.Join(memberNames(status.Membership.Voters), ",")).
		Str("learners", strings.Join(memberNames(status.Membership.Learners), ",")).
		Str("votes", describeAnswers(status.Election.Answers)).Msg("no leader is known")
}

// describeAnswers returns the voters with their answers, or "" if none was asked.
func describeAnswers(answers []replication.VoterAnswer) string {
	parts := make([]string, 0, len(answers))
	for _, a := range answers {
		parts = append(parts, a.Voter.String()+" "+voteAnswerNames[a.Answer])
	}
	return strings.Join(parts, ", ")
}

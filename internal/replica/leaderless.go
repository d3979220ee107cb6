package replica

import (
	"strings"
	"time"

	"waxwingcart/internal/core/replication"
)

// An outage without a leader is logged once it lasts longer than an election takes, and then again at an interval.
const (
	leaderlessAfter = 2 * electionTimeout
	repeatInterval  = 5 * time.Second
)

// A record of the logs may keep only the first 200 characters of a line. Warn lines name what tells faults apart before
// anything long, and VMs without their incarnations.

var voteAnswerNames = map[replication.VoteAnswer]string{
	replication.VoteUnanswered:        "none",
	replication.VoteGranted:           "granted",
	replication.VoteRefusedLease:      "refused: lease",
	replication.VoteRefusedLog:        "refused: longer log",
	replication.VoteRefusedTerm:       "refused: later term",
	replication.VoteRefusedPrecedence: "refused: precedence",
	replication.VoteRefusedOther:      "refused: other candidate",
}

// voteWords are the answers in the short line.
var voteWords = map[replication.VoteAnswer]string{
	replication.VoteUnanswered:        "none",
	replication.VoteGranted:           "granted",
	replication.VoteRefusedLease:      "lease",
	replication.VoteRefusedLog:        "log",
	replication.VoteRefusedTerm:       "term",
	replication.VoteRefusedPrecedence: "precedence",
	replication.VoteRefusedOther:      "other",
}

// shortRoles are the names of roles in the short part of a line.
var shortRoles = map[replication.Role]string{
	replication.RoleFollower:     "follower",
	replication.RolePreCandidate: "pre",
	replication.RoleCandidate:    "candidate",
	replication.RoleLeader:       "leader",
}

// repeated says when a state that lasts is logged: at once, and again at an interval. It is used by the event loop alone.
type repeated struct {
	// logged is true once a line was written for the current state, at loggedAt.
	logged   bool
	loggedAt time.Duration
}

// due reports whether a line is due, and counts it as written.
func (r *repeated) due(now time.Duration) bool {
	if r.logged && now-r.loggedAt < repeatInterval {
		return false
	}
	r.logged, r.loggedAt = true, now
	return true
}

// end ends the state and reports whether a line was written for it.
func (r *repeated) end() bool {
	logged := r.logged
	r.logged = false
	return logged
}

// logLeaderless writes who votes by this replica's log and what the voters answered while no leader is known, if that is
// due.
func (r *Replica) logLeaderless(status replication.Status, now time.Duration) {
	outage := status.Election.Leaderless
	if outage == 0 {
		if r.leaderless.end() {
			r.logger.Info().Str("step", "election").Uint64("term", status.Term).Msg("a leader is known again")
		}
		return
	}
	if outage < leaderlessAfter || !r.leaderless.due(now) {
		return
	}
	r.logger.Warn().Str("step", "election").Int64("leaderless_ms", outage.Milliseconds()).
		Bool("voter", status.Membership.IsVoter(status.Self.ID)).Int("kept", status.Election.Kept).Int("need", status.Election.Need).
		Str("role", shortRoles[status.Role]).Uint64("term", status.Term).Uint64("last", status.LastIndex).
		Uint64("members", status.MembershipIndex).Uint64("commit", status.Commit).Str("node", status.Self.ID.String()).
		Str("voters", strings.Join(memberNames(status.Membership.Voters), ",")).
		Str("learners", strings.Join(memberNames(status.Membership.Learners), ",")).
		Str("votes", describeAnswers(status.Election.Answers)).Msg("no leader is known")
	if voters := status.Election.Voters; len(voters) > 0 {
		r.logger.Warn().Str("step", "votes").Str("votes", describeVoters(voters, status.Self.ID)).Msg("answers of the voters while no leader is known")
	}
}

// describeAnswers returns the voters with their answers, or "" if none was asked.
func describeAnswers(answers []replication.VoterAnswer) string {
	parts := make([]string, 0, len(answers))
	for _, a := range answers {
		parts = append(parts, a.Voter.String()+" "+voteAnswerNames[a.Answer])
	}
	return strings.Join(parts, ", ")
}

// describeVoters returns the voters by short names, each with one word.
func describeVoters(voters []replication.VoterState, self replication.NodeID) string {
	vms := make([]string, 0, len(voters))
	for _, v := range voters {
		vms = append(vms, v.ID.VM)
	}
	names := shortNames(vms)
	parts := make([]string, 0, len(voters))
	for _, v := range voters {
		word := voteWords[v.Answer]
		switch {
		case v.ID == self:
			word = "self"
		case v.Gone:
			word = "gone"
		case !v.Asked:
			word = "unasked"
		}
		parts = append(parts, names[v.ID.VM]+":"+word)
	}
	return strings.Join(parts, " ")
}

// shortNames returns a short name for each VM: the first part, between hyphens, that the names don't share, or the whole
// name if such parts are not distinct.
func shortNames(vms []string) map[string]string {
	parts := make(map[string][]string)
	for _, vm := range vms {
		parts[vm] = strings.Split(vm, "-")
	}
	shared := 0
	for len(parts) > 1 && isShared(parts, shared) {
		shared++
	}
	names, used := make(map[string]string), make(map[string]bool)
	for vm, p := range parts {
		name := p[min(shared, len(p)-1)]
		names[vm] = name
		used[name] = true
	}
	if len(used) < len(names) || len(names) == 1 {
		for vm := range names {
			names[vm] = vm
		}
	}
	return names
}

// isShared reports whether all names have the same part at an index, which is not the last one of any.
func isShared(parts map[string][]string, i int) bool {
	first := ""
	for _, p := range parts {
		if i >= len(p)-1 || first != "" && p[i] != first {
			return false
		}
		first = p[i]
	}
	return true
}

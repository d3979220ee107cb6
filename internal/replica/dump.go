package replica

import (
	"fmt"
	"time"

	"waxwingcart/internal/core/orders"
	"waxwingcart/internal/core/planner"
	"waxwingcart/internal/core/replication"
)

// State is the replica's part of the state dump.
type State struct {
	VM          string              `json:"vm"`
	Zone        string              `json:"zone"`
	Incarnation string              `json:"incarnation"`
	Role        string              `json:"role"`
	Term        uint64              `json:"term"`
	Leader      string              `json:"leader,omitempty"`
	LeaseValid  bool                `json:"lease_valid"`
	Voters      []string            `json:"voters"`
	Learners    []string            `json:"learners"`
	Commit      uint64              `json:"commit_index"`
	Applied     uint64              `json:"applied_index"`
	LastIndex   uint64              `json:"last_index"`
	Snapshot    uint64              `json:"snapshot_index"`
	Records     int                 `json:"idempotency_records"`
	Acks        map[string]AckState `json:"acknowledged_revisions"`
	Peers       []PeerState         `json:"peers,omitempty"`
	Orders      orders.State        `json:"orders"`
	// LeaderlessS is how long no leader has been known, in seconds, and Votes what the other voters answered to
	// the last request for their votes in that time.
	LeaderlessS float64 `json:"leaderless_s"`
	Votes       string  `json:"votes,omitempty"`
	// Plan is set on the leader only.
	Plan *planner.View `json:"plan,omitempty"`
}

// PeerState is the leader's view of another replica.
type PeerState struct {
	Node    string  `json:"node"`
	Zone    string  `json:"zone"`
	Voter   bool    `json:"voter"`
	Match   uint64  `json:"match_index"`
	SilentS float64 `json:"silent_s"`
}

var roleNames = map[replication.Role]string{
	replication.RoleFollower:     "follower",
	replication.RolePreCandidate: "pre-candidate",
	replication.RoleCandidate:    "candidate",
	replication.RoleLeader:       "leader",
}

// State returns the replica's state for the state dump.
func (r *Replica) State() State {
	r.mu.Lock()
	v := r.view
	r.mu.Unlock()
	s := State{
		VM:          r.opts.Self.VM,
		Zone:        r.opts.Self.Zone,
		Incarnation: fmt.Sprintf("%016x", r.log.Incarnation()),
		Role:        roleNames[v.status.Role],
		Term:        v.status.Term,
		LeaseValid:  v.status.Lease.Valid,
		Voters:      memberNames(v.status.Membership.Voters),
		Learners:    memberNames(v.status.Membership.Learners),
		Commit:      v.status.Commit,
		Applied:     v.applied,
		LastIndex:   v.status.LastIndex,
		Snapshot:    v.status.SnapshotIndex,
		Records:     v.records,
		Acks:        r.acks.state(time.Now()),
		Orders:      r.orders.state(),
		Plan:        r.planning.state(),

		LeaderlessS: v.status.Election.Leaderless.Seconds(),
		Votes:       describeAnswers(v.status.Election.Answers),
	}
	if v.status.Leader != nil {
		s.Leader = v.status.Leader.ID.String()
	}
	for _, peer := range v.status.Peers {
		s.Peers = append(s.Peers, PeerState{
			Node:    peer.Member.ID.String(),
			Zone:    peer.Member.Zone,
			Voter:   peer.Voter,
			Match:   peer.Match,
			SilentS: peer.Silent.Seconds(),
		})
	}
	return s
}

func memberNames(members []replication.Member) []string {
	names := make([]string, 0, len(members))
	for _, member := range members {
		names = append(names, member.ID.String()+"@"+member.Zone)
	}
	return names
}

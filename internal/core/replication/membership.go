package replication

import (
	"errors"
	"fmt"
	"slices"
)

// Bootstrap returns the initial state of a new log with members as its voters.
// Only one node of a new log starts from it; the others start without state and
// join.
func Bootstrap(members []Member) Restored {
	membership := Membership{Voters: slices.Clone(members)}
	return Restored{Snapshot: &Snapshot{Membership: membership}}
}

// IsZero reports whether the ID is empty.
func (id NodeID) IsZero() bool { return id == NodeID{} }

// String formats the ID for logs and errors.
func (id NodeID) String() string { return fmt.Sprintf("%s/%016x", id.VM, id.Incarnation) }

// IsVoter reports whether the node is a voter.
func (m *Membership) IsVoter(id NodeID) bool {
	return indexOf(m.Voters, id) >= 0
}

// IsLearner reports whether the node is a learner, which receives the log but
// does not vote.
func (m *Membership) IsLearner(id NodeID) bool {
	return indexOf(m.Learners, id) >= 0
}

// Contains reports whether the node is a voter or a learner.
func (m *Membership) Contains(id NodeID) bool {
	return m.IsVoter(id) || m.IsLearner(id)
}

// Find returns the member with this ID, or nil.
func (m *Membership) Find(id NodeID) *Member {
	if i := indexOf(m.Voters, id); i >= 0 {
		return &m.Voters[i]
	}
	if i := indexOf(m.Learners, id); i >= 0 {
		return &m.Learners[i]
	}
	return nil
}

// HasQuorum reports whether the voters that agree are a quorum. Any two quorums share a voter, also if one is of
// the membership before or after a change that checkChange allows.
func (m *Membership) HasQuorum(agrees func(NodeID) bool) bool {
	if m.Replacement.IsZero() {
		return m.hasMajorityWithout(NodeID{}, agrees)
	}
	return m.hasMajorityWithout(m.Replacement.Incoming, agrees) && m.hasMajorityWithout(m.Replacement.Outgoing, agrees)
}

// hasMajorityWithout reports whether a majority of the voters other than excluded agrees.
func (m *Membership) hasMajorityWithout(excluded NodeID, agrees func(NodeID) bool) bool {
	agreeing, voters := 0, 0
	for _, voter := range m.Voters {
		if voter.ID == excluded {
			continue
		}
		voters++
		if agrees(voter.ID) {
			agreeing++
		}
	}
	return agreeing > voters/2
}

// IsZero reports whether no voter is being replaced.
func (r Replacement) IsZero() bool { return r == Replacement{} }

// includes reports whether the node is one of the two.
func (r Replacement) includes(id NodeID) bool { return id == r.Outgoing || id == r.Incoming }

func indexOf(members []Member, id NodeID) int {
	return slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
}

// clone returns a copy that shares no slice with m.
func (m *Membership) clone() Membership {
	return Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners), Replacement: m.Replacement}
}

// withLearner returns a copy with the member added as a learner.
func (m *Membership) withLearner(member Member) Membership {
	next := m.clone()
	next.Learners = append(next.Learners, member)
	return next
}

// withVoter returns a copy in which the member is a voter instead of a learner.
func (m *Membership) withVoter(member Member) Membership {
	next := m.without(member.ID)
	next.Voters = append(next.Voters, member)
	return next
}

// withReplacement returns a copy in which the member is a voter instead of a learner and begins to replace another
// voter.
func (m *Membership) withReplacement(incoming Member, outgoing NodeID) Membership {
	next := m.withVoter(incoming)
	next.Replacement = Replacement{Outgoing: outgoing, Incoming: incoming.ID}
	return next
}

// withUpdated returns a copy with the address and zone of the member updated.
func (m *Membership) withUpdated(member Member) Membership {
	next := m.clone()
	*next.Find(member.ID) = member
	return next
}

// without returns a copy from which the node is removed. That ends a replacement that includes it.
func (m *Membership) without(id NodeID) Membership {
	same := func(member Member) bool { return member.ID == id }
	next := m.clone()
	if next.Replacement.includes(id) {
		next.Replacement = Replacement{}
	}
	next.Voters = slices.DeleteFunc(next.Voters, same)
	next.Learners = slices.DeleteFunc(next.Learners, same)
	return next
}

// checkChange returns an error unless next is well formed and differs from m in
// at most one voter, so that any quorum of next shares a voter with any
// quorum of m. A replacement begins with the addition of a voter and ends with the removal of
// one of the two; other voters don't change meanwhile.
func (m *Membership) checkChange(next *Membership) error {
	if len(next.Voters) == 0 {
		return errors.New("membership has no voter")
	}
	seen := make(map[NodeID]bool)
	for _, member := range slices.Concat(next.Voters, next.Learners) {
		if member.ID.IsZero() {
			return errors.New("membership has a member without an ID")
		}
		if seen[member.ID] {
			return fmt.Errorf("membership has member %v twice", member.ID)
		}
		seen[member.ID] = true
	}
	changed := 0
	for _, member := range m.Voters {
		if !next.IsVoter(member.ID) {
			changed++
		}
	}
	for _, member := range next.Voters {
		if !m.IsVoter(member.ID) {
			changed++
		}
	}
	if changed > 1 {
		return fmt.Errorf("membership change adds or removes %d voters, only one is allowed", changed)
	}
	return m.checkReplacement(next, changed)
}

// checkReplacement checks the replacements of m and next, which differ in changed voters.
func (m *Membership) checkReplacement(next *Membership, changed int) error {
	before, after := m.Replacement, next.Replacement
	switch {
	case before == after && (before.IsZero() || changed == 0):
		return nil
	case before.IsZero() && m.IsVoter(after.Outgoing) && next.IsVoter(after.Outgoing) && !m.IsVoter(after.Incoming) && next.IsVoter(after.Incoming):
		return nil
	case after.IsZero() && next.IsVoter(before.Outgoing) != next.IsVoter(before.Incoming):
		return nil
	}
	return fmt.Errorf("membership change from replacement %v to %v is not allowed", before, after)
}

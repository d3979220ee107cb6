package replication

import (
	"errors"
	"fmt"
	"slices"
)

// Bootstrap returns the state of a new log with the first membership. All but
// one of a new log's nodes start without state and join.
func Bootstrap(members []Member) Restored {
	membership := Membership{Voters: slices.Clone(members)}
	return Restored{Snapshot: &Snapshot{Membership: membership}}
}

// IsZero reports whether the ID names no node.
func (id NodeID) IsZero() bool { return id == NodeID{} }

// String formats the ID for logs and errors.
func (id NodeID) String() string { return fmt.Sprintf("%s/%016x", id.VM, id.Incarnation) }

// IsVoter reports whether the node votes.
func (m *Membership) IsVoter(id NodeID) bool {
	return indexOf(m.Voters, id) >= 0
}

// IsLearner reports whether the node learns the log without voting.
func (m *Membership) IsLearner(id NodeID) bool {
	return indexOf(m.Learners, id) >= 0
}

// Contains reports whether the node takes part in the log.
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

// Quorum is the number of voters that any two majorities share one of.
func (m *Membership) Quorum() int {
	return len(m.Voters)/2 + 1
}

func indexOf(members []Member, id NodeID) int {
	return slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
}

// clone returns a copy that shares no slice.
func (m *Membership) clone() Membership {
	return Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

// withLearner returns a copy with one more learner.
func (m *Membership) withLearner(member Member) Membership {
	next := m.clone()
	next.Learners = append(next.Learners, member)
	return next
}

// withVoter returns a copy in which the learner is a voter.
func (m *Membership) withVoter(member Member) Membership {
	next := m.without(member.ID)
	next.Voters = append(next.Voters, member)
	return next
}

// withChanged returns a copy in which the member has another address or zone.
func (m *Membership) withChanged(member Member) Membership {
	next := m.clone()
	*next.Find(member.ID) = member
	return next
}

// without returns a copy that lacks the node.
func (m *Membership) without(id NodeID) Membership {
	same := func(member Member) bool { return member.ID == id }
	next := m.clone()
	next.Voters = slices.DeleteFunc(next.Voters, same)
	next.Learners = slices.DeleteFunc(next.Learners, same)
	return next
}

// checkChange returns an error unless next is well formed and any majority of
// it shares a voter with any majority of m: they differ in one voter at most.
func (m *Membership) checkChange(next *Membership) error {
	if len(next.Voters) == 0 {
		return errors.New("membership without a voter")
	}
	seen := make(map[NodeID]bool)
	for _, member := range slices.Concat(next.Voters, next.Learners) {
		if member.ID.IsZero() {
			return errors.New("membership holds a node without a name")
		}
		if seen[member.ID] {
			return fmt.Errorf("membership holds %v twice", member.ID)
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
		return fmt.Errorf("membership changes %d voters at once", changed)
	}
	return nil
}

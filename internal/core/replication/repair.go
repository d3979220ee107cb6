package replication

import (
	"slices"
	"time"
)

// maxCatchUpLag is the number of entries by which a caught-up learner may lag
// behind the leader's commit index.
const maxCatchUpLag = 64

// join adds a node as a learner, or updates the address and zone of a member.
func (n *Node) join(j Join) {
	n.noteSuccessor(j.Member.ID)
	n.recordJoinRequest(j.Member)
	if n.leaderState == nil {
		n.reject(j.Token, RejectNotLeader)
		return
	}
	delete(n.leaderState.leaving, j.Member.ID)
	membership := n.log.membership()
	known := membership.Find(j.Member.ID)
	if known != nil && *known != j.Member {
		n.proposeMembership(j.Token, membership.withUpdated(j.Member))
		return
	}
	if known != nil {
		appended := AppendedProposal{Token: j.Token, Index: n.log.membershipIndex(), Term: n.term}
		n.effects.Appended = append(n.effects.Appended, appended)
		return
	}
	n.proposeMembership(j.Token, membership.withLearner(j.Member))
}

// leave marks a voter that is about to shut down for replacement, and confirms
// the request once the node is no voter.
func (n *Node) leave(l Leave) {
	if l.ID == n.self() {
		n.leaving = true
		n.resign()
	}
	if n.leaderState == nil {
		n.reject(l.Token, RejectNotLeader)
		return
	}
	if n.log.membership().IsVoter(l.ID) || n.log.commit < n.log.membershipIndex() {
		n.leaderState.leaving[l.ID] = true
		n.reject(l.Token, RejectMembership)
		return
	}
	appended := AppendedProposal{Token: l.Token, Index: n.log.membershipIndex(), Term: n.term}
	n.effects.Appended = append(n.effects.Appended, appended)
}

// repair makes the next membership change towards the target number of live
// voters, spread over zones. Only one change is in progress at a time. A voter is
// replaced in two changes, between which both the voters before and those after it have to agree. With a simple
// majority of all of them, the loss of the new voter would count in addition to that of the old one.
func (n *Node) repair() {
	if n.opts.TargetVoters == 0 {
		return
	}
	n.hold(NodeID{}, WaitChange)
	if !n.canChangeMembership() {
		return
	}
	next, ok := n.nextRepair()
	if !ok {
		return
	}
	n.hold(NodeID{}, WaitChange)
	for _, member := range n.leaderState.others {
		if !next.Contains(member.ID) {
			n.effects.Removing = append(n.effects.Removing, n.peerStatus(member))
		}
	}
	n.append(Entry{Kind: EntryMembership, Membership: &next})
}

// nextRepair returns the next membership to propose, if any. It proposes a change
// of voters only if a quorum of the new voters is live.
func (n *Node) nextRepair() (Membership, bool) {
	membership := n.log.membership()
	for _, learner := range membership.Learners {
		if n.needsReplacement(learner) {
			return membership.without(learner.ID), true
		}
	}
	if requests := n.JoinRequests(); len(requests) > 0 {
		return membership.withLearner(requests[0]), true
	}
	next, ok := n.nextVoters()
	return next, ok && next.HasQuorum(n.agrees)
}

// nextVoters returns the membership with the next change of voters, if any.
func (n *Node) nextVoters() (Membership, bool) {
	membership := n.log.membership()
	// nextRepair takes a change only if a quorum of its voters is live.
	n.hold(NodeID{}, WaitQuorum)
	if !membership.Replacement.IsZero() {
		return membership.without(n.replacementEnd()), true
	}
	if len(membership.Voters) > n.opts.TargetVoters {
		if voter := n.excessVoter(); voter != nil {
			return membership.without(voter.ID), true
		}
		n.hold(NodeID{}, WaitNoPlace)
		return Membership{}, false
	}
	learner := n.bestLearner()
	if learner == nil {
		n.hold(NodeID{}, WaitNone)
		return Membership{}, false
	}
	n.hold(learner.ID, WaitQuorum)
	// The predecessor counts as live for a moment after its end. Another voter, which may return, is not replaced in its place.
	if n.hasLivePredecessor(learner) {
		n.hold(learner.ID, WaitPredecessor)
		return Membership{}, false
	}
	outgoing := n.replaceableVoter(learner)
	if outgoing == nil {
		if len(membership.Voters) < n.opts.TargetVoters {
			return membership.withVoter(*learner), true
		}
		n.hold(learner.ID, WaitNoPlace)
		return Membership{}, false
	}
	concerned := n.liveVotersBeside(outgoing.ID, learner.ID)
	if reason := n.unacked(learner.ID, concerned); reason != WaitNone {
		n.hold(learner.ID, reason)
		return Membership{}, false
	}
	if slices.ContainsFunc(concerned, func(p *progress) bool { return !p.replaces }) {
		return membership.withVoter(*learner), true
	}
	return membership.withReplacement(*learner, outgoing.ID), true
}

// replacementEnd returns the voter whose removal ends the replacement in progress. That is the outgoing one, unless
// the incoming one is lost in turn. The leader never removes itself.
func (n *Node) replacementEnd() NodeID {
	membership := n.log.membership()
	r := membership.Replacement
	incoming, outgoing := membership.Find(r.Incoming), membership.Find(r.Outgoing)
	if r.Outgoing == n.self() || n.needsReplacement(*incoming) && !n.needsReplacement(*outgoing) {
		return r.Incoming
	}
	return r.Outgoing
}

// liveVotersBeside returns the progress of the incoming node and of all live voters other than the outgoing one and the
// leader. One that has not acknowledged a heartbeat of this leader may be silent, or of an earlier version.
func (n *Node) liveVotersBeside(outgoing, incoming NodeID) (live []*progress) {
	for _, member := range n.leaderState.others {
		counts := member.ID == incoming || n.log.membership().IsVoter(member.ID) && member.ID != outgoing
		if counts && n.isLive(member.ID) {
			live = append(live, n.leaderState.peers[member.ID])
		}
	}
	return live
}

// predecessor returns the voter that is an earlier incarnation on the learner's VM, or nil.
func (n *Node) predecessor(learner *Member) *Member {
	membership := n.log.membership()
	for i := range membership.Voters {
		if membership.Voters[i].ID.VM == learner.ID.VM {
			return &membership.Voters[i]
		}
	}
	return nil
}

func (n *Node) hasLivePredecessor(learner *Member) bool {
	predecessor := n.predecessor(learner)
	return predecessor != nil && n.agrees(predecessor.ID)
}

// replaceableVoter returns the voter that the learner should replace, or nil: its predecessor, one that needs
// replacement, or one of several voters in a zone if no voter is missing and the learner's zone has none.
func (n *Node) replaceableVoter(learner *Member) *Member {
	membership := n.log.membership()
	voter := n.predecessor(learner)
	if voter == nil {
		voter = n.lostVoter()
	}
	zones := n.keptVotersByZone()
	if voter != nil || len(membership.Voters) < n.opts.TargetVoters || zones[learner.Zone] > 0 {
		return voter
	}
	for i := range membership.Voters {
		voter := &membership.Voters[i]
		if zones[voter.Zone] > 1 && voter.ID != n.self() {
			return voter
		}
	}
	return nil
}

// lostVoter returns a voter that needs replacement, or nil. One that lost its disk goes first, as the others may
// return with theirs.
func (n *Node) lostVoter() *Member {
	membership := n.log.membership()
	var lost *Member
	for i := range membership.Voters {
		voter := &membership.Voters[i]
		switch {
		case n.lostDisk(voter.ID):
			return voter
		case lost == nil && n.needsReplacement(*voter):
			lost = voter
		}
	}
	return lost
}

// excessVoter returns the voter to remove: one that needs replacement, or else
// one in the zone with the most voters. The leader never removes itself.
func (n *Node) excessVoter() *Member {
	if voter := n.lostVoter(); voter != nil {
		return voter
	}
	membership := n.log.membership()
	zones := n.keptVotersByZone()
	var found *Member
	for i := range membership.Voters {
		voter := &membership.Voters[i]
		if voter.ID == n.self() {
			continue
		}
		if found == nil || zones[voter.Zone] > zones[found.Zone] {
			found = voter
		}
	}
	return found
}

// bestLearner returns a live, caught-up learner in the zone with the fewest
// voters that need no replacement, or nil.
func (n *Node) bestLearner() *Member {
	membership := n.log.membership()
	zones := n.keptVotersByZone()
	var best *Member
	for i := range membership.Learners {
		learner := &membership.Learners[i]
		p := n.leaderState.peers[learner.ID]
		p.wait = n.catchUpWait(learner.ID)
		if p.wait == WaitNone && n.needsReplacement(*learner) {
			p.wait = WaitLeaving
		}
		if p.wait != WaitNone {
			continue
		}
		if best == nil || zones[learner.Zone] < zones[best.Zone] {
			best = learner
		}
	}
	return best
}

// keptVotersByZone returns the number of voters that need no replacement in each
// zone.
func (n *Node) keptVotersByZone() map[string]int {
	zones := make(map[string]int)
	for _, voter := range n.log.membership().Voters {
		if !n.needsReplacement(voter) {
			zones[voter.Zone]++
		}
	}
	return zones
}

// isLive reports whether the leader heard from the member within an election
// timeout.
func (n *Node) isLive(id NodeID) bool {
	return id == n.self() || n.timeSinceContact(id) < n.opts.ElectionTimeout
}

// agrees reports whether the member is live and has its disk.
func (n *Node) agrees(id NodeID) bool { return n.isLive(id) && !n.lostDisk(id) }

func (n *Node) timeSinceContact(id NodeID) time.Duration {
	if p := n.leaderState.peers[id]; p != nil {
		return n.now - p.contactAt
	}
	return 0
}

// needsReplacement reports whether a member must be replaced: it announced its
// shutdown, was silent for ReplaceAfter, lost entries that it had acknowledged, or
// is not live while its VM runs another incarnation.
func (n *Node) needsReplacement(member Member) bool {
	if n.leaderState.peers[member.ID] == nil {
		return false
	}
	if n.lostDisk(member.ID) || n.leaderState.leaving[member.ID] {
		return true
	}
	return n.timeSinceContact(member.ID) >= n.opts.ReplaceAfter
}

// lostDisk reports whether the member lost entries that it had acknowledged, or its VM runs another incarnation. It never
// votes for what it acknowledged again. Messages of a member that has answered this leader may still be on their way when
// its VM has returned.
func (n *Node) lostDisk(id NodeID) bool {
	p := n.leaderState.peers[id]
	return p != nil && (p.lostEntries || (!n.isLive(id) || !p.acked) && n.hasSuccessor(id))
}

// hasSuccessor reports whether another incarnation on the node's VM is live and
// has acknowledged the leader.
func (n *Node) hasSuccessor(id NodeID) bool {
	for _, other := range n.leaderState.others {
		successor := other.ID.VM == id.VM && other.ID != id
		if successor && n.leaderState.peers[other.ID].acked && n.isLive(other.ID) {
			return true
		}
	}
	return false
}

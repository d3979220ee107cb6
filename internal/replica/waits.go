package replica

import (
	"time"

	"waxwingcart/internal/core/replication"
)

// learnerWaitAfter is how long a learner may wait for its vote before a line says why.
const learnerWaitAfter = time.Second

var learnerWaitNames = map[replication.LearnerWait]string{
	replication.WaitNone:         "not decided yet",
	replication.WaitBehind:       "behind",
	replication.WaitSilent:       "silent",
	replication.WaitLost:         "lost entries",
	replication.WaitLeaving:      "to be removed",
	replication.WaitPredecessor:  "predecessor counts as live",
	replication.WaitHeartbeat:    "no heartbeat acknowledged",
	replication.WaitOtherVoter:   "another voter has not answered",
	replication.WaitQuorum:       "no live quorum of the next voters",
	replication.WaitChange:       "membership change in progress",
	replication.WaitNoPlace:      "no place",
	replication.WaitOtherLearner: "another learner goes first",
}

// waitLog writes lines about what lasts too long. It is used by the event loop alone.
type waitLog struct {
	learners map[replication.NodeID]*repeated
	write    repeated
}

// logLearners writes, at the leader, why learners don't vote, if that is due. A learner without a place is a spare one and
// gets one line, unless a voter is silent.
func (r *Replica) logLearners(status replication.Status, now time.Duration) {
	waiting := make(map[replication.NodeID]*repeated)
	silentVoters := 0
	for _, peer := range status.Peers {
		if peer.Voter && peer.Silent >= electionTimeout {
			silentVoters++
		}
	}
	for _, peer := range status.Peers {
		id, wait := peer.Member.ID, peer.Learner
		if wait.Waited < learnerWaitAfter || wait.Wait == replication.WaitNone {
			continue
		}
		line := r.waits.learners[id]
		if line == nil {
			line = &repeated{}
		}
		waiting[id] = line
		spare := wait.Wait == replication.WaitNoPlace && silentVoters == 0
		if spare && line.logged || !line.due(now) {
			continue
		}
		behind := uint64(0)
		if peer.Match < status.Commit {
			behind = status.Commit - peer.Match
		}
		r.logger.Warn().Str("step", "learner").Str("vm", id.VM).Int64("waited_ms", wait.Waited.Milliseconds()).
			Str("reason", learnerWaitNames[wait.Wait]).Uint64("behind", behind).Int64("silent_ms", peer.Silent.Milliseconds()).
			Int("silent_voters", silentVoters).Msg("a learner waits for its vote")
	}
	r.waits.learners = waiting
}

// logStalledWrite writes a line if a write to the log has not returned for so long that the replica does not campaign.
func (r *Replica) logStalledWrite(status replication.Status, now time.Duration) {
	if status.WriteStalled == 0 {
		r.waits.write.end()
		return
	}
	if r.waits.write.due(now) {
		r.logger.Warn().Str("step", "write").Int64("outstanding_ms", status.WriteStalled.Milliseconds()).
			Str("role", shortRoles[status.Role]).Uint64("last", status.LastIndex).Uint64("synced", status.StableIndex).
			Msg("a write to the log has not returned; the replica does not campaign")
	}
}

// logRestored writes what the disk held. A process that ends again and again leaves one line for each start.
func (r *Replica) logRestored(restored replication.Restored) {
	status := r.node.Status()
	disk, member := "used", "none"
	if r.log.Empty() {
		disk = "empty"
	}
	switch self := status.Self.ID; {
	case status.Membership.IsVoter(self):
		member = "voter"
	case status.Membership.IsLearner(self):
		member = "learner"
	}
	r.logger.Warn().Str("step", "restore").Str("disk", disk).Uint64("last", status.LastIndex).Uint64("term", status.Term).
		Str("member", member).Uint64("commit", restored.HardState.Commit).Uint64("members", status.MembershipIndex).
		Uint64("snapshot_index", r.applied).Int("snapshot_bytes", r.snapshotBytes).Int("entries", len(restored.Entries)).
		Uint64("revision", r.machine.Revision()).Uint64("incarnation", status.Self.ID.Incarnation).
		Msg("replica restored from its disk")
}

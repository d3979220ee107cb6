package replica

import (
	"errors"
	"fmt"
	"strings"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/core/state"
)

// Errors with which a proposal, a read or a membership request is rejected.
var (
	errNotLeader      = errors.New("not the leader")
	errLeadershipLost = errors.New("leadership was lost before the commit; the outcome is in doubt")
	errBusy           = errors.New("too many proposals are waiting")
	errFewVoters      = errors.New("fewer replicas vote than a commit needs")
	errNoQuorum       = errors.New("no majority of the voting replicas answered in time")
	errMembership     = errors.New("another membership change is in progress")
)

// pendingProposal is a proposal that was appended and is not committed yet.
type pendingProposal struct {
	term  uint64
	token uint64
}

// apply applies a committed entry to the state machine and answers the proposal
// that it came from, if this replica appended it. A proposal is lost if an entry
// of another term is committed at its index.
func (r *Replica) apply(entry replication.Entry) {
	if r.applyFailed {
		return
	}
	proposal, local := r.takeAppended(entry)
	var applied state.Result
	if entry.Kind == replication.EntryCommand {
		applied = r.applyCommand(entry, r.waiting[proposal.token].command)
	}
	if r.applyFailed {
		return
	}
	r.applied = entry.Index
	r.bytesApplied += len(entry.Data)
	if entry.Kind == replication.EntryMembership {
		r.logMembership(entry)
	}
	if local {
		r.answer(proposal.token, result{applied: applied})
	}
	r.finishReads()
}

// logMembership logs the members as of a committed entry. A leader whose voters are too
// few to commit, or lack a majority, can be found from these lines.
func (r *Replica) logMembership(entry replication.Entry) {
	if entry.Membership == nil {
		return
	}
	event := r.logger.Info().Str("step", "members").Uint64("term", entry.Term).Uint64("index", entry.Index).
		Str("voters", strings.Join(memberNames(entry.Membership.Voters), ",")).
		Str("learners", strings.Join(memberNames(entry.Membership.Learners), ","))
	if replacement := entry.Membership.Replacement; !replacement.IsZero() {
		event = event.Str("outgoing", replacement.Outgoing.String()).Str("incoming", replacement.Incoming.String())
	}
	event.Msg("the replicas that keep the log changed")
}

// takeAppended removes and returns the proposal that an entry came from. If the
// proposal at the entry's index is of another term, it was lost and is answered
// with an error.
func (r *Replica) takeAppended(entry replication.Entry) (pendingProposal, bool) {
	proposal, ok := r.appended[entry.Index]
	if !ok {
		return pendingProposal{}, false
	}
	delete(r.appended, entry.Index)
	if proposal.term != entry.Term {
		r.answer(proposal.token, result{err: errLeadershipLost})
		return pendingProposal{}, false
	}
	return proposal, true
}

// applyCommand applies an entry. If this replica proposed the entry, command is
// the decoded form of its data; otherwise command is nil and the data is decoded
// here.
func (r *Replica) applyCommand(entry replication.Entry, command *state.Command) state.Result {
	if command == nil {
		decoded, err := codec.DecodeCommand(entry.Data)
		if err != nil {
			r.failApply(fmt.Errorf("decode entry %d: %w", entry.Index, err))
			return nil
		}
		command = &decoded
	}
	before := r.machine.Revision()
	applied := r.machine.Apply(entry.Index, entry.Term, *command)
	if r.machine.Revision() != before {
		r.revisionChanged()
	}
	return applied
}

// failApply stops the replica at an entry or a snapshot that it can't decode,
// such as one that a later version wrote. Going on without it would make the
// state diverge from that of the other replicas.
func (r *Replica) failApply(err error) {
	r.applyFailed = true
	r.reportFatal("apply", err)
}

// install replaces the state with a snapshot from the leader.
func (r *Replica) install(snapshot *replication.Snapshot) {
	r.applied = snapshot.Index
	r.compactedAt = snapshot.Index
	r.snapshotBytes = len(snapshot.Data)
	r.bytesApplied = 0
	if len(snapshot.Data) == 0 {
		return
	}
	restored, err := codec.DecodeState(snapshot.Data)
	if err != nil {
		r.failApply(fmt.Errorf("install snapshot at index %d: %w", snapshot.Index, err))
		return
	}
	r.machine.Restore(restored)
	r.revisionChanged()
	r.finishReads()
}

func (r *Replica) reject(rejection replication.Rejection) {
	switch rejection.Reason {
	case replication.RejectLost:
		r.answer(rejection.Token, result{err: errLeadershipLost})
	case replication.RejectBusy:
		r.answer(rejection.Token, result{err: errBusy})
	case replication.RejectFewVoters:
		r.answer(rejection.Token, result{err: errFewVoters})
	case replication.RejectNoQuorum:
		r.answer(rejection.Token, result{err: errNoQuorum})
	case replication.RejectMembership:
		r.answer(rejection.Token, result{err: errMembership})
	default:
		r.answer(rejection.Token, result{err: errNotLeader})
	}
}

// answer delivers the result to the waiter for a token.
func (r *Replica) answer(token uint64, outcome result) {
	waiting, ok := r.waiting[token]
	if !ok {
		return
	}
	delete(r.waiting, token)
	outcome.item = waiting.item
	waiting.done <- outcome
}

// finishRead answers a read once the state machine has applied its index.
func (r *Replica) finishRead(read replication.ReadResult) {
	r.pendingReads = append(r.pendingReads, read)
	r.finishReads()
}

// finishReads answers the pending reads whose index has been applied.
func (r *Replica) finishReads() {
	kept := r.pendingReads[:0]
	for _, read := range r.pendingReads {
		if read.Index > r.applied {
			kept = append(kept, read)
			continue
		}
		r.answer(read.Token, result{})
	}
	r.pendingReads = kept
}

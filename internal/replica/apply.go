package replica

import (
	"errors"
	"fmt"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/core/state"
)

// The errors of a proposal.
var (
	errNotLeader = errors.New("not the leader")
	errLost      = errors.New("leadership was lost before the commit; the outcome is in doubt")
	errBusy      = errors.New("too many proposals are waiting")
)

// pending is a proposal that was appended and waits for its commit.
type pending struct {
	term  uint64
	token uint64
}

// apply feeds a committed entry to the state machine and answers whoever
// proposed it. A proposal whose index was taken by another term's entry was
// lost.
func (r *Replica) apply(entry replication.Entry) {
	if r.broken {
		return
	}
	own, ours := r.takeAppended(entry)
	var applied state.Result
	if entry.Kind == replication.EntryCommand {
		applied = r.applyCommand(entry, r.waiting[own.token].command)
	}
	if r.broken {
		return
	}
	r.applied = entry.Index
	if entry.Kind == replication.EntryMembership {
		r.membershipChanged()
	}
	if ours {
		r.answer(own.token, result{applied: applied})
	}
	r.finishReads()
}

// takeAppended returns the proposal that an entry came from. It answers one
// whose place another term's entry has taken.
func (r *Replica) takeAppended(entry replication.Entry) (pending, bool) {
	own, ok := r.appended[entry.Index]
	if !ok {
		return pending{}, false
	}
	delete(r.appended, entry.Index)
	if own.term != entry.Term {
		r.answer(own.token, result{err: errLost})
		return pending{}, false
	}
	return own, true
}

// applyCommand applies an entry. Command is what its data encodes, if this
// replica proposed it, and nil otherwise.
func (r *Replica) applyCommand(entry replication.Entry, command *state.Command) state.Result {
	if command == nil {
		decoded, err := codec.DecodeCommand(entry.Data)
		if err != nil {
			r.breakOff(fmt.Errorf("decode entry %d: %w", entry.Index, err))
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

// breakOff ends the replica at an entry that it can't read, as one of a later
// version: going on without it would give another state than the others have.
func (r *Replica) breakOff(err error) {
	r.broken = true
	r.stopWith("apply", err)
}

// install replaces the state by a leader's snapshot.
func (r *Replica) install(snapshot *replication.Snapshot) {
	r.applied = snapshot.Index
	r.compactedAt = snapshot.Index
	r.membershipChanged()
	if len(snapshot.Data) == 0 {
		return
	}
	restored, err := codec.DecodeState(snapshot.Data)
	if err != nil {
		r.breakOff(fmt.Errorf("install snapshot at index %d: %w", snapshot.Index, err))
		return
	}
	r.machine.Restore(restored)
	r.revisionChanged()
	r.finishReads()
}

// compact starts a snapshot once enough entries were applied since the last.
// The copy is taken here and encoded by the writer.
func (r *Replica) compact() {
	if r.compacting || r.applied == r.compactedAt {
		return
	}
	if r.applied < r.compactedAt+compactEvery && r.node.Status().LogBytes < compactBytes {
		return
	}
	snapshot, ok := r.node.SnapshotAt(r.applied, nil)
	if !ok {
		return
	}
	r.compacting = true
	r.compactedAt = r.applied
	r.snapshots <- &snapshotJob{snapshot: snapshot, state: r.machine.Snapshot()}
}

func (r *Replica) reject(rejection replication.Rejection) {
	switch rejection.Reason {
	case replication.RejectLost:
		r.answer(rejection.Token, result{err: errLost})
	case replication.RejectBusy, replication.RejectMembership:
		r.answer(rejection.Token, result{err: errBusy})
	default:
		r.answer(rejection.Token, result{err: errNotLeader})
	}
}

func (r *Replica) answer(token uint64, outcome result) {
	waiting, ok := r.waiting[token]
	if !ok {
		return
	}
	delete(r.waiting, token)
	outcome.item = waiting.item
	waiting.done <- outcome
}

// finishRead answers a read once the state machine has caught up with it.
func (r *Replica) finishRead(read replication.ReadResult) {
	r.reads = append(r.reads, read)
	r.finishReads()
}

func (r *Replica) finishReads() {
	kept := r.reads[:0]
	for _, read := range r.reads {
		if read.Index > r.applied {
			kept = append(kept, read)
			continue
		}
		r.answer(read.Token, result{})
	}
	r.reads = kept
}

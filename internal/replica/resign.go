package replica

import (
	"context"
	"time"

	"waxwingcart/internal/core/replication"
)

// successorTimeout bounds the wait for another leader. It covers an election after
// the message that announces the resignation was lost.
const successorTimeout = 5 * electionTimeout

// PrepareDrain passes the leadership to another voter, if there is one, while this
// process drains its entry. The process may be ended at any time during the drain,
// so it should not lead any more. The replica still follows and votes, and campaigns
// only if no other voter does so for longer than an election takes: requests that
// are in flight need a leader until they end. A sole voter keeps leading.
func (r *Replica) PrepareDrain(ctx context.Context) {
	r.resign(ctx, "drain", replication.Resign{Leaving: true})
}

// PrepareStop ends the calls that are held here, passes the leadership to another
// voter, if there is one, and keeps this replica from leading again. It must be
// called while the listener for peers still works, as the other voters need this
// replica's vote.
func (r *Replica) PrepareStop(ctx context.Context) error {
	r.stopOnce.Do(func() { close(r.stopping) })
	r.resign(ctx, "stop", replication.Resign{Stopping: true})
	return nil
}

// resign passes the event to the node. If the node led, it waits until another replica
// leads, at most successorTimeout.
func (r *Replica) resign(ctx context.Context, reason string, event replication.Resign) {
	led := false
	var term uint64
	err := r.runInLoop(ctx, func() {
		status := r.node.Status()
		leads := status.Role == replication.RoleLeader
		led, term = leads && hasOtherVoter(status), status.Term
		if leads && !led && !event.Stopping {
			return
		}
		if led {
			r.logger.Info().Str("step", "resign").Uint64("term", term).Str("reason", reason).Msg("resigning the leadership")
		}
		r.step(event)
	})
	if err == nil && led {
		r.awaitSuccessor(ctx, term)
	}
}

func hasOtherVoter(status replication.Status) bool {
	for _, voter := range status.Membership.Voters {
		if voter.ID != status.Self.ID {
			return true
		}
	}
	return false
}

// awaitSuccessor waits until this replica knows a leader of a later term than the
// one in which it resigned.
func (r *Replica) awaitSuccessor(ctx context.Context, term uint64) {
	began := r.now()
	timer := time.NewTimer(successorTimeout)
	defer timer.Stop()
	for {
		signals := r.signals()
		status := r.status()
		if status.Term > term && status.Leader != nil && status.Leader.ID != status.Self.ID {
			r.logger.Info().Str("step", "resign").Uint64("term", status.Term).Str("leader", status.Leader.ID.VM).
				Int64("after_ms", (r.now() - began).Milliseconds()).Msg("another replica leads")
			return
		}
		select {
		case <-signals.roleUpdated:
			continue
		case <-timer.C:
		case <-ctx.Done():
		case <-r.runCtx.Done():
		}
		r.logger.Warn().Str("step", "resign").Uint64("term", term).
			Int64("after_ms", (r.now() - began).Milliseconds()).Msg("no other replica is known to lead")
		return
	}
}

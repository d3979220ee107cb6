package replica

import (
	"context"
	"fmt"
	"time"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/core/state"
)

// Sizes and intervals of the event loop.
const (
	tickInterval     = 20 * time.Millisecond
	inboxLength      = 8192
	maxInboxBatch    = 1024
	writeQueueLength = 64
)

// task is a unit of work for the event loop: an event or a function.
type task struct {
	event replication.Event
	// fn, if set, is called in the loop; event is ignored.
	fn func()
	// done, if set, receives the result of a proposal, a read or a membership
	// request.
	done chan result
	// command is the decoded form of a proposal's data.
	command *state.Command
	// item is the proposal's index in its batch. It is returned with the result.
	item int
}

// waiter waits for the result of a proposal, a read or a membership request.
type waiter struct {
	done    chan result
	command *state.Command
	item    int
}

// result is the outcome of a proposal, a read or a membership request.
type result struct {
	// item is the proposal's index in its batch.
	item int
	// applied is the state machine's result for a proposal.
	applied any
	err     error
}

// run passes events to the node and executes their effects until the context
// is done or a fatal error is reported.
func (r *Replica) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	r.loop.tickedAt = r.now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-r.fatal:
			return fmt.Errorf("run replica %s: %w", r.opts.Self.VM, err)
		case <-ticker.C:
			r.loop.tick(r.now())
			r.step(replication.Tick{})
			r.timed("compact", r.compact)
			r.publish()
			status, now := r.status(), r.now()
			r.logLeaderless(status, now)
			r.logLearners(status, now)
			r.logStalledWrite(status, now)
		case sequence := <-r.persisted:
			r.step(replication.Persisted{Sequence: sequence})
		case snapshot := <-r.savedSnapshots:
			r.compacting = false
			r.snapshotBytes = len(snapshot.Data)
			r.step(replication.Compacted{Snapshot: snapshot})
		case t := <-r.inbox:
			r.handle(t)
			r.drainInbox()
		}
	}
}

// drainInbox handles tasks that are already queued, so that one disk write
// covers all of them.
func (r *Replica) drainInbox() {
	for range maxInboxBatch {
		select {
		case t := <-r.inbox:
			r.handle(t)
		default:
			return
		}
	}
}

func (r *Replica) handle(t task) {
	if t.fn != nil {
		r.timed("read state", t.fn)
		return
	}
	if t.done == nil {
		r.step(t.event)
		return
	}
	r.lastToken++
	r.waiting[r.lastToken] = waiter{done: t.done, command: t.command, item: t.item}
	r.step(withToken(t.event, r.lastToken))
}

// withToken returns the event with its token set. Events that have no result
// carry no token and are returned unchanged.
func withToken(ev replication.Event, token uint64) replication.Event {
	switch ev := ev.(type) {
	case replication.Propose:
		ev.Token = token
		return ev
	case replication.Read:
		ev.Token = token
		return ev
	case replication.Join:
		ev.Token = token
		return ev
	case replication.Leave:
		ev.Token = token
		return ev
	}
	return ev
}

func (r *Replica) step(ev replication.Event) {
	if r.skips(ev) {
		return
	}
	began := r.now()
	r.executeEffects(r.node.Step(began, ev))
	r.loop.handled(ev, r.now()-began)
}

// timed runs a function of the loop and counts its time.
func (r *Replica) timed(name string, fn func()) {
	began := r.now()
	fn()
	r.loop.handled(name, r.now()-began)
}

// executeEffects carries out the effects of a step: disk writes, messages,
// snapshots, committed entries and finished reads.
func (r *Replica) executeEffects(effects replication.Effects) {
	if effects.Role != nil {
		// A process that hears of the new role by a message may call at once.
		r.publish()
	}
	if effects.Persist != nil {
		r.writes <- effects.Persist
	}
	for _, message := range effects.Send {
		r.send(message)
	}
	for _, peer := range effects.Removing {
		r.logger.Info().Str("step", "repair").Str("peer", peer.Member.ID.String()).Bool("voter", peer.Voter).
			Uint64("match", peer.Match).Int64("silent_ms", peer.Silent.Milliseconds()).Bool("lost", peer.Lost).
			Msg("proposing to remove a member")
	}
	if effects.Install != nil {
		r.install(effects.Install)
	}
	for _, rejection := range effects.Rejected {
		r.reject(rejection)
	}
	for _, appended := range effects.Appended {
		r.awaitEntry(appended)
	}
	for _, entry := range effects.Committed {
		r.apply(entry)
	}
	if len(effects.Committed) > 0 {
		r.executeEffects(r.node.Step(r.now(), replication.Applied{Index: r.applied}))
	}
	for _, read := range effects.Reads {
		r.finishRead(read)
	}
	if effects.Role != nil {
		r.roleChanged(*effects.Role)
	}
}

// awaitEntry has a request answered once the entry that fulfils it is applied. That of
// a join or a leave may have been applied before the request.
func (r *Replica) awaitEntry(appended replication.AppendedProposal) {
	if appended.Index <= r.applied {
		r.answer(appended.Token, result{})
		return
	}
	r.appended[appended.Index] = pendingProposal{term: appended.Term, token: appended.Token}
}

func (r *Replica) send(message replication.Message) {
	address := r.addressOf(message.To)
	if address == "" {
		r.logUnaddressed(message)
		return
	}
	delete(r.unaddressed, message.To)
	data, err := codec.EncodeMessage(message)
	if err != nil {
		r.logger.Error().Str("step", "encode message").Err(err).Msg("encoding a message for another replica failed")
		return
	}
	r.senderTo(address, carriesState(message.Kind)).send(data)
}

// carriesState reports whether messages of a kind carry entries or a snapshot.
func carriesState(kind replication.MessageKind) bool {
	return kind == replication.MessageAppend || kind == replication.MessageSnapshot
}

// undelivered tells the node that a delivery of entries to an address failed.
func (r *Replica) undelivered(address string) {
	for _, peer := range r.node.Status().Peers {
		if r.addressOf(peer.Member.ID) == address {
			r.step(replication.Undelivered{To: peer.Member.ID})
		}
	}
}

// maxUnaddressed bounds the nodes without an address for which a line was written.
const maxUnaddressed = 64

// logUnaddressed counts a message for a node whose address is unknown. The first one for
// a node is logged, until an address is known.
func (r *Replica) logUnaddressed(message replication.Message) {
	r.metrics.unaddressed.Inc()
	if r.unaddressed[message.To] || len(r.unaddressed) >= maxUnaddressed {
		return
	}
	r.unaddressed[message.To] = true
	r.logger.Warn().Str("step", "deliver").Str("peer", message.To.String()).Uint64("term", message.Term).
		Uint64("members_index", r.node.Status().MembershipIndex).Msg("no address is known for another replica; messages for it are dropped")
}

// runWriter writes and syncs in order. It retries only for want of room, because
// the contents of the disk are unknown after a failed sync.
func (r *Replica) runWriter(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case persist := <-r.writes:
			began := r.now()
			err := r.untilRoom(ctx, "log", func() error { return r.log.Write(persist) })
			r.noteWrite(r.now() - began)
			if ctx.Err() != nil {
				return
			}
			if err != nil {
				r.reportFatal("write", err)
				return
			}
			r.persisted <- persist.Sequence
		}
	}
}

// noteWrite counts a write to the log, and logs one that is as long as the lease, during which the replica neither
// votes nor acknowledges.
func (r *Replica) noteWrite(took time.Duration) {
	r.metrics.writes.Observe(took.Seconds())
	if took >= leaseDuration {
		r.logger.Warn().Str("step", "write").Int64("took_ms", took.Milliseconds()).Msg("a write to the log took long")
	}
}

// reportFatal makes the loop return with an error. It never blocks, because the
// loop may have returned already.
func (r *Replica) reportFatal(step string, err error) {
	r.logger.Error().Str("step", step).Str("peer", r.opts.DataDir).Err(err).Msg("stopping the replica after an error")
	select {
	case r.fatal <- err:
	default:
	}
}

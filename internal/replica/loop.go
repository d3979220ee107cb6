package replica

import (
	"context"
	"fmt"
	"time"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/core/state"
)

// Sizes and intervals of the loop.
const (
	tickInterval     = 20 * time.Millisecond
	inboxLength      = 8192
	maxInboxBatch    = 1024
	writeQueueLength = 64
	// compactEvery is the number of applied entries between two snapshots.
	compactEvery = 20000
	// compactBytes is the size of the log in memory that starts a snapshot.
	compactBytes = 64 << 20
)

// work is one thing for the loop to do.
type work struct {
	event replication.Event
	// call, if set, runs in the loop instead of an event.
	call func()
	// done, if set, receives the result of a proposal or read.
	done chan result
	// command is what a proposal's data encodes.
	command *state.Command
	// item is returned with the result.
	item int
}

// waiter waits for the result of a proposal or read.
type waiter struct {
	done    chan result
	command *state.Command
	item    int
}

// result ends a proposal or a read.
type result struct {
	// item is the proposal's place in its batch.
	item int
	// applied is the state machine's result of a proposal.
	applied any
	err     error
}

// snapshotJob is a copy of the state that is to be encoded and saved.
type snapshotJob struct {
	snapshot replication.Snapshot
	state    *state.Snapshot
}

// run feeds events to the node and carries out its effects until the context
// ends or the storage fails.
func (r *Replica) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-r.writeFailed:
			return fmt.Errorf("replica %s stops: %w", r.opts.Self.VM, err)
		case <-ticker.C:
			r.step(replication.Tick{})
			r.compact()
			r.publish()
		case sequence := <-r.written:
			r.step(replication.Persisted{Sequence: sequence})
		case snapshot := <-r.saved:
			r.compacting = false
			r.step(replication.Compacted{Snapshot: snapshot})
		case w := <-r.inbox:
			r.handle(w)
			r.handleWaiting()
		}
	}
}

// handleWaiting takes the work that is queued already, so that one write
// carries all of it.
func (r *Replica) handleWaiting() {
	for range maxInboxBatch {
		select {
		case w := <-r.inbox:
			r.handle(w)
		default:
			return
		}
	}
}

func (r *Replica) handle(w work) {
	if w.call != nil {
		w.call()
		return
	}
	if w.done == nil {
		r.step(w.event)
		return
	}
	r.token++
	r.waiting[r.token] = waiter{done: w.done, command: w.command, item: w.item}
	r.step(withToken(w.event, r.token))
}

// withToken returns the event under a token. Events that are not answered have
// none.
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
	r.carryOut(r.node.Step(r.now(), ev))
}

func (r *Replica) carryOut(effects replication.Effects) {
	if effects.Persist != nil {
		r.writes <- effects.Persist
	}
	for _, message := range effects.Send {
		r.send(message)
	}
	if effects.Install != nil {
		r.install(effects.Install)
	}
	for _, rejection := range effects.Rejected {
		r.reject(rejection)
	}
	for _, appended := range effects.Appended {
		r.appended[appended.Index] = pending{term: appended.Term, token: appended.Token}
	}
	for _, entry := range effects.Committed {
		r.apply(entry)
	}
	if len(effects.Committed) > 0 {
		r.carryOut(r.node.Step(r.now(), replication.Applied{Index: r.applied}))
	}
	for _, read := range effects.Reads {
		r.finishRead(read)
	}
	if effects.Role != nil {
		r.roleChanged(*effects.Role)
	}
}

func (r *Replica) send(message replication.Message) {
	address, ok := r.addressOf(message.To)
	if !ok {
		return
	}
	data, err := codec.EncodeMessage(message)
	if err != nil {
		r.logger.Error().Str("step", "encode message").Err(err).Msg("message dropped")
		return
	}
	r.senderTo(address).send(data)
}

// runWriter writes and syncs in order. The first failure ends it for good:
// after a failed sync nothing is known about what the disk holds.
func (r *Replica) runWriter(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case persist := <-r.writes:
			if err := r.log.Write(persist); err != nil {
				r.stopWith("write", err)
				return
			}
			r.written <- persist.Sequence
		}
	}
}

// stopWith ends the loop with an error. It never blocks, for the loop may
// be gone.
func (r *Replica) stopWith(step string, err error) {
	r.logger.Error().Str("step", step).Str("peer", r.opts.DataDir).Err(err).Msg("replica stops")
	select {
	case r.writeFailed <- err:
	default:
	}
}

// runSnapshots encodes and saves snapshots beside the writer, which goes on.
func (r *Replica) runSnapshots(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-r.snapshots:
			if err := r.writeSnapshot(job); err != nil {
				r.stopWith("snapshot", err)
				return
			}
		}
	}
}

func (r *Replica) writeSnapshot(job *snapshotJob) error {
	data, err := codec.EncodeState(job.state)
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	job.snapshot.Data = data
	if err := r.log.SaveSnapshot(job.snapshot); err != nil {
		return err
	}
	r.saved <- job.snapshot
	return nil
}

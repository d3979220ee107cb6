package replica

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/twitchtv/twirp"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/core/state"
	"waxwingcart/internal/periodic"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

// joinInterval is the time between two join requests.
const joinInterval = 500 * time.Millisecond

// expiryInterval is the time between two removals of expired records.
const expiryInterval = 30 * time.Second

func newStub(address string, client *rpc.Client) wire.Replica {
	return wire.NewReplicaProtobufClient("http://"+address, client)
}

// propose commits a command and returns the state machine's result.
func (r *Replica) propose(ctx context.Context, body state.Body) (state.Result, error) {
	command := state.Command{TimeMS: time.Now().UnixMilli(), Body: body}
	data, err := codec.EncodeCommand(command)
	if err != nil {
		return nil, twirp.InvalidArgumentError("command", err.Error())
	}
	// Operators are promised that what they are told is committed outlives the loss of disks.
	_, durable := body.(state.ChangeConfig)
	outcome, err := r.awaitTask(ctx, task{event: replication.Propose{Data: data, Durable: durable}, command: &command})
	if err != nil {
		return nil, err
	}
	applied, _ := outcome.applied.(state.Result)
	return applied, nil
}

// await passes an event to the loop and waits for its result.
func (r *Replica) await(ctx context.Context, ev replication.Event) (result, error) {
	return r.awaitTask(ctx, task{event: ev})
}

func (r *Replica) awaitTask(ctx context.Context, t task) (result, error) {
	done := make(chan result, 1)
	t.done = done
	select {
	case r.inbox <- t:
	case <-ctx.Done():
		return result{}, twirp.NewError(twirp.ResourceExhausted, "replica is overloaded")
	case <-r.runCtx.Done():
		return result{}, twirp.NewError(twirp.Unavailable, "replica stops")
	}
	select {
	case outcome := <-done:
		return outcome, r.callError(outcome.err)
	case <-ctx.Done():
		return result{}, twirp.NewError(twirp.DeadlineExceeded, "no commit in time; the outcome is in doubt")
	case <-r.runCtx.Done():
		return result{}, twirp.NewError(twirp.Unavailable, "replica stops; the outcome is in doubt")
	}
}

// callError returns the twirp error for an error of the loop.
func (r *Replica) callError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errNotLeader):
		return rpc.NotLeader(r.leaderAddress())
	case errors.Is(err, errBusy), errors.Is(err, errFewVoters), errors.Is(err, errNoQuorum), errors.Is(err, errMembership):
		return twirp.NewError(twirp.ResourceExhausted, err.Error())
	default:
		return twirp.NewError(twirp.Unavailable, err.Error())
	}
}

func (r *Replica) leaderAddress() string {
	if leader := r.status().Leader; leader != nil {
		return leader.Address
	}
	return ""
}

// runInLoop runs a function in the event loop, where the state machine may be
// read, and waits for it to return.
func (r *Replica) runInLoop(ctx context.Context, fn func()) error {
	done := make(chan struct{})
	t := task{fn: func() {
		fn()
		close(done)
	}}
	select {
	case r.inbox <- t:
	case <-ctx.Done():
		return ctx.Err()
	case <-r.runCtx.Done():
		return twirp.NewError(twirp.Unavailable, "replica stops")
	}
	select {
	case <-done:
		return nil
	case <-r.runCtx.Done():
		return twirp.NewError(twirp.Unavailable, "replica stops")
	}
}

// runJoin asks the other replicas to add this node for as long as it is not a
// member with its current address, or knows no leader. A node that was replaced
// while it was unreachable does not learn that from its own log, and a node with
// an empty disk joins in the same way.
func (r *Replica) runJoin(ctx context.Context) {
	addresses := make([]string, 0, len(r.opts.Peers))
	for _, peer := range r.opts.Peers {
		addresses = append(addresses, peer.Address)
	}
	replicas := rpc.NewReplicas(r.opts.Client, addresses)
	periodic.Run(ctx, joinInterval, func() {
		replicas.SetAddresses(slices.DeleteFunc(r.replicaAddresses(), func(a string) bool { return a == r.opts.Self.Address }))
		r.joinOnce(ctx, replicas)
	})
}

func (r *Replica) joinOnce(ctx context.Context, replicas *rpc.Replicas) {
	self := r.self()
	status := r.status()
	known := status.Membership.Find(self.ID)
	joined := known != nil && *known == self && status.Leader != nil
	if joined || len(replicas.Addresses()) == 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	request := joinRequestOf(self)
	_, err := rpc.CallInTurn(callCtx, replicas, "join", func(ctx context.Context, stub wire.Replica) (*wire.JoinResponse, error) {
		return stub.Join(ctx, request)
	})
	if err != nil {
		r.logger.Warn().Str("step", "join").Err(err).Msg("join request failed; retrying")
		return
	}
	r.logger.Info().Str("step", "join").Uint64("incarnation", self.ID.Incarnation).Msg("joined as a member")
}

// runExpiry removes idempotency records after their retention, if this replica
// leads.
func (r *Replica) runExpiry(ctx context.Context) {
	periodic.Run(ctx, expiryInterval, func() { r.expire(ctx) })
}

// expire proposes the removal of expired records until none is left, a proposal
// fails or this replica no longer leads.
func (r *Replica) expire(ctx context.Context) {
	for r.status().Role == replication.RoleLeader {
		callCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		if err := r.renewRollouts(callCtx); err != nil {
			cancel()
			return
		}
		applied, err := r.propose(callCtx, state.Expire{BeforeMS: time.Now().UnixMilli()})
		cancel()
		if err != nil {
			return
		}
		if expired, ok := applied.(state.ExpireResult); !ok || !expired.More {
			return
		}
	}
}

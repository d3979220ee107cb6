package rpc

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"waxwingcart/internal/wire"
)

// callTimeout bounds one call to one replica. It leaves time for a second attempt
// within the one second that operators wait.
const callTimeout = 600 * time.Millisecond

// overdueAfter is when a call that the leader has not answered is also sent to the
// other replicas. It exceeds the time of a commit.
const overdueAfter = 200 * time.Millisecond

// leaderRetryDelay is the delay before a replica that failed is called again. In
// one call it doubles with each failure up to maxLeaderRetryDelay, so that the
// calls of many entries don't slow down an election.
const (
	leaderRetryDelay    = 50 * time.Millisecond
	maxLeaderRetryDelay = 200 * time.Millisecond
)

// ErrNoLeader is returned by Call if the context ends before any replica could be
// called, because no address is known.
var ErrNoLeader = errors.New("no reachable replica leads")

// Replicas holds the known addresses of the replicas, and the one that is
// believed to lead.
type Replicas struct {
	client *Client
	mu     sync.Mutex
	// seeds holds the configured addresses. SetAddresses never drops them.
	seeds     []string
	addresses []string
	stubs     map[string]wire.Replica
	leader    string
	// silent holds the addresses whose last call got no answer in time.
	silent map[string]bool
	// callTimeout bounds one call to one replica.
	callTimeout time.Duration
	// overdueAfter is how long the others are not called while the leader has
	// not answered.
	overdueAfter time.Duration
}

// NewReplicas returns Replicas that start with the given addresses as seeds.
func NewReplicas(client *Client, addresses []string) *Replicas {
	return &Replicas{
		client:    client,
		seeds:     slices.Clone(addresses),
		addresses: slices.Clone(addresses),
		stubs:     make(map[string]wire.Replica),
		silent:    make(map[string]bool),

		callTimeout: callTimeout, overdueAfter: overdueAfter,
	}
}

// Addresses returns the known addresses, including the seeds.
func (r *Replicas) Addresses() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.addresses)
}

// SetSeeds replaces the seeds, as after a change of the settings. Addresses that
// are known already stay.
func (r *Replicas) SetSeeds(addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seeds = slices.Clone(addresses)
	for _, address := range addresses {
		if !slices.Contains(r.addresses, address) {
			r.addresses = append(r.addresses, address)
		}
	}
}

// SetAddresses replaces the known addresses with the seeds and the given addresses,
// which another process knows. The seeds are kept because they may be the only
// addresses that work after all other replicas are lost.
func (r *Replicas) SetAddresses(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addresses = slices.Clone(r.seeds)
	for _, address := range addresses {
		if !slices.Contains(r.addresses, address) {
			r.addresses = append(r.addresses, address)
		}
	}
}

// Stub returns the client stub for the replica at an address.
func (r *Replicas) Stub(address string) wire.Replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	stub, ok := r.stubs[address]
	if !ok {
		stub = wire.NewReplicaProtobufClient("http://"+address, r.client)
		r.stubs[address] = stub
	}
	return stub
}

// CloseIdleConnections makes the next calls use new connections.
func (r *Replicas) CloseIdleConnections() { r.client.CloseIdleConnections() }

// Leader returns the address that is called first, or "".
func (r *Replicas) Leader() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader
}

// SetLeader sets the address that is called first.
func (r *Replicas) SetLeader(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leader = address
}

// forgetLeader clears the leader if it has the given address. It is called after
// a failed call, so that later calls don't start with a replica that may not
// answer.
func (r *Replicas) forgetLeader(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leader == address {
		r.leader = ""
	}
}

// candidates returns the addresses in the order in which they are called: the
// leader, then the others, of which those that were silent come last.
func (r *Replicas) candidates() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list, silent []string
	if r.leader != "" {
		list = append(list, r.leader)
	}
	for _, address := range r.addresses {
		switch {
		case address == r.leader:
		case r.silent[address]:
			silent = append(silent, address)
		default:
			list = append(list, address)
		}
	}
	return append(list, silent...)
}

// setSilent records whether the last call to an address got no answer in time.
func (r *Replicas) setSilent(address string, silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if silent {
		r.silent[address] = true
		return
	}
	delete(r.silent, address)
}

// Call makes a call to the leader. It looks for the leader until the context
// ends. A call with an unknown outcome is repeated, so the call must be
// idempotent. Each attempt is limited to callTimeout, because a paused process
// still accepts connections but does not answer. If the replica that is believed to
// lead has not answered after overdueAfter, the call is also sent to all others
// while the first one is pending, so it should be small and cheap to refuse.
func Call[Response any](ctx context.Context, r *Replicas, step string, call func(context.Context, wire.Replica) (Response, error)) (Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &search[Response]{replicas: r, call: call, called: make(map[string]bool), attempts: make(chan attempt[Response]), over: make(chan struct{})}
	defer close(s.over)
	if candidates := r.candidates(); len(candidates) > 0 {
		s.start(ctx, candidates[0])
	}
	overdue := time.NewTimer(r.overdueAfter)
	defer overdue.Stop()
	lastErr := ErrNoLeader
	for {
		select {
		case a := <-s.attempts:
			if a.err == nil {
				r.SetLeader(a.address)
				return a.response, nil
			}
			lastErr = Wrap(step, a.address, a.err)
			r.forgetLeader(a.address)
			if IsPermanent(a.err) {
				return a.response, lastErr
			}
			s.widen(ctx, a.hint)
		case <-overdue.C:
			s.startAll(ctx)
			// Other calls may learn of further replicas.
			overdue.Reset(leaderRetryDelay)
		case <-ctx.Done():
			if len(s.called) > 0 && errors.Is(lastErr, ErrNoLeader) {
				a := <-s.attempts
				return a.response, Wrap(step, a.address, a.err)
			}
			var zero Response
			return zero, lastErr
		}
	}
}

// search is one call that several replicas may get at the same time.
type search[Response any] struct {
	replicas *Replicas
	call     func(context.Context, wire.Replica) (Response, error)
	// called holds the addresses that are being called.
	called   map[string]bool
	attempts chan attempt[Response]
	// over is closed when Call returns.
	over chan struct{}
}

// attempt is the result of one call to one replica.
type attempt[Response any] struct {
	address  string
	response Response
	// hint is the leader's address if the replica does not lead and knows it.
	hint string
	err  error
}

// widen calls further replicas after one has failed: the leader that it named,
// or all if that one is being called.
func (s *search[Response]) widen(ctx context.Context, hint string) {
	if hint != "" && !s.called[hint] {
		s.replicas.SetLeader(hint)
		s.start(ctx, hint)
		return
	}
	s.startAll(ctx)
}

func (s *search[Response]) startAll(ctx context.Context) {
	for _, address := range s.replicas.candidates() {
		s.start(ctx, address)
	}
}

// start begins to call a replica, until the search is over, with at most one call
// pending.
func (s *search[Response]) start(ctx context.Context, address string) {
	if s.called[address] {
		return
	}
	s.called[address] = true
	go func() {
		for delay := leaderRetryDelay; ; delay = min(2*delay, maxLeaderRetryDelay) {
			response, hint, err := callOnce(ctx, s.replicas, address, s.call)
			select {
			case s.attempts <- attempt[Response]{address, response, hint, err}:
			case <-s.over:
				return
			}
			if pause(ctx, delay) != nil {
				return
			}
		}
	}()
}

// CallInTurn is Call for calls that are large or costly to refuse: it calls one
// replica after the other, each for at most callTimeout.
func CallInTurn[Response any](ctx context.Context, r *Replicas, step string, call func(context.Context, wire.Replica) (Response, error)) (Response, error) {
	var lastErr error = ErrNoLeader
	for {
		for _, address := range r.candidates() {
			response, hint, err := callOnce(ctx, r, address, call)
			if err == nil {
				r.SetLeader(address)
				return response, nil
			}
			lastErr = Wrap(step, address, err)
			r.forgetLeader(address)
			if IsPermanent(err) {
				return response, lastErr
			}
			if hint != "" && hint != address {
				r.SetLeader(hint)
				break
			}
		}
		if err := pause(ctx, leaderRetryDelay); err != nil {
			var zero Response
			return zero, lastErr
		}
	}
}

// CallOne makes a call to the replica at an address, which is believed to lead, without a limit of
// its own on the time. If the replica does not lead, the leader that it names is called next.
func CallOne[Response any](ctx context.Context, r *Replicas, address string, call func(context.Context, wire.Replica) (Response, error)) (Response, error) {
	response, err := call(ctx, r.Stub(address))
	if err == nil {
		return response, nil
	}
	r.forgetLeader(address)
	if leader, ok := LeaderOf(err); ok && leader != address {
		r.SetLeader(leader)
	}
	return response, err
}

// Pause waits before a replica is called again, or returns an error if the context ends first.
func Pause(ctx context.Context) error { return pause(ctx, leaderRetryDelay) }

// IsPermanent reports whether a repeated call would return the same error.
func IsPermanent(err error) bool {
	var twerr twirp.Error
	if !errors.As(err, &twerr) {
		return false
	}
	code := twerr.Code()
	return code == twirp.InvalidArgument || code == twirp.Unauthenticated
}

// callOnce makes the call to one address. If that replica is not the leader, it
// also returns the leader's address, if the replica knows it.
func callOnce[Response any](ctx context.Context, r *Replicas, address string, call func(context.Context, wire.Replica) (Response, error)) (Response, string, error) {
	attemptCtx, cancel := context.WithTimeout(ctx, r.callTimeout)
	defer cancel()
	response, err := call(attemptCtx, r.Stub(address))
	// A call that the caller ended tells nothing about the replica.
	if err == nil || ctx.Err() == nil {
		r.setSilent(address, errors.Is(err, context.DeadlineExceeded))
	}
	if err == nil {
		return response, "", nil
	}
	leader, _ := LeaderOf(err)
	return response, leader, err
}

// pause waits for the delay, or returns an error if the context ends first.
func pause(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

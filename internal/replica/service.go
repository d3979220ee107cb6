package replica

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/core/state"
	"waxwingcart/internal/wire"
)

// Bounds on waiting calls.
const (
	maxFetchWait  = 20 * time.Second
	maxChangeWait = 30 * time.Second
	// confirmTimeout bounds asking the quorum during a fetch.
	confirmTimeout = 500 * time.Millisecond
)

// Service serves the calls between processes. It implements wire.Replica.
type Service struct{ replica *Replica }

// Service returns the replica's calls.
func (r *Replica) Service() *Service { return &Service{replica: r} }

// Deliver hands messages to the replication core.
func (s *Service) Deliver(ctx context.Context, req *wire.DeliverRequest) (*wire.DeliverResponse, error) {
	for _, data := range req.Messages {
		message, err := codec.DecodeMessage(data)
		if err != nil {
			return nil, twirp.InvalidArgumentError("messages", err.Error())
		}
		select {
		case s.replica.inbox <- work{event: replication.Receive{Message: message}}:
		case <-ctx.Done():
			return nil, twirp.NewError(twirp.ResourceExhausted, "replica is overloaded")
		}
	}
	return &wire.DeliverResponse{}, nil
}

// reserved translates the result of a reservation.
func (s *Service) reserved(applied state.Result) (*wire.ReserveResponse, error) {
	reserved, ok := applied.(state.ReserveResult)
	if !ok {
		return nil, twirp.InternalError("reserve was not applied")
	}
	if reserved.Full {
		s.replica.metrics.reservations.WithLabelValues("full").Inc()
		return nil, twirp.NewError(twirp.ResourceExhausted, "no idempotency record can be taken in")
	}
	s.replica.metrics.reservations.WithLabelValues(reserveLabel(reserved)).Inc()
	return codec.ReserveResultToWire(reserved), nil
}

func reserveLabel(reserved state.ReserveResult) string {
	switch {
	case reserved.Granted:
		return "granted"
	case reserved.Mismatch:
		return "mismatch"
	default:
		return "existing"
	}
}

// recorded translates the result of a recorded outcome.
func recorded(applied state.Result) (*wire.RecordResponse, error) {
	result, ok := applied.(state.RecordResult)
	if !ok {
		return nil, twirp.InternalError("record was not applied")
	}
	return codec.RecordResultToWire(result), nil
}

// ChangeConfig commits a configuration change and tells where it is in force.
func (s *Service) ChangeConfig(ctx context.Context, req *wire.ChangeConfigRequest) (*wire.ChangeConfigResponse, error) {
	request := codec.ChangeRequestFromWire(req)
	if request.ChangeID == "" || len(request.ChangeID) > state.MaxChangeIDBytes {
		return nil, twirp.InvalidArgumentError("change_id", "must not be empty or too long")
	}
	parsed := state.ParseChange(request)
	var prepared state.ChangeConfig
	if err := s.replica.do(ctx, func() { prepared = s.replica.machine.PrepareParsed(parsed) }); err != nil {
		return nil, err
	}
	applied, err := s.replica.propose(ctx, prepared)
	if err != nil {
		return nil, err
	}
	changed, ok := applied.(state.ChangeResult)
	if !ok {
		return nil, twirp.InternalError("change was not applied")
	}
	response := codec.ChangeResultToWire(changed)
	if changed.Accepted {
		s.awaitZones(ctx, response, time.Duration(req.WaitMs)*time.Millisecond)
	}
	return response, nil
}

// awaitZones fills in the zones in which a revision is in force, waiting for
// all of them for a bounded time.
func (s *Service) awaitZones(ctx context.Context, response *wire.ChangeConfigResponse, wait time.Duration) {
	var zones []string
	if err := s.replica.do(ctx, func() { zones = s.replica.machine.Zones() }); err != nil {
		return
	}
	timer := time.NewTimer(min(wait, maxChangeWait))
	defer timer.Stop()
	for {
		inForce, pending, changed := s.replica.acks.zones(zones, response.Revision, time.Now())
		response.ZonesInForce, response.ZonesPending = inForce, pending
		if len(pending) == 0 {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// FetchConfig returns the committed changes that the caller lacks. Only a
// replica that a quorum confirms waits for news; another answers at once, so
// that the caller goes on to the leader. A caller that has nothing yet may wait
// for a leader here.
func (s *Service) FetchConfig(ctx context.Context, req *wire.FetchConfigRequest) (*wire.FetchConfigResponse, error) {
	s.replica.acks.put(req.Process, req.Zone, req.HaveRevision, time.Now())
	timer := time.NewTimer(min(time.Duration(req.WaitMs)*time.Millisecond, maxFetchWait))
	defer timer.Stop()
	for {
		news := s.replica.news()
		response, err := s.fetch(ctx, req.HaveRevision)
		if err != nil {
			return nil, err
		}
		awaitLeader := req.AwaitLeader && !response.Confirmed && response.Leader == ""
		awaitNews := !req.AwaitLeader && response.Confirmed && len(response.Deltas) == 0
		if req.WaitMs <= 0 || !awaitLeader && !awaitNews {
			return response, nil
		}
		select {
		case <-news.led:
		case <-news.revised:
		case <-timer.C:
			return response, nil
		case <-ctx.Done():
			return response, nil
		case <-s.replica.loopContext.Done():
			return nil, twirp.NewError(twirp.Unavailable, "replica stops")
		}
	}
}

// news holds channels that are closed by the next change.
type news struct {
	revised <-chan struct{}
	led     <-chan struct{}
}

func (r *Replica) news() news {
	r.mu.Lock()
	defer r.mu.Unlock()
	return news{revised: r.revised, led: r.led}
}

func (s *Service) fetch(ctx context.Context, have uint64) (*wire.FetchConfigResponse, error) {
	r := s.replica
	response := &wire.FetchConfigResponse{Confirmed: s.confirm(ctx), Replicas: r.replicaAddresses(), Leader: r.leaderAddress()}
	err := r.do(ctx, func() {
		deltas, _ := r.machine.DeltasSince(have)
		response.Deltas = codec.DeltasToWire(deltas)
		response.Revision = r.machine.Revision()
	})
	return response, err
}

// confirm reports whether a quorum confirms that what is applied here after the
// call is the newest. Only the leader can tell.
func (s *Service) confirm(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	_, err := s.replica.await(call, replication.Read{})
	return err == nil
}

// Probe tells whether this replica's disk holds state of a log.
func (s *Service) Probe(context.Context, *wire.ProbeRequest) (*wire.ProbeResponse, error) {
	return &wire.ProbeResponse{Used: !s.replica.log.Empty()}, nil
}

// Join takes a node in as a learner.
func (s *Service) Join(ctx context.Context, req *wire.JoinRequest) (*wire.JoinResponse, error) {
	if req.Id == nil || req.Id.Vm == "" || req.Id.Incarnation == 0 || req.Address == "" {
		return nil, twirp.InvalidArgumentError("id", "VM, incarnation and address must be given")
	}
	if s.replica.planning.isLeaving(req.Id.Vm) {
		return nil, twirp.NewError(twirp.Unavailable, "the VM is about to be reclaimed")
	}
	member := replication.Member{
		ID:      replication.NodeID{VM: req.Id.Vm, Incarnation: req.Id.Incarnation},
		Zone:    req.Zone,
		Address: req.Address,
	}
	if _, err := s.replica.await(ctx, replication.Join{Member: member}); err != nil {
		return nil, err
	}
	return &wire.JoinResponse{}, nil
}

// History lists the latest changes, newest first.
func (r *Replica) History(ctx context.Context, limit int) ([]state.Delta, error) {
	var deltas []state.Delta
	err := r.do(ctx, func() { deltas = r.machine.History(limit) })
	return deltas, err
}

// Config returns the committed configuration and its revision.
func (r *Replica) Config(ctx context.Context) (*fleet.Config, uint64, error) {
	var config *fleet.Config
	var revision uint64
	var assembleErr error
	err := r.do(ctx, func() {
		config, assembleErr = fleet.Assemble(r.machine.Items())
		revision = r.machine.Revision()
	})
	if err != nil {
		return nil, 0, err
	}
	return config, revision, assembleErr
}

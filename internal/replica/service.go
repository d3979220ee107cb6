package replica

import (
	"context"
	"fmt"
	"time"

	"github.com/twitchtv/twirp"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/configdelta"
	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/core/state"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

// Limits on how long calls wait.
const (
	maxFetchWait  = 20 * time.Second
	maxChangeWait = 30 * time.Second
	// confirmTimeout bounds the confirmation by a quorum during a fetch.
	confirmTimeout = 500 * time.Millisecond
)

// Service implements wire.Replica, the calls that other processes make to a
// replica.
type Service struct{ replica *Replica }

// Service returns the service that handles calls to the replica.
func (r *Replica) Service() *Service { return &Service{replica: r} }

// Deliver passes messages to the replication core.
func (s *Service) Deliver(ctx context.Context, req *wire.DeliverRequest) (*wire.DeliverResponse, error) {
	for _, data := range req.Messages {
		message, err := codec.DecodeMessage(data)
		if err != nil {
			return nil, twirp.InvalidArgumentError("messages", err.Error())
		}
		select {
		case s.replica.inbox <- task{event: replication.Receive{Message: message, Address: req.Address}}:
		case <-ctx.Done():
			return nil, twirp.NewError(twirp.ResourceExhausted, "replica is overloaded")
		case <-s.replica.runCtx.Done():
			return nil, twirp.NewError(twirp.Unavailable, "replica stops")
		}
	}
	return &wire.DeliverResponse{}, nil
}

// reserved converts the result of a reservation to its response and counts it.
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

// recorded converts the result of a recorded outcome to its response.
func recorded(applied state.Result) (*wire.RecordResponse, error) {
	result, ok := applied.(state.RecordOutcomeResult)
	if !ok {
		return nil, twirp.InternalError("record was not applied")
	}
	return codec.RecordOutcomeResultToWire(result), nil
}

// ChangeConfig commits a configuration change and returns the zones in which it
// is in force.
func (s *Service) ChangeConfig(ctx context.Context, req *wire.ChangeConfigRequest) (*wire.ChangeConfigResponse, error) {
	request := codec.ChangeRequestFromWire(req)
	if request.ChangeID == "" || len(request.ChangeID) > state.MaxChangeIDBytes {
		return nil, twirp.InvalidArgumentError("change_id", "must not be empty or too long")
	}
	parsed := state.ParseChange(request)
	var prepared state.ChangeConfig
	if err := s.replica.runInLoop(ctx, func() { prepared = s.replica.machine.PrepareParsed(parsed) }); err != nil {
		return nil, err
	}
	for _, item := range prepared.Items {
		if len(item.JSON) > maxItemBytes {
			return nil, twirp.InvalidArgumentError("config_json", fmt.Sprintf("%s: got %d bytes, expected at most %d", item.Path, len(item.JSON), maxItemBytes))
		}
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

// awaitZones sets the zones in which the response's revision is in force and
// those in which it is pending. It waits for all zones, but not longer than wait,
// and no longer than this replica leads, as entries acknowledge revisions to the
// leader.
func (s *Service) awaitZones(ctx context.Context, response *wire.ChangeConfigResponse, wait time.Duration) {
	var zones []string
	if err := s.replica.runInLoop(ctx, func() { zones = s.replica.machine.Zones() }); err != nil {
		return
	}
	timer := time.NewTimer(min(wait, maxChangeWait))
	defer timer.Stop()
	for {
		signals := s.replica.signals()
		inForce, pending, changed := s.replica.acks.zones(zones, response.Revision, time.Now())
		response.ZonesInForce, response.ZonesPending = inForce, pending
		if len(pending) == 0 || s.replica.status().Role != replication.RoleLeader {
			return
		}
		select {
		case <-changed:
		case <-signals.roleUpdated:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// FetchConfig returns the committed changes that the caller lacks. If there are
// none, a leader that a quorum confirms waits for the next change; any other
// replica answers at once, so that the caller turns to the leader. A caller that
// has no configuration yet may set AwaitLeader to wait until a leader is known.
func (s *Service) FetchConfig(ctx context.Context, req *wire.FetchConfigRequest) (*wire.FetchConfigResponse, error) {
	if len(req.PartDigest) > 0 {
		return s.replica.documents.Part(req)
	}
	s.replica.acks.put(req.Process, req.Zone, req.HaveRevision, time.Now())
	timer := time.NewTimer(min(time.Duration(req.WaitMs)*time.Millisecond, maxFetchWait))
	defer timer.Stop()
	for {
		signals := s.replica.signals()
		response, err := s.fetch(ctx, req)
		if err != nil {
			return nil, err
		}
		awaitLeader := req.AwaitLeader && !response.Confirmed && response.Leader == ""
		awaitChange := !req.AwaitLeader && response.Confirmed && len(response.Deltas) == 0
		if req.WaitMs <= 0 || !awaitLeader && !awaitChange {
			return response, nil
		}
		select {
		case <-signals.roleUpdated:
		case <-signals.revisionUpdated:
		case <-timer.C:
			// The confirmation is from before the wait, in which the VM may have been
			// suspended.
			return s.fetch(ctx, req)
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-s.replica.stopping:
			return nil, rpc.NotLeader(s.replica.leaderAddress())
		case <-s.replica.runCtx.Done():
			return nil, twirp.NewError(twirp.Unavailable, "replica stops")
		}
	}
}

// signals holds the channels that are closed at the next change: one for the
// revision, and one for the role or the leader.
type signals struct {
	revisionUpdated <-chan struct{}
	roleUpdated     <-chan struct{}
}

func (r *Replica) signals() signals {
	r.mu.Lock()
	defer r.mu.Unlock()
	return signals{revisionUpdated: r.revisionUpdated, roleUpdated: r.roleUpdated}
}

// fetch returns the committed changes after the request's revision.
func (s *Service) fetch(ctx context.Context, req *wire.FetchConfigRequest) (*wire.FetchConfigResponse, error) {
	r := s.replica
	response := &wire.FetchConfigResponse{Confirmed: s.confirm(ctx), Replicas: r.replicaAddresses(), Leader: r.leaderAddress()}
	err := r.runInLoop(ctx, func() {
		deltas, _ := r.machine.DeltasSince(req.HaveRevision)
		if len(deltas) > 0 && configdelta.Wants(req) && len(r.machine.Item(fleet.PathNumbered)) > 0 {
			deltas = []state.Delta{r.machine.Complete()}
		}
		response.Deltas = codec.DeltasToWire(deltas)
		response.Revision = r.machine.Revision()
	})
	if err == nil && configdelta.Wants(req) {
		err = r.documents.Fill(req, response)
	}
	return response, err
}

// keepDocuments keeps the documents of all revisions as bases of deltas, until ctx is done: entries
// may ask a new leader at once.
func (r *Replica) keepDocuments(ctx context.Context) {
	for ctx.Err() == nil {
		updated := r.signals().revisionUpdated
		var revision uint64
		var item []byte
		if r.runInLoop(ctx, func() { revision, item = r.machine.Revision(), r.machine.Item(fleet.PathNumbered) }) == nil && len(item) > 0 {
			if err := r.documents.Put(revision, item); err != nil {
				r.logger.Error().Str("step", "read document").Err(err).Msg("parsing the committed configuration document failed")
			}
		}
		select {
		case <-updated:
		case <-ctx.Done():
		}
	}
}

// confirm reports whether a quorum confirms that the state applied here after the
// call is up to date. It is always false on a replica that does not lead.
func (s *Service) confirm(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	_, err := s.replica.await(callCtx, replication.Read{})
	return err == nil
}

// Probe reports whether this replica's disk holds the state of a log.
func (s *Service) Probe(context.Context, *wire.ProbeRequest) (*wire.ProbeResponse, error) {
	return &wire.ProbeResponse{Used: !s.replica.log.Empty()}, nil
}

// Join adds a node to the membership as a learner.
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

// History returns the latest configuration changes, newest first.
func (r *Replica) History(ctx context.Context, limit int) ([]state.Delta, error) {
	var deltas []state.Delta
	err := r.runInLoop(ctx, func() { deltas = r.machine.History(limit) })
	return deltas, err
}

// Config returns the committed configuration and its revision.
func (r *Replica) Config(ctx context.Context) (*fleet.Config, uint64, error) {
	items, revision, err := r.itemsSince(ctx, 0)
	if err != nil {
		return nil, 0, err
	}
	config, err := fleet.Assemble(items)
	return config, revision, err
}

// itemsSince returns the items of the committed configuration and its revision, or no items if that is the given
// revision. Callers decode them outside of the event loop, which long ones would hold up.
func (r *Replica) itemsSince(ctx context.Context, have uint64) (map[string][]byte, uint64, error) {
	var items map[string][]byte
	var revision uint64
	err := r.runInLoop(ctx, func() {
		if revision = r.machine.Revision(); revision != have {
			items = r.machine.Items()
		}
	})
	if err != nil {
		return nil, 0, err
	}
	return items, revision, nil
}

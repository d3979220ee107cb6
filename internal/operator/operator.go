// Package operator serves operators' calls on a process's admin address. Every
// process of a deployment serves them, and forwards those that need the leader of
// the replicated log.
package operator

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/state"
	"waxwingcart/internal/entry"
	"waxwingcart/internal/replica"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

// Timeouts of operators' calls.
const (
	changeTimeout = 5 * time.Second
	readTimeout   = 3 * time.Second
	// confirmedTimeout is the part of readTimeout in which a quorum may confirm the configuration.
	confirmedTimeout = 2 * time.Second
	// changeWaitPart is the longest wait for zones within one call to the leader.
	changeWaitPart = 500 * time.Millisecond
)

// defaultHistory is the number of changes returned if the request has no limit.
const defaultHistory = 20

// Service implements wire.Operator.
type Service struct {
	// Entry and Replica are the roles that the process runs; either may be nil.
	Entry    *entry.Entry
	Replica  *replica.Replica
	Replicas *rpc.Replicas
}

// ApplyConfig commits a change at the leader and waits until it is in force in
// every zone or the requested wait is over. It waits in calls of at most
// changeWaitPart, so that a leader that stops answering does not block it. Each
// call sends the same change again and gets the result of the first call.
func (s *Service) ApplyConfig(ctx context.Context, req *wire.ChangeConfigRequest) (*wire.ChangeConfigResponse, error) {
	wait := time.Duration(req.WaitMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, changeTimeout+wait)
	defer cancel()
	response, err := s.changeConfig(ctx, req, 0)
	for end := time.Now().Add(wait); err == nil && len(response.ZonesPending) > 0; {
		left := time.Until(end)
		if left <= 0 {
			break
		}
		response, err = s.changeConfig(ctx, req, min(left, changeWaitPart))
	}
	return response, err
}

// changeConfig sends a change to the leader and waits there for the zones.
func (s *Service) changeConfig(ctx context.Context, req *wire.ChangeConfigRequest, wait time.Duration) (*wire.ChangeConfigResponse, error) {
	part := &wire.ChangeConfigRequest{
		ChangeId:     req.ChangeId,
		BaseRevision: req.BaseRevision,
		Author:       req.Author,
		ConfigJson:   req.ConfigJson,
		WaitMs:       wait.Milliseconds(),
	}
	response, err := rpc.CallInTurn(ctx, s.Replicas, "change config", func(ctx context.Context, stub wire.Replica) (*wire.ChangeConfigResponse, error) {
		return stub.ChangeConfig(ctx, part)
	})
	if ctx.Err() != nil {
		return nil, twirp.NewError(twirp.Unavailable, "no majority of the replicas committed the change in time; it may be committed later")
	}
	return response, err
}

// GetConfig returns the latest configuration, as confirmed by a quorum. Without a
// quorum it returns what one replica knows, marked as not confirmed.
func (s *Service) GetConfig(ctx context.Context, _ *wire.GetConfigRequest) (*wire.GetConfigResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var mu sync.Mutex
	var unconfirmed *wire.FetchConfigResponse
	if response, err := s.confirmedConfig(ctx); err == nil {
		return configResponse(response)
	}
	response, err := rpc.Call(ctx, s.Replicas, "get config", func(ctx context.Context, stub wire.Replica) (*wire.FetchConfigResponse, error) {
		answer, err := stub.FetchConfig(ctx, &wire.FetchConfigRequest{})
		if err == nil && !answer.Confirmed {
			mu.Lock()
			unconfirmed = answer
			mu.Unlock()
			err = rpc.NotLeader("")
		}
		return answer, err
	})
	mu.Lock()
	defer mu.Unlock()
	if err != nil && unconfirmed == nil {
		return nil, twirp.NewError(twirp.Unavailable, "no replica answered: "+err.Error())
	}
	if err != nil {
		response = unconfirmed
	}
	return configResponse(response)
}

// confirmedConfig fetches the configuration from the leader, within confirmedTimeout.
func (s *Service) confirmedConfig(ctx context.Context) (*wire.FetchConfigResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmedTimeout)
	defer cancel()
	return callLeader(ctx, s, "get config", func(ctx context.Context, stub wire.Replica) (*wire.FetchConfigResponse, error) {
		return s.fetchConfirmed(ctx, stub, 0)
	})
}

func configResponse(response *wire.FetchConfigResponse) (*wire.GetConfigResponse, error) {
	view := state.NewView()
	effects := view.Step(0, state.DeltasReceived{
		From:     "replica",
		Deltas:   codec.DeltasFromWire(response.Deltas),
		Revision: response.Revision,
	})
	if effects.Err != nil {
		return nil, twirp.InternalErrorWith(effects.Err)
	}
	result := &wire.GetConfigResponse{Revision: view.Revision(), Confirmed: response.Confirmed}
	if view.Config() == nil {
		return result, nil
	}
	data, err := json.MarshalIndent(view.Config(), "", "  ")
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	result.ConfigJson = data
	return result, nil
}

// History returns the latest changes, newest first. It fails in a process that
// runs no replica.
func (s *Service) History(ctx context.Context, req *wire.HistoryRequest) (*wire.HistoryResponse, error) {
	limit := int(req.Limit)
	if limit <= 0 {
		limit = defaultHistory
	}
	if s.Replica == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "ask a replica's admin address for the history")
	}
	deltas, err := s.Replica.History(ctx, limit)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	response := &wire.HistoryResponse{}
	for _, delta := range deltas {
		response.Changes = append(response.Changes, changeToWire(delta))
	}
	return response, nil
}

func changeToWire(delta state.Delta) *wire.Change {
	c := &wire.Change{Revision: delta.Revision, ChangeId: delta.ChangeID, Author: delta.Author, TimeMs: delta.TimeMS}
	for _, item := range delta.Items {
		c.Paths = append(c.Paths, item.Path)
	}
	return c
}

// Drain starts a graceful drain of the entry and returns at once.
func (s *Service) Drain(_ context.Context, req *wire.DrainRequest) (*wire.DrainResponse, error) {
	if s.Entry == nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, "this process runs no entry")
	}
	inFlight := s.Entry.InFlight()
	go s.Entry.Drain(context.Background(), time.Duration(req.DeadlineMs)*time.Millisecond)
	return &wire.DrainResponse{InFlight: int32(inFlight)}, nil
}

// Explain returns the recorded steps of a request at this entry.
func (s *Service) Explain(_ context.Context, req *wire.ExplainRequest) (*wire.ExplainResponse, error) {
	if s.Entry == nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, "this process runs no entry")
	}
	steps, found := s.Entry.Explain(req.RequestId)
	return &wire.ExplainResponse{Found: found, Steps: steps}, nil
}

package operator

import (
	"context"
	"errors"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/state"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

// ErrNoDocument means that no numbered document was ever committed.
var ErrNoDocument = errors.New("no document was committed yet")

// PutDocument commits a numbered document at the leader. A document whose
// number is not higher than that of the one in force changes nothing.
func (s *Service) PutDocument(ctx context.Context, document fleet.Numbered) error {
	s.askReplica()
	request := &wire.PutDocumentRequest{Number: document.Number, Content: document.Content}
	_, err := rpc.Call(ctx, s.Replicas, "put document", func(ctx context.Context, stub wire.Replica) (*wire.PutDocumentResponse, error) {
		return stub.PutDocument(ctx, request)
	})
	return err
}

// Document returns the numbered document that a quorum confirms to be the
// newest.
func (s *Service) Document(ctx context.Context) (fleet.Numbered, error) {
	response, err := s.confirmed(ctx)
	if err != nil {
		return fleet.Numbered{}, err
	}
	view := state.NewView()
	effects := view.Step(0, state.DeltasReceived{Deltas: codec.DeltasFromWire(response.Deltas), Revision: response.Revision, Committed: true})
	if effects.Err != nil {
		return fleet.Numbered{}, effects.Err
	}
	document, err := view.Numbered()
	if err == nil && document.Number == 0 {
		err = ErrNoDocument
	}
	return document, err
}

// askReplica takes over what the process's own replica knows of the others: it
// hears of a new leader before any caller does.
func (s *Service) askReplica() {
	if s.Replica == nil {
		return
	}
	addresses, leader := s.Replica.KnownReplicas()
	s.Replicas.Learn(addresses)
	if leader != "" {
		s.Replicas.SetLeader(leader)
	}
}

// confirmed fetches the whole configuration from a replica that a quorum
// confirms.
func (s *Service) confirmed(ctx context.Context) (*wire.FetchConfigResponse, error) {
	s.askReplica()
	return rpc.Call(ctx, s.Replicas, "get config", func(ctx context.Context, stub wire.Replica) (*wire.FetchConfigResponse, error) {
		answer, err := stub.FetchConfig(ctx, &wire.FetchConfigRequest{})
		if err == nil {
			s.Replicas.Learn(answer.Replicas)
		}
		if err == nil && !answer.Confirmed {
			err = rpc.NotLeader(answer.Leader)
		}
		return answer, err
	})
}

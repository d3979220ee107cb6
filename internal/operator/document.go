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

// ErrNoDocument is returned if no numbered document was committed yet.
var ErrNoDocument = errors.New("no document was committed yet")

// PutDocument commits a numbered document at the leader. It changes nothing if
// the number is not higher than that of the document in force.
func (s *Service) PutDocument(ctx context.Context, document fleet.NumberedDocument) error {
	s.learnFromReplica()
	request := &wire.PutDocumentRequest{Number: document.Number, Content: document.Content}
	_, err := rpc.Call(ctx, s.Replicas, "put document", func(ctx context.Context, stub wire.Replica) (*wire.PutDocumentResponse, error) {
		return stub.PutDocument(ctx, request)
	})
	return err
}

// Document returns the latest numbered document, as confirmed by a quorum.
func (s *Service) Document(ctx context.Context) (fleet.NumberedDocument, error) {
	response, err := s.fetchConfirmed(ctx)
	if err != nil {
		return fleet.NumberedDocument{}, err
	}
	view := state.NewView()
	effects := view.Step(0, state.DeltasReceived{Deltas: codec.DeltasFromWire(response.Deltas), Revision: response.Revision, Committed: true})
	if effects.Err != nil {
		return fleet.NumberedDocument{}, effects.Err
	}
	document, err := view.NumberedDocument()
	if err == nil && document.Number == 0 {
		err = ErrNoDocument
	}
	return document, err
}

// learnFromReplica copies the addresses and the leader that the process's own
// replica knows. The replica learns of a new leader before any caller does.
func (s *Service) learnFromReplica() {
	if s.Replica == nil {
		return
	}
	addresses, leader := s.Replica.KnownReplicas()
	s.Replicas.SetAddresses(addresses)
	if leader != "" {
		s.Replicas.SetLeader(leader)
	}
}

// fetchConfirmed fetches the whole configuration from the leader, after a quorum
// has confirmed that it is up to date.
func (s *Service) fetchConfirmed(ctx context.Context) (*wire.FetchConfigResponse, error) {
	s.learnFromReplica()
	return rpc.Call(ctx, s.Replicas, "get config", func(ctx context.Context, stub wire.Replica) (*wire.FetchConfigResponse, error) {
		answer, err := stub.FetchConfig(ctx, &wire.FetchConfigRequest{})
		if err == nil {
			s.Replicas.SetAddresses(answer.Replicas)
		}
		if err == nil && !answer.Confirmed {
			err = rpc.NotLeader(answer.Leader)
		}
		return answer, err
	})
}

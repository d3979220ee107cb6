package operator

import (
	"context"
	"errors"
	"math"
	"time"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/state"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

const (
	// smallDocumentBytes is the length up to which a document may be sent to all replicas at once.
	smallDocumentBytes = 16 << 10
	// catchUpTimeout bounds the wait until the process's own replica has applied the revision
	// that the leader confirmed.
	catchUpTimeout = 500 * time.Millisecond
	// leaderCheckInterval is how often a call that takes long checks whether its replica still leads.
	leaderCheckInterval = 50 * time.Millisecond
)

// ErrNoDocument is returned if no numbered document was committed yet.
var ErrNoDocument = errors.New("no document was committed yet")

// PutDocument commits a numbered document at the leader. It changes nothing if
// the number is not higher than that of the document in force.
func (s *Service) PutDocument(ctx context.Context, document fleet.NumberedDocument) error {
	s.learnFromReplica()
	request := &wire.PutDocumentRequest{Number: document.Number, Content: document.Content}
	put := func(ctx context.Context, stub wire.Replica) (*wire.PutDocumentResponse, error) {
		return stub.PutDocument(ctx, request)
	}
	if len(document.Content) <= smallDocumentBytes {
		_, err := rpc.Call(ctx, s.Replicas, "put document", put)
		return err
	}
	// Operators send a document again, also at other VMs, while it is on its way to the leader. What is committed is
	// acknowledged by the leader alone, which knows whether it may.
	if own, err := s.ownDocument(ctx, 0); err == nil && own.Number >= document.Number {
		request.Content = []byte(fleet.NullContent)
		_, err := rpc.Call(ctx, s.Replicas, "put document", put)
		return err
	}
	_, err := callLeader(ctx, s, "put document", put)
	return err
}

// Document returns the latest numbered document, as confirmed by a quorum. Only its revision is
// asked of the leader, if the process's own replica has the document or gets it soon.
func (s *Service) Document(ctx context.Context) (fleet.NumberedDocument, error) {
	confirmed, err := s.confirm(ctx)
	if err != nil {
		return fleet.NumberedDocument{}, err
	}
	document, err := s.ownDocument(ctx, confirmed.Revision)
	if err != nil {
		document, err = s.leaderDocument(ctx)
	}
	if err == nil && document.Number == 0 {
		err = ErrNoDocument
	}
	return document, err
}

// confirm returns the leader's answer with the newest revision, after a quorum has confirmed that it
// is the newest. The answer has no configuration, as the request claims to have all revisions.
func (s *Service) confirm(ctx context.Context) (*wire.FetchConfigResponse, error) {
	s.learnFromReplica()
	return rpc.Call(ctx, s.Replicas, "confirm revision", func(ctx context.Context, stub wire.Replica) (*wire.FetchConfigResponse, error) {
		return s.fetchConfirmed(ctx, stub, math.MaxUint64)
	})
}

// ownDocument returns the document of the process's own replica once it has applied a revision.
func (s *Service) ownDocument(ctx context.Context, revision uint64) (fleet.NumberedDocument, error) {
	if s.Replica == nil {
		return fleet.NumberedDocument{}, errors.New("the process runs no replica")
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	return s.Replica.NumberedDocument(ctx, revision)
}

// leaderDocument fetches the document from the leader.
func (s *Service) leaderDocument(ctx context.Context) (fleet.NumberedDocument, error) {
	response, err := callLeader(ctx, s, "get config", func(ctx context.Context, stub wire.Replica) (*wire.FetchConfigResponse, error) {
		return s.fetchConfirmed(ctx, stub, 0)
	})
	if err != nil {
		return fleet.NumberedDocument{}, err
	}
	view := state.NewView()
	effects := view.Step(0, state.DeltasReceived{Deltas: codec.DeltasFromWire(response.Deltas), Revision: response.Revision, Committed: true})
	if effects.Err != nil {
		return fleet.NumberedDocument{}, effects.Err
	}
	return view.NumberedDocument()
}

// fetchConfirmed fetches what follows a revision from a replica. It fails if no quorum confirms the answer.
func (s *Service) fetchConfirmed(ctx context.Context, stub wire.Replica, have uint64) (*wire.FetchConfigResponse, error) {
	answer, err := stub.FetchConfig(ctx, &wire.FetchConfigRequest{HaveRevision: have})
	if err != nil {
		return nil, err
	}
	s.Replicas.SetAddresses(answer.Replicas)
	if !answer.Confirmed {
		return nil, rpc.NotLeader(answer.Leader)
	}
	return answer, nil
}

// callLeader makes a call whose request or answer may be long. It is made to the leader alone, and
// may take all the time that the context leaves: to repeat it would take up the processors and
// links that the first one needs. It is repeated at the next leader.
func callLeader[Response any](ctx context.Context, s *Service, step string, call func(context.Context, wire.Replica) (Response, error)) (Response, error) {
	s.learnFromReplica()
	for {
		known := s.knownLeader()
		if s.Replicas.Leader() == "" {
			if _, err := s.confirm(ctx); err != nil {
				var none Response
				return none, err
			}
		}
		leader := s.Replicas.Leader()
		callCtx, cancel := context.WithCancel(ctx)
		go s.cancelOnNewLeader(callCtx, cancel, known, leader)
		response, err := rpc.CallOne(callCtx, s.Replicas, leader, call)
		cancel()
		if err == nil || ctx.Err() != nil || rpc.IsPermanent(err) {
			return response, rpc.Wrap(step, leader, err)
		}
		if rpc.Pause(ctx) != nil {
			return response, rpc.Wrap(step, leader, err)
		}
	}
}

// cancelOnNewLeader ends a call once the process's own replica learns of another leader than the one that it knew
// before and the one that is called. In a process without a replica the call ends with its context.
func (s *Service) cancelOnNewLeader(ctx context.Context, cancel context.CancelFunc, before, called string) {
	if s.Replica == nil {
		return
	}
	ticker := time.NewTicker(leaderCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if known := s.knownLeader(); known != "" && known != before && known != called {
				s.Replicas.SetLeader(known)
				cancel()
				return
			}
		}
	}
}

// knownLeader returns the leader that the process's own replica knows, or "".
func (s *Service) knownLeader() string {
	if s.Replica == nil {
		return ""
	}
	_, leader := s.Replica.KnownReplicas()
	return leader
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

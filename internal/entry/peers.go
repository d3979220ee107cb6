package entry

import (
	"context"
	"time"

	"waxwingcart/internal/core/request"
	"waxwingcart/internal/wire"
)

// PeerService serves the calls of other entries. It implements wire.Peer.
type PeerService struct{ entry *Entry }

// PeerService returns the entry's calls for other entries.
func (e *Entry) PeerService() *PeerService { return &PeerService{entry: e} }

// Attempt tells how far an owner got. An owner that has not dispatched and
// still waits goes on, unless it is asked to abandon.
func (s *PeerService) Attempt(ctx context.Context, req *wire.AttemptRequest) (*wire.AttemptResponse, error) {
	response := &wire.AttemptResponse{
		Owner: &wire.NodeID{Vm: s.entry.opts.VM, Incarnation: s.entry.incarnation},
	}
	if r := s.entry.find(req.RequestId); r != nil {
		if req.Abandon {
			r.abandon(ctx)
		}
		response.State = runState(r)
		return response, nil
	}
	response.State = endedState(s.entry.history.get(req.RequestId))
	return response, nil
}

// abandon asks the request to give up and waits until it has taken that in.
func (r *run) abandon(ctx context.Context) {
	c := control{event: request.Abandon{}, handled: make(chan struct{})}
	select {
	case r.controls <- c:
	case <-ctx.Done():
		return
	}
	select {
	case <-c.handled:
	case <-r.ended:
	case <-ctx.Done():
	}
}

func runState(r *run) wire.AttemptState {
	if r.dispatched.Load() {
		return wire.AttemptState_ATTEMPT_STATE_DISPATCHED
	}
	select {
	case <-r.ended:
		return wire.AttemptState_ATTEMPT_STATE_ABANDONED
	default:
		return wire.AttemptState_ATTEMPT_STATE_WAITING
	}
}

func endedState(t *trace) wire.AttemptState {
	switch {
	case t == nil:
		return wire.AttemptState_ATTEMPT_STATE_ABSENT
	case t.dispatched:
		return wire.AttemptState_ATTEMPT_STATE_FINISHED
	default:
		return wire.AttemptState_ATTEMPT_STATE_ABANDONED
	}
}

// Config serves the configuration in force to an entry that reaches no
// replica.
func (s *PeerService) Config(_ context.Context, req *wire.FetchConfigRequest) (*wire.FetchConfigResponse, error) {
	return s.entry.config.answer(req.HaveRevision), nil
}

// Exchange takes news in and answers with the own.
func (s *PeerService) Exchange(_ context.Context, req *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	return s.entry.exchange(req)
}

// Explain returns the steps of a request that this entry serves or served.
func (e *Entry) Explain(requestID string) ([]string, bool) {
	t := e.history.get(requestID)
	if t == nil {
		return nil, false
	}
	head := "request " + t.id + " of customer " + t.customer + " to service " + t.service +
		" arrived " + t.arrived.UTC().Format(time.RFC3339Nano)
	return append([]string{head}, t.steps...), true
}

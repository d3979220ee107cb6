package entry

import (
	"context"
	"time"

	"waxwingcart/internal/core/request"
	"waxwingcart/internal/traces"
	"waxwingcart/internal/wire"
)

// PeerService serves calls from other entries. It implements wire.Peer.
type PeerService struct{ entry *Entry }

// PeerService returns the entry's service for other entries.
func (e *Entry) PeerService() *PeerService { return &PeerService{entry: e} }

// maxAttemptWait bounds how long a call waits for the end of a request.
const maxAttemptWait = 10 * time.Second

// Attempt returns the state of a request that owns a reservation. If asked to,
// it waits for the end of a request in flight. A request that has not been
// dispatched continues unless it is asked to abandon.
func (s *PeerService) Attempt(ctx context.Context, req *wire.AttemptRequest) (*wire.AttemptResponse, error) {
	response := &wire.AttemptResponse{
		Owner: &wire.NodeID{Vm: s.entry.opts.VM, Incarnation: s.entry.incarnation},
	}
	if r := s.entry.findRun(req.RequestId); r != nil {
		if req.Abandon {
			r.abandon(ctx)
		}
		r.awaitEnd(ctx, time.Duration(req.WaitMs)*time.Millisecond)
		response.State = runState(r)
		return response, nil
	}
	response.State = endedState(s.entry.history.Get(req.RequestId))
	return response, nil
}

// abandon asks the request to give up and waits until the request's loop has
// handled that event.
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

// awaitEnd waits for the end of the request, within a limit.
func (r *run) awaitEnd(ctx context.Context, limit time.Duration) {
	if limit <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, min(limit, maxAttemptWait))
	defer cancel()
	select {
	case <-r.ended:
	case <-ctx.Done():
	}
}

func runState(r *run) wire.AttemptState {
	select {
	case <-r.ended:
		return endedState(r.trace)
	default:
	}
	if r.dispatched.Load() {
		return wire.AttemptState_ATTEMPT_STATE_DISPATCHED
	}
	return wire.AttemptState_ATTEMPT_STATE_WAITING
}

func endedState(t *traces.Trace) wire.AttemptState {
	switch {
	case t == nil || t.Refused:
		return wire.AttemptState_ATTEMPT_STATE_ABSENT
	case t.Dispatched:
		return wire.AttemptState_ATTEMPT_STATE_FINISHED
	default:
		return wire.AttemptState_ATTEMPT_STATE_ABANDONED
	}
}

// Config serves the configuration to an entry that reaches no replica.
func (s *PeerService) Config(_ context.Context, req *wire.FetchConfigRequest) (*wire.FetchConfigResponse, error) {
	return s.entry.config.serveFetch(req.HaveRevision), nil
}

// Exchange exchanges membership records.
func (s *PeerService) Exchange(_ context.Context, req *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	return s.entry.serveExchange(req)
}

// Explain returns the trace of a request that this entry serves or served, and
// whether it has one.
func (e *Entry) Explain(requestID string) ([]string, bool) {
	if r := e.findRun(requestID); r != nil {
		return r.trace.Lines(), true
	}
	if t := e.history.Get(requestID); t != nil {
		return t.Lines(), true
	}
	return nil, false
}

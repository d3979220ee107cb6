package operator

import (
	"context"
	"time"

	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

// StartRollout commits an order at the leader. Known orders are answered in the same way.
func (s *Service) StartRollout(ctx context.Context, service, target string, duration time.Duration) (*wire.StartRolloutResponse, error) {
	s.learnFromReplica()
	request := &wire.StartRolloutRequest{Service: service, Target: target, DurationMs: uint64(max(duration.Milliseconds(), 0))}
	return rpc.Call(ctx, s.Replicas, "start roll-out", func(ctx context.Context, stub wire.Replica) (*wire.StartRolloutResponse, error) {
		return stub.StartRollout(ctx, request)
	})
}

// Rollout returns the latest roll-out of a service, as confirmed by a quorum.
func (s *Service) Rollout(ctx context.Context, service string) (*wire.GetRolloutResponse, error) {
	s.learnFromReplica()
	return rpc.Call(ctx, s.Replicas, "get roll-out", func(ctx context.Context, stub wire.Replica) (*wire.GetRolloutResponse, error) {
		return stub.GetRollout(ctx, &wire.GetRolloutRequest{Service: service})
	})
}

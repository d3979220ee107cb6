package replica

import (
	"context"
	"errors"
	"time"

	"github.com/twitchtv/twirp"

	"waxwingcart/internal/core/replication"
	core "waxwingcart/internal/core/rollout"
	"waxwingcart/internal/discovery"
	"waxwingcart/internal/rollout"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

const (
	// maxRolloutName bounds the names of a service and a version in an order, in bytes.
	maxRolloutName = 256
	// maxRolloutDuration bounds the duration of a roll-out.
	maxRolloutDuration = 30 * 24 * time.Hour
)

func newRollouts(r *Replica) *rollout.Leader {
	r.rolloutStore = &rolloutStore{replica: r}
	return rollout.NewLeader(rollout.LeaderOptions{
		Logger: r.logger, Registry: r.opts.Registry, Now: func() int64 { return time.Now().UnixMilli() },
		Load: r.rolloutStore.load, Save: r.rolloutStore.save,
		Read: func(ctx context.Context) (core.Table, error) {
			table, _, _, _, err := r.readRollouts(ctx)
			return table, err
		},
		Term: func() rollout.Term {
			status := r.status()
			return rollout.Term{Number: status.Term, Leads: status.Role == replication.RoleLeader && status.Lease.Leads && status.Lease.Until > r.now()}
		},
		Servers: func() []discovery.Server {
			if r.duties == nil {
				return nil
			}
			r.duties.mu.Lock()
			defer r.duties.mu.Unlock()
			return r.duties.list.servers
		},
	})
}

// StartRollout commits an order to move a service to a version.
func (s *Service) StartRollout(ctx context.Context, req *wire.StartRolloutRequest) (*wire.StartRolloutResponse, error) {
	if s.replica.status().Role != replication.RoleLeader {
		return nil, rpc.NotLeader(s.replica.leaderAddress())
	}
	duration := time.Duration(req.DurationMs) * time.Millisecond
	problem := ""
	switch {
	case req.Service == "" || len(req.Service) > maxRolloutName:
		problem = "service: expected a name"
	case req.Target == "" || len(req.Target) > maxRolloutName:
		problem = "target: expected a version"
	case req.DurationMs == 0 || req.DurationMs > uint64(maxRolloutDuration.Milliseconds()):
		problem = "duration_s: expected more than 0 and at most 30 days"
	}
	if problem != "" {
		return &wire.StartRolloutResponse{Problem: problem}, nil
	}
	answer, placed, err := s.replica.rollouts.Start(ctx, core.Order{Service: req.Service, Target: req.Target, Duration: duration})
	if err != nil {
		return nil, rolloutError(err)
	}
	if _, err := s.replica.await(ctx, replication.Read{Durable: true}); err != nil {
		return nil, err
	}
	return &wire.StartRolloutResponse{Conflict: answer == core.AnswerConflict, Number: placed.Number}, nil
}

// GetRollout returns the latest roll-out of a service, after a quorum has confirmed that this replica leads.
func (s *Service) GetRollout(ctx context.Context, req *wire.GetRolloutRequest) (*wire.GetRolloutResponse, error) {
	if s.replica.status().Role != replication.RoleLeader {
		return nil, rpc.NotLeader(s.replica.leaderAddress())
	}
	found, ok, err := s.replica.rollouts.Get(ctx, req.Service)
	if err != nil {
		return nil, rolloutError(err)
	}
	return &wire.GetRolloutResponse{Found: ok, State: string(found.State), Target: found.Target, Number: found.Number, Cause: found.Cause}, nil
}

// rolloutError keeps the code of an error of the log, so that callers find the leader.
func rolloutError(err error) error {
	var twerr twirp.Error
	if errors.As(err, &twerr) {
		return twerr
	}
	return twirp.NewError(twirp.Unavailable, err.Error())
}

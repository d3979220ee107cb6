package replica

import (
	"context"

	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/wire"
)

// forwardJoinRequests passes on the join requests that this replica heard to a leader that it hears of. The leader then knows
// which voters lost their disks before it acknowledges anything.
func (r *Replica) forwardJoinRequests(leader *replication.Member) {
	if leader == nil || leader.ID == r.node.Status().Self.ID || leader.Address == "" {
		return
	}
	for _, member := range r.node.JoinRequests() {
		go func() {
			ctx, cancel := context.WithTimeout(r.runCtx, electionTimeout)
			defer cancel()
			_, _ = newStub(leader.Address, r.opts.Client).Join(ctx, joinRequestOf(member))
		}()
	}
}

func joinRequestOf(member replication.Member) *wire.JoinRequest {
	return &wire.JoinRequest{
		Id:      &wire.NodeID{Vm: member.ID.VM, Incarnation: member.ID.Incarnation},
		Zone:    member.Zone,
		Address: member.Address,
	}
}

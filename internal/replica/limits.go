package replica

import (
	"context"
	"sync"
	"time"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/quota"
	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

// limits hands out the customers' limits to entries while this replica leads.
type limits struct {
	mu        sync.Mutex
	allocator *quota.Allocator
	// term is the term for which allocator holds.
	term uint64
	// peers holds where entries listen for each other, and when they last drew.
	peers map[string]peerEntry
}

type peerEntry struct {
	peer *wire.EntryPeer
	seen time.Duration
}

// peerLifetime is how long an entry that draws no more is named to the others:
// several drawings.
const peerLifetime = 5 * time.Second

func newLimits() *limits {
	return &limits{allocator: quota.NewAllocator(), peers: make(map[string]peerEntry)}
}

// meet notes where an entry listens and returns where all of them do.
func (l *limits) meet(now time.Duration, process string, peer *wire.EntryPeer) []*wire.EntryPeer {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers[process] = peerEntry{peer, now}
	var peers []*wire.EntryPeer
	for name, known := range l.peers {
		if now-known.seen > peerLifetime {
			delete(l.peers, name)
			continue
		}
		peers = append(peers, known.peer)
	}
	return peers
}

// renew answers an entry. What an earlier term gave out is not known any more.
func (l *limits) renew(now time.Duration, term uint64, renewal quota.Renewal) quota.Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != term {
		l.term = term
		l.allocator = quota.NewAllocator()
	}
	return l.allocator.Renew(now, renewal)
}

// Draw hands out units and takes usage in. Only the one leader answers; what an
// earlier one gave out is bounded by what a new allocator holds back.
func (s *Service) Draw(_ context.Context, req *wire.DrawRequest) (*wire.DrawResponse, error) {
	r := s.replica
	status := r.status()
	if status.Role != replication.RoleLeader || !status.Lease.Leads || status.Lease.Until <= r.now() {
		return nil, rpc.NotLeader(r.leaderAddress())
	}
	if r.duties != nil {
		r.duties.take(req)
	}
	grant := r.limits.renew(r.now(), status.Term, codec.RenewalFromWire(req))
	response := codec.GrantToWire(grant)
	response.Peers = r.limits.meet(r.now(), req.Process, &wire.EntryPeer{Address: req.Address, Zone: req.Zone})
	if r.duties != nil {
		r.duties.fillList(req, response)
	}
	return response, nil
}

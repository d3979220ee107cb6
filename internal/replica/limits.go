package replica

import (
	"context"
	"sync"
	"time"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/quota"
	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/core/serverlimit"
	"waxwingcart/internal/crashguard"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

// limits grants units of the customers' limits to the entries while this replica
// leads.
type limits struct {
	mu        sync.Mutex
	allocator *quota.Allocator
	// servers grants requests to backend servers that limit them.
	servers *serverlimit.Allocator
	// term is the term to which the allocators belong.
	term uint64
	// peers holds the address at which each entry listens for the others, by
	// process.
	peers map[string]peerEntry
}

// peerEntry is an entry's address and the time of its last Draw.
type peerEntry struct {
	peer     *wire.EntryPeer
	lastSeen time.Duration
}

// peerLifetime is how long an entry that no longer calls Draw is still listed for
// the others. It covers several intervals between two calls.
const peerLifetime = 5 * time.Second

func newLimits() *limits {
	return &limits{allocator: quota.NewAllocator(), servers: serverlimit.NewAllocator(), peers: make(map[string]peerEntry)}
}

// newBars returns a guard that takes what entries tell, and decides and sends nothing.
func newBars(r *Replica) *crashguard.Guard {
	return crashguard.New(crashguard.Options{
		Now: r.now, Seed: 1, Logger: r.logger,
		Send: func(*wire.News) {}, Ended: func(string) {},
	})
}

// updatePeer records an entry's address and returns those of all live entries.
func (l *limits) updatePeer(now time.Duration, process string, peer *wire.EntryPeer) []*wire.EntryPeer {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers[process] = peerEntry{peer, now}
	var peers []*wire.EntryPeer
	for name, known := range l.peers {
		if now-known.lastSeen > peerLifetime {
			delete(l.peers, name)
			continue
		}
		peers = append(peers, known.peer)
	}
	return peers
}

// renew grants units, and requests to limited servers, to an entry. It starts with new allocators in each term,
// because the grants of earlier terms are not known. It grants nothing and returns
// false to a call that was accepted in a term that is over.
func (l *limits) renew(now time.Duration, term uint64, renewal quota.Renewal, report serverlimit.Report) (quota.Grant, serverlimit.Grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if term < l.term {
		return quota.Grant{}, serverlimit.Grant{}, false
	}
	if l.term != term {
		l.term = term
		l.allocator, l.servers = quota.NewAllocator(), serverlimit.NewAllocator()
	}
	return l.allocator.Renew(now, renewal), l.servers.Renew(now, report), true
}

// Draw grants units to an entry and records the usage that it reports. It is
// served only by the leader, and only while no other replica can lead. The
// allocator of a new leader holds back enough to cover the units that its
// predecessor granted.
func (s *Service) Draw(_ context.Context, req *wire.DrawRequest) (*wire.DrawResponse, error) {
	r := s.replica
	status := r.status()
	if status.Role != replication.RoleLeader || !status.Lease.Leads || status.Lease.Until <= r.now() {
		return nil, rpc.NotLeader(r.leaderAddress())
	}
	if r.duties != nil {
		r.duties.addUsageAndLoad(req)
	}
	now := r.now()
	grant, requests, ok := r.limits.renew(now, status.Term, codec.RenewalFromWire(req), codec.LimitReportFromWire(now, req.Limits))
	if !ok {
		return nil, rpc.NotLeader(r.leaderAddress())
	}
	response := codec.GrantToWire(grant)
	response.Limits = codec.LimitGrantToWire(now, requests)
	r.bars.Told(req.Bars)
	if req.AsksBars {
		response.Bars = r.bars.Bars().Bars
	}
	response.Peers = r.limits.updatePeer(r.now(), req.Process, &wire.EntryPeer{Address: req.Address, Zone: req.Zone})
	if r.duties != nil {
		r.duties.fillList(req, response)
	}
	return response, nil
}

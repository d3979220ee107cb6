package replica

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// peerList holds the live entries by address, in a version of the list; expiredAt is when dead
	// ones were last looked for.
	peerList     []*wire.EntryPeer
	peersVersion uint64
	expiredAt    time.Duration
}

// peerEntry is an entry's address and the time of its last Draw.
type peerEntry struct {
	peer     *wire.EntryPeer
	lastSeen time.Duration
}

// peerLifetime is how long an entry that no longer calls Draw is still listed for
// the others. It covers several intervals between two calls.
const peerLifetime = 5 * time.Second

// expireInterval is how often entries are looked for that no longer call Draw.
const expireInterval = 500 * time.Millisecond

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

// updatePeer records an entry's address. It returns the version of the list of live entries, and
// the list unless the caller has that version.
func (l *limits) updatePeer(now time.Duration, process string, peer *wire.EntryPeer, have uint64) ([]*wire.EntryPeer, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, listed := l.peers[process]
	l.peers[process] = peerEntry{peer, now}
	changed := !listed || known.peer.Address != peer.Address || known.peer.Zone != peer.Zone
	if now-l.expiredAt >= expireInterval {
		l.expiredAt = now
		maps.DeleteFunc(l.peers, func(_ string, known peerEntry) bool {
			expired := now-known.lastSeen > peerLifetime
			changed = changed || expired
			return expired
		})
	}
	if changed {
		l.listPeers()
	}
	if have == l.peersVersion {
		return nil, have
	}
	return l.peerList, l.peersVersion
}

// listPeers lists the live entries. The version depends on the content alone, so that leaders who
// know the same entries give it the same one. The caller holds mu.
func (l *limits) listPeers() {
	l.peerList = make([]*wire.EntryPeer, 0, len(l.peers))
	for _, known := range l.peers {
		l.peerList = append(l.peerList, known.peer)
	}
	slices.SortFunc(l.peerList, func(a, b *wire.EntryPeer) int { return strings.Compare(a.Address, b.Address) })
	digest := xxhash.New()
	for _, peer := range l.peerList {
		_, _ = digest.WriteString(peer.Address + " " + peer.Zone + "\n")
	}
	l.peersVersion = max(digest.Sum64(), 1)
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
	response.Peers, response.PeersVersion = r.limits.updatePeer(r.now(), req.Process, &wire.EntryPeer{Address: req.Address, Zone: req.Zone}, req.PeersVersion)
	if r.duties != nil {
		r.duties.fillList(req, response)
	}
	// The roll-outs must be as new as the list, which may name the servers of a target.
	r.rollouts.Draw(status.Term, req, response)
	return response, nil
}

package replication

import (
	"fmt"
	"hash/fnv"
)

// digest returns a digest of the entry and the previous digest or term.
func digest(previous uint64, e Entry) uint64 {
	sum := fnv.New64a()
	fmt.Fprint(sum, previous, e.Index, e.Term, e.Kind, string(e.Data))
	if e.Membership != nil {
		fmt.Fprint(sum, *e.Membership)
	}
	return sum.Sum64()
}

// checkLeader checks that a term has only one leader and that the leader has all
// committed entries.
func (net *network) checkLeader(h *host, term uint64) {
	if other, ok := net.leaderByTerm[term]; ok && other != h.self.ID {
		net.reportViolation("term %d has leaders %v and %v", term, other, h.self.ID)
	}
	net.leaderByTerm[term] = h.self.ID
	h.electedAt = net.now
	if last := uint64(len(net.committedDigests)) - 1; h.node.log.lastIndex() < last {
		net.reportViolation("leader %v of term %d lacks committed entry %d", h.self.ID, term, last)
	}
}

// checkEntries checks the log matching property: entries with the same index and
// term have the same content and follow an entry of the same term.
func (net *network) checkEntries(h *host, entries []Entry) {
	for _, e := range entries {
		prevTerm, _ := h.node.log.termAt(e.Index - 1)
		sum := digest(prevTerm, e)
		key := [2]uint64{e.Index, e.Term}
		if seen, ok := net.entries[key]; ok && seen != sum {
			net.reportViolation("%v has a different entry %d of term %d", h.self.ID, e.Index, e.Term)
		}
		net.entries[key] = sum
	}
}

// checkLeases checks that at most one node has a lease, that at most one is sure
// to lead alone, and that a new leader waits for the lease of an earlier one.
func (net *network) checkLeases() {
	holders, leaders := 0, 0
	for _, h := range net.hosts {
		if h.node == nil {
			continue
		}
		if until, leads := h.node.SoleLeaderUntil(); leads && h.clock(net.now) < until {
			leaders++
		}
		if !h.node.HoldsLeaseFor(h.clock(net.now), 0) {
			continue
		}
		holders++
		waited := h.clock(net.now) - h.clock(h.electedAt)
		if waited < net.opts.LeaseDuration && !net.ignoreOldLease {
			net.reportViolation("%v has a lease only %v after its election", h.self.ID, waited)
		}
	}
	if holders > 1 {
		net.reportViolation("%d nodes have a lease at the same time", holders)
	}
	if leaders > 1 {
		net.reportViolation("%d nodes lead at the same time", leaders)
	}
}

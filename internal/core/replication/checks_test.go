package replication

import (
	"fmt"
	"hash/fnv"
	"time"
)

func digest(before uint64, e Entry) uint64 {
	sum := fnv.New64a()
	fmt.Fprint(sum, before, e.Index, e.Term, e.Kind, string(e.Data))
	if e.Membership != nil {
		fmt.Fprint(sum, *e.Membership)
	}
	return sum.Sum64()
}

// checkLeader checks that a term has one leader and that it holds all
// committed entries.
func (w *network) checkLeader(h *host, term uint64) {
	if other, ok := w.leaders[term]; ok && other != h.self.ID {
		w.violate("term %d has leaders %v and %v", term, other, h.self.ID)
	}
	w.leaders[term] = h.self.ID
	h.electedAt = w.now
	if last := uint64(len(w.chain)) - 1; h.node.log.lastIndex() < last {
		w.violate("leader %v of term %d lacks committed entry %d", h.self.ID, term, last)
	}
}

// checkEntries checks that equal index and term mean equal logs.
func (w *network) checkEntries(h *host, entries []Entry) {
	for _, e := range entries {
		prevTerm, _ := h.node.log.termAt(e.Index - 1)
		sum := digest(prevTerm, e)
		key := [2]uint64{e.Index, e.Term}
		if seen, ok := w.entries[key]; ok && seen != sum {
			w.violate("%v holds another entry %d of term %d", h.self.ID, e.Index, e.Term)
		}
		w.entries[key] = sum
	}
}

func (w *network) checkLeases() {
	holders, leaders := 0, 0
	for _, h := range w.hosts {
		if h.node == nil {
			continue
		}
		if until, leads := h.node.LeadsUntil(); leads && h.clock(w.now) < until {
			leaders++
		}
		if !h.node.MayOrder(h.clock(w.now), 0) {
			continue
		}
		holders++
		waited := time.Duration(float64(w.now-h.electedAt) * h.rate)
		if waited < w.opts.LeaseDuration && !w.forgetful {
			w.violate("%v holds a lease %v after its election", h.self.ID, waited)
		}
	}
	if holders > 1 {
		w.violate("%d nodes hold a lease", holders)
	}
	if leaders > 1 {
		w.violate("%d nodes lead at the same time", leaders)
	}
}

package routing

// The confidence that a server holds a prefix, from 0 to 1.
const (
	// confidenceSent is the confidence after a request with the prefix was sent to
	// the server.
	confidenceSent = 0.8
	// confidenceStored is the confidence after a cache event or a reported cache
	// hit.
	confidenceStored = 1.0
	// missedEventFactor is the factor by which each missing cache event lowers the
	// confidence.
	missedEventFactor = 0.9
	// minConfidence is the confidence below which a holder is ignored.
	minConfidence = 0.1
)

// defaultSharedRatio is the part of a prompt that is assumed to be shared with
// other requests of the same prefix until a server has reported a cache hit.
const defaultSharedRatio = 0.8

// maxHolders is the number of servers remembered per prefix.
const maxHolders = 4

// holder is a server that may hold a prefix.
type holder struct {
	server     *server
	confidence float32
	// missed is the server's cacheMissed when the confidence was set.
	missed uint64
}

// prefixEntry is an entry of a prefixTable. The entries form a doubly linked list
// in order of use.
type prefixEntry struct {
	prefix     uint64
	holders    [maxHolders]holder
	shared     float32
	prev, next int32
}

// noEntry marks the end of the list.
const noEntry = int32(-1)

// prefixTable is an LRU table of the servers that hold each prefix.
type prefixTable struct {
	limit   int
	index   map[uint64]int32
	entries []prefixEntry
	// newest and oldest are the ends of the list.
	newest, oldest int32
}

func newPrefixTable(limit int) *prefixTable {
	return &prefixTable{limit: max(1, limit), index: make(map[uint64]int32), newest: noEntry, oldest: noEntry}
}

// find returns the entry of a prefix, or nil.
func (t *prefixTable) find(prefix uint64) *prefixEntry {
	at, ok := t.index[prefix]
	if !ok {
		return nil
	}
	return &t.entries[at]
}

// touch returns the entry of a prefix and makes it the most recently used. It adds
// the entry if it is missing, in place of the least recently used one if the table
// is full.
func (t *prefixTable) touch(prefix uint64) *prefixEntry {
	at, ok := t.index[prefix]
	switch {
	case ok:
		t.unlink(at)
	case len(t.entries) < t.limit:
		at = int32(len(t.entries))
		t.entries = append(t.entries, prefixEntry{})
	default:
		at = t.oldest
		t.unlink(at)
		delete(t.index, t.entries[at].prefix)
	}
	e := &t.entries[at]
	if !ok {
		*e = prefixEntry{prefix: prefix}
		t.index[prefix] = at
	}
	t.link(at)
	return e
}

func (t *prefixTable) link(at int32) {
	e := &t.entries[at]
	e.prev, e.next = noEntry, t.newest
	if t.newest != noEntry {
		t.entries[t.newest].prev = at
	}
	t.newest = at
	if t.oldest == noEntry {
		t.oldest = at
	}
}

func (t *prefixTable) unlink(at int32) {
	e := &t.entries[at]
	if e.prev != noEntry {
		t.entries[e.prev].next = e.next
	} else {
		t.newest = e.next
	}
	if e.next != noEntry {
		t.entries[e.next].prev = e.prev
	} else {
		t.oldest = e.prev
	}
}

// addHolder records that a server holds a prefix. If the prefix has maxHolders
// other holders, the server replaces the one with the lowest confidence.
func (t *prefixTable) addHolder(prefix uint64, s *server, confidence float64) {
	e := t.touch(prefix)
	place := &e.holders[0]
	for i := range e.holders {
		h := &e.holders[i]
		if h.server == s {
			confidence = max(confidence, h.currentConfidence())
			place = h
			break
		}
		if h.currentConfidence() < place.currentConfidence() {
			place = h
		}
	}
	*place = holder{server: s, confidence: float32(confidence), missed: s.cacheMissed}
}

// removeHolder records that a server no longer holds a prefix.
func (t *prefixTable) removeHolder(prefix uint64, s *server) {
	if e := t.find(prefix); e != nil {
		if h := e.holder(s); h != nil {
			*h = holder{}
		}
	}
}

// recordHit records the number of prompt tokens that a server took from its cache.
func (t *prefixTable) recordHit(size RequestSize, s *server, cached int) {
	e := t.find(size.Prefix)
	if e == nil || cached <= 0 {
		return
	}
	t.addHolder(size.Prefix, s, confidenceStored)
	if e.shared == 0 {
		e.shared = float32(cached)
		return
	}
	e.shared += learnWeight * (float32(cached) - e.shared)
}

func (e *prefixEntry) holder(s *server) *holder {
	for i := range e.holders {
		if e.holders[i].server == s {
			return &e.holders[i]
		}
	}
	return nil
}

// sharedTokens estimates the number of a prompt's tokens that belong to the shared
// prefix. The argument known is the number from the caller, or zero.
func (e *prefixEntry) sharedTokens(prompt float64, known int) float64 {
	switch {
	case known > 0:
		return min(prompt, float64(known))
	case e != nil && e.shared > 0:
		return min(prompt, float64(e.shared))
	}
	return defaultSharedRatio * prompt
}

// maxMissed is the number of missing events after which the confidence is below
// minConfidence.
const maxMissed = 24

// currentConfidence returns the confidence, lowered for each event that was missing
// since it was set. It is zero for an empty holder or a removed server.
func (h *holder) currentConfidence() float64 {
	if h.server == nil || h.server.group == nil {
		return 0
	}
	c := float64(h.confidence)
	for range min(maxMissed, h.server.cacheMissed-h.missed) {
		c *= missedEventFactor
	}
	return c
}

package routing

// The confidence that a server holds a prefix, from 0 to 1.
const (
	// confidenceSent follows from a request sent there.
	confidenceSent = 0.8
	// confidenceStored follows from a cache event or a reported cache hit.
	confidenceStored = 1.0
	// missedConfidence is what is left after one missing cache event.
	missedConfidence = 0.9
	// minConfidence is the least that counts.
	minConfidence = 0.1
)

// defaultSharedRatio is the part of a prompt that is assumed to be shared with
// other requests of the same prefix, until servers report it.
const defaultSharedRatio = 0.8

// maxHolders bounds the servers remembered per prefix.
const maxHolders = 4

// holder is a server that may hold a prefix.
type holder struct {
	server     *server
	confidence float32
	// missed is the server's number of missing events when the hint came.
	missed uint64
}

// prefixEntry is what is known about one prefix. The entries form a list in
// order of use.
type prefixEntry struct {
	prefix     uint64
	holders    [maxHolders]holder
	shared     float32
	prev, next int32
}

// noEntry ends the list.
const noEntry = int32(-1)

// prefixTable remembers which servers hold which prefixes. Beyond its limit the
// prefix that was used least recently is forgotten.
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

// use returns the entry of a prefix as the newest, adding it if need be.
func (t *prefixTable) use(prefix uint64) *prefixEntry {
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

// hint notes that a server holds a prefix, in place of the least certain
// holder if there are too many.
func (t *prefixTable) hint(prefix uint64, s *server, confidence float64) {
	e := t.use(prefix)
	place := &e.holders[0]
	for i := range e.holders {
		h := &e.holders[i]
		if h.server == s {
			confidence = max(confidence, h.certainty())
			place = h
			break
		}
		if h.certainty() < place.certainty() {
			place = h
		}
	}
	*place = holder{server: s, confidence: float32(confidence), missed: s.cacheMissed}
}

// evicted notes that a server no longer holds a prefix.
func (t *prefixTable) evicted(prefix uint64, s *server) {
	if e := t.find(prefix); e != nil {
		if h := e.holder(s); h != nil {
			*h = holder{}
		}
	}
}

// served takes over how much of a prompt a server took from its cache.
func (t *prefixTable) served(load Load, s *server, cached int) {
	e := t.find(load.Prefix)
	if e == nil || cached <= 0 {
		return
	}
	t.hint(load.Prefix, s, confidenceStored)
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

// sharedTokens estimates how many of a prompt's tokens are shared; known is
// the number that the caller gave, or zero.
func (e *prefixEntry) sharedTokens(prompt float64, known int) float64 {
	switch {
	case known > 0:
		return min(prompt, float64(known))
	case e != nil && e.shared > 0:
		return min(prompt, float64(e.shared))
	}
	return defaultSharedRatio * prompt
}

// maxMissed is the number of missing events after which a hint counts for
// nothing.
const maxMissed = 24

// certainty returns the confidence after the events missed since the hint.
func (h *holder) certainty() float64 {
	if h.server == nil || h.server.group == nil {
		return 0
	}
	c := float64(h.confidence)
	for range min(maxMissed, h.server.cacheMissed-h.missed) {
		c *= missedConfidence
	}
	return c
}

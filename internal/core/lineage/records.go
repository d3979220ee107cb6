package lineage

import "time"

// record says at which versions a stream has run.
type record struct {
	// first is the version that began the stream, and others those at which it
	// went on at other services.
	first  *version
	others []*version
	// noted is when the record was made here, and expires when it ends.
	noted, expires time.Duration
	source         Source
	ambiguous      bool
}

// at returns the version at which the stream ran at a service, or nil.
func (r *record) at(service string) *version {
	if r.first.Service == service {
		return r.first
	}
	for _, v := range r.others {
		if v.Service == service {
			return v
		}
	}
	return nil
}

// add adds a version. One service can't have two of them.
func (r *record) add(v *version) {
	switch known := r.at(v.Service); known {
	case nil:
		r.others = append(r.others, v)
	case v:
	default:
		r.ambiguous = true
	}
}

// Note records that a stream has run at a version and can be taken up for a time. A
// record that is known is extended; two versions of one service make it ambiguous.
func (b *Book) Note(now time.Duration, id StreamID, key Version, lifetime time.Duration, source Source) {
	b.Expect(lifetime)
	lifetime = max(lifetime, MinLifetime)
	v := b.claim(key, now+min(lifetime, maxClaim))
	expires := now + min(lifetime, StreamBound)
	r, known := b.records[id]
	switch {
	case !known:
		r = record{first: v, noted: now, source: source}
		b.order = append(b.order, id)
	case r.expires <= now:
		r = record{first: v, noted: now, source: source}
	default:
		r.add(v)
	}
	r.expires = max(r.expires, expires)
	b.records[id] = r
	b.evict()
}

// evict removes the oldest records beyond the limit.
func (b *Book) evict() {
	for len(b.records) > b.limit {
		delete(b.records, b.order[0])
		b.order = b.order[1:]
		b.evicted++
	}
}

// Expire forgets the records and versions whose time is over.
func (b *Book) Expire(now time.Duration) {
	kept := make([]StreamID, 0, len(b.order))
	for _, id := range b.order {
		if b.records[id].expires > now {
			kept = append(kept, id)
			continue
		}
		delete(b.records, id)
	}
	b.order = kept
	for key, v := range b.versions {
		if !v.live(now) {
			delete(b.versions, key)
		}
	}
}

// Len returns the number of records.
func (b *Book) Len() int { return len(b.records) }

// Evicted returns the number of records that were evicted before their time.
func (b *Book) Evicted() uint64 { return b.evicted }

package lineage

import "time"

// Snapshot is what one entry tells another one that has started. Times are relative, as
// entries share no clock.
type Snapshot struct {
	// Reach is how far back the history is complete.
	Reach time.Duration
	// Bound is the longest time for which a stream is expected to be taken up.
	Bound    time.Duration
	Versions []LiveVersion
	Streams  []LiveStream
}

// LiveVersion is a version that streams may have for a remaining time.
type LiveVersion struct {
	Version
	Left time.Duration
}

// LiveStream is a record with its remaining time. A stream that has run at several
// versions appears once for each.
type LiveStream struct {
	ID StreamID
	Version
	Left time.Duration
	// Ambiguous is true if the ID was used for streams of two versions.
	Ambiguous bool
}

// Snapshot returns the records and the history, oldest record first.
func (b *Book) Snapshot(now time.Duration) Snapshot {
	s := Snapshot{Reach: b.Reach(now), Bound: b.bound}
	for key, v := range b.versions {
		left := v.until - now
		if v.listed {
			left = max(left, unlistedUse+StreamBound)
		}
		if left > 0 {
			s.Versions = append(s.Versions, LiveVersion{key, left})
		}
	}
	for _, id := range b.order {
		r := b.records[id]
		left := r.expires - now
		if left <= 0 {
			continue
		}
		s.Streams = append(s.Streams, LiveStream{id, r.first.Version, left, r.ambiguous})
		for _, v := range r.others {
			s.Streams = append(s.Streams, LiveStream{id, v.Version, left, r.ambiguous})
		}
	}
	return s
}

// Own returns the records that this entry has made of its own streams since a time.
func (b *Book) Own(now, since time.Duration) []LiveStream {
	var list []LiveStream
	for i := len(b.order) - 1; i >= 0; i-- {
		id := b.order[i]
		r := b.records[id]
		if r.noted < since {
			break
		}
		if r.source == SourceOwn && r.expires > now {
			list = append(list, LiveStream{id, r.first.Version, r.expires - now, r.ambiguous})
		}
	}
	return list
}

// Merge adds another entry's snapshot, which was received at a time. The other's history
// counts only beside a list of this entry's own: that one tells what came since.
func (b *Book) Merge(now time.Duration, s Snapshot) {
	b.Expect(s.Bound)
	for _, v := range s.Versions {
		b.claim(v.Version, now+min(v.Left, maxClaim))
	}
	for _, stream := range s.Streams {
		b.Note(now, stream.ID, stream.Version, stream.Left, SourceStart)
		if stream.Ambiguous {
			r := b.records[stream.ID]
			r.ambiguous = true
			b.records[stream.ID] = r
		}
	}
	if b.fresh(now) && s.Reach > 0 {
		b.since = min(b.since, now-s.Reach)
	}
}

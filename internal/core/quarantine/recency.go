package quarantine

import "time"

// spot is a part at one release.
type spot struct {
	part    Part
	release Release
}

// recency holds the times at which answers last began, of about the latest limit spots. It
// forgets in halves, so that neither a lookup nor an addition takes long.
type recency struct {
	limit         int
	newer, former map[spot]time.Duration
}

func newRecency(limit int) *recency {
	return &recency{limit: limit, newer: make(map[spot]time.Duration)}
}

func (r *recency) note(s spot, at time.Duration) {
	if last, known := r.last(s); known && last >= at {
		return
	}
	if len(r.newer) >= r.limit/2 {
		r.newer, r.former = make(map[spot]time.Duration), r.newer
	}
	r.newer[s] = at
}

// last returns when an answer last began, and false if that is not known.
func (r *recency) last(s spot) (time.Duration, bool) {
	if at, known := r.newer[s]; known {
		return at, true
	}
	at, known := r.former[s]
	return at, known
}

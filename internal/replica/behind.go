package replica

import (
	"context"
	"slices"
	"strings"
	"time"

	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/periodic"
)

const (
	// inForceWithin is the time within which a committed revision must be in
	// force at every entry.
	inForceWithin = 2 * time.Second
	// behindInterval is how often the leader looks for entries that are behind.
	behindInterval = 500 * time.Millisecond
	// maxLoggedEntries bounds the entries named in one log line.
	maxLoggedEntries = 8
)

// behind tracks which live entries have not acknowledged a revision within
// inForceWithin of its commit. It is not safe for concurrent use.
type behind struct {
	// commits holds the due revision and the newer ones, each with the time at
	// which this replica, as leader, first saw it.
	commits []commit
	entries map[string]bool
}

type commit struct {
	revision uint64
	at       time.Time
}

// behindChange holds the entries that fell behind and those that caught up,
// sorted. Entries that are no longer live are in neither.
type behindChange struct {
	// due is the revision that every entry must have in force.
	due      uint64
	fell     []string
	caughtUp []string
}

// reset forgets everything. A replica that does not lead gets no
// acknowledgements.
func (b *behind) reset() { b.commits, b.entries = nil, nil }

// observe compares the live entries' acknowledged revisions with the committed
// revision.
func (b *behind) observe(revision uint64, live map[string]uint64, now time.Time) behindChange {
	if n := len(b.commits); n == 0 || b.commits[n-1].revision != revision {
		b.commits = append(b.commits, commit{revision, now})
	}
	for len(b.commits) > 1 && now.Sub(b.commits[1].at) > inForceWithin {
		b.commits = b.commits[1:]
	}
	if now.Sub(b.commits[0].at) <= inForceWithin {
		return behindChange{}
	}
	change := behindChange{due: b.commits[0].revision}
	late := make(map[string]bool)
	for process, acknowledged := range live {
		if acknowledged < change.due {
			late[process] = true
		}
	}
	for process := range late {
		if !b.entries[process] {
			change.fell = append(change.fell, process)
		}
	}
	for process := range b.entries {
		if _, ok := live[process]; ok && !late[process] {
			change.caughtUp = append(change.caughtUp, process)
		}
	}
	b.entries = late
	slices.Sort(change.fell)
	slices.Sort(change.caughtUp)
	return change
}

// runBehind logs and counts the entries that are behind while this replica
// leads.
func (r *Replica) runBehind(ctx context.Context) {
	var b behind
	periodic.Run(ctx, behindInterval, func() {
		if r.status().Role != replication.RoleLeader {
			b.reset()
			r.metrics.behind.Set(0)
			return
		}
		var revision uint64
		if r.runInLoop(ctx, func() { revision = r.machine.Revision() }) != nil {
			return
		}
		now := time.Now()
		change := b.observe(revision, r.acks.live(now), now)
		r.metrics.behind.Set(float64(len(b.entries)))
		if len(change.fell) > 0 {
			r.logger.Warn().Str("step", "entries behind").Uint64("revision", change.due).Int("entries", len(change.fell)).
				Str("processes", nameSome(change.fell)).Msg("entries have not acknowledged a configuration revision in time")
		}
		if len(change.caughtUp) > 0 {
			r.logger.Info().Str("step", "entries behind").Uint64("revision", change.due).Int("entries", len(change.caughtUp)).
				Str("processes", nameSome(change.caughtUp)).Msg("entries that were behind have acknowledged the configuration revision")
		}
	})
}

// nameSome joins at most maxLoggedEntries names.
func nameSome(names []string) string {
	return strings.Join(names[:min(len(names), maxLoggedEntries)], ",")
}

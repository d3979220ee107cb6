package replica

import (
	"slices"
	"sync"
	"time"
)

// ackLifetime is how long an acknowledgement counts if the entry sends no newer
// one.
const ackLifetime = 15 * time.Second

// ack is an entry's acknowledgement that it has a revision in force.
type ack struct {
	zone     string
	revision uint64
	at       time.Time
}

// acks holds the latest acknowledgement of each entry.
type acks struct {
	mu      sync.Mutex
	entries map[string]ack
	changed chan struct{}
}

func newAcks() *acks {
	return &acks{entries: make(map[string]ack), changed: make(chan struct{})}
}

// put stores an acknowledgement. The revision may be lower than before, if the
// entry has restarted. If it is another one than before, put closes the channel
// that zones returned.
func (a *acks) put(process, zone string, revision uint64, now time.Time) {
	if process == "" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.entries[process]
	a.entries[process] = ack{zone: zone, revision: revision, at: now}
	if revision != old.revision {
		close(a.changed)
		a.changed = make(chan struct{})
	}
}

// zones splits the zones into those in which every live entry has the revision
// in force and those that are pending. A zone without a live entry is pending.
// The channel is closed when an entry acknowledges another revision.
func (a *acks) zones(zones []string, revision uint64, now time.Time) (inForce, pending []string, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, zone := range zones {
		if a.zoneHas(zone, revision, now) {
			inForce = append(inForce, zone)
		} else {
			pending = append(pending, zone)
		}
	}
	slices.Sort(inForce)
	slices.Sort(pending)
	return inForce, pending, a.changed
}

// zoneHas reports whether a zone has live entries and all of them have the
// revision in force.
func (a *acks) zoneHas(zone string, revision uint64, now time.Time) bool {
	seen := false
	for _, entry := range a.entries {
		if entry.zone != zone || now.Sub(entry.at) > ackLifetime {
			continue
		}
		if entry.revision < revision {
			return false
		}
		seen = true
	}
	return seen
}

// live returns the revision that each live entry acknowledged last.
func (a *acks) live(now time.Time) map[string]uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	live := make(map[string]uint64, len(a.entries))
	for process, entry := range a.entries {
		if now.Sub(entry.at) <= ackLifetime {
			live[process] = entry.revision
		}
	}
	return live
}

// AckState is one entry's acknowledgement in the state dump.
type AckState struct {
	Zone     string  `json:"zone"`
	Revision uint64  `json:"revision"`
	AgeS     float64 `json:"age_s"`
}

func (a *acks) state(now time.Time) map[string]AckState {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := make(map[string]AckState, len(a.entries))
	for process, entry := range a.entries {
		state[process] = AckState{Zone: entry.zone, Revision: entry.revision, AgeS: now.Sub(entry.at).Seconds()}
	}
	return state
}

package membership

import "cmp"

// Kind is the kind of process that a VM runs.
type Kind string

// The kinds.
const (
	KindEntry   Kind = "entry"
	KindBackend Kind = "backend"
)

// Health is whether an entry answers probes, as agreed by the entries through
// gossip.
type Health uint8

// The health values, from best to worst.
const (
	Alive Health = iota
	Suspect
	Dead
)

// Record is what is known about one VM, in the form that entries exchange. The
// records of one entry, and the records of one instance of a backend server's VM,
// form a join semilattice under Merge.
type Record struct {
	Kind    Kind   `json:"kind"`
	VM      string `json:"vm"`
	Zone    string `json:"zone,omitempty"`
	Address string `json:"address,omitempty"`
	// Incarnation grows with each start of an entry. It is zero if unknown, and
	// for backend servers.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Instance is the platform's identifier of a start of a backend server's VM.
	// Instances have no order. It is empty if unknown, and for entries.
	Instance string `json:"instance,omitempty"`
	// Leaving never becomes false again within one incarnation.
	Leaving bool `json:"leaving,omitempty"`
	// DeadlineMS is when the VM is reclaimed, in milliseconds since 1970.
	// Zero means unknown.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Version orders values of Health. An entry refutes a wrong value by raising
	// its own version.
	Version uint64 `json:"version,omitempty"`
	Health  Health `json:"health,omitempty"`
}

// Merge merges two records of the same kind, VM and instance. A record with a higher
// incarnation replaces one with a lower incarnation. Merge is commutative,
// idempotent and associative.
func Merge(a, b Record) Record {
	if a.Incarnation > b.Incarnation {
		return a
	}
	if a.Incarnation < b.Incarnation {
		return b
	}
	a.Zone = max(a.Zone, b.Zone)
	a.Address = max(a.Address, b.Address)
	a.Leaving = a.Leaving || b.Leaving
	a.DeadlineMS = earliest(a.DeadlineMS, b.DeadlineMS)
	order := cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Health, b.Health))
	if order < 0 {
		a.Version, a.Health = b.Version, b.Health
	}
	return a
}

// earliest returns the earlier of two deadlines, where zero means unknown.
func earliest(a, b int64) int64 {
	if a == 0 || (b != 0 && b < a) {
		return b
	}
	return a
}

// State summarizes a record.
type State string

// The states of a VM.
const (
	StateUnknown State = "unknown"
	StateLive    State = "live"
	StateLeaving State = "leaving"
	StateSuspect State = "suspect"
	StateDead    State = "dead"
)

// State returns the record's state. Dead takes precedence over leaving, and leaving
// over suspect.
func (r Record) State() State {
	switch {
	case r.Health == Dead:
		return StateDead
	case r.Leaving:
		return StateLeaving
	case r.Health == Suspect:
		return StateSuspect
	}
	return StateLive
}

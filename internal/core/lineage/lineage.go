// Package lineage remembers which software version of a service began each stream, and
// decides at which version a stream may be taken up again.
//
// What two versions of a backend server generate does not fit together, and the servers
// do not check it. A caller may take a stream up at any entry, so each entry keeps a
// record of the streams that any of them began, and a history of the versions that each
// service has had. A stream of which neither says enough is refused, never guessed.
//
// Load pattern: some hundred streams begin each second in the whole deployment, each of
// them can be taken up for some seconds, and few of them are.
//
// All times are durations since an arbitrary start, in the clock of one entry; entries
// tell each other ages and remaining times. The package does no I/O and is not safe for
// concurrent use.
package lineage

import "time"

const (
	// StreamBound is the longest time from the beginning of a stream to its last
	// take-up that is provided for. Records are kept no longer, even if a caller waits
	// longer.
	StreamBound = 5 * time.Minute
	// MinLifetime is the shortest time for which a record is kept.
	MinLifetime = 30 * time.Second
	// maxClaim bounds for how long a stream with a longer lifetime keeps its version
	// in the history.
	maxClaim = 24 * time.Hour
	// unlistedUse is how long a server may still begin streams after it was last
	// listed: it ends its work, and entries with older lists still send to it.
	unlistedUse = time.Minute
	// maxListAge is the age up to which a list is taken for the present one.
	maxListAge = 3 * time.Second
	// maxListGap is the time between two lists up to which no version is assumed to
	// have come and gone in between.
	maxListGap = 10 * time.Second
	// MaxRecords bounds the records of one entry; beyond it the oldest are evicted.
	MaxRecords = 1 << 17
)

// StreamID identifies a stream: a hash of its customer and of the ID of the caller's
// attempt that brought its first event.
type StreamID uint64

// Version is one software version of a service.
type Version struct {
	Service string
	// Name is the version as the platform's list names it. The empty name is a
	// version of its own.
	Name string
}

// Source is how an entry knows the version of a stream.
type Source string

// The sources.
const (
	// SourceOwn means that this entry served the stream.
	SourceOwn Source = "own"
	// SourceEntry means that the entry that served the stream has told it.
	SourceEntry Source = "entry"
	// SourceStart means that this entry asked another one after its start.
	SourceStart Source = "start"
	// SourceHistory means that the service has had one version only for as long as
	// a stream can last.
	SourceHistory Source = "history"
)

// Outcome is what a take-up may do.
type Outcome uint8

// The outcomes.
const (
	// Unknown means that the stream must not go on: its version is not known.
	Unknown Outcome = iota
	// Pinned means that the stream may go on at one version only.
	Pinned
	// Elsewhere means that the stream began at another service, so that no
	// version of this one is bound yet.
	Elsewhere
)

// Reason is why the version of a stream is not known.
type Reason string

// The reasons.
const (
	// ReasonUnnamed means that the caller does not name the stream.
	ReasonUnnamed Reason = "stream-not-named"
	// ReasonNoRecord means that no record of the stream is known.
	ReasonNoRecord Reason = "stream-not-known"
	// ReasonAmbiguous means that one ID was used for streams of two versions.
	ReasonAmbiguous Reason = "stream-ambiguous"
	// ReasonUnchecked means that the service has one version by a list that may be out of date.
	ReasonUnchecked Reason = "list-not-checked"
)

// Decision says where a stream may go on.
type Decision struct {
	Outcome Outcome
	// Version is the version of a pinned stream.
	Version string
	// Source is how the decision is known; empty if it is Unknown.
	Source Source
	// Age is the time since the record was made here; zero without a record.
	Age time.Duration
	// Reason says why the outcome is Unknown.
	Reason Reason
}

// Book holds the records and the history of one entry.
type Book struct {
	versions map[Version]*version
	records  map[StreamID]record
	// order holds the IDs of all records, oldest first.
	order   []StreamID
	limit   int
	evicted uint64
	// since is the time from which the history is complete, and readAt when the
	// latest list was read. They are valid if listed is true.
	since, readAt time.Duration
	listed        bool
	// checkedAt is the latest time at which the list in use was the newest that any entry could have.
	checkedAt time.Duration
	// bound is the longest time for which a stream is expected to be taken up.
	bound  time.Duration
	resets uint64
}

// New returns an empty Book.
func New() *Book {
	return &Book{versions: make(map[Version]*version), records: make(map[StreamID]record), limit: MaxRecords}
}

// Expect records that streams can be taken up for a time.
func (b *Book) Expect(lifetime time.Duration) {
	b.bound = max(b.bound, min(lifetime, StreamBound))
}

// Decide says where a stream may be taken up at a service. named is false if the caller
// does not name the stream.
func (b *Book) Decide(now time.Duration, id StreamID, named bool, service string) Decision {
	if named {
		if decision, ok := b.recorded(now, id, service); ok {
			return decision
		}
	}
	if name, ok := b.single(now, service); ok {
		return Decision{Outcome: Pinned, Version: name, Source: SourceHistory}
	}
	if !named {
		return Decision{Reason: ReasonUnnamed}
	}
	return Decision{Reason: ReasonNoRecord}
}

// TakeUp is Decide for a take-up that arrived at a time. That a service has one version only
// must have been checked since then: while this entry was out of touch, servers of another version
// may have joined, and the stream may have begun at them through an entry that knows them.
func (b *Book) TakeUp(now, arrived time.Duration, id StreamID, named bool, service string) Decision {
	decision := b.Decide(now, id, named, service)
	// Where no version has a name, there is none to tell apart.
	if decision.Source == SourceHistory && decision.Version != "" && !b.CheckedSince(arrived) {
		return Decision{Reason: ReasonUnchecked}
	}
	return decision
}

// Checked records that at a time the list in use was the newest that any entry could have. Reading a
// list from the platform is such a check.
func (b *Book) Checked(at time.Duration) { b.checkedAt = max(b.checkedAt, at) }

// CheckedSince reports whether the list was checked at a time or later.
func (b *Book) CheckedSince(at time.Duration) bool { return b.listed && b.checkedAt >= at }

// recorded decides by the stream's record. It returns false if there is none.
func (b *Book) recorded(now time.Duration, id StreamID, service string) (Decision, bool) {
	r, ok := b.records[id]
	if !ok || r.expires <= now {
		return Decision{}, false
	}
	if r.ambiguous {
		return Decision{Reason: ReasonAmbiguous}, true
	}
	decision := Decision{Outcome: Elsewhere, Source: r.source, Age: now - r.noted}
	if v := r.at(service); v != nil {
		decision.Outcome, decision.Version = Pinned, v.Name
	}
	return decision, true
}

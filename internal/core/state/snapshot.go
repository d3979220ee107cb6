package state

import (
	"iter"
	"slices"

	"waxwingcart/internal/core/fleet"
)

// Snapshot is an immutable copy of a machine's state. It may be read by another
// goroutine while the machine applies more commands.
type Snapshot struct {
	Applied  uint64
	TimeMS   int64
	Revision uint64
	// Last is the newest accepted change, without its items.
	Last  Delta
	Items map[string][]byte
	// History holds the newest deltas in ascending order of revision.
	History []Delta
	// ChangeAnswers and Tombstones are ordered from oldest to newest.
	ChangeAnswers []ChangeAnswer
	Tombstones    []Tombstone
	// Records holds the records of a decoded snapshot, ordered by key hash. It
	// is empty in a snapshot taken from a machine; use AllRecords for both.
	Records []StoredRecord
	// frozen holds the records of a snapshot taken from a machine, and count
	// is their number.
	frozen frozen
	count  int
}

// StoredRecord is an idempotency record in a snapshot.
type StoredRecord struct {
	// KeyHash and Digest are the first 16 bytes of SHA-256 hashes.
	KeyHash      [16]byte
	Digest       [16]byte
	RequestID    string
	Owner        Owner
	OwnerAddress string
	State        RecordState
	Answer       *Answer
	// Expiry is the time from which the record may be dropped, in units of
	// 10 s since 1970.
	Expiry uint32
}

// RecordCount returns the number of records.
func (s *Snapshot) RecordCount() int { return s.count + len(s.Records) }

// AllRecords yields all records, ordered by key hash. Each call sorts the
// records of a snapshot taken from a machine.
func (s *Snapshot) AllRecords() iter.Seq[StoredRecord] {
	return func(yield func(StoredRecord) bool) {
		for rec := range s.frozen.inOrder() {
			if !yield(rec.stored()) {
				return
			}
		}
		for _, rec := range s.Records {
			if !yield(rec) {
				return
			}
		}
	}
}

// Snapshot returns a copy of the state. It shares the records with the machine,
// which copies them before it changes them, so that taking a snapshot is fast
// at any number of records.
func (m *Machine) Snapshot() *Snapshot {
	s := &Snapshot{
		Applied:    m.applied,
		TimeMS:     m.timeMS,
		Revision:   m.config.revision,
		Last:       m.config.last,
		Items:      m.config.copyItems(),
		History:    slices.Clip(m.config.history),
		Tombstones: slices.Clip(m.records.tombstones.order),
		frozen:     m.records.store.freeze(),
		count:      m.records.count(),
	}
	for _, id := range m.config.answerOrder {
		s.ChangeAnswers = append(s.ChangeAnswers, m.config.answers[id])
	}
	return s
}

func (rec *record) stored() StoredRecord {
	return StoredRecord{
		KeyHash:      rec.key,
		Digest:       rec.digest,
		RequestID:    rec.requestID,
		Owner:        rec.owner.id,
		OwnerAddress: rec.owner.address,
		State:        rec.state,
		Answer:       rec.answer,
		Expiry:       rec.expiry,
	}
}

// Restore replaces the machine's state with that of a snapshot.
func (m *Machine) Restore(s *Snapshot) {
	*m = *New(m.options)
	m.applied = s.Applied
	m.timeMS = s.TimeMS
	m.config.restore(s)
	m.records.restore(s)
}

func (c *config) restore(s *Snapshot) {
	c.revision = s.Revision
	c.last = s.Last
	for path, json := range s.Items {
		c.put(fleet.Item{Path: path, JSON: json})
	}
	c.history = slices.Clone(s.History)
	for _, delta := range c.history {
		c.historyBytes += deltaBytes(delta)
	}
	for _, answer := range s.ChangeAnswers {
		c.keepAnswer(answer)
	}
}

func (r *records) restore(s *Snapshot) {
	for _, tombstone := range s.Tombstones {
		r.tombstones.insert(tombstone)
	}
	for rec := range s.AllRecords() {
		r.restoreRecord(&rec)
	}
}

func (r *records) restoreRecord(s *StoredRecord) {
	slot := r.store.allocate()
	*r.store.edit(slot) = record{
		key:       s.KeyHash,
		digest:    s.Digest,
		requestID: s.RequestID,
		owner:     r.intern(s.Owner, s.OwnerAddress),
		answer:    s.Answer,
		expiry:    s.Expiry,
		state:     s.State,
	}
	r.slots[s.KeyHash] = slot
	r.queue.push(&r.store, slot, s.Expiry)
	if s.Answer != nil {
		r.answerBytes += int64(len(s.Answer.Body))
	}
}

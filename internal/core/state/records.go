package state

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"slices"
)

const (
	// expiryUnitMS is the resolution of expiry times, in milliseconds. A
	// record is kept up to one unit longer than its retention.
	expiryUnitMS = 10_000
	// TombstoneMS is how long the tombstone of an expired key is kept after
	// its record was dropped, in milliseconds: 7 days.
	TombstoneMS = 7 * 24 * 60 * 60 * 1_000
	// MaxRetentionMS is the longest retention of a record, in milliseconds: 7
	// days, the same limit as in the fleet configuration.
	MaxRetentionMS = 7 * 24 * 60 * 60 * 1_000
	// expireLimit is the number of dropped records after which one Expire
	// stops.
	expireLimit = 20_000
)

// keyHash is a truncated hash that identifies a Key in memory.
type keyHash [16]byte

// none marks the end of a list of slots. It is the largest uint32.
const none = ^uint32(0)

// record is one idempotency record. Its size determines the memory use, since
// there can be millions of records.
type record struct {
	key    keyHash
	digest [16]byte
	// requestID identifies the attempt that holds or held the reservation.
	requestID string
	owner     *owner
	answer    *Answer
	// expiry is the time from which the record may be dropped, in units of
	// expiryUnitMS since 1970.
	expiry uint32
	// next is the next slot in a list of the expiry queue or in the free list.
	next  uint32
	state RecordState
}

// owner is shared by all records with the same owner, to save memory.
type owner struct {
	id      Owner
	address string
	// records is the number of records that refer to the owner.
	records int
}

type ownerKey struct {
	id      Owner
	address string
}

// records holds the idempotency records by key. Each record is in exactly one
// list of the expiry queue, at its expiry or earlier.
type records struct {
	options    Options
	slots      map[keyHash]uint32
	store      store
	owners     map[ownerKey]*owner
	queue      expiryQueue
	tombstones tombstones
	// answerBytes is the size of all stored bodies.
	answerBytes int64
}

func newRecords(options Options) records {
	return records{
		options:    options,
		slots:      make(map[keyHash]uint32),
		store:      newStore(),
		owners:     make(map[ownerKey]*owner),
		queue:      newExpiryQueue(),
		tombstones: newTombstones(options.TombstoneLimit),
	}
}

func hashKey(key Key) keyHash {
	h := sha256.New()
	writeLengthPrefixed(h, key.Customer)
	writeLengthPrefixed(h, key.Service)
	writeLengthPrefixed(h, key.Key)
	return keyHash(h.Sum(nil)[:16])
}

func writeLengthPrefixed(h hash.Hash, s string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(s)))
	h.Write(length[:])
	h.Write([]byte(s))
}

func (r *records) count() int { return len(r.slots) }

// find returns the record of a key for reading, or nil.
func (r *records) find(key keyHash) *record {
	slot, ok := r.slots[key]
	if !ok {
		return nil
	}
	return r.store.at(slot)
}

// edit returns the record of a key for writing, or nil.
func (r *records) edit(key keyHash) *record {
	slot, ok := r.slots[key]
	if !ok {
		return nil
	}
	return r.store.edit(slot)
}

func (r *records) lookup(key keyHash) RecordView {
	rec := r.find(key)
	if rec != nil {
		return rec.view()
	}
	if r.tombstones.contains(key) {
		return RecordView{State: RecordExpired}
	}
	return RecordView{}
}

func (rec *record) view() RecordView {
	return RecordView{
		State:        rec.state,
		Owner:        rec.owner.id,
		OwnerAddress: rec.owner.address,
		RequestID:    rec.requestID,
		Answer:       rec.answer,
	}
}

// heldBy reports whether the attempt holds or held the reservation.
func (rec *record) heldBy(owner Owner, requestID string) bool {
	return rec.owner.id == owner && rec.requestID == requestID
}

func (r *records) reserve(timeMS int64, c Reserve) ReserveResult {
	key := hashKey(c.Key)
	digest := [16]byte(c.Digest[:16])
	expiry := unitCeil(timeMS + min(max(0, c.RetentionMS), MaxRetentionMS))
	rec := r.edit(key)
	if rec == nil {
		return r.reserveNew(key, digest, expiry, c)
	}
	if rec.digest != digest {
		return ReserveResult{Mismatch: true, Record: rec.view()}
	}
	held := rec.heldBy(c.Owner, c.RequestID)
	switch {
	case rec.state == RecordReserved && held:
		rec.expiry = max(rec.expiry, expiry)
		return ReserveResult{Granted: true, Record: rec.view()}
	case rec.state == RecordNotRun && !held:
		r.release(rec)
		r.assign(rec, expiry, c)
		return ReserveResult{Granted: true, Record: rec.view()}
	}
	return ReserveResult{Record: rec.view()}
}

func (r *records) reserveNew(key keyHash, digest [16]byte, expiry uint32, c Reserve) ReserveResult {
	if r.tombstones.contains(key) {
		return ReserveResult{Record: RecordView{State: RecordExpired}}
	}
	if len(r.slots) >= r.options.RecordLimit {
		return ReserveResult{Full: true}
	}
	slot := r.store.allocate()
	rec := r.store.edit(slot)
	rec.key = key
	rec.digest = digest
	r.assign(rec, expiry, c)
	r.slots[key] = slot
	r.queue.push(&r.store, slot, rec.expiry)
	return ReserveResult{Granted: true, Record: rec.view()}
}

// assign reserves the record for the command's owner. The expiry must never be
// lowered: the queue would drop the record only at the later unit that lists it.
func (r *records) assign(rec *record, expiry uint32, c Reserve) {
	rec.state = RecordReserved
	rec.requestID = c.RequestID
	rec.expiry = max(rec.expiry, expiry)
	rec.owner = r.intern(c.Owner, c.OwnerAddress)
}

// release removes the record's references to its owner and its answer.
func (r *records) release(rec *record) {
	rec.owner.records--
	if rec.owner.records == 0 {
		delete(r.owners, ownerKey{rec.owner.id, rec.owner.address})
	}
	rec.owner = nil
	if rec.answer != nil {
		r.answerBytes -= int64(len(rec.answer.Body))
		rec.answer = nil
	}
}

// intern returns the shared owner and counts one more record that refers to it.
func (r *records) intern(id Owner, address string) *owner {
	key := ownerKey{id, address}
	o := r.owners[key]
	if o == nil {
		o = &owner{id: id, address: address}
		r.owners[key] = o
	}
	o.records++
	return o
}

func (r *records) record(c RecordOutcome) RecordOutcomeResult {
	key := hashKey(c.Key)
	rec := r.edit(key)
	if rec == nil {
		return RecordOutcomeResult{State: r.lookup(key).State}
	}
	if !rec.heldBy(c.Owner, c.RequestID) || !isOutcome(c) {
		return RecordOutcomeResult{State: rec.state}
	}
	if rec.state == RecordReserved {
		rec.state = c.State
		rec.answer = r.limitAnswer(c.Answer)
	}
	return RecordOutcomeResult{Accepted: rec.state == c.State, State: rec.state}
}

// isOutcome reports whether the command's state is an outcome, with an answer
// for RecordAnswered and without one otherwise.
func isOutcome(c RecordOutcome) bool {
	switch c.State {
	case RecordAnswered:
		return c.Answer != nil
	case RecordNotRun, RecordUnknown:
		return c.Answer == nil
	}
	return false
}

// limitAnswer returns a copy of the answer with the body truncated to the limits
// and adds its size to answerBytes.
func (r *records) limitAnswer(answer *Answer) *Answer {
	if answer == nil {
		return nil
	}
	stored := *answer
	limit := min(int64(r.options.AnswerBytes), max(0, r.options.AnswerTotalBytes-r.answerBytes))
	if int64(len(stored.Body)) > limit {
		stored.Truncated = true
		stored.Body = slices.Clone(stored.Body[:limit])
	}
	r.answerBytes += int64(len(stored.Body))
	return &stored
}

func (r *records) expire(timeMS, beforeMS int64) ExpireResult {
	r.tombstones.dropBefore(unitFloor(timeMS))
	before := unitFloor(beforeMS)
	var result ExpireResult
	for !r.queue.empty() && r.queue.firstUnit() < before {
		if result.Dropped >= expireLimit {
			result.More = true
			return result
		}
		result.Dropped += r.expireUnit(timeMS, r.queue.firstUnit())
	}
	return result
}

// expireUnit removes the queue's first unit and drops its records. Records whose
// expiry was extended after they were queued are queued again at the later unit.
func (r *records) expireUnit(timeMS int64, unit uint32) int {
	var expired []uint32
	slot := r.queue.pop()
	for slot != none {
		rec := r.store.at(slot)
		next := rec.next
		if rec.expiry > unit {
			r.queue.push(&r.store, slot, rec.expiry)
		} else {
			expired = append(expired, slot)
		}
		slot = next
	}
	// The order of the tombstones must be the same on every replica. The order
	// of the list is not: a restored replica queues its records by key.
	slices.SortFunc(expired, func(a, b uint32) int {
		return slices.Compare(r.store.at(a).key[:], r.store.at(b).key[:])
	})
	for _, slot := range expired {
		r.drop(timeMS, slot)
	}
	return len(expired)
}

// drop removes a record and leaves a tombstone for its key. A request that is
// known not to have run needs none, as it is safe to run it later.
func (r *records) drop(timeMS int64, slot uint32) {
	rec := r.store.edit(slot)
	if rec.state != RecordNotRun {
		r.tombstones.add(rec.key, unitCeil(timeMS+TombstoneMS))
	}
	delete(r.slots, rec.key)
	r.release(rec)
	r.store.release(slot)
}

// unitCeil returns a time in units of expiryUnitMS, rounded up.
func unitCeil(ms int64) uint32 {
	return clampUnit((ms + expiryUnitMS - 1) / expiryUnitMS)
}

// unitFloor returns a time in units of expiryUnitMS, rounded down. Everything
// that expires in an earlier unit has expired by then.
func unitFloor(ms int64) uint32 {
	return clampUnit(ms / expiryUnitMS)
}

func clampUnit(units int64) uint32 {
	return uint32(min(max(units, 0), int64(none)))
}

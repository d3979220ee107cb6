package state

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"slices"
)

const (
	// expiryUnitMS is the resolution of expiry times, in milliseconds. A
	// record lives up to one unit longer than its retention.
	expiryUnitMS = 10_000
	// TombstoneMS is how long an expired key is remembered after its record
	// was dropped, in milliseconds: 7 days.
	TombstoneMS = 7 * 24 * 60 * 60 * 1_000
	// MaxRetentionMS bounds the retention of a record, in milliseconds, as the
	// fleet configuration does: 7 days.
	MaxRetentionMS = 7 * 24 * 60 * 60 * 1_000
	// expireLimit is the number of records after which one Expire stops.
	expireLimit = 20_000
)

// keyHash stands for a key in memory.
type keyHash [16]byte

// none ends a list of slots.
const none = ^uint32(0)

// record is one idempotency record. Its size decides the memory at many
// records.
type record struct {
	key    keyHash
	digest [16]byte
	// requestID names the attempt that holds or held the reservation.
	requestID string
	owner     *owner
	answer    *Answer
	// expiry is the time at which the record may be dropped, in units of
	// expiryUnitMS since 1970.
	expiry uint32
	// next is the following slot in the expiry queue or the free list.
	next  uint32
	state RecordState
}

// owner is shared by the records of one entry.
type owner struct {
	id      Owner
	address string
	records int
}

type ownerKey struct {
	id      Owner
	address string
}

// records holds the idempotency records by key. Each record is in one list of
// the expiry queue, at its expiry or earlier.
type records struct {
	options     Options
	slots       map[keyHash]uint32
	store       store
	owners      map[ownerKey]*owner
	queue       expiryQueue
	tombstones  tombstones
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

// find returns a key's record for reading, or nil.
func (r *records) find(key keyHash) *record {
	slot, ok := r.slots[key]
	if !ok {
		return nil
	}
	return r.store.at(slot)
}

// edit returns a key's record for writing, or nil.
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

func (rec *record) heldBy(owner Owner, requestID string) bool {
	return rec.owner.id == owner && rec.requestID == requestID
}

func (r *records) reserve(timeMS int64, c Reserve) ReserveResult {
	key := hashKey(c.Key)
	digest := [16]byte(c.Digest[:16])
	expiry := expiryUnit(timeMS + min(max(0, c.RetentionMS), MaxRetentionMS))
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
		r.take(rec, expiry, c)
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
	r.take(rec, expiry, c)
	r.slots[key] = slot
	r.queue.push(&r.store, slot, rec.expiry)
	return ReserveResult{Granted: true, Record: rec.view()}
}

// take gives the record to the command's owner. Its expiry only moves on, as
// the queue finds it no earlier than where it is listed.
func (r *records) take(rec *record, expiry uint32, c Reserve) {
	rec.state = RecordReserved
	rec.requestID = c.RequestID
	rec.expiry = max(rec.expiry, expiry)
	rec.owner = r.intern(c.Owner, c.OwnerAddress)
}

// release drops the record's references.
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

func (r *records) record(c Record) RecordResult {
	key := hashKey(c.Key)
	rec := r.edit(key)
	if rec == nil {
		return RecordResult{State: r.lookup(key).State}
	}
	if !rec.heldBy(c.Owner, c.RequestID) || !isOutcome(c) {
		return RecordResult{State: rec.state}
	}
	if rec.state == RecordReserved {
		rec.state = c.State
		rec.answer = r.keep(c.Answer)
	}
	return RecordResult{Accepted: rec.state == c.State, State: rec.state}
}

// isOutcome reports whether the command's state is an outcome and has an
// answer exactly if it must.
func isOutcome(c Record) bool {
	switch c.State {
	case RecordAnswered:
		return c.Answer != nil
	case RecordNotRun, RecordUnknown:
		return c.Answer == nil
	}
	return false
}

// keep returns the answer within the limits.
func (r *records) keep(answer *Answer) *Answer {
	if answer == nil {
		return nil
	}
	kept := *answer
	limit := min(int64(r.options.AnswerBytes), max(0, r.options.AnswerTotalBytes-r.answerBytes))
	if int64(len(kept.Body)) > limit {
		kept.Truncated = true
		kept.Body = slices.Clone(kept.Body[:limit])
	}
	r.answerBytes += int64(len(kept.Body))
	return &kept
}

func (r *records) expire(timeMS, beforeMS int64) ExpireResult {
	r.tombstones.dropBefore(expiredUnit(timeMS))
	before := expiredUnit(beforeMS)
	var result ExpireResult
	for !r.queue.empty() && r.queue.first() < before {
		if result.Dropped >= expireLimit {
			result.More = true
			return result
		}
		result.Dropped += r.expireUnit(timeMS, r.queue.first())
	}
	return result
}

// expireUnit drops the records of the queue's first unit and moves those that
// were reserved anew to their later expiry.
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
	// Tombstones are kept in order of age, which must be the same on every
	// replica.
	slices.SortFunc(expired, func(a, b uint32) int {
		return slices.Compare(r.store.at(a).key[:], r.store.at(b).key[:])
	})
	for _, slot := range expired {
		r.drop(timeMS, slot)
	}
	return len(expired)
}

// drop removes a record. A key that is known not to have run needs no
// tombstone.
func (r *records) drop(timeMS int64, slot uint32) {
	rec := r.store.edit(slot)
	if rec.state != RecordNotRun {
		r.tombstones.add(rec.key, expiryUnit(timeMS+TombstoneMS))
	}
	delete(r.slots, rec.key)
	r.release(rec)
	r.store.release(slot)
}

// expiryUnit rounds a time up to units.
func expiryUnit(ms int64) uint32 {
	return clampUnit((ms + expiryUnitMS - 1) / expiryUnitMS)
}

// expiredUnit returns the unit that a time is in. What expires in an earlier
// unit is over.
func expiredUnit(ms int64) uint32 {
	return clampUnit(ms / expiryUnitMS)
}

func clampUnit(units int64) uint32 {
	return uint32(min(max(units, 0), int64(none)))
}

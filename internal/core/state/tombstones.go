package state

import "encoding/binary"

// Tombstone marks a key whose record expired.
type Tombstone struct {
	// Hash is the first 8 bytes of the key's hash.
	Hash uint64
	// Until is the time after which the tombstone is dropped, in units of 10 s
	// since 1970.
	Until uint32
}

// tombstones holds a bounded number of tombstones. When it is full, the oldest one
// is dropped.
type tombstones struct {
	limit  int
	hashes map[uint64]struct{}
	// order lists the tombstones from oldest to newest, which is also in
	// ascending order of Until. Snapshots share its elements, so they are never
	// overwritten.
	order []Tombstone
}

func newTombstones(limit int) tombstones {
	return tombstones{limit: limit, hashes: make(map[uint64]struct{})}
}

func tombstoneHash(key keyHash) uint64 { return binary.BigEndian.Uint64(key[:8]) }

func (t *tombstones) contains(key keyHash) bool {
	_, ok := t.hashes[tombstoneHash(key)]
	return ok
}

func (t *tombstones) add(key keyHash, until uint32) {
	if t.contains(key) {
		return
	}
	t.insert(Tombstone{Hash: tombstoneHash(key), Until: until})
}

func (t *tombstones) insert(tombstone Tombstone) {
	t.hashes[tombstone.Hash] = struct{}{}
	t.order = append(t.order, tombstone)
	for len(t.order) > t.limit {
		t.dropOldest()
	}
}

func (t *tombstones) dropBefore(unit uint32) {
	for len(t.order) > 0 && t.order[0].Until < unit {
		t.dropOldest()
	}
}

func (t *tombstones) dropOldest() {
	delete(t.hashes, t.order[0].Hash)
	t.order = t.order[1:]
}

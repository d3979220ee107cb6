package state

import "encoding/binary"

// Tombstone remembers an expired key by the first 8 bytes of its hash.
type Tombstone struct {
	Hash uint64
	// Until is when it is dropped, in units of 10 s since 1970.
	Until uint32
}

// tombstones is a bounded set of expired keys. When it is full, the oldest is
// dropped.
type tombstones struct {
	limit  int
	hashes map[uint64]struct{}
	// order lists them from the oldest on. Until never goes down in it.
	// Snapshots share its elements, so they are not overwritten.
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

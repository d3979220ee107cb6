package state

import (
	"iter"
	"slices"
)

// slabRecords is the number of records in a slab, the unit of allocation and of
// copy-on-write.
const slabRecords = 256

// slab is a block of records. Slabs of earlier epochs are shared with snapshots
// and must not be written.
type slab struct {
	epoch   uint64
	records [slabRecords]record
}

// store holds records by slot. A record in use has a state other than
// RecordNone.
type store struct {
	slabs []*slab
	// epoch is the number of freezes.
	epoch uint64
	// free is the first slot of the free list, and used is the number of slots
	// that were ever allocated.
	free uint32
	used uint32
}

func newStore() store { return store{free: none} }

// at returns a record for reading.
func (s *store) at(slot uint32) *record {
	return &s.slabs[slot/slabRecords].records[slot%slabRecords]
}

// edit returns a record for writing and copies its slab first if that is shared
// with a snapshot. The pointer is valid until the next freeze.
func (s *store) edit(slot uint32) *record {
	i := slot / slabRecords
	if s.slabs[i].epoch != s.epoch {
		copied := *s.slabs[i]
		copied.epoch = s.epoch
		s.slabs[i] = &copied
	}
	return &s.slabs[i].records[slot%slabRecords]
}

func (s *store) allocate() uint32 {
	if s.free != none {
		slot := s.free
		rec := s.edit(slot)
		s.free = rec.next
		*rec = record{}
		return slot
	}
	if s.used%slabRecords == 0 {
		s.slabs = append(s.slabs, &slab{epoch: s.epoch})
	}
	s.used++
	return s.used - 1
}

func (s *store) release(slot uint32) {
	*s.edit(slot) = record{next: s.free}
	s.free = slot
}

// freeze returns the current records as an immutable set. The store copies a
// slab before the next write to it.
func (s *store) freeze() frozen {
	s.epoch++
	return frozen{slabs: slices.Clone(s.slabs)}
}

// frozen is an immutable set of records.
type frozen struct{ slabs []*slab }

// inOrder yields the records, ordered by key hash.
func (f frozen) inOrder() iter.Seq[*record] {
	return func(yield func(*record) bool) {
		var sorted []*record
		for _, slab := range f.slabs {
			for i := range slab.records {
				if slab.records[i].state != RecordNone {
					sorted = append(sorted, &slab.records[i])
				}
			}
		}
		slices.SortFunc(sorted, func(a, b *record) int {
			return slices.Compare(a.key[:], b.key[:])
		})
		for _, rec := range sorted {
			if !yield(rec) {
				return
			}
		}
	}
}

package state

import (
	"iter"
	"slices"
)

// slabRecords is the number of records that are allocated, and copied on
// write, at once.
const slabRecords = 256

// slab is a block of records. A snapshot shares the slabs of earlier epochs,
// so they are not written any more.
type slab struct {
	epoch   uint64
	records [slabRecords]record
}

// store holds records by slot. A record that is in use has a state other than
// RecordNone.
type store struct {
	slabs []*slab
	epoch uint64
	// free is the first released slot; used counts the slots ever allocated.
	free uint32
	used uint32
}

func newStore() store { return store{free: none} }

// at returns a record for reading.
func (s *store) at(slot uint32) *record {
	return &s.slabs[slot/slabRecords].records[slot%slabRecords]
}

// edit returns a record for writing. It is valid until the next freeze.
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

// freeze returns the records as they are now. The store goes on with copies.
func (s *store) freeze() frozen {
	s.epoch++
	return frozen{slabs: slices.Clone(s.slabs)}
}

// frozen is a set of records that does not change.
type frozen struct{ slabs []*slab }

// inOrder yields the records in order of key.
func (f frozen) inOrder() iter.Seq[*record] {
	return func(yield func(*record) bool) {
		var list []*record
		for _, slab := range f.slabs {
			for i := range slab.records {
				if slab.records[i].state != RecordNone {
					list = append(list, &slab.records[i])
				}
			}
		}
		slices.SortFunc(list, func(a, b *record) int {
			return slices.Compare(a.key[:], b.key[:])
		})
		for _, rec := range list {
			if !yield(rec) {
				return
			}
		}
	}
}

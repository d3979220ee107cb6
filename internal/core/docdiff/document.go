// Package docdiff splits a JSON document into the elements of its top-level arrays, and
// computes and applies the difference of two documents.
//
// A Document holds the exact bytes of its text. Documents are immutable and share the parts
// in which they agree, so that a document that differs from another one in a few elements
// takes time and memory in proportion to these. The package depends on no names of members.
package docdiff

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
)

// Digest is a SHA-256 hash over the exact text of a document, computed as a tree: the
// hash of the skeleton and of the hashes of groups of elements. A hash of the whole
// text would have to be computed anew over all of it after every change.
type Digest [sha256.Size]byte

// Document is the text of a JSON document. If the text is an object, the elements of the
// arrays that are its members are held separately.
type Document struct {
	// skeleton is the text without the elements, cut where each array's elements belong:
	// it has one part more than there are arrays.
	skeleton [][]byte
	// arrays holds the elements in the order of the text.
	arrays []*Array
	digest Digest
	size   int
}

// Array is the elements of one array.
type Array struct {
	// Name is the name of the member, decoded.
	Name   string
	groups []*group
	count  int
}

// group is a run of consecutive elements. Where it ends depends on the elements alone, so that equal
// documents have equal groups, however they were made.
type group struct {
	// text holds the elements, each with the separator that follows it.
	text []byte
	// ends are the ends of the elements in text.
	ends   []uint32
	digest Digest
	// closed is true if the group ends because of its last element, and false if it ends
	// because the array does.
	closed bool
}

const (
	// groupMask selects the elements that end a group: one in groupMask+1 on average. With 64, 20,000
	// elements form some 300 groups: a change costs as much for hashing one group as for the list of all.
	groupMask = 63
	// maxGroup bounds the elements of a group.
	maxGroup = 512
)

// Digest identifies the text.
func (d *Document) Digest() Digest { return d.digest }

// Size is the length of the text in bytes.
func (d *Document) Size() int { return d.size }

// Bytes returns the text.
func (d *Document) Bytes() []byte { return d.AppendTo(make([]byte, 0, d.size)) }

// AppendTo appends the text to a buffer.
func (d *Document) AppendTo(buffer []byte) []byte {
	for i, part := range d.skeleton {
		buffer = append(buffer, part...)
		if i == len(d.arrays) {
			break
		}
		for _, g := range d.arrays[i].groups {
			buffer = append(buffer, g.text...)
		}
	}
	return buffer
}

// Slice returns the text from one position to another one, which must be in ascending order
// and not negative. It is shorter if the text ends before.
func (d *Document) Slice(from, to int) []byte {
	part := make([]byte, 0, min(to, d.size)-min(from, d.size))
	at := 0
	add := func(text []byte) {
		if first, end := max(from-at, 0), min(to-at, len(text)); first < end {
			part = append(part, text[first:end]...)
		}
		at += len(text)
	}
	for i, text := range d.skeleton {
		add(text)
		if i == len(d.arrays) {
			break
		}
		for _, g := range d.arrays[i].groups {
			add(g.text)
		}
	}
	return part
}

// SharedSize returns how many bytes of the text the document shares with an earlier one,
// which may be nil.
func (d *Document) SharedSize(earlier *Document) int {
	held := earlier.groups()
	shared := 0
	for _, array := range d.arrays {
		for _, g := range array.groups {
			if held[g.digest] == g {
				shared += len(g.text)
			}
		}
	}
	return shared
}

// Skeleton returns the text with all arrays empty.
func (d *Document) Skeleton() []byte { return bytes.Join(d.skeleton, nil) }

// Names returns the names of the arrays in the order of the text.
func (d *Document) Names() []string {
	names := make([]string, len(d.arrays))
	for i, array := range d.arrays {
		names[i] = array.Name
	}
	return names
}

// Len returns the number of elements of an array, 0 if there is no such array.
func (d *Document) Len(name string) int {
	if array := d.array(name); array != nil {
		return array.count
	}
	return 0
}

// Elements returns the elements of an array, without the separators between them. They
// must not be modified.
func (d *Document) Elements(name string) [][]byte {
	array := d.array(name)
	if array == nil {
		return nil
	}
	elements := make([][]byte, 0, array.count)
	for _, g := range array.groups {
		for i := range g.ends {
			elements = append(elements, trimSeparator(g.element(i)))
		}
	}
	return elements
}

func (d *Document) array(name string) *Array {
	for _, array := range d.arrays {
		if array.Name == name {
			return array
		}
	}
	return nil
}

// element returns the text of an element with its separator.
func (g *group) element(i int) []byte {
	start := uint32(0)
	if i > 0 {
		start = g.ends[i-1]
	}
	return g.text[start:g.ends[i]:g.ends[i]]
}

// trimSeparator removes the white space and the comma that follow a value. No JSON value
// ends with one of these.
func trimSeparator(element []byte) []byte { return bytes.TrimRight(element, " \t\r\n,") }

// seal computes digest and size.
func (d *Document) seal() *Document {
	hash := sha256.New()
	var length [binary.MaxVarintLen64]byte
	add := func(text []byte) {
		hash.Write(length[:binary.PutUvarint(length[:], uint64(len(text)))])
		hash.Write(text)
	}
	d.size = 0
	for i, part := range d.skeleton {
		add(part)
		d.size += len(part)
		if i == len(d.arrays) {
			break
		}
		groups := d.arrays[i].groups
		hash.Write(length[:binary.PutUvarint(length[:], uint64(len(groups)))])
		for _, g := range groups {
			hash.Write(g.digest[:])
			d.size += len(g.text)
		}
	}
	hash.Sum(d.digest[:0])
	return d
}

// builder collects elements into groups.
type builder struct {
	groups  []*group
	count   int
	pending group
	// share holds groups that may be used in place of equal ones; may be nil.
	share map[Digest]*group
}

// add appends an element with its separator. The text is copied.
func (b *builder) add(element []byte) {
	b.pending.text = append(b.pending.text, element...)
	b.pending.ends = append(b.pending.ends, uint32(len(b.pending.text)))
	b.count++
	if len(b.pending.ends) == maxGroup || endsGroup(element) {
		b.flush(true)
	}
}

// endsGroup reports whether an element is the last one of its group (FNV-1a). The separator counts too.
func endsGroup(element []byte) bool {
	const offset, prime = 14695981039346656037, 1099511628211
	hash := uint64(offset)
	for _, c := range element {
		hash = (hash ^ uint64(c)) * prime
	}
	return (hash^hash>>32)&groupMask == 0
}

// addRange appends elements of a group. It uses the group itself where it can.
func (b *builder) addRange(g *group, first, end int) {
	if first == 0 && end == len(g.ends) && g.closed && len(b.pending.ends) == 0 {
		b.groups = append(b.groups, g)
		b.count += end
		return
	}
	for i := first; i < end; i++ {
		b.add(g.element(i))
	}
}

func (b *builder) flush(closed bool) {
	if len(b.pending.ends) == 0 {
		return
	}
	g := &group{text: bytes.Clone(b.pending.text), ends: append([]uint32(nil), b.pending.ends...), closed: closed}
	b.pending.text, b.pending.ends = b.pending.text[:0], b.pending.ends[:0]
	g.digest = g.hash()
	if same := b.share[g.digest]; same != nil && same.closed == closed {
		g = same
	}
	b.groups = append(b.groups, g)
}

func (g *group) hash() Digest {
	hash := sha256.New()
	var length [binary.MaxVarintLen64]byte
	hash.Write(length[:binary.PutUvarint(length[:], uint64(len(g.ends)))])
	start := uint32(0)
	for _, end := range g.ends {
		hash.Write(length[:binary.PutUvarint(length[:], uint64(end-start))])
		start = end
	}
	hash.Write(g.text)
	var digest Digest
	hash.Sum(digest[:0])
	return digest
}

func (b *builder) array(name string) *Array {
	b.flush(false)
	return &Array{Name: name, groups: b.groups, count: b.count}
}

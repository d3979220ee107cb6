package docdiff

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
)

// errDelta means that a delta is malformed or does not belong to its base.
var errDelta = errors.New("malformed delta")

// maxCount bounds the numbers in a delta, so that a malformed one can't exhaust the memory. It is several
// times the length in bytes of the largest document that operators may send.
const maxCount = 16 << 20

// step is a part of the elements of an array: those that the two arrays share, or
// those that follow in either of them alone.
type step struct {
	// copied is the number of elements that both have.
	copied int
	// removed are those of the old array alone, and added those of the new one. They have
	// their separators.
	removed, added [][]byte
}

// compare returns the steps from one array to another one. Either may be nil. Only elements
// of groups that differ are read.
func compare(from, to *Array) []step {
	var old, next []*group
	if from != nil {
		old = from.groups
	}
	if to != nil {
		next = to.groups
	}
	start := 0
	for start < len(old) && start < len(next) && old[start].digest == next[start].digest {
		start++
	}
	end := 0
	for end < len(old)-start && end < len(next)-start && old[len(old)-1-end].digest == next[len(next)-1-end].digest {
		end++
	}
	steps := []step{{copied: countElements(old[:start])}}
	steps = append(steps, compareGroups(old[start:len(old)-end], next[start:len(next)-end])...)
	return merge(append(steps, step{copied: countElements(old[len(old)-end:])}))
}

func countElements(groups []*group) int {
	n := 0
	for _, g := range groups {
		n += len(g.ends)
	}
	return n
}

// compareGroups returns the steps from some groups to others.
func compareGroups(old, next []*group) []step {
	positions := make(map[Digest]int, len(old))
	for i := len(old) - 1; i >= 0; i-- {
		positions[old[i].digest] = i
	}
	var steps []step
	done := 0
	pending := 0
	for i, g := range next {
		at, found := positions[g.digest]
		if !found || at < done {
			// A group that occurs several times is searched for from where the last match ended.
			at, found = indexFrom(old, done, g.digest, found)
		}
		if !found {
			continue
		}
		steps = append(steps, compareElements(elementsOf(old[done:at]), elementsOf(next[pending:i]))...)
		steps = append(steps, step{copied: len(g.ends)})
		done, pending = at+1, i+1
	}
	return append(steps, compareElements(elementsOf(old[done:]), elementsOf(next[pending:]))...)
}

func indexFrom(groups []*group, from int, digest Digest, occurs bool) (int, bool) {
	if !occurs {
		return 0, false
	}
	for i := from; i < len(groups); i++ {
		if groups[i].digest == digest {
			return i, true
		}
	}
	return 0, false
}

func elementsOf(groups []*group) [][]byte {
	var elements [][]byte
	for _, g := range groups {
		for i := range g.ends {
			elements = append(elements, g.element(i))
		}
	}
	return elements
}

// compareElements pairs equal elements in ascending order: each new one with the first equal old
// one after the last pair. The result need not be the shortest.
func compareElements(old, next [][]byte) []step {
	places := make(map[string][]int, len(old))
	for i, element := range old {
		places[string(element)] = append(places[string(element)], i)
	}
	var steps []step
	done, pending := 0, 0
	for i, element := range next {
		candidates := places[string(element)]
		for len(candidates) > 0 && candidates[0] < done {
			candidates = candidates[1:]
		}
		places[string(element)] = candidates
		if len(candidates) == 0 {
			continue
		}
		at := candidates[0]
		// An element that has moved far up would leave nothing to pair with the ones in between.
		if at-done > len(next)-i && at-done > 1 {
			continue
		}
		steps = append(steps, step{removed: old[done:at], added: next[pending:i]}, step{copied: 1})
		done, pending = at+1, i+1
	}
	return append(steps, step{removed: old[done:], added: next[pending:]})
}

// merge joins neighbouring steps and drops empty ones.
func merge(steps []step) []step {
	var merged []step
	for _, s := range steps {
		switch last := len(merged) - 1; {
		case s.copied == 0 && len(s.removed) == 0 && len(s.added) == 0:
		case last >= 0 && s.copied > 0 && merged[last].copied > 0:
			merged[last].copied += s.copied
		case last >= 0 && s.copied == 0 && merged[last].copied == 0:
			merged[last].removed = append(merged[last].removed[:len(merged[last].removed):len(merged[last].removed)], s.removed...)
			merged[last].added = append(merged[last].added[:len(merged[last].added):len(merged[last].added)], s.added...)
		default:
			merged = append(merged, s)
		}
	}
	return merged
}

// Change is the difference of one array of two documents.
type Change struct {
	Name string
	// Removed are the elements of the earlier document alone, and Added those of the later one, without
	// separators. An element that moved or whose separator changed is in both.
	Removed, Added [][]byte
}

// Compare returns the arrays in which two documents differ.
func Compare(from, to *Document) []Change {
	var changes []Change
	for _, array := range to.arrays {
		changes = appendChange(changes, array.Name, from.array(array.Name), array)
	}
	for _, array := range from.arrays {
		if to.array(array.Name) == nil {
			changes = appendChange(changes, array.Name, array, nil)
		}
	}
	return changes
}

func appendChange(changes []Change, name string, from, to *Array) []Change {
	change := Change{Name: name}
	for _, s := range compare(from, to) {
		for _, element := range s.removed {
			change.Removed = append(change.Removed, trimSeparator(element))
		}
		for _, element := range s.added {
			change.Added = append(change.Added, trimSeparator(element))
		}
	}
	if len(change.Removed)+len(change.Added) == 0 {
		return changes
	}
	return append(changes, change)
}

// Encode returns the delta that turns one document into another one. It holds the skeleton
// and, for each array, counts of elements to copy, to skip and to add.
func Encode(from, to *Document) []byte {
	delta := binary.AppendUvarint(nil, uint64(len(to.arrays)))
	for _, part := range to.skeleton {
		delta = appendText(delta, part)
	}
	for _, array := range to.arrays {
		delta = appendText(delta, []byte(array.Name))
		steps := compare(from.array(array.Name), array)
		delta = binary.AppendUvarint(delta, uint64(len(steps)))
		for _, s := range steps {
			delta = binary.AppendUvarint(delta, uint64(s.copied))
			delta = binary.AppendUvarint(delta, uint64(len(s.removed)))
			delta = binary.AppendUvarint(delta, uint64(len(s.added)))
			for _, element := range s.added {
				delta = appendText(delta, element)
			}
		}
	}
	return delta
}

func appendText(delta, text []byte) []byte {
	return append(binary.AppendUvarint(delta, uint64(len(text))), text...)
}

// Apply returns the document that a delta makes of its base, after a check that it has the wanted digest.
func Apply(from *Document, delta []byte, want Digest) (*Document, error) {
	r := reader{rest: delta}
	to := &Document{}
	arrays := r.count()
	for i := 0; i <= arrays && !r.failed; i++ {
		to.skeleton = append(to.skeleton, bytes.Clone(r.text()))
	}
	for i := 0; i < arrays && !r.failed; i++ {
		name := string(r.text())
		to.arrays = append(to.arrays, r.array(name, from.array(name)))
	}
	if r.failed || len(r.rest) > 0 {
		return nil, errDelta
	}
	if to.seal().digest != want {
		return nil, fmt.Errorf("the result has the digest %.8x, expected %.8x", to.digest, want)
	}
	return to, nil
}

// reader reads a delta. After a failure it returns zeros.
type reader struct {
	rest   []byte
	failed bool
}

// count reads a number that is not larger than the rest of the delta, or than elements that a document
// can have.
func (r *reader) count() int {
	value, n := binary.Uvarint(r.rest)
	if n <= 0 || value > maxCount {
		r.fail()
		return 0
	}
	r.rest = r.rest[n:]
	return int(value)
}

func (r *reader) fail() { r.failed, r.rest = true, nil }

func (r *reader) text() []byte {
	n := r.count()
	if n > len(r.rest) {
		r.fail()
		return nil
	}
	text := r.rest[:n]
	r.rest = r.rest[n:]
	return text
}

// array reads the steps of an array and carries them out.
func (r *reader) array(name string, from *Array) *Array {
	var b builder
	source := cursor{}
	if from != nil {
		source.groups = from.groups
	}
	for range r.count() {
		copied, removed, added := r.count(), r.count(), r.count()
		if !source.take(copied, b.addRange) || !source.take(removed, func(*group, int, int) {}) {
			r.fail()
		}
		for range added {
			if r.failed {
				break
			}
			b.add(r.text())
		}
		if r.failed {
			break
		}
	}
	return b.array(name)
}

// cursor is a position among the elements of an array.
type cursor struct {
	groups []*group
	at     int
}

// take passes the next elements on, as ranges of groups. It returns false if there are too few.
func (c *cursor) take(count int, pass func(g *group, first, end int)) bool {
	for count > 0 {
		if len(c.groups) == 0 {
			return false
		}
		g := c.groups[0]
		n := min(count, len(g.ends)-c.at)
		pass(g, c.at, c.at+n)
		count -= n
		if c.at += n; c.at == len(g.ends) {
			c.groups, c.at = c.groups[1:], 0
		}
	}
	return true
}

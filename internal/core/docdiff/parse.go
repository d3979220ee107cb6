package docdiff

import (
	"encoding/json"
	"errors"
)

// errSplit means that a text can't be split: it isn't an object, or has a member twice.
var errSplit = errors.New("not an object with distinct members")

// Parse splits a text. It shares the groups in which the text agrees with an earlier document,
// which may be nil. A text that is not a JSON object, or that has a member twice, is held as
// a whole: it has no arrays. The text is copied.
func Parse(text []byte, earlier *Document) *Document {
	if json.Valid(text) {
		s := splitter{text: text, document: &Document{}, share: earlier.groups()}
		if s.split() == nil {
			return s.document.seal()
		}
	}
	whole := &Document{skeleton: [][]byte{append([]byte(nil), text...)}}
	return whole.seal()
}

// groups returns the groups of a document by their digests.
func (d *Document) groups() map[Digest]*group {
	if d == nil {
		return nil
	}
	groups := make(map[Digest]*group)
	for _, array := range d.arrays {
		for _, g := range array.groups {
			groups[g.digest] = g
		}
	}
	return groups
}

// splitter walks over a valid JSON text.
type splitter struct {
	text     []byte
	at       int
	cut      int
	document *Document
	share    map[Digest]*group
}

func (s *splitter) split() error {
	s.space()
	if s.at == len(s.text) || s.text[s.at] != '{' {
		return errSplit
	}
	s.at++
	names := make(map[string]bool)
	for s.space(); s.text[s.at] != '}'; s.space() {
		if s.text[s.at] == ',' {
			s.at++
			continue
		}
		name, err := s.name()
		if err != nil || names[name] {
			return errSplit
		}
		names[name] = true
		if s.text[s.at] == '[' {
			s.array(name)
		} else {
			s.value()
		}
	}
	s.keep(len(s.text))
	return nil
}

// keep ends a part of the skeleton.
func (s *splitter) keep(end int) {
	s.document.skeleton = append(s.document.skeleton, append([]byte(nil), s.text[s.cut:end]...))
	s.cut = end
}

// name reads the name of a member and moves to its value.
func (s *splitter) name() (string, error) {
	start := s.at
	s.quoted()
	var name string
	err := json.Unmarshal(s.text[start:s.at], &name)
	s.space()
	s.at++
	s.space()
	return name, err
}

// array splits the array at the current position.
func (s *splitter) array(name string) {
	s.at++
	s.space()
	s.keep(s.at)
	elements := builder{share: s.share}
	for start := s.at; s.text[s.at] != ']'; start = s.at {
		s.value()
		end := s.at
		s.space()
		if s.text[s.at] == ',' {
			s.at++
			s.space()
			end = s.at
		}
		elements.add(s.text[start:end])
		s.cut = end
	}
	s.at++
	s.document.arrays = append(s.document.arrays, elements.array(name))
}

func (s *splitter) space() {
	for s.at < len(s.text) && isSpace(s.text[s.at]) {
		s.at++
	}
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\r' || c == '\n' }

// quoted moves past a string.
func (s *splitter) quoted() {
	for s.at++; s.text[s.at] != '"'; s.at++ {
		if s.text[s.at] == '\\' {
			s.at++
		}
	}
	s.at++
}

// value moves past a value of any kind.
func (s *splitter) value() {
	depth := 0
	for s.at < len(s.text) {
		switch c := s.text[s.at]; {
		case c == '"':
			s.quoted()
		case c == '{' || c == '[':
			depth++
			s.at++
		case c == '}' || c == ']':
			depth--
			s.at++
		case depth == 0:
			s.scalar()
		default:
			s.at++
		}
		if depth == 0 {
			return
		}
	}
}

// scalar moves past a number or a literal.
func (s *splitter) scalar() {
	for s.at < len(s.text) {
		switch c := s.text[s.at]; {
		case isSpace(c), c == ',', c == ']', c == '}':
			return
		}
		s.at++
	}
}

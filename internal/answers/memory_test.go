package answers

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// Long answers leave room for short ones, and all together stay within the size and
// what is reserved.
func TestMemoryIsShared(t *testing.T) {
	const size, others = 4 * ReservedBytes, 99
	m := NewMemory(size)
	first := m.Share()
	if err := first.Set(size); err != nil {
		t.Fatalf("an answer alone may take all: %v", err)
	}
	if err := first.Set(size + 1); KindOf(err) != KindMemory {
		t.Errorf("got %v, want the memory to be used up", err)
	}
	shares := []*Share{first}
	for range others {
		s := m.Share()
		shares = append(shares, s)
		for bytes := int64(1 << 10); s.Set(bytes) == nil; bytes += 1 << 10 {
		}
		if s.held < ReservedBytes {
			t.Errorf("a short answer was refused at %d bytes", s.held)
		}
	}
	if m.used > size+others*ReservedBytes {
		t.Errorf("%d bytes are held", m.used)
	}
	for _, s := range shares {
		s.Close()
	}
	if m.used != 0 {
		t.Errorf("%d bytes are held after all were closed", m.used)
	}
}

// Reading returns all bytes up to the limit, however they are split, and fails beyond.
func TestReadAll(t *testing.T) {
	const limit = 3 * firstBytes
	for _, length := range []int{0, 1, firstBytes - 1, firstBytes, firstBytes + 1, limit - 1, limit, limit + 1, 10 * limit} {
		text := strings.Repeat("x", length)
		for name, reader := range map[string]io.Reader{"whole": strings.NewReader(text), "bytes": iotest.OneByteReader(strings.NewReader(text))} {
			m := NewMemory(MaxMemory)
			share := m.Share()
			got, err := ReadAll(share, reader, limit)
			if length > limit {
				if KindOf(err) != KindBody {
					t.Errorf("%d bytes, %s: got %v, want too many", length, name, err)
				}
			} else if err != nil || !bytes.Equal(got, []byte(text)) {
				t.Errorf("%d bytes, %s: got %d and %v", length, name, len(got), err)
			}
			if share.Close(); m.used != 0 {
				t.Errorf("%d bytes, %s: %d bytes are still held", length, name, m.used)
			}
		}
	}
	broken := errors.New("broken")
	if _, err := ReadAll(NewMemory(1).Share(), iotest.ErrReader(broken), limit); !errors.Is(err, broken) {
		t.Errorf("got %v, want the error of the reader", err)
	}
}

// One answer alone may be as long as its bound allows.
func TestLongestBody(t *testing.T) {
	m := NewMemory(MaxMemory)
	for length, want := range map[int]Kind{MaxBodyBytes: "", MaxBodyBytes + 1: KindBody} {
		share := m.Share()
		data, err := ReadAll(share, bytes.NewReader(make([]byte, length)), MaxBodyBytes)
		if KindOf(err) != want || err == nil && len(data) != length {
			t.Errorf("%d bytes: got %d and %v, want kind %q", length, len(data), err, want)
		}
		share.Close()
	}
}

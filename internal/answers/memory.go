package answers

import (
	"fmt"
	"io"
	"sync"
)

// MaxMemory is the memory in bytes for what a process keeps of the answers that it is
// reading from backend servers.
const MaxMemory = 32 << 20

// ReservedBytes is what each answer may hold although the memory is used up, so that a
// short answer is read beside any number of long ones.
const ReservedBytes = 64 << 10

// firstBytes is the first size of a buffer.
const firstBytes = 4 << 10

// Memory is the memory that the answers being read share. All of them together take at
// most its size, and in addition ReservedBytes for each.
type Memory struct {
	size int64

	mu   sync.Mutex
	used int64
}

// NewMemory returns a memory with a size in bytes.
func NewMemory(size int64) *Memory { return &Memory{size: size} }

// Account is what one answer holds of a memory. Set changes the bytes held; it returns an *Error,
// and changes nothing, if there is no room. Set(0) gives all back.
type Account interface {
	Set(bytes int64) error
}

// Share is what one answer holds of a Memory. It is not safe for concurrent use.
type Share struct {
	memory *Memory
	held   int64
}

// Share returns a share that holds nothing.
func (m *Memory) Share() *Share { return &Share{memory: m} }

// Set changes the bytes held. It returns an *Error, and changes nothing, if the memory
// is used up and the share would be more than what is reserved.
func (s *Share) Set(bytes int64) error {
	m := s.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	used := m.used + bytes - s.held
	if bytes > s.held && used > m.size && bytes > ReservedBytes {
		return &Error{Kind: KindMemory, Detail: fmt.Sprintf("all answers hold %d bytes, and this one would hold %d", m.used, bytes)}
	}
	m.used, s.held = used, bytes
	return nil
}

// Close gives back what the share holds.
func (s *Share) Close() { _ = s.Set(0) }

// ReadAll reads to the end, at most limit bytes, whose memory it takes from the account. The
// bytes stay held.
func ReadAll(account Account, r io.Reader, limit int64) ([]byte, error) {
	data := make([]byte, 0, min(firstBytes, limit+1))
	for {
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limit:
			return nil, TooLong(KindBody, limit)
		case err == io.EOF:
			return data, nil
		case err != nil:
			return nil, err
		}
		if len(data) == cap(data) {
			if data, err = grow(account, data, limit); err != nil {
				return nil, err
			}
		}
	}
}

// grow doubles the capacity, at most to the limit and the byte that exceeds it. Both
// the old and the new bytes are held while they are copied.
func grow(account Account, data []byte, limit int64) ([]byte, error) {
	size := 2 * int64(cap(data))
	if size >= limit {
		size = limit + 1
	}
	if err := account.Set(int64(cap(data)) + size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(data), size)
	copy(grown, data)
	return grown, account.Set(size)
}

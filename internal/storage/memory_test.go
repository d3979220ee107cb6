package storage

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
)

var errInjected = errors.New("injected failure")

// inode is a file's content, and its content at the last sync.
type inode struct{ data, synced []byte }

// memoryFileSystem is a file system in memory that fails from a given operation
// on and can simulate the loss of unsynced data.
type memoryFileSystem struct {
	entries map[string]*inode
	synced  map[string]*inode
	// failIn is the number of modifying operations up to the one that fails; 0
	// means that none fails.
	failIn int
	// failOnce lets the operations after the failed one succeed.
	failOnce bool
	failed   bool
	// failure is the error of the failed operation; nil selects errInjected.
	failure error
	// syncsSucceed keeps syncs, removals, renames and truncations from failing.
	syncsSucceed bool
	rand         *rand.Rand
}

func newMemoryFileSystem(seed uint64) *memoryFileSystem {
	return &memoryFileSystem{
		entries: make(map[string]*inode),
		synced:  make(map[string]*inode),
		rand:    rand.New(rand.NewPCG(seed, 0)),
	}
}

// maybeFail is called by every modifying operation and returns errInjected when
// it is to fail.
func (m *memoryFileSystem) maybeFail() error {
	failure := m.failure
	if failure == nil {
		failure = errInjected
	}
	if m.failed && !m.failOnce {
		return failure
	}
	m.failIn--
	if m.failIn == 0 {
		m.failed = true
		return failure
	}
	return nil
}

// maybeFailOther is maybeFail for operations that need no room.
func (m *memoryFileSystem) maybeFailOther() error {
	if m.syncsSucceed {
		return nil
	}
	return m.maybeFail()
}

// crash returns the file system after a power failure: any part of the unsynced
// data may be lost, and its last byte may be damaged.
func (m *memoryFileSystem) crash() *memoryFileSystem {
	after := newMemoryFileSystem(m.rand.Uint64())
	names := maps.Clone(m.entries)
	maps.Copy(names, m.synced)
	for name := range names {
		node := m.synced[name]
		if m.rand.IntN(2) == 0 {
			node = m.entries[name]
		}
		if node == nil {
			continue
		}
		data := slices.Clone(node.synced)
		if extra := len(node.data) - len(data); extra > 0 {
			data = append(data, node.data[len(data):][:m.rand.IntN(extra+1)]...)
		}
		if n := len(data); n > len(node.synced) && m.rand.IntN(2) == 0 {
			data[n-1] ^= 0x55
		}
		after.entries[name] = &inode{data, slices.Clone(data)}
	}
	after.synced = maps.Clone(after.entries)
	return after
}

type memoryFile struct {
	files *memoryFileSystem
	node  *inode
}

func (f memoryFile) Write(p []byte) (int, error) {
	if err := f.files.maybeFail(); err != nil {
		f.node.data = append(f.node.data, p[:len(p)/2]...)
		return len(p) / 2, err
	}
	f.node.data = append(f.node.data, p...)
	return len(p), nil
}

func (f memoryFile) Sync() error {
	if err := f.files.maybeFailOther(); err != nil {
		return err
	}
	f.node.synced = slices.Clone(f.node.data)
	return nil
}

func (f memoryFile) Truncate(size int64) error {
	f.node.data = f.node.data[:size]
	return f.files.maybeFailOther()
}

func (memoryFile) Close() error { return nil }

func (m *memoryFileSystem) MkdirAll(string) error { return nil }

func (m *memoryFileSystem) Create(path string) (file, error) {
	if m.entries[path] != nil {
		return nil, fs.ErrExist
	}
	if err := m.maybeFail(); err != nil {
		return nil, err
	}
	m.entries[path] = &inode{}
	return memoryFile{m, m.entries[path]}, nil
}

func (m *memoryFileSystem) OpenAppend(path string) (file, error) {
	return memoryFile{m, m.entries[path]}, nil
}

func (m *memoryFileSystem) ReadFile(path string) ([]byte, error) {
	if m.entries[path] == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(m.entries[path].data), nil
}

func (m *memoryFileSystem) ReadDir(dir string) ([]string, error) {
	var names []string
	for path := range m.entries {
		if strings.HasPrefix(path, dir) {
			names = append(names, filepath.Base(path))
		}
	}
	slices.Sort(names)
	return names, nil
}

func (m *memoryFileSystem) Rename(from, to string) error {
	if err := m.maybeFailOther(); err != nil {
		return err
	}
	m.entries[to] = m.entries[from]
	delete(m.entries, from)
	return nil
}

func (m *memoryFileSystem) Remove(path string) error {
	if err := m.maybeFailOther(); err != nil {
		return err
	}
	delete(m.entries, path)
	return nil
}

func (m *memoryFileSystem) SyncDir(string) error {
	if err := m.maybeFailOther(); err != nil {
		return err
	}
	m.synced = maps.Clone(m.entries)
	return nil
}

func (m *memoryFileSystem) Lock(string) (io.Closer, error) { return memoryFile{}, nil }

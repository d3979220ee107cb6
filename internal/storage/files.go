package storage

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// file is an open file for writing, either a new one or one in append mode.
type file interface {
	io.WriteCloser
	Sync() error
	Truncate(size int64) error
}

// fileSystem has the file operations that the package uses. Tests replace it
// with an implementation that injects failures and loses unsynced data.
type fileSystem interface {
	// MkdirAll creates a directory and its parents, and syncs their entries.
	MkdirAll(path string) error
	// Create creates a file; it fails if the file exists.
	Create(path string) (file, error)
	OpenAppend(path string) (file, error)
	ReadFile(path string) ([]byte, error)
	// ReadDir returns the names in a directory in sorted order.
	ReadDir(path string) ([]string, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir syncs the entries of a directory.
	SyncDir(path string) error
	// Lock locks a file exclusively for this process until the result is closed.
	Lock(path string) (io.Closer, error)
}

type osFileSystem struct{}

const (
	filePermissions = 0o600
	dirPermissions  = 0o700
)

func (s osFileSystem) MkdirAll(path string) error {
	if _, err := os.Stat(path); err == nil {
		return nil
	}
	parent := filepath.Dir(path)
	if parent != path {
		if err := s.MkdirAll(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(path, dirPermissions); err != nil && !os.IsExist(err) {
		return err
	}
	return s.SyncDir(parent)
}

func (osFileSystem) Create(path string) (file, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_APPEND|os.O_WRONLY, filePermissions)
}

func (osFileSystem) OpenAppend(path string) (file, error) {
	return os.OpenFile(path, os.O_APPEND|os.O_WRONLY, filePermissions)
}

func (osFileSystem) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

func (osFileSystem) ReadDir(path string) ([]string, error) {
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Name()
	}
	return names, nil
}

func (osFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

func (osFileSystem) Remove(path string) error { return os.Remove(path) }

func (osFileSystem) SyncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

func (osFileSystem) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, filePermissions)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("in use by another process: %w", err)
	}
	return f, nil
}

// temporarySuffix marks files that may be incomplete.
const temporarySuffix = ".tmp"

// writeFile creates a file atomically: it writes and syncs a temporary file,
// and then renames it. If there is no room, it leaves nothing behind.
func writeFile(files fileSystem, path string, parts ...[]byte) error {
	temporary := path + temporarySuffix
	f, err := createFile(files, temporary, parts...)
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := files.Rename(temporary, path); err != nil {
		return err
	}
	return files.SyncDir(filepath.Dir(path))
}

func writeSynced(f file, parts ...[]byte) error {
	for _, part := range parts {
		if _, err := f.Write(part); err != nil {
			return err
		}
	}
	return f.Sync()
}

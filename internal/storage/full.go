package storage

import (
	"errors"
	"syscall"
)

// ErrFull is the error of a write for which the disk has no room. Nothing of the write is kept, the
// log goes on, and the write may be repeated.
var ErrFull = errors.New("storage: the disk is full")

// IsFull reports whether an error means that the disk has no room.
func IsFull(err error) bool {
	return errors.Is(err, ErrFull) || errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG)
}

// fullError is an ErrFull that keeps its cause.
type fullError struct{ cause error }

func (e *fullError) Error() string        { return e.cause.Error() }
func (e *fullError) Is(target error) bool { return target == ErrFull }
func (e *fullError) Unwrap() error        { return e.cause }

// stop returns the error of a write that failed. It stops the log, unless the disk is full and
// nothing of the write was kept. The caller holds mu.
func (l *Log) stop(err error) error {
	if errors.Is(err, ErrFull) {
		return err
	}
	return l.fail(err)
}

// appendSynced appends a frame to the active segment. If there is no room, it removes what was
// written of it. After a failed sync, the content of the disk is unknown, whatever the error.
func (l *Log) appendSynced(frame []byte) error {
	if _, err := l.active.Write(frame); err != nil {
		if !IsFull(err) {
			return err
		}
		if truncateErr := l.active.Truncate(l.lastSegment().size); truncateErr != nil {
			return errors.Join(err, truncateErr)
		}
		return &fullError{err}
	}
	return l.active.Sync()
}

// createFile creates a file with synced content. If there is no room, it removes the file.
func createFile(files fileSystem, path string, parts ...[]byte) (file, error) {
	f, err := files.Create(path)
	if err != nil {
		if IsFull(err) {
			err = &fullError{err}
		}
		return nil, err
	}
	if err = writeSynced(f, parts...); err == nil {
		return f, nil
	}
	err = errors.Join(err, f.Close())
	if !IsFull(err) {
		return nil, err
	}
	if removeErr := files.Remove(path); removeErr != nil {
		return nil, errors.Join(err, removeErr)
	}
	return nil, &fullError{err}
}

// Package connreset tells the end of a TCP connection that was broken off from an orderly one.
package connreset

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Tracker follows the reads and writes of one connection. The kernel reports that a connection was
// broken off only once, to a write if there is one, and reads then seem to reach an orderly end.
// The zero value is ready for use.
type Tracker struct {
	// mu is held during a write. It guards broken, the error of a write that says that the
	// connection did not end orderly.
	mu     sync.Mutex
	broken error
}

// Write writes to the connection.
func (t *Tracker) Write(conn net.Conn, data []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, err := conn.Write(data)
	// After the orderly end of the other side, writes fail with EPIPE.
	if err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded) {
		t.broken = err
	}
	return n, err
}

// ReadError returns the error of a read, or that of a write in place of io.EOF if the connection did not
// end orderly. After io.EOF nothing can be written any more.
func (t *Tracker) ReadError(conn net.Conn, err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	// Ends a write that waits, as its error counts.
	_ = conn.SetWriteDeadline(time.Unix(1, 0))
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.broken != nil {
		return t.broken
	}
	return err
}

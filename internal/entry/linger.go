package entry

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"waxwingcart/internal/intake"
)

const (
	// lingerBytes is how much of a refused request's body is read and discarded.
	lingerBytes = 16 << 20
	// lingerCheck is the interval at which a lingering connection checks whether
	// the entry stops.
	lingerCheck = 200 * time.Millisecond
)

// linger reads and discards what the caller still sends after its answer, and
// reports whether the caller closed the connection. Closing a connection with unread
// bytes would reset it, and a caller that still sends might not read its answer. It
// ends after the time and the bytes that a body may take, and when the entry has
// stopped to accept requests.
func (c *callerConn) linger() bool {
	_ = c.CloseWrite()
	intake.SetIdle(c.Conn, true)
	end := time.Now().Add(c.entry.opts.BodyTimeout)
	for left := int64(lingerBytes); left > 0 && time.Now().Before(end) && !c.entry.stopped(); {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerCheck))
		n, err := io.CopyN(io.Discard, c.Conn, left)
		left -= n
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return !errors.Is(err, net.ErrClosed)
		}
	}
	return false
}

// stopped reports whether a draining entry no longer accepts requests.
func (e *Entry) stopped() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.closedToRequests()
}

package backend

import (
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingcart/internal/answers"
	"waxwingcart/internal/connreset"
	"waxwingcart/internal/sockbuf"
)

// maxFailed bounds the latest failed requests that a connection remembers.
const maxFailed = 128

var errSealed = errors.New("connection is closed for writing: its attempt was abandoned")

// conn counts the bytes written to the network and can be sealed: bytes that are
// not in the count that seal returns are never written. It also measures how fast
// answers arrive, since net/http hands no byte of an unfinished head, chunk extension
// or trailer to its caller.
type conn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	sealed  bool
	owner   *writeTracker
	// failed holds the hashes of the latest requests whose answer on this connection was a
	// refusal or an error.
	failed []uint64
	// readErr is the error that ended reading.
	readErr error
	// pace is that of the part of an answer that is being read.
	pace answers.Pace

	// resets tells an answer that was broken off from one that ends with its connection. It is not used
	// if the connection says itself where the server's bytes end.
	resets    connreset.Tracker
	marksEnds bool
}

// Read fails with an *answers.Error once the answer arrives too slowly.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if !c.marksEnds {
		err = c.resets.ReadError(c.Conn, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.readErr = err
	}
	if n == 0 {
		return n, err
	}
	if slow := c.pace.Read(time.Now(), n); slow != nil {
		return 0, slow
	}
	return n, err
}

// Write adds the bytes to the count before it writes them, so that the count is
// never too low.
func (c *conn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(data))
	c.mu.Unlock()

	n, err := c.resets.Write(c.Conn, data)
	if n < len(data) {
		c.mu.Lock()
		c.written -= int64(len(data) - n)
		c.mu.Unlock()
	}
	return n, err
}

// setOwner makes an attempt the owner and returns the number of bytes written before, and whether
// the same request has failed on the connection before.
func (c *conn) setOwner(owner *writeTracker) (written int64, failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner = owner
	c.pace.Reset()
	return c.written, len(c.failed) > 0 && slices.Contains(c.failed, xxhash.Sum64String(owner.request))
}

// noteFailed remembers a request that failed on the connection.
func (c *conn) noteFailed(request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.failed) == maxFailed {
		c.failed = append(c.failed[:0], c.failed[1:]...)
	}
	c.failed = append(c.failed, xxhash.Sum64String(request))
}

// resetPace begins a new part if the given owner still owns the connection.
func (c *conn) resetPace(owner *writeTracker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner == owner {
		c.pace.Reset()
	}
}

// seal forbids further writes, closes the connection and returns the number of
// bytes written. If another attempt owns the connection, seal leaves it unchanged
// and returns false; this happens only after the exchange of the given owner has
// completed.
func (c *conn) seal(owner *writeTracker) (int64, bool) {
	c.mu.Lock()
	if c.owner != owner {
		c.mu.Unlock()
		return 0, false
	}
	c.sealed = true
	written := c.written
	c.mu.Unlock()
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// Resets the connection on close, so that unsent data is not delivered
		// after a network partition heals. An error means that the connection has
		// already ended.
		_ = tcp.SetLinger(0)
	}
	c.Conn.Close()
	return written, true
}

// writeTracker tracks whether any byte of one attempt was written to the network.
type writeTracker struct {
	// request is the request's ID, or empty.
	request string

	mu        sync.Mutex
	abandoned bool
	// again is true if the attempt got a connection on which its request has failed before. If the
	// server writes that answer once more, it would be taken for the answer to this attempt, as
	// both bear the request's ID. Nothing is written to such a connection.
	again bool
	// fresh is true if the latest connection was made for this attempt.
	fresh bool
	conns []trackedConn
}

// trackedConn is a connection and the number of bytes written to it before the
// attempt.
type trackedConn struct {
	conn *conn
	base int64
}

// track registers a connection before the attempt writes to it. It seals the
// connection if the attempt was abandoned.
func (t *writeTracker) track(c net.Conn) {
	counted, ok := c.(*conn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	base, failed := counted.setOwner(t)
	if t.abandoned || failed {
		t.again = t.again || failed
		counted.seal(t)
		return
	}
	t.fresh = base == 0
	t.conns = append(t.conns, trackedConn{counted, base})
}

// raise gives the attempt's connection a larger receive buffer. It returns nil if the buffer stays as it
// is.
func (t *writeTracker) raise(buffers *sockbuf.Buffers) *sockbuf.Raised {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.conns) == 0 {
		return nil
	}
	return buffers.Raise(t.conns[len(t.conns)-1].conn.Conn)
}

// failedBefore reports whether no byte of the attempt was written because its request had failed
// on the connection before.
func (t *writeTracker) failedBefore() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.again && len(t.conns) == 0
}

// onNewConnection reports whether the attempt's connection was made for it.
func (t *writeTracker) onNewConnection() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fresh && len(t.conns) > 0
}

// noteFailed records that the attempt's answer is a refusal or an error.
func (t *writeTracker) noteFailed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, tracked := range t.conns {
		tracked.conn.noteFailed(t.request)
	}
}

// partRead begins the next part of the answer: the one before has been read.
func (t *writeTracker) partRead() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, tracked := range t.conns {
		tracked.conn.resetPace(t)
	}
}

// partSize returns the bytes of the part that is being read, and whether its connection
// can still be read.
func (t *writeTracker) partSize() (bytes int64, readable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.conns) == 0 {
		return 0, false
	}
	last := t.conns[len(t.conns)-1].conn
	last.mu.Lock()
	defer last.mu.Unlock()
	return last.pace.Bytes(), last.owner == t && last.readErr == nil
}

// abandon seals the connections of the attempt and reports whether any byte may
// have been written. If it returns false, none is written later either.
func (t *writeTracker) abandon() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.abandoned = true
	anyWritten := false
	for _, tracked := range t.conns {
		written, owned := tracked.conn.seal(t)
		if !owned || written > tracked.base {
			anyWritten = true
		}
	}
	return anyWritten
}

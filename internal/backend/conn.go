package backend

import (
	"errors"
	"net"
	"sync"
)

var errSealed = errors.New("the attempt that owned the connection was given up")

// conn counts the bytes that were handed to the network, and can be sealed:
// after seal returns, no further byte is handed over.
type conn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	sealed  bool
	owner   *handover
}

// Write counts bytes before they are handed over, so that the count is never
// too low.
func (c *conn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(data))
	c.mu.Unlock()

	n, err := c.Conn.Write(data)
	if n < len(data) {
		c.mu.Lock()
		c.written -= int64(len(data) - n)
		c.mu.Unlock()
	}
	return n, err
}

// take makes an attempt the owner and returns the count before it.
func (c *conn) take(owner *handover) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner = owner
	return c.written
}

// seal forbids further writes, closes the connection and returns the count.
// It reports false, and leaves the connection alone, if another attempt owns
// it by now, which happens only after the owner's exchange was complete.
func (c *conn) seal(owner *handover) (int64, bool) {
	c.mu.Lock()
	if c.owner != owner {
		c.mu.Unlock()
		return 0, false
	}
	c.sealed = true
	written := c.written
	c.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// Resets the connection: what waits on a cut link is not delivered later. An
		// error means that the connection has ended.
		_ = tcp.SetLinger(0)
	}
	c.Conn.Close()
	return written, true
}

// handover watches whether any byte of one attempt was handed over.
type handover struct {
	mu    sync.Mutex
	ended bool
	conns []startedConn
}

// startedConn is a connection with its count before the attempt.
type startedConn struct {
	conn *conn
	base int64
}

// got takes note of a connection before the attempt writes to it. It seals
// the connection if the attempt has been given up.
func (h *handover) got(c net.Conn) {
	counted, ok := c.(*conn)
	if !ok {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	base := counted.take(h)
	if h.ended {
		counted.seal(h)
		return
	}
	h.conns = append(h.conns, startedConn{counted, base})
}

// end gives the attempt up and reports whether any byte was handed over. No
// byte is handed over later.
func (h *handover) end() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	handed := false
	for _, started := range h.conns {
		written, owned := started.conn.seal(h)
		if !owned || written > started.base {
			handed = true
		}
	}
	return handed
}

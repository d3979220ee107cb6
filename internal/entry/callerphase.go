package entry

import (
	"errors"
	"io"
	"net"
	"os"
	"time"
)

// phase is what a caller's connection waits for.
type phase uint8

const (
	// phaseHeader lasts from the connect, or the first byte of a request, to the
	// end of its header.
	phaseHeader phase = iota
	// phaseRequest lasts to the end of the answer.
	phaseRequest
	// phaseIdle lasts to the first byte of the next request.
	phaseIdle
)

const (
	// lastReadTime is the time for a last read after a time limit: bytes that
	// arrived in time may lie unread, if the process was held up.
	lastReadTime = 100 * time.Millisecond
	// headerSlack is how much of what follows a header may be read with it, in
	// bytes. It is the size of net/http's buffer.
	headerSlack = 4 << 10
)

// tooLongHeader is the answer to a request whose header is too long.
const tooLongHeader = "HTTP/1.1 431 Request Header Fields Too Large\r\n" +
	"Content-Type: text/plain; charset=utf-8\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// unhandledAnswer is the answer to a request that no handler has seen.
const unhandledAnswer = "HTTP/1.1 503 Service Unavailable\r\n" +
	"Retry-After: 0.020\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

var (
	errHeaderTooLong = errors.New("the header of a caller's request is too long")
	errNoMemory      = errors.New("the memory for callers is used up")
)

// waiting is the state of a connection that waits for a request.
type waiting struct {
	phase phase
	// begun is true once the phase's time has begun, at since. fallback is the time
	// limit of the process's own settings.
	begun    bool
	since    time.Duration
	fallback time.Duration
	// lastRead is true once the last read after the time limit was allowed.
	lastRead bool
	// headerBytes counts the bytes read in phaseHeader.
	headerBytes int
	// refused is true once an answer was sent because of the header's length.
	refused bool
	// answered is true once a byte was written in this phase.
	answered bool
}

// unhandled reports whether the header of a request was read and nothing was written.
func (w *waiting) unhandled() bool { return w.phase == phaseRequest && !w.answered }

// begin starts a phase's time.
func (w *waiting) begin(phase phase, now, fallback time.Duration) {
	*w = waiting{phase: phase, begun: true, since: now, fallback: fallback}
}

// SetReadDeadline replaces the time limits that http.Server sets before a request by
// those of the documents that callers may follow. The server sets one at the connect,
// at the beginning of an idle time and at the first byte of a request, and clears it at
// the end of the header; other deadlines are left as they are.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting.phase == phaseRequest {
		return c.Conn.SetReadDeadline(t)
	}
	if t.IsZero() {
		c.waiting = waiting{phase: phaseRequest}
		return c.Conn.SetReadDeadline(t)
	}
	now, fallback := c.entry.now(), time.Until(t)
	switch {
	case !c.waiting.begun:
		c.waiting.begin(c.waiting.phase, now, fallback)
	case c.waiting.phase == phaseIdle:
		c.waiting.begin(phaseHeader, now, fallback)
	}
	return c.Conn.SetReadDeadline(time.Now().Add(c.timeLeft(now)))
}

// timeLeft returns the time left to a connection that waits for a request. The caller
// holds mu.
func (c *callerConn) timeLeft(now time.Duration) time.Duration {
	limits, w := &c.entry.callerLimits, &c.waiting
	if w.phase == phaseIdle {
		return w.since + limits.Idle(now, w.fallback) - now
	}
	return w.since + limits.Header(now, w.fallback) - now
}

// Read reads bytes of a request. A time limit that was lengthened meanwhile is
// followed, and after it bytes that have arrived are still read.
func (c *callerConn) Read(data []byte) (int, error) {
	for {
		n, err := c.Conn.Read(data)
		if n > 0 && !c.acceptBytes(n) {
			// net/http gives no answer of its own after such an error.
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: errHeaderTooLong}
		}
		if n > 0 && !c.holdHeader(n) {
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: errNoMemory}
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.waitLonger() {
			return n, err
		}
	}
}

// waitLonger sets a new deadline after a time limit and reports whether there is one.
func (c *callerConn) waitLonger() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting.phase == phaseRequest || !c.waiting.begun {
		return false
	}
	left := c.timeLeft(c.entry.now())
	if left <= 0 {
		if c.waiting.lastRead {
			return false
		}
		c.waiting.lastRead = true
		left = lastReadTime
	}
	return c.Conn.SetReadDeadline(time.Now().Add(left)) == nil
}

// holdHeader holds the memory of a header's bytes until the request has ended. It returns
// false if there is none.
func (c *callerConn) holdHeader(n int) bool {
	c.mu.Lock()
	inHeader := c.waiting.phase == phaseHeader
	if inHeader {
		c.headerHeld += int64(n)
	}
	c.mu.Unlock()
	if !inHeader || c.entry.opts.Intake.Hold(int64(n)) {
		return true
	}
	c.mu.Lock()
	c.headerHeld -= int64(n)
	c.mu.Unlock()
	return false
}

// releaseHeader gives back the memory of a request's header.
func (c *callerConn) releaseHeader() {
	c.mu.Lock()
	held := c.headerHeld
	c.headerHeld = 0
	c.mu.Unlock()
	c.entry.opts.Intake.Release(held)
}

// acceptBytes counts the bytes of a header. If it is too long, it answers and returns
// false.
func (c *callerConn) acceptBytes(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := &c.waiting
	if w.phase != phaseHeader {
		return true
	}
	w.headerBytes += n
	if w.headerBytes <= c.entry.callerLimits.HeaderBytes(c.entry.now(), c.entry.opts.HeaderLimit)+headerSlack {
		return true
	}
	w.refused = true
	_ = c.Conn.SetWriteDeadline(time.Now().Add(c.entry.opts.WriteTimeout))
	_, _ = io.WriteString(c.Conn, tooLongHeader)
	return false
}

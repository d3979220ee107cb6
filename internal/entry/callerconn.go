package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// Causes for which the entry closes a caller's connection on which a request was
// read and not fully answered.
const (
	closeAborted      = "aborted"
	closeWriteFailed  = "write-failed"
	closeWriteTimeout = "write-timeout"
	closeBodyNotRead  = "body-not-read"
	closeShutdown     = "shutdown"
)

// callerListener accepts the connections of callers.
type callerListener struct {
	net.Listener
	entry *Entry
}

// CallerListener returns a listener whose connections report how their requests
// ended, and follow the limits of the document in force. Their server uses ConnContext and ConnState.
func (e *Entry) CallerListener(listener net.Listener) net.Listener {
	return &callerListener{Listener: listener, entry: e}
}

// Accept returns the next connection.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, entry: l.entry}, nil
}

type connKey struct{}

// ConnContext lets a request find its connection. It is a hook of http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ConnState follows the connections of CallerListener. It is a hook of http.Server.
func ConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*callerConn); ok && state == http.StateIdle {
		c.idle()
	}
}

// callerConnOf returns the connection of a request, or nil if it did not come
// through CallerListener.
func callerConnOf(ctx context.Context) *callerConn {
	conn, _ := ctx.Value(connKey{}).(*callerConn)
	return conn
}

// exchange is one request on a caller's connection and its answer.
type exchange struct {
	id      string
	started time.Duration
	// bodyRead is true once the whole body has been read, begun once a byte of
	// the answer was written, and aborted if the answer was cut off.
	bodyRead, begun, aborted bool
	// err is the first error of a write.
	err error
}

// callerConn is a caller's connection. Its methods may be called on nil.
type callerConn struct {
	net.Conn
	entry *Entry

	mu sync.Mutex
	// exchange is the request under way, or nil.
	exchange *exchange
	waiting  waiting
	closed   bool
	// headerHeld is the memory that the header of the request holds.
	headerHeld int64
}

// begin notes that the header of a request has been read.
func (c *callerConn) begin(id string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange = &exchange{id: id, started: c.entry.now()}
}

// readBody notes that the whole body of the request has been read.
func (c *callerConn) readBody() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange.bodyRead = true
}

// end notes that the answer has been handed over, or cut off.
func (c *callerConn) end(aborted bool) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange.aborted = aborted
}

// idle notes that the answer is whole and the connection waits for a request.
func (c *callerConn) idle() {
	c.releaseHeader()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange = nil
	c.waiting = waiting{phase: phaseIdle}
}

// Write writes a part of an answer and keeps the first error.
func (c *callerConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting.answered = true
	if c.exchange == nil {
		return n, err
	}
	c.exchange.begun = c.exchange.begun || n > 0
	if err != nil && c.exchange.err == nil {
		c.exchange.err = err
	}
	return n, err
}

// NetConn returns the connection within.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the answers and leaves the connection open for reading.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close closes the connection and reports a request that has no whole answer.
func (c *callerConn) Close() error {
	c.mu.Lock()
	open, first := c.exchange, !c.closed
	tooLong, unhandled := c.waiting.refused, c.waiting.unhandled() && open == nil
	c.closed = true
	c.mu.Unlock()
	c.releaseHeader()
	switch {
	case !first:
	case tooLong:
		c.linger()
	case unhandled:
		c.refuseUnhandled()
	case open != nil:
		c.finish(open)
	}
	return c.Conn.Close()
}

// refuseUnhandled answers a request that was read and not handled: http.Server drops it
// when it shuts down at that moment.
func (c *callerConn) refuseUnhandled() {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(c.entry.opts.WriteTimeout))
	_, err := io.WriteString(c.Conn, unhandledAnswer)
	c.report(&exchange{started: c.entry.now(), err: err}, closeShutdown)
}

// cause says why a connection was closed before its request was fully answered, or
// returns "": the answer was whole, or the caller closed the connection.
func (x *exchange) cause() string {
	switch {
	case errors.Is(x.err, syscall.EPIPE) || errors.Is(x.err, syscall.ECONNRESET):
		return ""
	case errors.Is(x.err, os.ErrDeadlineExceeded):
		return closeWriteTimeout
	case x.err != nil:
		return closeWriteFailed
	case x.aborted:
		return closeAborted
	case !x.bodyRead:
		return closeBodyNotRead
	}
	return ""
}

// finish ends the connection of a request that has no whole answer, or whose body was
// not read: its refusal is not lost if the caller closes the connection first.
func (c *callerConn) finish(x *exchange) {
	cause := x.cause()
	if cause == "" || cause == closeBodyNotRead && c.linger() {
		return
	}
	c.report(x, cause)
}

// report logs and counts the close of a connection on which a request was read and
// not fully answered.
func (c *callerConn) report(x *exchange, cause string) {
	c.entry.metrics.connectionsClosed.WithLabelValues(cause).Inc()
	line := c.entry.logger.Info().Str("step", "connection").Str("request", x.id).Str("cause", cause).
		Str("peer", c.RemoteAddr().String()).Bool("begun", x.begun).Bool("body_read", x.bodyRead).
		Int64("elapsed_ms", (c.entry.now() - x.started).Milliseconds())
	if x.err != nil {
		line = line.Err(x.err)
	}
	line.Msg("connection closed before its request was fully answered")
}

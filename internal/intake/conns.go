package intake

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/core/intake"
	"waxwingcart/internal/sockbuf"
)

// scarceCheck is the interval at which a listener without room looks for a connection
// that can be closed.
const scarceCheck = 20 * time.Millisecond

// Descriptors returns how many descriptors the process may have open. Go's runtime has
// raised the limit as far as the process may.
func Descriptors() uint64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		// The usual limit of a process.
		return 1024
	}
	return limit.Cur
}

// Metrics counts the connections that listeners close.
type Metrics struct{ closed *prometheus.CounterVec }

// NewMetrics returns the metrics of a process's listeners.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{closed: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "waxwingcart", Name: "intake_connections_closed_total",
		Help: "Connections without a request that were closed because connections were scarce, by listener.",
	}, []string{"listener"})}
	registry.MustRegister(m.closed)
	return m
}

// Listener accepts at most a number of connections at once. If it has no room, the
// oldest connection without a request is closed.
type Listener struct {
	net.Listener
	opts    ListenerOptions
	started time.Time

	mu     sync.Mutex
	nextID uint64
	conns  map[uint64]*Conn
	done   bool
	logged time.Time
	// unlogged counts the connections closed since the last line.
	unlogged int
}

// ListenerOptions configures a Listener.
type ListenerOptions struct {
	Name string
	// Limit is the highest number of connections.
	Limit  int
	Budget *Budget
	// Buffers are the receive buffers of the process. They may be nil.
	Buffers *sockbuf.Buffers
	Logger  *log.Logger
	Metrics *Metrics
}

// Listen wraps a listener.
func Listen(listener net.Listener, opts ListenerOptions) *Listener {
	return &Listener{Listener: listener, opts: opts, started: time.Now(), conns: make(map[uint64]*Conn)}
}

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener
	id       uint64
	address  string
	// idle is true while the connection has no request, since when. Both are guarded
	// by the listener's lock.
	idle  bool
	since time.Duration
	// raised is the latest larger receive buffer of the connection.
	raised atomic.Pointer[sockbuf.Raised]
}

// Accept returns the next connection, once there is room for it.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for !l.hasRoom() {
		if l.closeOldest() {
			continue
		}
		l.opts.Budget.ShedIdle()
		time.Sleep(scarceCheck)
	}
	address, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	c := &Conn{Conn: conn, listener: l, id: l.nextID, address: address, idle: true, since: time.Since(l.started)}
	l.conns[c.id] = c
	return c, nil
}

// Close closes the listener.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.done = true
	l.mu.Unlock()
	return l.Listener.Close()
}

func (l *Listener) hasRoom() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.done || len(l.conns) < l.opts.Limit
}

// closeOldest closes the oldest connection without a request and reports whether there
// was one.
func (l *Listener) closeOldest() bool {
	l.mu.Lock()
	var idle []intake.Connection
	for _, c := range l.conns {
		if c.idle {
			idle = append(idle, intake.Connection{ID: c.id, Address: c.address, Since: c.since})
		}
	}
	oldest := intake.Oldest(idle)
	if oldest < 0 {
		l.mu.Unlock()
		return false
	}
	victim := idle[oldest]
	c := l.conns[victim.ID]
	l.unlogged++
	closed := l.unlogged
	report := time.Since(l.logged) >= logInterval
	if report {
		l.logged, l.unlogged = time.Now(), 0
	}
	l.mu.Unlock()
	_ = c.Close()
	l.opts.Metrics.closed.WithLabelValues(l.opts.Name).Inc()
	if report {
		l.opts.Logger.Warn().Str("step", "intake").Str("listener", l.opts.Name).Int("limit", l.opts.Limit).Int("closed", closed).
			Str("peer", victim.Address).Int64("idle_ms", (time.Since(l.started) - victim.Since).Milliseconds()).
			Msg("connections without a request were closed because connections are scarce")
	}
	return true
}

// Read reads bytes of requests.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n < len(data) {
		c.raised.Load().Drained()
	}
	return n, err
}

// raise gives the connection a larger receive buffer for a long body. The function that it returns is called once the
// body has been read.
func (c *Conn) raise() (end func()) {
	if c == nil {
		return func() {}
	}
	raised := c.raised.Load()
	if !raised.Reuse() {
		raised.Release()
		raised = c.listener.opts.Buffers.Raise(c.Conn)
		c.raised.Store(raised)
	}
	return raised.Keep
}

// SetIdle notes whether the connection has no request.
func (c *Conn) SetIdle(idle bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.idle, c.since = idle, time.Since(c.listener.started)
}

// CloseWrite closes the connection for writing alone.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close closes the connection.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.raised.Load().Release()
	c.listener.mu.Lock()
	delete(c.listener.conns, c.id)
	c.listener.mu.Unlock()
	return err
}

// ConnState follows which connections have a request. It is a hook of http.Server.
func ConnState(conn net.Conn, state http.ConnState) {
	if state != http.StateActive && state != http.StateIdle {
		return
	}
	SetIdle(conn, state == http.StateIdle)
}

// SetIdle notes whether the connection within others has no request.
func SetIdle(conn net.Conn, idle bool) {
	if c := connWithin(conn); c != nil {
		c.SetIdle(idle)
	}
}

// connWithin returns the Conn within a connection, or nil.
func connWithin(conn net.Conn) *Conn {
	for conn != nil {
		if c, ok := conn.(*Conn); ok {
			return c
		}
		within, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = within.NetConn()
	}
	return nil
}

type connKey struct{}

// ConnContext lets the share of a request find its connection. It is a hook of http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, connWithin(conn))
}

// connOf returns the connection of a request, or nil.
func connOf(req *http.Request) *Conn {
	conn, _ := req.Context().Value(connKey{}).(*Conn)
	return conn
}

package standin

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// listenRetry is the time between attempts to listen again at an address.
const listenRetry = 50 * time.Millisecond

// Crashable serves HTTP at one address and can end as a process that crashes does: all its
// connections are reset, and new ones are refused for a while. It is safe for concurrent
// use.
type Crashable struct {
	address string
	handler http.Handler

	mu     sync.Mutex
	server *http.Server
	gate   *gate
	conns  map[net.Conn]bool
	closed bool
}

// gate is a listener that resets the connections that it accepts while it is shut.
type gate struct {
	net.Listener
	shut atomic.Bool
}

func (g *gate) Accept() (net.Conn, error) {
	for {
		conn, err := g.Listener.Accept()
		if err != nil || !g.shut.Load() {
			return conn, err
		}
		resetOnClose(conn)
		_ = conn.Close()
	}
}

// resetOnClose makes closing a connection reset it.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// NewCrashable serves a handler at a listener's address until Close.
func NewCrashable(listener net.Listener, handler http.Handler) *Crashable {
	c := &Crashable{address: listener.Addr().String(), handler: handler}
	c.serve(listener)
	return c
}

// Address returns the address, which stays the same.
func (c *Crashable) Address() string { return c.address }

func (c *Crashable) serve(listener net.Listener) {
	server := &http.Server{Handler: c.handler, ConnState: c.track}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = listener.Close()
		return
	}
	gate := &gate{Listener: listener}
	c.server, c.gate, c.conns = server, gate, make(map[net.Conn]bool)
	go func() { _ = server.Serve(gate) }()
}

func (c *Crashable) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed {
		delete(c.conns, conn)
	} else {
		c.conns[conn] = true
	}
}

// Crash ends the server and starts it again after a time. It returns false if the server
// has ended already.
func (c *Crashable) Crash(down time.Duration) bool {
	if !c.end() {
		return false
	}
	time.AfterFunc(down, c.listenAgain)
	return true
}

// CrashBehindProxy ends the server as one behind a proxy or a supervisor that still listens:
// new connections are accepted and reset for a time. It returns false if the server has ended
// already.
func (c *Crashable) CrashBehindProxy(down time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server == nil || c.gate.shut.Load() {
		return false
	}
	gate := c.gate
	gate.shut.Store(true)
	for conn := range c.conns {
		resetOnClose(conn)
		go func() { _ = conn.Close() }()
	}
	time.AfterFunc(down, func() { gate.shut.Store(false) })
	return true
}

// Close ends the server for good.
func (c *Crashable) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.end()
}

func (c *Crashable) end() bool {
	c.mu.Lock()
	server := c.server
	c.server = nil
	if server != nil {
		for conn := range c.conns {
			resetOnClose(conn)
		}
	}
	c.mu.Unlock()
	if server == nil {
		return false
	}
	_ = server.Close()
	return true
}

func (c *Crashable) listenAgain() {
	listener, err := net.Listen("tcp", c.address)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.closed {
			time.AfterFunc(listenRetry, c.listenAgain)
		}
		return
	}
	c.serve(listener)
}

package standin

import (
	"net"
	"net/http"
	"sync"
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
	conns  map[net.Conn]bool
	closed bool
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
	c.server, c.conns = server, make(map[net.Conn]bool)
	go func() { _ = server.Serve(listener) }()
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
			if tcp, ok := conn.(*net.TCPConn); ok {
				// Closing resets the connection then.
				_ = tcp.SetLinger(0)
			}
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

package e2e

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crashDown is how long an engine that has ended refuses connections.
	crashDown = 2 * time.Second
	// crashPrefill is the time before an answer begins.
	crashPrefill = 40 * time.Millisecond
)

// crashes is what a test sees of all engines that can end.
type crashes struct {
	mu sync.Mutex
	// part is the ID of the prompt part that ends an engine which begins to write an answer
	// on it; "" for none.
	part string
	// ends holds when engines ended, reached when requests with the part reached one.
	ends, reached []time.Time
}

func (c *crashes) set(part string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.part = part
}

func (c *crashes) counts() (ends, reached int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ends), len(c.reached)
}

// reachedAfter returns how many requests with the part reached engines later than a time
// after the n-th end.
func (c *crashes) reachedAfter(n int, d time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ends) < n {
		return 0
	}
	after := 0
	for _, at := range c.reached {
		if at.After(c.ends[n-1].Add(d)) {
			after++
		}
	}
	return after
}

// holdsPart reports whether a prompt has the crashing part, which is never its last one.
func (c *crashes) holdsPart(req *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	parts := strings.Split(req.Header.Get("Waxwingcart-Prefix-Hash"), ",")
	for _, part := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(part, ":"); c.part != "" && id == c.part {
			c.reached = append(c.reached, time.Now())
			return true
		}
	}
	return false
}

// crasher ends one engine and starts it again under its ID and address.
type crasher struct {
	*crashes
	engine *hostedEngine

	mu     sync.Mutex
	server *http.Server
	conns  map[net.Conn]bool
}

// addCrashing adds an engine that ends under the crashing part.
func (p *hostedPlatform) addCrashing(t testing.TB, id string, shared *crashes) *hostedEngine {
	t.Helper()
	e := newHostedEngine(id, "models")
	e.crasher = &crasher{crashes: shared, engine: e}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e.address = listener.Addr().String()
	e.crasher.serve(listener)
	t.Cleanup(func() { e.crasher.end(false) })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines = append(p.engines, e)
	return e
}

func (c *crasher) serve(listener net.Listener) {
	server := &http.Server{Handler: c.engine, ConnState: c.track}
	c.mu.Lock()
	c.server, c.conns = server, make(map[net.Conn]bool)
	c.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
}

func (c *crasher) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed {
		delete(c.conns, conn)
	} else {
		c.conns[conn] = true
	}
}

// end resets all connections and refuses new ones, for crashDown if again is true. It
// returns false if the engine has ended already.
func (c *crasher) end(again bool) bool {
	c.mu.Lock()
	server, conns := c.server, c.conns
	c.server = nil
	if server != nil {
		for conn := range conns {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		}
	}
	c.mu.Unlock()
	if server == nil {
		return false
	}
	if again {
		c.crashes.mu.Lock()
		c.ends = append(c.ends, time.Now())
		c.crashes.mu.Unlock()
		time.AfterFunc(crashDown, c.listenAgain)
	}
	_ = server.Close()
	return true
}

func (c *crasher) listenAgain() {
	listener, err := net.Listen("tcp", c.engine.address)
	if err != nil {
		time.AfterFunc(pollInterval, c.listenAgain)
		return
	}
	c.serve(listener)
}

// strikes ends the engine if the prompt has the crashing part, in the middle of the first
// event. It reports whether it did.
func (c *crasher) strikes(w http.ResponseWriter, req *http.Request) bool {
	holds := c.holdsPart(req)
	select {
	case <-time.After(crashPrefill):
	case <-req.Context().Done():
		return true
	}
	if !holds {
		return false
	}
	w.Header().Set("Content-Type", "text/event-stream")
	fmt.Fprint(w, "id: 0\ndata: par")
	_ = http.NewResponseController(w).Flush()
	c.end(true)
	return true
}

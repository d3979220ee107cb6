package e2e

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"waxwingcart/internal/standin"
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
	// mark is what the path or the body of a request holds that ends each server which begins
	// to run it; "" for none.
	mark string
	// behindProxy makes servers that have ended accept connections and reset them.
	behindProxy bool
	// ends holds when engines ended, reached when requests with the part or the mark reached
	// one.
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

func (c *crashes) setMark(mark string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mark, c.ends, c.reached = mark, nil, nil
}

// holdsMark reports whether a request has the mark.
func (c *crashes) holdsMark(req *http.Request, body string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mark == "" || !strings.Contains(req.RequestURI+body, c.mark) {
		return false
	}
	c.reached = append(c.reached, time.Now())
	return true
}

// crasher ends one engine and starts it again under its ID and address.
type crasher struct {
	*crashes
	server *standin.Crashable
}

// addCrashing adds a server that ends under the crashing part or mark.
func (p *hostedPlatform) addCrashing(t testing.TB, id, service string, shared *crashes) *hostedEngine {
	t.Helper()
	e := newHostedEngine(id, service)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := standin.NewCrashable(listener, e)
	t.Cleanup(server.Close)
	e.address, e.crasher = server.Address(), &crasher{crashes: shared, server: server}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines = append(p.engines, e)
	return e
}

// end ends the engine for crashDown.
func (c *crasher) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	crash := c.server.Crash
	if c.behindProxy {
		crash = c.server.CrashBehindProxy
	}
	if crash(crashDown) {
		c.ends = append(c.ends, time.Now())
	}
}

// strikesMark ends the server if a request has the mark, before its answer has a head. It
// reports whether it did.
func (c *crasher) strikesMark(req *http.Request, body string) bool {
	if !c.holdsMark(req, body) {
		return false
	}
	select {
	case <-time.After(crashPrefill):
		c.end()
		// A handler that returns writes an empty answer, which may be sent before the reset.
		panic(http.ErrAbortHandler)
	case <-req.Context().Done():
		return true
	}
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
	c.end()
	return true
}

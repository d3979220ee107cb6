//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// engine is a stand-in of a backend server.
type engine struct {
	id, service, address string
	record               *record

	mu   sync.Mutex
	runs map[string]int
	// work is how long a plain request takes, pause the time between two events of a stream.
	work, pause time.Duration
	events      int
}

func (c *cluster) addEngine(id, service string, host int) (*engine, error) {
	listener, err := net.Listen("tcp", c.address(host, 0))
	if err != nil {
		return nil, err
	}
	e := &engine{
		id: id, service: service, address: listener.Addr().String(), record: c.record, runs: make(map[string]int),
		work: 15 * time.Millisecond, pause: 20 * time.Millisecond, events: 20,
	}
	go func() { _ = http.Serve(listener, e) }()
	c.platform.mu.Lock()
	defer c.platform.mu.Unlock()
	c.platform.instances = append(c.platform.instances, instance{ID: id, Service: service, Addr: e.address, Zone: zones[host%3], Version: "v1", Slots: 8, State: "ready"})
	return e, nil
}

// ServeHTTP runs a request that is meant for this engine.
func (e *engine) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Waxwingcart-Request-Id")
	w.Header().Set("Waxwingcart-Request-Id", id)
	if req.URL.Path == "/healthz" {
		w.Header().Set("Waxwingcart-Instance", e.id)
		return
	}
	if named := req.Header.Get("Waxwingcart-Expect-Instance"); named != "" && named != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	e.record.printf("%s runs %s: %s %s %q", e.id, id, req.Method, req.RequestURI, fmt.Sprintf("%.80s", body))
	w.Header().Set("Waxwingcart-Stamp", "stamp-"+e.id)
	w.Header().Set("Waxwingcart-Load", "1,0,8")
	if e.service != "models" {
		time.Sleep(e.work)
		fmt.Fprintf(w, "%s %s %s", req.Method, req.RequestURI, body)
		return
	}
	first := 0
	if last := req.Header.Get("Last-Event-Id"); last != "" {
		n, _ := strconv.Atoi(last)
		first = n + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first; i < e.events; i++ {
		fmt.Fprintf(w, "id: %d\ndata: part-%d\n\n", i, i)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(e.pause)
	}
}

func (e *engine) ran(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// engine plays an engine of an application service. It runs up to slots requests at once
// and refuses others.
type engine struct {
	lab                        *lab
	id, service, address, zone string
	slots                      int
	// work is how long a request takes.
	work func() time.Duration

	mu      sync.Mutex
	running int
	// ran holds the IDs of the requests that it began to run.
	ran map[string]int
}

// addEngine starts an engine and lists it.
func (l *lab) addEngine(number int, service string, slots int, work func() time.Duration) (*engine, error) {
	e := &engine{
		lab: l, id: fmt.Sprintf("i-%08x", 0x7f3a0000+number), service: service, address: fmt.Sprintf("%s:8308", l.ip(100+number)),
		zone: labZones[number%len(labZones)], slots: slots, work: work, ran: make(map[string]int),
	}
	if err := l.serve(l.ip(100+number), 8308, e); err != nil {
		return nil, err
	}
	l.platform.mu.Lock()
	defer l.platform.mu.Unlock()
	l.platform.engines = append(l.platform.engines, e)
	return e, nil
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	header := w.Header()
	if req.URL.Path == "/healthz" {
		header.Set("Waxwingcart-Instance", e.id)
		return
	}
	id := req.Header.Get("Waxwingcart-Request-Id")
	_, _ = io.Copy(io.Discard, req.Body)
	header.Set("Waxwingcart-Request-Id", id)
	switch expected := req.Header.Get("Waxwingcart-Expect-Instance"); {
	case expected != "" && expected != e.id:
		e.refuse(w, id, http.StatusMisdirectedRequest)
		return
	case !e.begin(id):
		e.refuse(w, id, http.StatusServiceUnavailable)
		return
	}
	e.lab.note("%s runs %s", e.id, id)
	select {
	case <-time.After(e.work()):
		e.lab.note("%s answers %s", e.id, id)
	case <-req.Context().Done():
		e.lab.note("%s drops %s, as its connection was closed", e.id, id)
	}
	e.mu.Lock()
	e.running--
	header.Set("Waxwingcart-Load", fmt.Sprintf("%d,0,%d", e.running, e.slots))
	e.mu.Unlock()
	header.Set("Waxwingcart-Stamp", "stamp."+e.id+"."+id)
	_, _ = io.WriteString(w, "record "+id+"\n")
}

func (e *engine) begin(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= e.slots {
		return false
	}
	e.running++
	e.ran[id]++
	return true
}

func (e *engine) refuse(w http.ResponseWriter, id string, status int) {
	e.lab.note("%s refuses %s with %d, not run", e.id, id, status)
	w.Header().Set("Waxwingcart-Not-Run", "1")
	w.WriteHeader(status)
}

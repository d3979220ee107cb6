package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// platform is a stand-in of the hosting platform and of the backend servers, which
// count in the history what they run.
type platform struct {
	history *History
	now     func() time.Duration
	address string
	servers []*http.Server
	// ballast is the number of listed backend servers that get no requests.
	ballast int

	mu      sync.Mutex
	engines []*engine
	drafts  []*draftEngine
	trouble trouble
	started int
	// read is closed when the list is read next.
	read chan struct{}
}

// engine is the stand-in of a backend server. It serves until the run ends, also
// after it has left the list.
type engine struct {
	platform             *platform
	id, service, address string
	draining             bool
	listing              int
	// version is listed, and named in events, if it is set.
	version string
	mood    mood
}

const engineSlots = 64

func newPlatform(history *History, now func() time.Duration) (*platform, error) {
	p := &platform{history: history, now: now, read: make(chan struct{})}
	router := http.NewServeMux()
	router.HandleFunc("GET /instances", p.list)
	router.HandleFunc("POST /usage", func(http.ResponseWriter, *http.Request) {})
	router.HandleFunc("POST /scale", func(http.ResponseWriter, *http.Request) {})
	var err error
	p.address, err = p.serve(router)
	return p, err
}

// serve serves a handler on a loopback address until close.
func (p *platform) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	p.servers = append(p.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (p *platform) close() {
	for _, server := range p.servers {
		_ = server.Close()
	}
	for _, d := range p.drafts {
		d.server.Close()
	}
}

// deepEntry is an entry of the list that nests more levels than encoding/json reads.
var deepEntry = strings.Repeat("[", 12_000) + strings.Repeat("]", 12_000)

// list serves the list, which always begins with two entries of another writer.
func (p *platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	instances := []map[string]any{{"id": "i-odd", "service": serviceBallast, "addr": "127.0.0.1:70000", "zone": zoneOf(0), "state": "ready"}}
	for i := range p.ballast {
		instances = append(instances, map[string]any{"id": fmt.Sprintf("i-ballast-%d", i), "service": serviceBallast, "addr": p.address, "zone": zoneOf(0), "state": "ready", "slots": engineSlots})
	}
	for _, e := range p.engines {
		state := "ready"
		if e.draining {
			state = "draining"
		}
		instance := map[string]any{"id": e.id, "service": e.service, "addr": e.address, "zone": zoneOf(0), "state": state, "slots": engineSlots}
		if e.version != "" {
			instance["version"] = e.version
		}
		instances = append(instances, instance)
	}
	data, _ := json.Marshal(map[string]any{"instances": instances, "next_token": nil})
	_, _ = w.Write(bytes.Replace(data, []byte(`"instances":[`), []byte(`"instances":[`+deepEntry+`,`), 1))
	close(p.read)
	p.read = make(chan struct{})
}

// nextRead returns a channel that is closed when the list is read next.
func (p *platform) nextRead() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.read
}

// add lists a new backend server of a service.
func (p *platform) add(service string) error { return p.addVersion(service, "") }

// addVersion lists a new backend server of a service and a version.
func (p *platform) addVersion(service, version string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.started++
	e := &engine{platform: p, id: fmt.Sprintf("i-%s-%d", service, p.started), service: service, version: version}
	var err error
	if e.address, err = p.serve(e); err != nil {
		return err
	}
	p.engines = append(p.engines, e)
	p.history.update(func() {
		e.listing = len(p.history.Listings)
		p.history.Listings = append(p.history.Listings, Listing{Service: service, Engine: e.id, Version: e.build(), From: p.now()})
	})
	return nil
}

// remove lists the backend servers for which the condition holds as draining, and
// takes those off the list that already are.
func (p *platform) remove(condition func(*engine) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines = slices.DeleteFunc(p.engines, func(e *engine) bool { return e.draining })
	for _, e := range p.engines {
		if condition(e) {
			e.draining = true
			p.history.update(func() { p.history.Listings[e.listing].To = p.now() })
		}
	}
}

// count returns the number of listed backend servers of a service.
func (p *platform) count(service string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, e := range p.engines {
		if e.service == service && !e.draining {
			n++
		}
	}
	return n
}

// headerService tells the client which service ran its request.
const headerService = "X-Service"

func (e *engine) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Waxwingcart-Request-Id")
	w.Header().Set("Waxwingcart-Request-Id", id)
	if req.Header.Get("Waxwingcart-Expect-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.mood.refuses(w) {
		return
	}
	e.platform.history.update(func() { e.platform.history.Runs[id]++ })
	e.mood.await(req.Context())
	if e.mood.answersEndless(w, id) {
		return
	}
	w.Header().Set("Waxwingcart-Stamp", "stamp-"+e.id)
	w.Header().Set(headerService, e.service)
	if e.version != "" {
		e.stream(w, req)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s", e.service, id)
}

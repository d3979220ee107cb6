package e2e

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"
)

// versionedEngine is a stand-in of a backend server of a software version. Its events
// name the version; it does not check at which version a stream began.
type versionedEngine struct {
	*hostedEngine
	// unlisted leaves the version out of the list.
	unlisted bool
	// breakEvery makes it break off every so many streams of those that begin here,
	// after breakAfter events; 0 means none.
	breakEvery guardedInt
	// gone makes it break off its streams and all connections.
	gone guardedBool

	mu sync.Mutex
	// version is what the list and the events say.
	version string
	begins  int
	// reached holds the IDs of the requests that arrived, run or not.
	reached map[string]bool
}

// breakAfter is the number of events of a stream that its engine breaks off.
const breakAfter = 5

// addVersioned lists a new engine with its version.
func (p *hostedPlatform) addVersioned(t *testing.T, id, version string) *versionedEngine {
	return p.addVersionedAs(t, id, version, false)
}

func (p *hostedPlatform) addVersionedAs(t *testing.T, id, version string, unlisted bool) *versionedEngine {
	e := &versionedEngine{hostedEngine: newHostedEngine(id, "models"), version: version, unlisted: unlisted, reached: make(map[string]bool)}
	e.versioned = e
	e.address = serveLoopback(t, "127.0.0.1:0", e)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines = append(p.engines, e.hostedEngine)
	return e
}

// remove takes an engine off the list.
func (p *hostedPlatform) remove(e *versionedEngine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines = slices.DeleteFunc(p.engines, func(other *hostedEngine) bool { return other == e.hostedEngine })
}

// describe adds the version to the engine's entry in the list.
func (e *versionedEngine) describe(instance map[string]any) {
	if e != nil && !e.unlisted {
		instance["version"] = e.served()
	}
}

func (e *versionedEngine) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	e.mu.Lock()
	e.reached[req.Header.Get("Waxwingcart-Request-Id")] = true
	e.mu.Unlock()
	if e.gone.Load() {
		panic(http.ErrAbortHandler)
	}
	e.hostedEngine.ServeHTTP(w, req)
}

func (e *versionedEngine) stream(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 0
	if last := req.Header.Get("Last-Event-Id"); last != "" {
		n, _ := strconv.Atoi(last)
		first = n + 1
	}
	breaks, version := first == 0 && e.nextBreaks(), e.served()
	for i := first; i < streamEvents; i++ {
		if breaks && i == breakAfter || e.gone.Load() {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s part-%d\n\n", i, version, i)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-req.Context().Done():
			return
		case <-time.After(time.Duration(e.eventInterval.Load()) * time.Millisecond):
		}
	}
}

// served returns the version that the engine serves.
func (e *versionedEngine) served() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// restartAs starts the engine again under its ID and address, at another version.
func (e *versionedEngine) restartAs(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version = version
}

// nextBreaks reports whether the stream that begins is one that breaks off.
func (e *versionedEngine) nextBreaks() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.begins++
	every := e.breakEvery.Load()
	return every > 0 && e.begins%every == 0
}

// reachedBy reports whether the request with an ID arrived.
func (e *versionedEngine) reachedBy(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reached[id]
}

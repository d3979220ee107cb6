package e2e

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"waxwingcart/internal/standin"
)

const (
	brittleEngines = 6
	brittleSlots   = 8
	// brittleWaiting is how many requests wait at an engine that isn't brittle, and fewWaiting how
	// many at one that has been for brittleAfter.
	brittleWaiting = 16
	fewWaiting     = 2
	brittleAfter   = 2 * time.Second
	// brittleRejects is the number of requests that a brittle engine turns away in a second without
	// falling, and brittleDown how long it is gone after a fall.
	brittleRejects = 3
	brittleDown    = 2 * time.Second
	// brittleStability is the time after engines began to be brittle from which falls count.
	brittleStability = 3 * time.Second
	brittleFor       = 13 * time.Second
)

// brittle makes an engine reject what it has no room for, and fall if that is too much.
type brittle struct {
	server *standin.Crashable
	slots  chan struct{}

	mu       sync.Mutex
	since    time.Time
	held     int
	rejected []time.Time
	falls    []time.Time
}

// set begins the time in which the engine is brittle, or ends it.
func (b *brittle) set(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.since = time.Time{}
	if on {
		b.since = time.Now()
	}
}

// admit waits for a slot. It returns false if the engine has rejected the request.
func (b *brittle) admit(w http.ResponseWriter, req *http.Request) bool {
	b.mu.Lock()
	waiting := brittleWaiting
	if !b.since.IsZero() {
		w.Header().Set("Server-Brittle", strconv.Itoa(brittleRejects))
		if time.Since(b.since) > brittleAfter {
			waiting = fewWaiting
		}
	}
	if b.held >= brittleSlots+waiting {
		b.reject(w)
		b.mu.Unlock()
		return false
	}
	b.held++
	b.mu.Unlock()
	select {
	case b.slots <- struct{}{}:
		return true
	case <-req.Context().Done():
		b.leave()
		return false
	}
}

// reject turns a request away. The caller holds mu.
func (b *brittle) reject(w http.ResponseWriter) {
	w.Header().Set("Waxwingcart-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	if b.since.IsZero() {
		return
	}
	now := time.Now()
	recent := []time.Time{now}
	for _, at := range b.rejected {
		if now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	b.rejected = recent
	if len(recent) > brittleRejects && b.server.Crash(brittleDown) {
		b.falls = append(b.falls, now)
	}
}

func (b *brittle) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held--
}

func (b *brittle) release() {
	<-b.slots
	b.leave()
}

// fallsSince counts the falls since a time.
func (b *brittle) fallsSince(from time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, at := range b.falls {
		if at.After(from) {
			n++
		}
	}
	return n
}

// newBrittleCluster starts engines of a service that can be brittle, and whose answers take 0.8 s.
func newBrittleCluster(t *testing.T, service string) (*hostedCluster, []*brittle) {
	t.Helper()
	h := newHostedCluster(t, crashEntries)
	var all []*brittle
	for i := range brittleEngines {
		e := newHostedEngine(fmt.Sprintf("i-%s%d", service[:1], i), service)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		b := &brittle{server: standin.NewCrashable(listener, e), slots: make(chan struct{}, brittleSlots)}
		t.Cleanup(b.server.Close)
		e.address, e.brittle = b.server.Address(), b
		e.eventInterval.Set(40)
		e.callTime.Set(800)
		h.platform.mu.Lock()
		h.platform.engines = append(h.platform.engines, e)
		h.platform.mu.Unlock()
		all = append(all, b)
	}
	other := map[string]string{"models": "ledger", "ledger": "models"}[service]
	h.platform.addEngine(t, "i-other", other)
	h.applyDocument(document(7))
	return h, all
}

// Engines that fall over when they have to turn requests away, under half more requests than fit:
// almost none falls, and most of what fits is served.
func TestHostedBrittleServers(t *testing.T) {
	const (
		// perSecond is half more than the engines serve, which is fits a second.
		fits      = 58
		perSecond = 85
		// allowedFalls is 2 and a tenth of the engines.
		allowedFalls = 2 + brittleEngines/10
	)
	for service, kind := range map[string]*markedRequest{"models": &markedRequests[3], "ledger": &markedRequests[0]} {
		t.Run(service, func(t *testing.T) {
			h, engines := newBrittleCluster(t, service)
			stop := make(chan struct{})
			calm := kind.soundLoad(h, 30, stop)
			time.Sleep(2 * time.Second)
			close(stop)
			if sent, whole := calm.count(time.Time{}, time.Now()); whole < sent {
				t.Fatalf("%d of %d requests whole before, want all", whole, sent)
			}
			for _, b := range engines {
				b.set(true)
			}
			began := time.Now()
			stop = make(chan struct{})
			load := kind.soundLoad(h, perSecond, stop)
			time.Sleep(brittleFor)
			ended := time.Now()
			close(stop)
			falls := 0
			for _, b := range engines {
				falls += b.fallsSince(began)
			}
			from := began.Add(brittleStability)
			sent, whole := load.count(from, ended)
			fitting := int(fits * ended.Sub(from).Seconds())
			t.Logf("%d falls; %d of %d requests whole where %d fit", falls, whole, sent, fitting)
			if falls > allowedFalls {
				t.Errorf("%d falls, want at most %d", falls, allowedFalls)
			}
			if whole < fitting/2 {
				t.Errorf("%d requests were served where %d fit, want at least half", whole, fitting)
			}
			for _, b := range engines {
				b.set(false)
			}
			time.Sleep(brittleStability)
			stop = make(chan struct{})
			load = kind.soundLoad(h, 30, stop)
			time.Sleep(2 * time.Second)
			close(stop)
			if sent, whole := load.count(time.Time{}, time.Now()); 10*whole < 9*sent {
				t.Errorf("%d of %d requests whole afterwards, want nine tenths", whole, sent)
			}
		})
	}
}

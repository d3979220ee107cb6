//go:build review

package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
)

// platform plays the platform's API: the list of engines, and the duties.
type platform struct {
	lab *lab

	mu      sync.Mutex
	engines []*engine
}

func newPlatform(l *lab) *platform { return &platform{lab: l} }

// ServeHTTP implements http.Handler.
func (p *platform) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/instances" {
		body, _ := io.ReadAll(req.Body)
		p.lab.note("platform: %s of %s, fence %s: %s", req.URL.Path, req.Header.Get("Waxwingcart-Holder"), req.Header.Get("Waxwingcart-Fence"), body)
		w.WriteHeader(http.StatusOK)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	instances := []map[string]any{}
	for _, e := range p.engines {
		instances = append(instances, map[string]any{
			"id": e.id, "service": e.service, "addr": e.address, "zone": e.zone, "version": "v1",
			"slots": e.slots, "state": "ready", "cold_left_ms": 0,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": instances, "next_token": nil})
}

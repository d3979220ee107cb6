//go:build review

package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
)

// platform is a stand-in of the hosting platform: the list of engines, usage reports and orders.
type platform struct {
	address string
	record  *record

	mu        sync.Mutex
	instances []instance
}

type instance struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Addr    string `json:"addr"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	ColdMS  int    `json:"cold_left_ms"`
}

func newPlatform(address string, record *record) (*platform, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &platform{address: listener.Addr().String(), record: record}
	router := http.NewServeMux()
	router.HandleFunc("GET /instances", p.list)
	router.HandleFunc("POST /usage", p.duty)
	router.HandleFunc("POST /scale", p.duty)
	go func() { _ = http.Serve(listener, router) }()
	return p, nil
}

func (p *platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": p.instances, "next_token": nil})
}

func (p *platform) duty(_ http.ResponseWriter, req *http.Request) {
	body, _ := io.ReadAll(req.Body)
	p.record.printf("%s by %s, fence %s: %.200s", req.URL.Path, req.Header.Get("Waxwingcart-Holder"), req.Header.Get("Waxwingcart-Fence"), body)
}

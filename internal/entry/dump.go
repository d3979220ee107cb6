package entry

import (
	"time"

	"waxwingcart/internal/core/membership"
)

// State is the entry's part of the state dump.
type State struct {
	VM          string              `json:"vm"`
	Zone        string              `json:"zone"`
	Incarnation uint64              `json:"incarnation"`
	Ready       bool                `json:"ready"`
	Draining    bool                `json:"draining"`
	Config      configState         `json:"config"`
	Leader      string              `json:"leader,omitempty"`
	Members     []membership.Member `json:"members"`
	Limits      limits              `json:"limits"`
	Streams     streamState         `json:"streams"`
	Requests    []RequestState      `json:"requests"`
}

// RequestState is one request in flight.
type RequestState struct {
	ID         string  `json:"id"`
	Customer   string  `json:"customer"`
	Service    string  `json:"service"`
	AgeS       float64 `json:"age_s"`
	Dispatched bool    `json:"dispatched"`
}

// maxDumpRequests bounds the requests in one state dump.
const maxDumpRequests = 1000

// State returns the entry's state.
func (e *Entry) State() State {
	e.members.mu.Lock()
	members := e.members.table.Members()
	e.members.mu.Unlock()
	s := State{
		VM:          e.opts.VM,
		Zone:        e.opts.Zone,
		Incarnation: e.incarnation,
		Ready:       e.Ready(),
		Draining:    e.draining.Load(),
		Config:      e.config.state(),
		Leader:      e.replicas.Leader(),
		Members:     members,
		Limits:      e.policy.state(),
		Streams:     e.streams.state(),
		Requests:    []RequestState{},
	}
	now := time.Now()
	e.forEachRun(func(r *run) {
		if len(s.Requests) == maxDumpRequests {
			return
		}
		s.Requests = append(s.Requests, RequestState{
			ID:         r.id,
			Customer:   r.customer.Name,
			Service:    r.service.Name,
			AgeS:       now.Sub(r.trace.Arrived).Seconds(),
			Dispatched: r.dispatched.Load(),
		})
	})
	return s
}

// InFlight returns the number of requests that the entry holds.
func (e *Entry) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs)
}

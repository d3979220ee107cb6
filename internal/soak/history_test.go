package soak

import (
	"sync"
	"time"
)

// anyTarget as the target of a disturbance means the whole machine.
const anyTarget = "machine"

// Effect is what a disturbance does to a process while it lasts.
type Effect int

// The effects. EffectAway means that a process does not run or is cut off, and
// EffectSlowed that it or its links are slowed. EffectMoment disturbs only at its
// start and end.
const (
	EffectMoment Effect = iota
	EffectAway
	EffectSlowed
)

// Disturbance is a fault that was injected, or a time in which the machine was
// starved. Times count from the start of the run; To is 0 while it lasts.
type Disturbance struct {
	Target   string
	What     string
	Effect   Effect
	From, To time.Duration
}

// Ack is the first acknowledgement of a document.
type Ack struct {
	Label string
	At    time.Duration
}

// Sending is one call of an operator that sent a document. Status is 0 if no response came.
type Sending struct {
	Label    string
	Replica  string
	From, To time.Duration
	Status   int
}

// Read is one call that read the configuration back. Label is the label of the
// document that was read, or "" if the content is that of none.
type Read struct {
	Replica  string
	From, To time.Duration
	Status   int
	Label    string
}

// Listing is a time in which a backend server of a service was listed as ready; To is
// 0 while it is.
type Listing struct {
	Service string
	// Engine and Version are set for the backend servers of streams.
	Engine, Version string
	From, To        time.Duration
}

// Observation is one request and its response. Status is 0 if no complete response
// came. Service is that of the backend server that ran the request.
type Observation struct {
	ID, Entry string
	// Incarnation counts the starts of the entry's process.
	Incarnation       int
	From, To          time.Duration
	Method, Path, Key string
	Status            int
	Service           string
	// Sent is true if the request was written whole and did not cross the entry's close of its
	// connection.
	Sent bool
}

// History is what a run did and saw.
type History struct {
	mu sync.Mutex

	Entries, Replicas []string
	Documents         []*Document
	Disturbances      []Disturbance
	Sendings          []Sending
	Acks              []Ack
	Reads             []Read
	Listings          []Listing
	Observations      []Observation
	Attempts          []StreamAttempt
	Reached           []Reach
	Crashes           []Crash
	Namings           []Naming
	Drafts            []Draft
	// Runs counts how often backend servers ran each request, by its ID.
	Runs map[string]int
	// Ends lists processes that ended by themselves.
	Ends []string
	// End is the time of the last observation that counts.
	End time.Duration
}

func (h *History) update(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

// begin records the start of a disturbance and returns the function that records its
// end.
func (h *History) begin(now func() time.Duration, target, what string, effect Effect) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := len(h.Disturbances)
	h.Disturbances = append(h.Disturbances, Disturbance{Target: target, What: what, Effect: effect, From: now()})
	return func() { h.update(func() { h.Disturbances[i].To = max(now(), 1) }) }
}

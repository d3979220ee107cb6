// Package traces keeps what happened to the requests of an entry, for operators, in bounded memory.
package traces

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Numbers of traces that are kept after their requests have ended. Requests
// refused before they had a run have a limit of their own, so that many of
// them don't evict the traces of the others.
const (
	maxEndedTraces   = 4096
	maxRefusedTraces = 1024
)

// maxTraceSteps bounds the steps in one trace.
const maxTraceSteps = 64

// Trace records what happened to one request, for operators.
type Trace struct {
	ID       string
	Customer string
	Service  string
	Arrived  time.Time
	// Dispatched is true if an attempt was sent to a server. It is set before
	// the request ends.
	Dispatched bool
	// Refused is true if the request ended before it had a run.
	Refused bool

	mu           sync.Mutex
	steps        []string
	droppedSteps int
}

// Add adds a step.
func (t *Trace) Add(now time.Time, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.steps) >= maxTraceSteps {
		t.droppedSteps++
		return
	}
	t.steps = append(t.steps, t.line(now, format, args...))
}

// End adds the last step, even if the trace is full.
func (t *Trace) End(now time.Time, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.droppedSteps > 0 {
		t.steps = append(t.steps, fmt.Sprintf("(%d steps are not kept)", t.droppedSteps))
	}
	t.steps = append(t.steps, t.line(now, format, args...))
}

func (t *Trace) line(now time.Time, format string, args ...any) string {
	offset := now.Sub(t.Arrived).Round(100 * time.Microsecond)
	return fmt.Sprintf("+%s %s", offset, fmt.Sprintf(format, args...))
}

// Lines returns a heading and the steps.
func (t *Trace) Lines() []string {
	head := "request " + t.ID
	if t.Customer != "" {
		head += " of customer " + t.Customer
	}
	if t.Service != "" {
		head += " to service " + t.Service
	}
	head += " arrived " + t.Arrived.UTC().Format(time.RFC3339Nano)
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string{head}, slices.Clone(t.steps)...)
}

// History holds the traces of recently ended requests.
type History struct {
	mu      sync.Mutex
	ended   set
	refused set
}

// set holds a bounded number of traces by request ID.
type set struct {
	limit int
	byID  map[string]*Trace
	order []string
}

// NewHistory returns an empty History.
func NewHistory() *History {
	return &History{ended: newSet(maxEndedTraces), refused: newSet(maxRefusedTraces)}
}

func newSet(limit int) set {
	return set{limit: limit, byID: make(map[string]*Trace)}
}

// put stores a trace and evicts the oldest one beyond the limit.
func (t *set) put(added *Trace) {
	t.byID[added.ID] = added
	t.order = append(t.order, added.ID)
	if len(t.order) > t.limit {
		delete(t.byID, t.order[0])
		t.order = t.order[1:]
	}
}

// Put stores the trace of an ended request.
func (h *History) Put(t *Trace) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t.Refused {
		h.refused.put(t)
		return
	}
	h.ended.put(t)
}

// Get returns the trace of a request, or nil.
func (h *History) Get(id string) *Trace {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t := h.ended.byID[id]; t != nil {
		return t
	}
	return h.refused.byID[id]
}

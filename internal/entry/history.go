package entry

import (
	"fmt"
	"sync"
	"time"

	"waxwingcart/internal/core/request"
)

// historyLength bounds the requests that are remembered after their end.
const historyLength = 4096

// maxTraceSteps bounds the steps that are remembered of one request.
const maxTraceSteps = 64

// trace is what happened to one request, for operators.
type trace struct {
	id       string
	customer string
	service  string
	arrived  time.Time
	steps    []string
	outcome  *request.Outcome
	// dispatched is true if an attempt was handed to a server.
	dispatched bool
}

func (t *trace) add(now time.Time, format string, args ...any) {
	if len(t.steps) >= maxTraceSteps {
		return
	}
	offset := now.Sub(t.arrived).Round(100 * time.Microsecond)
	t.steps = append(t.steps, fmt.Sprintf("+%s %s", offset, fmt.Sprintf(format, args...)))
}

// history remembers the latest ended requests.
type history struct {
	mu    sync.Mutex
	byID  map[string]*trace
	order []string
}

func newHistory() *history {
	return &history{byID: make(map[string]*trace)}
}

// put stores an ended request and drops the oldest beyond the bound.
func (h *history) put(t *trace) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byID[t.id] = t
	h.order = append(h.order, t.id)
	if len(h.order) > historyLength {
		delete(h.byID, h.order[0])
		h.order = h.order[1:]
	}
}

func (h *history) get(id string) *trace {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.byID[id]
}

package standin

import (
	"net/http"
	"sync"
)

var orderKinds = map[string]bool{
	"set-model": true, "set-adapter": true, "set-version": true,
	"set-role": true, "set-leaving": true,
}

// orderRequest is the body of an order, which sets one property of the engine's
// desired state.
type orderRequest struct {
	Fencing uint64 `json:"fencing"`
	Kind    string `json:"kind"`
	Value   string `json:"value"`
}

// orders holds the engine's desired state: the value of the last order of each kind.
// If checkFencing is set, orders with a lower fencing number than an earlier one are
// refused.
type orders struct {
	checkFencing bool

	mu             sync.Mutex
	highestFencing uint64
	desired        map[string]string
}

func newOrders(opts Options) *orders {
	return &orders{
		checkFencing: opts.Fencing == "checked",
		desired:      map[string]string{"set-model": opts.Model},
	}
}

func (o *orders) post(w http.ResponseWriter, r *http.Request) {
	var request orderRequest
	if !readJSON(w, r, &request) {
		return
	}
	if !orderKinds[request.Kind] {
		writeError(w, http.StatusBadRequest, "kind: expected one of the order kinds")
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.checkFencing && request.Fencing < o.highestFencing {
		writeJSON(w, http.StatusConflict, map[string]uint64{"highest": o.highestFencing})
		return
	}
	o.highestFencing = max(o.highestFencing, request.Fencing)
	o.desired[request.Kind] = request.Value
	writeJSON(w, http.StatusOK, map[string]any{"highest": o.highestFencing, "desired": o.desired})
}

func (o *orders) get(w http.ResponseWriter, _ *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"highest": o.highestFencing, "desired": o.desired})
}

func (o *orders) leaving() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.desired["set-leaving"] == "true"
}

func (o *orders) model() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.desired["set-model"]
}

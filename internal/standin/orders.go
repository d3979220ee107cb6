package standin

import (
	"net/http"
	"sync"
)

var orderKinds = map[string]bool{
	"set-model": true, "set-adapter": true, "set-version": true,
	"set-role": true, "set-leaving": true,
}

// order asks for a condition of the engine.
type order struct {
	Fencing uint64 `json:"fencing"`
	Kind    string `json:"kind"`
	Value   string `json:"value"`
}

// orders holds the condition that was ordered last, by kind.
type orders struct {
	checked bool

	mu      sync.Mutex
	highest uint64
	desired map[string]string
}

func newOrders(opts Options) *orders {
	return &orders{
		checked: opts.Fencing == "checked",
		desired: map[string]string{"set-model": opts.Model},
	}
}

func (o *orders) post(w http.ResponseWriter, r *http.Request) {
	var request order
	if !readJSON(w, r, &request) {
		return
	}
	if !orderKinds[request.Kind] {
		writeError(w, http.StatusBadRequest, "kind: expected one of the order kinds")
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.checked && request.Fencing < o.highest {
		writeJSON(w, http.StatusConflict, map[string]uint64{"highest": o.highest})
		return
	}
	o.highest = max(o.highest, request.Fencing)
	o.desired[request.Kind] = request.Value
	writeJSON(w, http.StatusOK, map[string]any{"highest": o.highest, "desired": o.desired})
}

func (o *orders) get(w http.ResponseWriter, _ *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"highest": o.highest, "desired": o.desired})
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

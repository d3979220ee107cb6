package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
)

const (
	defaultTokens = 16
	maxTokens     = 1 << 17
)

// modelServer simulates a model engine with its HTTP API.
type modelServer struct {
	server    *Server
	engine    *engine
	orders    *orders
	startedAt time.Time
}

func newModelServer(s *Server) *modelServer {
	return &modelServer{
		server:    s,
		engine:    newEngine(s.opts, s.faults.holdAfterTokens),
		orders:    newOrders(s.opts),
		startedAt: time.Now(),
	}
}

func (m *modelServer) register(router *mux.Router) {
	router.HandleFunc("/v1/chat/completions", m.complete).Methods(http.MethodPost)
	router.HandleFunc("/v1/completions", m.complete).Methods(http.MethodPost)
	router.HandleFunc("/v1/streams/{stream}/resume", m.resume).Methods(http.MethodPost)
	router.HandleFunc("/v1/streams/{stream}/export", m.export).Methods(http.MethodPost)
	router.HandleFunc("/v1/streams/{stream}", m.cancel).Methods(http.MethodDelete)
	router.HandleFunc("/v1/kv/import", m.importKV).Methods(http.MethodPost)
	router.HandleFunc("/v1/cache/events", m.cacheEvents).Methods(http.MethodGet)
	router.HandleFunc("/v1/orders", m.orders.post).Methods(http.MethodPost)
	router.HandleFunc("/v1/orders", m.orders.get).Methods(http.MethodGet)
	router.HandleFunc("/standin/stats", m.stats).Methods(http.MethodGet)
	if m.server.opts.Vendor == VendorBeta {
		router.HandleFunc("/metrics", m.reportBeta).Methods(http.MethodGet)
	} else {
		router.HandleFunc("/v1/state", m.reportAlpha).Methods(http.MethodGet)
	}
}

// completionRequest is the body of a completion request.
type completionRequest struct {
	Model     string          `json:"model"`
	Prompt    string          `json:"prompt"`
	Messages  []chatMessage   `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	Options   json.RawMessage `json:"stream_options,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// promptText returns the prompt, which is the contents of all messages if there are
// any.
func (c *completionRequest) promptText() string {
	if len(c.Messages) == 0 {
		return c.Prompt
	}
	var text strings.Builder
	for _, message := range c.Messages {
		text.WriteString(message.Content)
	}
	return text.String()
}

// complete runs a completion request.
func (m *modelServer) complete(w http.ResponseWriter, r *http.Request) {
	var request completionRequest
	if !readJSON(w, r, &request) {
		return
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = defaultTokens
	}
	if request.MaxTokens < 1 || request.MaxTokens > maxTokens {
		writeError(w, http.StatusBadRequest, fmt.Sprintf("max_tokens: expected 1 to %d", maxTokens))
		return
	}
	if m.leaving() {
		m.engine.updateStats(func(stats *engineStats) { stats.RefusedLeaving++ })
		refuse(w, http.StatusServiceUnavailable, "leaving")
		return
	}
	s := newStream(request.promptText(), request.MaxTokens)
	s.request = r.Header.Get("X-Request-Id")
	s.model = request.Model
	s.chat = strings.HasSuffix(r.URL.Path, "/chat/completions")
	s.priority, _ = strconv.Atoi(r.Header.Get("X-Priority"))
	if err := m.engine.submit(s); err != nil {
		refuse(w, http.StatusTooManyRequests, err.Error())
		return
	}
	m.server.runs.count(requestID(r))
	if m.engine.attachReader(s.id) == nil {
		writeError(w, http.StatusInternalServerError, "stream expired")
		return
	}
	defer m.engine.detachReader(s)
	w.Header().Set("X-Stream-Id", s.id)
	if request.Stream {
		m.sendEvents(w, r, s, 0)
		return
	}
	m.sendFullResponse(w, r, s)
}

// resume sends the events of an existing stream from an offset on.
func (m *modelServer) resume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		writeError(w, http.StatusBadRequest, "offset: expected a whole number from 0 on")
		return
	}
	s := m.engine.attachReader(mux.Vars(r)["stream"])
	if s == nil {
		writeError(w, http.StatusNotFound, "no such stream")
		return
	}
	defer m.engine.detachReader(s)
	if offset > s.tokens {
		writeError(w, http.StatusBadRequest, "offset: beyond the stream's end")
		return
	}
	m.engine.updateStats(func(stats *engineStats) { stats.Resumed++ })
	w.Header().Set("X-Stream-Id", s.id)
	m.sendEvents(w, r, s, offset)
}

// cancel cancels a stream.
func (m *modelServer) cancel(w http.ResponseWriter, r *http.Request) {
	if !m.engine.cancel(mux.Vars(r)["stream"]) {
		writeError(w, http.StatusNotFound, "no such stream")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// cacheEvents lists the cache events that are at least as old as the report lag.
func (m *modelServer) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		writeError(w, http.StatusBadRequest, "after: expected a whole number")
		return
	}
	if m.server.faults.sendGarbage(w) {
		return
	}
	before := time.Now().Add(-m.server.opts.ReportLag)
	m.engine.mu.Lock()
	events, last := m.engine.cache.since(after, before)
	m.engine.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"events": events, "last": last})
}

func (m *modelServer) stats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, m.engine.statsSnapshot())
}

// leaving reports whether the engine accepts no new work.
func (m *modelServer) leaving() bool {
	return m.server.faults.isLeaving() || m.orders.leaving()
}

// updateStats calls change with the engine's counters while it holds the lock.
func (e *engine) updateStats(change func(*engineStats)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.stats)
}

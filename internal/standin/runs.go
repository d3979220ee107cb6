package standin

import (
	"net/http"
	"strings"
	"sync"
)

// runLog counts the runs that were started, by request ID and by body digest.
type runLog struct {
	mu     sync.Mutex
	runs   map[string]int
	bodies map[string]int
}

func newRunLog() *runLog {
	return &runLog{runs: make(map[string]int), bodies: make(map[string]int)}
}

// count counts one run. Requests without an ID share the ID "".
func (l *runLog) count(requestID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[requestID]++
}

// countWithBody counts one run by its request ID and by its body digest.
func (l *runLog) countWithBody(requestID, bodyDigest string) {
	l.count(requestID)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bodies[bodyDigest]++
}

func (l *runLog) handle(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"runs": l.runs, "bodies": l.bodies})
}

// requestID returns the request ID without the attempt number.
func requestID(r *http.Request) string {
	id, _, _ := strings.Cut(r.Header.Get("X-Request-Id"), "/")
	return id
}

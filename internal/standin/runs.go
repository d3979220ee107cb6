package standin

import (
	"net/http"
	"strings"
	"sync"
)

// runLog counts the runs that were started, by request ID.
type runLog struct {
	mu     sync.Mutex
	runs   map[string]int
	bodies map[string]int
}

func newRunLog() *runLog {
	return &runLog{runs: make(map[string]int), bodies: make(map[string]int)}
}

// started counts one run. Requests without an ID count under "".
func (l *runLog) started(requestID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[requestID]++
}

// startedBody counts one run by the digest of its body as well.
func (l *runLog) startedBody(requestID, bodyDigest string) {
	l.started(requestID)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bodies[bodyDigest]++
}

func (l *runLog) handle(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"runs": l.runs, "bodies": l.bodies})
}

// requestID returns the request's ID without the attempt.
func requestID(r *http.Request) string {
	id, _, _ := strings.Cut(r.Header.Get("X-Request-Id"), "/")
	return id
}

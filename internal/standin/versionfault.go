package standin

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// VersionFault makes stand-ins of one software version bad. A request is affected if it meets all
// conditions.
type VersionFault struct {
	// Version is the version to which the fault applies; others ignore it.
	Version string `json:"version"`
	// FailShare is the share of affected requests that are answered with status 500, from 0 to 1.
	FailShare float64 `json:"fail_share"`
	// SlowMS delays affected requests, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// AfterMS is the time from the fault's injection until it begins, in milliseconds.
	AfterMS int `json:"after_ms"`
	// AboveRunning limits the fault to requests that arrive while more than that many others run.
	AboveRunning int `json:"above_running"`
	// Path limits the fault to requests whose path has the prefix.
	Path string `json:"path"`
}

// versionFaults applies a VersionFault.
type versionFaults struct {
	version string

	mu      sync.Mutex
	fault   VersionFault
	from    time.Time
	running int
	// due is the part of a failure that the affected requests have added up to.
	due float64
}

func (f *versionFaults) set(fault VersionFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault, f.due = fault, 0
	f.from = time.Now().Add(time.Duration(fault.AfterMS) * time.Millisecond)
}

// begin counts a request, and returns whether it fails and how long it is delayed.
func (f *versionFaults) begin(path string) (fails bool, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running++
	if f.fault.Version == "" || f.fault.Version != f.version || time.Now().Before(f.from) ||
		f.running-1 < f.fault.AboveRunning || !strings.HasPrefix(path, f.fault.Path) {
		return false, 0
	}
	f.due += f.fault.FailShare
	if f.due >= 1 {
		f.due--
		fails = true
	}
	return fails, time.Duration(f.fault.SlowMS) * time.Millisecond
}

func (f *versionFaults) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running--
}

// wrap fails or delays requests before the handler runs.
func (f *versionFaults) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/standin/") {
			next.ServeHTTP(w, r)
			return
		}
		fails, delay := f.begin(r.URL.Path)
		defer f.end()
		if !sleep(r.Context(), delay) {
			panic(http.ErrAbortHandler)
		}
		if fails {
			writeError(w, http.StatusInternalServerError, "injected fault of the version")
			return
		}
		next.ServeHTTP(w, r)
	})
}

package standin

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// FaultRequest changes the injected faults. Fields that are nil leave their fault as
// it is.
type FaultRequest struct {
	// Silent stops all progress on the connections that are open now; false
	// resumes it.
	Silent *bool `json:"silent,omitempty"`
	// SilentAll does the same for all connections, later ones included.
	SilentAll *bool `json:"silent_all,omitempty"`
	// Refuse responds to each request with status 503 and X-Not-Started.
	Refuse *bool `json:"refuse,omitempty"`
	// DelayMS delays each request before it is handled, in milliseconds.
	DelayMS *int `json:"delay_ms,omitempty"`
	// Leaving reports the server as leaving.
	Leaving *bool `json:"leaving,omitempty"`
	// DropAfterRun runs each request and closes its connection without a response.
	DropAfterRun *bool `json:"drop_after_run,omitempty"`
	// TruncateAfter closes a stream's connection after that many events;
	// 0 turns it off.
	TruncateAfter *int `json:"truncate_after,omitempty"`
	// HoldAfter stops decoding each stream at that many tokens; 0 turns it off and
	// held streams continue.
	HoldAfter *int `json:"hold_after,omitempty"`
	// Garbage makes load reports and stream events invalid.
	Garbage *bool `json:"garbage,omitempty"`
	// Endless answers each request, without running it, with bytes that have no end:
	// head, interim, framing, event, body or slow; "" turns it off.
	Endless *string `json:"endless,omitempty"`
	// VersionFault makes one software version bad.
	VersionFault *VersionFault `json:"version_fault,omitempty"`
}

// connNumberKey is the context key for the number of a request's connection.
type connNumberKey struct{}

// faults holds the injected faults.
type faults struct {
	// onVersion takes the fault of a software version.
	onVersion   func(VersionFault)
	connections atomic.Int64 // number of the newest connection

	mu             sync.Mutex
	lastSilentConn int64 // number of the last connection that silent applies to
	silent         bool
	silentAll      bool
	silenceChanged chan struct{} // closed and replaced on each change of the faults
	refuse         bool
	delay          time.Duration
	leaving        bool
	dropAfterRun   bool
	truncateAfter  int
	holdAfter      int
	garbage        bool
	endless        string
}

func newFaults() *faults {
	return &faults{silenceChanged: make(chan struct{})}
}

func (f *faults) connContext(ctx context.Context) context.Context {
	return context.WithValue(ctx, connNumberKey{}, f.connections.Add(1))
}

func (f *faults) handle(w http.ResponseWriter, r *http.Request) {
	var request FaultRequest
	if !readJSON(w, r, &request) {
		return
	}
	if request.Endless != nil && *request.Endless != "" {
		if _, known := endlessAnswers[*request.Endless]; !known {
			http.Error(w, "unknown answer without end", http.StatusBadRequest)
			return
		}
	}
	f.set(request)
	if request.VersionFault != nil {
		f.onVersion(*request.VersionFault)
	}
	writeJSON(w, http.StatusOK, map[string]any{})
}

func (f *faults) set(request FaultRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if request.Silent != nil {
		f.silent = *request.Silent
		f.lastSilentConn = f.connections.Load()
	}
	assign(&f.silentAll, request.SilentAll)
	assign(&f.refuse, request.Refuse)
	assign(&f.leaving, request.Leaving)
	assign(&f.dropAfterRun, request.DropAfterRun)
	assign(&f.truncateAfter, request.TruncateAfter)
	assign(&f.holdAfter, request.HoldAfter)
	assign(&f.garbage, request.Garbage)
	assign(&f.endless, request.Endless)
	if request.DelayMS != nil {
		f.delay = time.Duration(*request.DelayMS) * time.Millisecond
	}
	close(f.silenceChanged)
	f.silenceChanged = make(chan struct{})
}

// assign sets a value unless the new one is nil.
func assign[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

// waitWhileSilent blocks while the request's connection is silent. It reports false
// if the request ended first.
func (f *faults) waitWhileSilent(ctx context.Context) bool {
	for {
		silent, changed := f.isSilent(ctx)
		if !silent {
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// isSilent reports whether the request's connection is silent, and returns a channel
// that is closed when that may have changed.
func (f *faults) isSilent(ctx context.Context) (bool, <-chan struct{}) {
	number, numbered := ctx.Value(connNumberKey{}).(int64)
	f.mu.Lock()
	defer f.mu.Unlock()
	silent := f.silentAll || f.silent && (!numbered || number <= f.lastSilentConn)
	return silent, f.silenceChanged
}

// wrap applies silence, delay and refusal before the handler runs, except for the
// stand-in's control requests below /standin/.
func (f *faults) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/standin/") {
			next.ServeHTTP(w, r)
			return
		}
		if !f.waitWhileSilent(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		f.mu.Lock()
		delay, refusing := f.delay, f.refuse
		endless, isEndless := endlessAnswers[f.endless]
		f.mu.Unlock()
		if !sleep(r.Context(), delay) {
			panic(http.ErrAbortHandler)
		}
		if isEndless {
			sendEndless(w, endless)
			return
		}
		if refusing {
			refuse(w, http.StatusServiceUnavailable, "refused")
			return
		}
		if id := r.Header.Get("X-Request-Id"); id != "" {
			w.Header().Set("X-Request-Id", id)
		}
		next.ServeHTTP(w, r)
	})
}

func (f *faults) isLeaving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving
}

// holdAfterTokens returns the number of tokens after which streams are held, or 0.
func (f *faults) holdAfterTokens() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holdAfter
}

// dropResponse aborts the connection without a response if DropAfterRun is set.
func (f *faults) dropResponse() {
	f.mu.Lock()
	drop := f.dropAfterRun
	f.mu.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
}

// truncate aborts the connection if it has sent the number of events that
// TruncateAfter sets.
func (f *faults) truncate(sent int) {
	f.mu.Lock()
	after := f.truncateAfter
	f.mu.Unlock()
	if after > 0 && sent >= after {
		panic(http.ErrAbortHandler)
	}
}

// isGarbage reports whether Garbage is set.
func (f *faults) isGarbage() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.garbage
}

// sendGarbage sends an invalid body and reports true if Garbage is set.
func (f *faults) sendGarbage(w http.ResponseWriter) bool {
	if !f.isGarbage() {
		return false
	}
	_, _ = w.Write([]byte("{\"running\": \"many\" \x00\xff"))
	return true
}

// sleep waits for d. It reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

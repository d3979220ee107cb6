package standin

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// FaultRequest changes the faults that are set; nil leaves one as it is.
type FaultRequest struct {
	// Silent stops all progress on the connections open now. False lets
	// them go on.
	Silent *bool `json:"silent,omitempty"`
	// SilentAll does so for later connections as well.
	SilentAll *bool `json:"silent_all,omitempty"`
	// Refuse answers 503 with X-Not-Started.
	Refuse *bool `json:"refuse,omitempty"`
	// DelayMS delays each answer, in milliseconds.
	DelayMS *int `json:"delay_ms,omitempty"`
	// Leaving reports the server as leaving.
	Leaving *bool `json:"leaving,omitempty"`
	// DropAfterRun runs a request and closes its connection without answer.
	DropAfterRun *bool `json:"drop_after_run,omitempty"`
	// TruncateAfter closes a stream's connection after that many events;
	// 0 turns it off.
	TruncateAfter *int `json:"truncate_after,omitempty"`
	// HoldAfter stops decoding each stream at that many tokens; 0 lets all go
	// on.
	HoldAfter *int `json:"hold_after,omitempty"`
	// Garbage answers reports and events with text that is none.
	Garbage *bool `json:"garbage,omitempty"`
}

type connNumber struct{}

// faults holds the faults that are set.
type faults struct {
	connections atomic.Int64

	mu            sync.Mutex
	silentUpTo    int64
	silent        bool
	silentAll     bool
	spoken        chan struct{} // closed when silence ends or begins
	refuse        bool
	delay         time.Duration
	leaving       bool
	dropAfterRun  bool
	truncateAfter int
	holdAfter     int
	garbage       bool
}

func newFaults() *faults {
	return &faults{spoken: make(chan struct{})}
}

func (f *faults) connContext(ctx context.Context) context.Context {
	return context.WithValue(ctx, connNumber{}, f.connections.Add(1))
}

func (f *faults) handle(w http.ResponseWriter, r *http.Request) {
	var request FaultRequest
	if !readJSON(w, r, &request) {
		return
	}
	f.set(request)
	writeJSON(w, http.StatusOK, map[string]any{})
}

func (f *faults) set(request FaultRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if request.Silent != nil {
		f.silent = *request.Silent
		f.silentUpTo = f.connections.Load()
	}
	assign(&f.silentAll, request.SilentAll)
	assign(&f.refuse, request.Refuse)
	assign(&f.leaving, request.Leaving)
	assign(&f.dropAfterRun, request.DropAfterRun)
	assign(&f.truncateAfter, request.TruncateAfter)
	assign(&f.holdAfter, request.HoldAfter)
	assign(&f.garbage, request.Garbage)
	if request.DelayMS != nil {
		f.delay = time.Duration(*request.DelayMS) * time.Millisecond
	}
	close(f.spoken)
	f.spoken = make(chan struct{})
}

func assign[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

// speak waits while the request's connection is silent. It reports false if
// the request ended first.
func (f *faults) speak(ctx context.Context) bool {
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

// isSilent reports whether the connection is silent, and a channel that is
// closed when that may have changed.
func (f *faults) isSilent(ctx context.Context) (bool, <-chan struct{}) {
	number, numbered := ctx.Value(connNumber{}).(int64)
	f.mu.Lock()
	defer f.mu.Unlock()
	silent := f.silentAll || f.silent && (!numbered || number <= f.silentUpTo)
	return silent, f.spoken
}

// wrap applies silence, delay and refusal before a handler runs. The
// stand-in's own calls are left alone.
func (f *faults) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/standin/") {
			next.ServeHTTP(w, r)
			return
		}
		if !f.speak(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		f.mu.Lock()
		delay, refused := f.delay, f.refuse
		f.mu.Unlock()
		if !sleep(r.Context(), delay) {
			panic(http.ErrAbortHandler)
		}
		if refused {
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

// held returns the number of tokens at which streams are held, or 0.
func (f *faults) held() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holdAfter
}

// dropped closes the connection without an answer if that fault is set.
func (f *faults) dropped() {
	f.mu.Lock()
	drop := f.dropAfterRun
	f.mu.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
}

// cut closes the connection if as many events as set have been sent.
func (f *faults) cut(sent int) {
	f.mu.Lock()
	after := f.truncateAfter
	f.mu.Unlock()
	if after > 0 && sent >= after {
		panic(http.ErrAbortHandler)
	}
}

// isGarbage reports whether that fault is set.
func (f *faults) isGarbage() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.garbage
}

// sendGarbage answers with garbage if that fault is set.
func (f *faults) sendGarbage(w http.ResponseWriter) bool {
	if !f.isGarbage() {
		return false
	}
	_, _ = w.Write([]byte("{\"running\": \"many\" \x00\xff"))
	return true
}

// sleep waits for d and reports false if ctx ended first.
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

package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// watchdog cancels a call that makes no progress.
type watchdog struct {
	timer   *time.Timer
	timeout atomic.Int64
	expired atomic.Bool
	// sent is set once the header of the answer is there; sending the
	// request's body counts as progress until then.
	sent atomic.Bool
}

func newWatchdog(cancel context.CancelCauseFunc, timeout, otherwise time.Duration) *watchdog {
	setDefault(&timeout, otherwise)
	w := &watchdog{}
	w.timeout.Store(int64(timeout))
	w.timer = time.AfterFunc(timeout, func() {
		w.expired.Store(true)
		cancel(errSilent)
	})
	return w
}

func (w *watchdog) progress()   { w.timer.Reset(time.Duration(w.timeout.Load())) }
func (w *watchdog) stop()       { w.timer.Stop() }
func (w *watchdog) fired() bool { return w.expired.Load() }

// onceBody is a request body that a transport cannot send again by itself.
type onceBody struct {
	from    io.Reader
	watched *watchdog
}

// Read reads on and counts as progress.
func (b onceBody) Read(data []byte) (int, error) {
	if !b.watched.sent.Load() {
		b.watched.progress()
	}
	return b.from.Read(data)
}

// Close does nothing.
func (onceBody) Close() error { return nil }

// answer is the body of an answer, watched for progress.
type answer struct {
	client   *Client
	call     Call
	response *http.Response
	over     *handover
	watched  *watchdog
	cancel   context.CancelCauseFunc
	ended    atomic.Bool
	// byEvent is set if events count as progress, and not bytes.
	byEvent bool
}

// Read reads on. Any error but io.EOF is an *Error.
func (a *answer) Read(data []byte) (int, error) {
	if !a.byEvent {
		a.watched.progress()
		defer a.watched.stop()
	}
	n, err := a.response.Body.Read(data)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		a.ended.Store(true)
		return n, io.EOF
	}
	if a.watched.fired() {
		a.client.Forget(a.call.Address)
		return n, a.fail(PhaseSilent, errSilent)
	}
	return n, a.fail(PhaseTruncated, err)
}

// Close gives the answer up unless it was read to its end. The connection of
// an answer that was not is closed.
func (a *answer) Close() error {
	a.watched.stop()
	if !a.ended.Load() {
		a.over.end()
	}
	a.cancel(context.Canceled)
	return a.response.Body.Close()
}

// fail makes an error of the call in a phase.
func (a *answer) fail(phase Phase, err error) *Error {
	return &Error{
		Step:       a.call.Step,
		Peer:       a.call.Address,
		Phase:      phase,
		Status:     a.response.StatusCode,
		RetryAfter: a.response.Header.Get("Retry-After"),
		Err:        err,
	}
}

package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"waxwingcart/internal/answers"
	"waxwingcart/internal/sockbuf"
)

// watchdog watches a call that makes no progress. It cancels the call, or reports the
// silence after each timeout and leaves the call open.
type watchdog struct {
	timer   *silenceTimer
	timeout atomic.Int64
	expired atomic.Bool
	// responded is set once the response header has arrived. Until then,
	// sending the request body counts as progress.
	responded atomic.Bool
}

// newWatchdog returns a started watchdog. The call is cancelled if onSilence is nil.
func newWatchdog(cancel context.CancelCauseFunc, onSilence func(), timeout time.Duration) *watchdog {
	w := &watchdog{}
	w.timeout.Store(int64(timeout))
	if onSilence != nil {
		w.timer = newSilenceTimer(timeout, true, onSilence)
		return w
	}
	w.timer = newSilenceTimer(timeout, false, func() {
		w.expired.Store(true)
		cancel(errNoProgress)
	})
	return w
}

func (w *watchdog) progress()   { w.timer.start(time.Duration(w.timeout.Load())) }
func (w *watchdog) stop()       { w.timer.stop() }
func (w *watchdog) fired() bool { return w.expired.Load() }

// singleUseBody is a request body that a transport cannot rewind, and therefore
// cannot send again on its own.
type singleUseBody struct {
	reader io.Reader
	wd     *watchdog
}

// newEvents returns the reader of the body's events, each of which is a part.
func (r *pendingResponse) newEvents() *EventReader {
	r.byEvent = true
	r.limit = answers.MaxStreamBytes
	reader := NewEventReader(r, r.client.opts.MaxEventBytes)
	reader.onEvent = r.tracker.partRead
	reader.account = r.account
	return reader
}

// readAll reads the whole body, which must not exceed limit bytes. The account of the call goes on holding
// it.
func (r *pendingResponse) readAll(limit int64) ([]byte, error) {
	if r.response.ContentLength > limit {
		return nil, r.fail(PhaseInvalid, answers.TooLong(answers.KindBody, limit))
	}
	body, err := answers.ReadAll(r.account, r, limit)
	r.kept = err == nil && r.call.Account != nil
	var callErr *Error
	if err != nil && !errors.As(err, &callErr) {
		return nil, r.fail(PhaseInvalid, err)
	}
	return body, err
}

// Read reads from the body. It counts as progress until the response header has
// arrived.
func (b singleUseBody) Read(data []byte) (int, error) {
	if !b.wd.responded.Load() {
		b.wd.progress()
	}
	return b.reader.Read(data)
}

// Close does nothing.
func (singleUseBody) Close() error { return nil }

// pendingResponse is a response whose header has arrived. It is also the reader
// of the response body, which is monitored for progress.
type pendingResponse struct {
	client   *Client
	call     Call
	response *http.Response
	tracker  *writeTracker
	wd       *watchdog
	cancel   context.CancelCauseFunc
	ended    atomic.Bool
	// byEvent is set if only complete events count as progress, not single
	// bytes.
	byEvent bool
	// received counts the body's bytes of a stream, and limit bounds them.
	received, limit int64
	// account is what the body or event holds, which stays held after Close if it is kept.
	account answers.Account
	kept    bool
	// raised is the larger receive buffer of the connection while a long body is read.
	raised *sockbuf.Raised
}

// raiseAfter is the number of bytes of a body after which its connection gets a larger receive buffer.
const raiseAfter = 4 << 10

// Read reads from the body. Any error other than io.EOF is an *Error.
func (r *pendingResponse) Read(data []byte) (int, error) {
	if !r.byEvent {
		r.wd.progress()
		defer r.wd.stop()
	}
	n, err := r.response.Body.Read(data)
	r.received += int64(n)
	if !r.byEvent && r.raised == nil && r.received >= raiseAfter {
		r.raised = r.tracker.raise(r.client.opts.Buffers)
	}
	if r.limit > 0 && r.received > r.limit {
		return 0, r.fail(PhaseInvalid, answers.TooLong(answers.KindBody, r.limit))
	}
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		r.ended.Store(true)
		return n, io.EOF
	}
	if r.wd.fired() {
		r.client.CloseIdle(r.call.Address)
		return n, r.fail(PhaseSilent, errNoProgress)
	}
	if answers.KindOf(err) != "" {
		return n, r.fail(PhaseInvalid, err)
	}
	if _, readable := r.tracker.partSize(); readable && r.response.Request.Context().Err() == nil {
		// The transport has refused bytes that have arrived.
		return n, r.fail(PhaseInvalid, &answers.Error{Kind: answers.KindFraming, Detail: err.Error()})
	}
	return n, r.fail(PhaseTruncated, err)
}

// Close closes the body. If it was not read to its end, the attempt is abandoned
// and its connection is closed.
func (r *pendingResponse) Close() error {
	r.wd.stop()
	// A connection on which more than the answer has arrived is not used again.
	r.raised.Release()
	if !r.kept {
		_ = r.account.Set(0)
	}
	if !r.ended.Load() {
		r.tracker.abandon()
	}
	r.cancel(context.Canceled)
	return r.response.Body.Close()
}

// fail returns an error of the call with the given phase and cause.
func (r *pendingResponse) fail(phase Phase, err error) *Error {
	r.client.reportEndless(r.call, err)
	return &Error{
		Step:       r.call.Step,
		Peer:       r.call.Address,
		Phase:      phase,
		Status:     r.response.StatusCode,
		RetryAfter: r.response.Header.Get("Retry-After"),
		Err:        err,
	}
}

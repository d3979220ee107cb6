package entry

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"waxwingcart/internal/core/request"
	"waxwingcart/internal/intake"
)

// routedSink writes a routed call's answer as the backend server sent it. The
// status of a refusal says whether the call may have run: 429 and 503 that it
// has not, 502 and 504 that it may have.
type routedSink struct {
	w     http.ResponseWriter
	entry *Entry
	id    string
	// customer is the caller's customer, if it is known before there is a run.
	customer string
	// run is the call's run, or nil before it has one.
	run *run
	// share is what the call holds of the memory for callers.
	share   *intake.Share
	begun   bool
	aborted bool
	// bodyRead is true once the caller's whole body has been read.
	bodyRead bool
}

// token writes one event, preceded by the answer's header if it is the first.
func (s *routedSink) token(data []byte, _ request.Position) {
	// The event is held since it was queued.
	s.withWriteTimeout(0, func() {
		s.begin()
		_, _ = s.w.Write(data)
		_ = http.NewResponseController(s.w).Flush()
	})
}

// withWriteTimeout bounds a write of bytes, which are held while it lasts.
func (s *routedSink) withWriteTimeout(bytes int, write func()) {
	writeWithTimeout(s.w, s.entry.opts.WriteTimeout, s.share, bytes, write)
}

// begin writes the header of the backend server's answer.
func (s *routedSink) begin() {
	if s.begun {
		return
	}
	s.begun = true
	s.copyHeader(s.run.answer)
	s.w.WriteHeader(s.run.answer.status)
}

func (s *routedSink) copyHeader(a *answer) {
	header := s.w.Header()
	// Keeps net/http from guessing a type that the server did not send.
	header["Content-Type"] = nil
	for name, values := range a.header {
		if !hopByHop[name] {
			header[name] = values
		}
	}
	s.closeIfDraining()
}

// closeIfDraining asks the caller to open its next connection elsewhere.
func (s *routedSink) closeIfDraining() {
	if s.entry.draining.Load() {
		s.w.Header().Set("Connection", "close")
	}
}

func (s *routedSink) complete(a *answer) {
	if s.begun {
		return
	}
	s.begun = true
	s.copyHeader(a)
	if s.run.message.method != http.MethodHead {
		s.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	s.withWriteTimeout(a.unheld(), func() {
		s.w.WriteHeader(a.status)
		s.share.WriteBody(s.w, a.body)
		_ = http.NewResponseController(s.w).Flush()
	})
}

// routedStatus maps the reasons of calls that have not run to statuses. Other
// reasons get 503.
var routedStatus = map[request.Reason]int{
	reasonBadRequest:         http.StatusBadRequest,
	reasonTooLarge:           http.StatusRequestEntityTooLarge,
	reasonSlowBody:           http.StatusRequestTimeout,
	reasonNoRoute:            http.StatusNotFound,
	reasonUnauthorized:       http.StatusUnauthorized,
	reasonQuota:              http.StatusTooManyRequests,
	request.ReasonCallerGone: http.StatusServiceUnavailable,
}

func statusOf(outcome request.Outcome) int {
	if outcome.Kind == request.OutcomeNotRun {
		if status, ok := routedStatus[outcome.Reason]; ok {
			return status
		}
		return http.StatusServiceUnavailable
	}
	if outcome.Reason == request.ReasonDeadline {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// refuse ends a call that has no whole answer. A stream that has begun is
// aborted, so that it does not look complete.
func (s *routedSink) refuse(outcome request.Outcome, _ *answer) {
	if s.run == nil || s.run.outcome == nil {
		s.logRefusal(outcome)
	}
	if s.begun {
		s.aborted = true
		return
	}
	s.begun = true
	status := statusOf(outcome)
	header := s.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(headerOutcome, outcomeName(outcome.Kind))
	header.Set(headerRequestID, s.id)
	if retryable := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable; retryable && outcome.RetryAfter > 0 {
		header.Set(headerRetryAfter, retryAfterFraction(outcome.RetryAfter))
	}
	s.closeIfDraining()
	if !s.bodyRead {
		s.leaveBody()
	}
	body, _ := json.Marshal(errorBody{Error: detailOf(s.id, outcome)})
	header.Set("Content-Length", strconv.Itoa(len(body)))
	s.withWriteTimeout(len(body), func() {
		s.w.WriteHeader(status)
		_, _ = s.w.Write(body)
		_ = http.NewResponseController(s.w).Flush()
	})
}

// leaveBody lets an answer be sent before the request's body has arrived. net/http
// reads the rest of a body before it sends an answer, unless the connection is to be
// closed, and once more after the answer; callerConn discards it instead.
func (s *routedSink) leaveBody() {
	s.w.Header().Set("Connection", "close")
	_ = http.NewResponseController(s.w).SetReadDeadline(time.Now())
}

// refuseError refuses a call that failed before it had a run.
func (s *routedSink) refuseError(err error) {
	outcome := notRunOutcome(reasonBadRequest, err.Error(), 0)
	var call *callError
	if errors.As(err, &call) {
		outcome.Reason, outcome.Step, outcome.RetryAfter = call.reason, call.message, call.retryAfter
	}
	s.refuse(outcome, nil)
}

// logRefusal logs and counts a call that was refused before it was admitted.
func (s *routedSink) logRefusal(outcome request.Outcome) {
	s.entry.metrics.outcomes.WithLabelValues("", outcomeName(outcome.Kind), string(outcome.Reason)).Inc()
	s.entry.logger.Info().Str("step", "refuse").Str("request", s.id).Str("customer", s.customer).Str("outcome", outcomeName(outcome.Kind)).
		Str("reason", string(outcome.Reason)).Str("detail", outcome.Step).Bool("body_read", s.bodyRead).
		Int64("retry_after_ms", outcome.RetryAfter.Milliseconds()).Msg("request refused before it was admitted")
}

// retryAfterFraction formats a delay in seconds with three decimals.
func retryAfterFraction(delay time.Duration) string {
	return strconv.FormatFloat(max(delay, time.Millisecond).Seconds(), 'f', 3, 64)
}

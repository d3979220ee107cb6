package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"waxwingcart/internal/core/request"
)

// The headers of answers that are not the full answer.
const (
	headerOutcome    = "Waxwingcart-Outcome"
	headerRequestID  = "Waxwingcart-Request-Id"
	headerRetryAfter = "Retry-After"
)

// The values of headerOutcome.
const (
	outcomeNotRun    = "not-run"
	outcomeUnknown   = "unknown"
	outcomeResumable = "resumable"
)

// errorBody is the machine-readable body of a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message      string `json:"message"`
	Type         string `json:"type"`
	Reason       string `json:"reason"`
	Step         string `json:"step,omitempty"`
	Peer         string `json:"peer,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
	Outcome      string `json:"outcome"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// Reasons that arise in the HTTP layer, before a request exists.
const (
	reasonUnauthorized request.Reason = "unauthorized"
	reasonBadRequest   request.Reason = "bad-request"
	reasonNoService    request.Reason = "no-such-service"
	reasonTooLarge     request.Reason = "body-too-large"
	reasonBadEventID   request.Reason = "bad-event-id"
	reasonNotReady     request.Reason = "not-ready"
	reasonSlowBody     request.Reason = "slow-body"
)

var reasonStatus = map[request.Reason]int{
	reasonUnauthorized:        http.StatusUnauthorized,
	reasonBadRequest:          http.StatusBadRequest,
	reasonNoService:           http.StatusNotFound,
	reasonTooLarge:            http.StatusRequestEntityTooLarge,
	reasonBadEventID:          http.StatusBadRequest,
	reasonSlowBody:            http.StatusRequestTimeout,
	request.ReasonAdmission:   http.StatusTooManyRequests,
	request.ReasonInFlight:    http.StatusConflict,
	request.ReasonMismatch:    http.StatusUnprocessableEntity,
	request.ReasonKeyExpired:  http.StatusConflict,
	request.ReasonKeyUnknown:  http.StatusConflict,
	request.ReasonAttempt:     http.StatusBadGateway,
	request.ReasonDiverged:    http.StatusBadGateway,
	request.ReasonDeadline:    http.StatusGatewayTimeout,
	request.ReasonAbandoned:   http.StatusConflict,
	request.ReasonReservation: http.StatusServiceUnavailable,
}

// noRetry lists the reasons for which sending the same request again does not
// help.
var noRetry = map[request.Reason]bool{
	reasonUnauthorized:       true,
	reasonBadRequest:         true,
	reasonNoService:          true,
	reasonTooLarge:           true,
	reasonBadEventID:         true,
	request.ReasonMismatch:   true,
	request.ReasonKeyExpired: true,
	request.ReasonKeyUnknown: true,
}

func outcomeName(kind request.OutcomeKind) string {
	switch kind {
	case request.OutcomeNotRun:
		return outcomeNotRun
	case request.OutcomeResumable:
		return outcomeResumable
	default:
		return outcomeUnknown
	}
}

func detailOf(requestID string, outcome request.Outcome) errorDetail {
	detail := errorDetail{
		Message:   string(outcome.Reason),
		Type:      "waxwingcart_error",
		Reason:    string(outcome.Reason),
		Step:      outcome.Step,
		Peer:      outcome.Peer,
		RequestID: requestID,
		Outcome:   outcomeName(outcome.Kind),
	}
	if !noRetry[outcome.Reason] {
		detail.RetryAfterMS = max(outcome.RetryAfter, time.Millisecond).Milliseconds()
	}
	return detail
}

// writeRefusal answers a request whose response has not begun.
func writeRefusal(w http.ResponseWriter, requestID string, outcome request.Outcome) {
	status, ok := reasonStatus[outcome.Reason]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	if outcome.Reason == request.ReasonAttempt && outcome.Kind == request.OutcomeNotRun {
		status = http.StatusServiceUnavailable
	}
	detail := detailOf(requestID, outcome)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(headerOutcome, detail.Outcome)
	header.Set(headerRequestID, requestID)
	if detail.RetryAfterMS > 0 {
		header.Set(headerRetryAfter, retryAfterSeconds(outcome.RetryAfter))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: detail})
}

// retryAfterSeconds rounds up to whole seconds, at least one.
func retryAfterSeconds(delay time.Duration) string {
	seconds := math.Ceil(delay.Seconds())
	return strconv.Itoa(int(max(seconds, 1)))
}

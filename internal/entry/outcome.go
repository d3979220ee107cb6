package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"waxwingcart/internal/core/admission"
	"waxwingcart/internal/core/request"
)

// Headers of answers that are not a backend server's full answer.
const (
	headerOutcome    = "Waxwingcart-Outcome"
	headerRequestID  = "Waxwingcart-Request-Id"
	headerRetryAfter = "Retry-After"
)

// Values of headerOutcome.
const (
	outcomeNotRun    = "not-run"
	outcomeUnknown   = "unknown"
	outcomeResumable = "resumable"
)

// errorBody is the JSON body of a refusal.
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
	RetryAfterMS *int64 `json:"retry_after_ms,omitempty"`
	// Answered describes an answer whose body was not kept.
	Answered *answeredDetail `json:"answered,omitempty"`
}

// answeredDetail is the status and header of an answer that a backend server
// gave earlier.
type answeredDetail struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
}

// Reasons for refusals by the HTTP layer, before a request exists.
const (
	reasonUnauthorized request.Reason = "unauthorized"
	reasonBadRequest   request.Reason = "bad-request"
	reasonNoService    request.Reason = "no-such-service"
	reasonTooLarge     request.Reason = "body-too-large"
	reasonBadEventID   request.Reason = "bad-event-id"
	reasonNotReady     request.Reason = "not-ready"
	reasonSlowBody     request.Reason = "slow-body"
	reasonMemory       request.Reason = "memory-used-up"
	reasonBusy         request.Reason = "too-many-requests-run"
)

var reasonStatus = map[request.Reason]int{
	reasonUnauthorized:        http.StatusUnauthorized,
	reasonBadRequest:          http.StatusBadRequest,
	reasonNoService:           http.StatusNotFound,
	reasonTooLarge:            http.StatusRequestEntityTooLarge,
	reasonBadEventID:          http.StatusBadRequest,
	reasonSlowBody:            http.StatusRequestTimeout,
	request.ReasonInFlight:    http.StatusConflict,
	request.ReasonMismatch:    http.StatusUnprocessableEntity,
	request.ReasonKeyExpired:  http.StatusConflict,
	request.ReasonKeyUnknown:  http.StatusConflict,
	request.ReasonNotKept:     http.StatusConflict,
	request.ReasonAttempt:     http.StatusBadGateway,
	request.ReasonDiverged:    http.StatusBadGateway,
	request.ReasonDeadline:    http.StatusGatewayTimeout,
	request.ReasonAbandoned:   http.StatusConflict,
	request.ReasonReservation: http.StatusServiceUnavailable,

	admissionReason(admission.ReasonRequestLimit):    http.StatusTooManyRequests,
	admissionReason(admission.ReasonTokenLimit):      http.StatusTooManyRequests,
	admissionReason(admission.ReasonInFlightLimit):   http.StatusTooManyRequests,
	admissionReason(admission.ReasonUnknownCustomer): http.StatusUnauthorized,
}

// admissionReason converts an admission reason for callers. It lets them
// distinguish a customer above its limits, answered with 429, from a full
// service, answered with 503.
func admissionReason(reason admission.Reason) request.Reason {
	return request.ReasonAdmission + "-" + request.Reason(reason.String())
}

// beginAgain says what the caller of a stream that can't go on may do.
const beginAgain = "begin it again without Last-Event-Id"

// reasonMessage explains reasons whose name alone could be misread.
var reasonMessage = map[request.Reason]string{
	request.ReasonInFlight:    "another request with this key has not ended; send it again for its answer",
	request.ReasonKeyUnknown:  "it will never be known whether the request with this key ran; it is not run again",
	request.ReasonNotKept:     "the request with this key ran once and was answered, but the answer was too long to be kept; it is not run again",
	request.ReasonReservation: "the key can't be reserved here now, and nothing was run for this request; if the key was sent before, that earlier request may have run",
	request.ReasonKeyExpired:  "the record of this key has expired; whether its request ran is no longer known",
	reasonStreamUnnamed:       "the software version that began the stream is not known, as Resumes does not name the request that brought its first event; " + beginAgain,
	reasonStreamUnknown:       "the software version that began the stream is not known here; " + beginAgain,
	reasonStreamAmbiguous:     "streams of two software versions began under the request ID that Resumes names; " + beginAgain,
	reasonVersionChanged:      "the backend server that began the stream has changed its software version; " + beginAgain,
	reasonListUnchecked:       "whether other software versions have joined could not be checked; " + beginAgain,
	reasonVersionGone:         "no backend server of the software version that began the stream takes work; " + beginAgain,
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
	request.ReasonNotKept:    true,
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
	if message, ok := reasonMessage[outcome.Reason]; ok {
		detail.Message = message
	}
	if !noRetry[outcome.Reason] {
		delay := outcome.RetryAfter.Milliseconds()
		detail.RetryAfterMS = &delay
	}
	return detail
}

// writeRefusal answers a request whose response has not begun. The recorded
// answer is an earlier one whose body was not kept, or nil.
func writeRefusal(w http.ResponseWriter, requestID string, outcome request.Outcome, recorded *answer) {
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
	if recorded != nil {
		detail.Answered = &answeredDetail{Status: recorded.status, Header: recorded.header}
	}
	if detail.RetryAfterMS != nil {
		header.Set(headerRetryAfter, retryAfterSeconds(outcome.RetryAfter))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: detail})
}

// retryAfterSeconds formats a delay, rounded up to whole seconds. Zero means
// at once.
func retryAfterSeconds(delay time.Duration) string {
	return strconv.Itoa(int(math.Ceil(delay.Seconds())))
}

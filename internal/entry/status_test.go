package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"waxwingcart/internal/core/admission"
	"waxwingcart/internal/core/request"
)

// A customer above its limits gets status 429. A customer of a full service
// gets 503, because that is not the customer's fault.
func TestAdmissionStatus(t *testing.T) {
	for reason, want := range map[admission.Reason]int{
		admission.ReasonRequestLimit:  http.StatusTooManyRequests,
		admission.ReasonTokenLimit:    http.StatusTooManyRequests,
		admission.ReasonInFlightLimit: http.StatusTooManyRequests,
		admission.ReasonQueueFull:     http.StatusServiceUnavailable,
		admission.ReasonTarget:        http.StatusServiceUnavailable,
	} {
		w := httptest.NewRecorder()
		writeRefusal(w, "r-1", request.Outcome{Kind: request.OutcomeNotRun, Reason: admissionReason(reason)}, nil)
		if w.Code != want || w.Header().Get(headerRetryAfter) == "" {
			t.Errorf("%s: status %d, Retry-After %q; want %d", reason, w.Code, w.Header().Get(headerRetryAfter), want)
		}
	}
}

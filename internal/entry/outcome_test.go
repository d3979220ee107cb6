package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"waxwingcart/internal/core/admission"
	"waxwingcart/internal/core/request"
)

// Refusals by admission have one status, whatever admission's own reason.
func TestStatusOfAdmissionRefusals(t *testing.T) {
	for reason := admission.ReasonUnknownCustomer; reason <= admission.ReasonTarget; reason++ {
		w := httptest.NewRecorder()
		writeRefusal(w, "r-1", request.Outcome{Kind: request.OutcomeNotRun, Reason: admissionReason(reason)}, nil)
		if w.Code != http.StatusTooManyRequests {
			t.Errorf("%s: status %d, expected %d", reason, w.Code, http.StatusTooManyRequests)
		}
	}
}

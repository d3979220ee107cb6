package entry

import (
	"net/http"
	"testing"
	"time"

	"waxwingcart/internal/core/request"
)

// Load pattern: thousands of callers are refused in the same moment. Their waits
// differ, and none is shorter than told or longer by more than half.
func TestRetryAfterHasJitter(t *testing.T) {
	const wait = 2 * time.Second
	seen := make(map[string]int)
	for range 4000 {
		got := addJitter(wait)
		if got < wait || got > wait*3/2+minJitter {
			t.Fatalf("got %s for %s", got, wait)
		}
		seen[retryAfterFraction(got)]++
	}
	for text, n := range seen {
		if n > 40 {
			t.Errorf("%d of 4000 callers are told %s", n, text)
		}
	}
}

// A status promises that a request has not run only where that is known.
func TestRoutedStatuses(t *testing.T) {
	promises := map[int]bool{http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true, http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true}
	reasons := []request.Reason{
		reasonQuota, reasonNotReady, request.ReasonOverload, request.ReasonDraining, request.ReasonNoServer,
		request.ReasonAttempt, request.ReasonDeadline, request.ReasonDiverged, request.ReasonCallerGone,
	}
	for _, reason := range reasons {
		if status := statusOf(request.Outcome{Kind: request.OutcomeUnknown, Reason: reason}); promises[status] {
			t.Errorf("%s, unknown: status %d", reason, status)
		}
		if status := statusOf(request.Outcome{Kind: request.OutcomeNotRun, Reason: reason}); !promises[status] {
			t.Errorf("%s, not run: status %d", reason, status)
		}
	}
}

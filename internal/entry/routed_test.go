package entry

import (
	"net/http"
	"testing"
	"time"

	"waxwingcart/internal/core/request"
)

// Thousands of callers may be refused at the same moment. Their Retry-After
// delays differ. None is shorter than the base delay, or longer than one and a
// half times the base delay plus minJitter.
func TestRetryAfterHasJitter(t *testing.T) {
	const wait = 2 * time.Second
	seen := make(map[string]int)
	for range 4000 {
		got := addJitter(wait)
		if got < wait || got > wait*3/2+minJitter {
			t.Fatalf("got a delay of %s for a base delay of %s", got, wait)
		}
		seen[retryAfterFraction(got)]++
	}
	for text, n := range seen {
		if n > 40 {
			t.Errorf("%d of 4000 callers got Retry-After %s, want at most 40", n, text)
		}
	}
}

// A status says that a request has not run only if that is known.
func TestRoutedStatuses(t *testing.T) {
	saysNotRun := map[int]bool{http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true, http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true}
	reasons := []request.Reason{
		reasonQuota, reasonNotReady, reasonUnconfirmed, request.ReasonOverload, request.ReasonDraining, request.ReasonNoServer, request.ReasonLeaving, request.ReasonPaused,
		request.ReasonAttempt, request.ReasonDeadline, request.ReasonDiverged, request.ReasonCallerGone,
	}
	for _, reason := range reasons {
		if status := statusOf(request.Outcome{Kind: request.OutcomeUnknown, Reason: reason}); saysNotRun[status] {
			t.Errorf("%s, outcome unknown: got status %d, which says that the request has not run", reason, status)
		}
		if status := statusOf(request.Outcome{Kind: request.OutcomeNotRun, Reason: reason}); !saysNotRun[status] {
			t.Errorf("%s, outcome not run: got status %d, which does not say so", reason, status)
		}
	}
}

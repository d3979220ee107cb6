package placement

import "time"

const (
	// A caller of a stream leaves if no event arrives for the longest of
	// minCallerTimeout, targetFactor times the target of the answer's beginning,
	// and gapFactor times the longest allowed gap between events.
	minCallerTimeout = 2 * time.Second
	targetFactor     = 4
	gapFactor        = 8
	// callerTimeoutMargin is the part of the caller's timeout that a prediction may
	// use up, as predictions are inexact.
	callerTimeoutMargin = 0.8
	// minRetryAfter and maxRetryAfter bound the result of RetryAfter.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// MaxStartDelay returns the latest predicted beginning of an answer, measured from
// now, at which its request is still worth sending. After that the caller is
// expected to have left, and the work would only delay other requests. The argument
// left is the time until the caller's deadline.
func MaxStartDelay(stream bool, target, gap, left time.Duration) time.Duration {
	timeout := left
	if stream {
		timeout = min(left, max(minCallerTimeout, targetFactor*target, gapFactor*gap))
	}
	return time.Duration(callerTimeoutMargin * float64(timeout))
}

// RetryAfter returns the time after which an answer that is now predicted to begin
// after expected could begin within its target if no other requests arrived.
func RetryAfter(expected, target time.Duration) time.Duration {
	return min(max(expected-target, minRetryAfter), maxRetryAfter)
}

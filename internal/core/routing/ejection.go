package routing

import "time"

// The back-off of a server after failed connections.
const (
	// ejectAfter is the number of consecutive connection failures after which a
	// server is ejected.
	ejectAfter = 2
	// minEjection is the first back-off. It doubles with each further failure up to
	// maxEjection.
	minEjection = 500 * time.Millisecond
	maxEjection = 30 * time.Second
)

// ejection tracks whether a server is avoided because connections to it failed. The
// default policy picks an ejected server only if no other server is eligible; if
// all servers are ejected, requests are still sent to them.
type ejection struct {
	failures int
	until    time.Duration
	// probing is true while the single attempt after the back-off is in flight.
	probing bool
}

func (e *ejection) failed(now time.Duration) {
	e.failures = min(e.failures+1, 64)
	e.probing = false
	if e.failures < ejectAfter {
		return
	}
	backoff := min(maxEjection, minEjection<<min(e.failures-ejectAfter, 16))
	e.until = now + backoff
}

func (e *ejection) succeeded() {
	*e = ejection{}
}

// avoided reports whether other servers are to be preferred.
func (e *ejection) avoided(now time.Duration) bool {
	return e.failures >= ejectAfter && (e.probing || now < e.until)
}

// probeDue reports whether the server may be probed.
func (e *ejection) probeDue(now time.Duration) bool {
	return e.failures >= ejectAfter && !e.probing && now >= e.until
}

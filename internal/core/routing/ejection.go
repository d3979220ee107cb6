package routing

import "time"

// The back-off of servers that can't be connected to.
const (
	// ejectAfter is the number of connect failures in a row.
	ejectAfter = 2
	// minEjection doubles with each further failure up to maxEjection.
	minEjection = 500 * time.Millisecond
	maxEjection = 30 * time.Second
)

// ejection says whether a server is avoided because connecting to it failed.
// An ejected server is the last choice, but stays one: if all are ejected, they
// are tried as usual.
type ejection struct {
	failures int
	until    time.Duration
	// probing is true while the one attempt after the back-off is under way.
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

// avoided reports whether other servers go first.
func (e *ejection) avoided(now time.Duration) bool {
	return e.failures >= ejectAfter && (e.probing || now < e.until)
}

// due reports whether the server may be probed.
func (e *ejection) due(now time.Duration) bool {
	return e.failures >= ejectAfter && !e.probing && now >= e.until
}

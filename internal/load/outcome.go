package load

import (
	"sync"
	"time"
)

// ending is the way in which a request ended.
type ending int

const (
	endFull ending = iota
	endRefused
	endBroken
	endWrong
	// endAbandoned is a stream whose caller disconnected.
	endAbandoned
)

// attemptResult records what one attempt told the caller about whether its request
// ran. An attempt that got no complete response told nothing.
type attemptResult struct {
	requestID string
	body      string // digest of a booking's body
	notRun    bool
}

// outcome is the final result of one request.
type outcome struct {
	request *request
	ending  ending
	// reason says why a request was refused, broken or wrong.
	reason string
	// stated is the outcome that a refusal states: not-run, unknown, unstated or, for
	// an error event, interrupted.
	stated     string
	first      time.Duration // until the first token or the complete response
	gaps       []time.Duration
	total      time.Duration
	delivered  int // tokens
	resumes    int
	resends    int
	retries    int
	dialErrors int
	// noRetryAfter is set if a refusal with status 429 or 503, which a retry can
	// help, had no Retry-After.
	noRetryAfter bool
	attempts     []attemptResult
}

// metTargets reports whether the request got a full answer within the targets. At
// most 1 in 20 token gaps may exceed its target.
func (o *outcome) metTargets(opts Options) bool {
	if o.ending != endFull || o.first > opts.FirstTokenTarget {
		return false
	}
	late := 0
	for _, gap := range o.gaps {
		if gap > opts.TokenGapTarget {
			late++
		}
	}
	return late*20 <= len(o.gaps)
}

// bookingPair compares the two responses to a booking that is sent twice.
type bookingPair struct {
	mu     sync.Mutex
	answer string
}

// matches records a response and reports whether it equals the other one, if that has
// arrived.
func (p *bookingPair) matches(answer string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answer == "" {
		p.answer = answer
	}
	return p.answer == answer
}

package load

import (
	"sync"
	"time"
)

// ending tells how a request ended.
type ending int

const (
	endFull ending = iota
	endRefused
	endBroken
	endWrong
	// endAbandoned is a stream whose caller went away.
	endAbandoned
)

// claim is what one attempt told its caller about its request having run. An
// attempt that broke told nothing.
type claim struct {
	requestID string
	body      string // digest of a booking's body
	notRun    bool
}

// outcome is what became of one request.
type outcome struct {
	request *request
	ending  ending
	// reason says why a request was refused, broken or wrong.
	reason string
	// stated is the outcome that a refusal states: not-run, unknown or
	// unstated.
	stated     string
	first      time.Duration // to the first token, or the whole answer
	gaps       []time.Duration
	total      time.Duration
	delivered  int // tokens
	resumes    int
	resends    int
	retries    int
	dialErrors int
	// noRetryAfter is set if a refusal that a retry can help gave no
	// Retry-After.
	noRetryAfter bool
	claims       []claim
}

// inside reports whether a full answer met the targets.
func (o *outcome) inside(opts Options) bool {
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

// bookingPair compares the answers of a booking that is sent twice.
type bookingPair struct {
	mu     sync.Mutex
	answer string
}

// same notes an answer and reports whether the other one, if it came already,
// was the same.
func (p *bookingPair) same(answer string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answer == "" {
		p.answer = answer
	}
	return p.answer == answer
}

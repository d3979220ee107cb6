package placement

import (
	"math"
	"time"
)

const (
	// pauseShareWeight is the weight of one stream in the share of paused streams.
	pauseShareWeight = 0.1
	// pauseHalfLife is the half-life of the share. It makes the server eligible for
	// long prompts again.
	pauseHalfLife = 4 * time.Second
)

// pauses tracks the share of a server's streams that paused for too long.
//
// Load pattern: long prompts sent to the one server that caches their shared parts.
// The server reads them in chunks between the decoding steps of its streams, so all
// its streams pause. How many prompts it can read at a time depends on its speed,
// which is not reported.
type pauses struct {
	share float64
	at    time.Duration
}

func (p *pauses) decayed(now time.Duration) float64 {
	return p.share * math.Exp2(-float64(max(now-p.at, 0))/float64(pauseHalfLife))
}

func (p *pauses) record(now time.Duration, paused bool) {
	share := p.decayed(now)
	if paused {
		share += pauseShareWeight * (1 - share)
	} else {
		share -= pauseShareWeight * share
	}
	p.share, p.at = share, now
}

package placement

import (
	"math"
	"time"
)

const (
	// pauseShareWeight is the weight of one stream in the share of those that
	// paused.
	pauseShareWeight = 0.1
	// pauseForgiveTime is the time after which half of the share is forgotten, so
	// that long prompts come back.
	pauseForgiveTime = 4 * time.Second
)

// pauses is the share of a server's streams that paused for too long.
//
// Load pattern: long prompts that meet at the server which holds their parts. It
// reads them piece by piece between the tokens of its streams, and all streams
// there pause. How many it can read at a time depends on its speed, which nobody
// tells.
type pauses struct {
	share float64
	at    time.Duration
}

func (p *pauses) decayed(now time.Duration) float64 {
	return p.share * math.Exp2(-float64(max(now-p.at, 0))/float64(pauseForgiveTime))
}

func (p *pauses) note(now time.Duration, paused bool) {
	share := p.decayed(now)
	if paused {
		share += pauseShareWeight * (1 - share)
	} else {
		share -= pauseShareWeight * share
	}
	p.share, p.at = share, now
}

package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// The promises of what servers in trouble get.
const (
	promiseCrash      = "a part under which five servers have crashed reaches no more than three times"
	promiseCrashWhole = "a request under which three servers have crashed reaches no more than three times"
	promiseSound      = "sound requests begin while another part crashes servers"
	promiseLimit      = "a server gets no more requests than the limit that it names"
)

const (
	crashesKnown  = 5
	wholeKnown    = 3
	trialsAllowed = 3
	// enoughSound is the number of sound requests from which on their share is judged.
	enoughSound = 20
	// limitWindow is the time in which requests to a limited server are counted, limitFactor
	// and limitSlack what is allowed in it, and limitTold the time from an answer with the
	// limit until the entry that got it counts.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitTold   = 500 * time.Millisecond
)

// checkTroubles checks what servers of drafts got.
func (c *checker) checkTroubles() {
	byPart := make(map[string][]time.Duration)
	for _, crash := range c.Crashes {
		byPart[crash.Bad] = append(byPart[crash.Bad], crash.At)
	}
	for bad, at := range byPart {
		slices.Sort(at)
		c.checkCrashingPart(bad, at)
	}
	for i := range c.Namings {
		c.checkLimit(&c.Namings[i])
	}
}

func (c *checker) checkCrashingPart(bad string, crashes []time.Duration) {
	enough, promise := crashesKnown, promiseCrash
	if strings.HasPrefix(bad, wholePrefix) {
		enough, promise = wholeKnown, promiseCrashWhole
	}
	known := crashes[min(enough, len(crashes))-1]
	late, last := 0, known
	for _, reach := range c.Reached {
		if reach.Bad != bad {
			continue
		}
		last = max(last, reach.At)
		if len(crashes) >= enough && reach.At > known+stability && c.inTouch(reach.Entry, reach.At) {
			if late++; late == trialsAllowed+1 {
				c.report(promise, reach.At, reach.Entry, "%s: %d servers have crashed, number %d at %.3f s", bad, len(crashes), enough, known.Seconds())
			}
		}
	}
	sent, begun := 0, 0
	for _, draft := range c.Drafts {
		if draft.From > known+2*stability && draft.From < last && c.inTouch(draft.Entry, draft.From) && !c.limitedAt(draft.From) {
			sent++
			begun += count(draft.Begun)
		}
	}
	if sent >= enoughSound && 2*begun < sent {
		c.report(promiseSound, known, "", "%s: %d of %d began", bad, begun, sent)
	}
}

// limitedAt reports whether a server names a limit around a time, so that refusals are due.
func (c *checker) limitedAt(t time.Duration) bool {
	return slices.ContainsFunc(c.Namings, func(n Naming) bool { return n.From-stability <= t && (n.To == 0 || t <= n.To+stability) })
}

// checkLimit counts the requests that a limited server gets from entries that it has told,
// and that ran undisturbed since.
func (c *checker) checkLimit(n *Naming) {
	if n.From == 0 {
		return
	}
	end := n.To
	if end == 0 {
		end = c.End
	}
	var counted []Reach
	for _, reach := range c.Reached {
		told, knows := n.Told[reach.Entry]
		if reach.Engine == n.Engine && knows && reach.At > told+limitTold && reach.At >= n.From+stability && reach.At <= end && !c.disturbedIn(reach.Entry, told, reach.At) {
			counted = append(counted, reach)
		}
	}
	slices.SortFunc(counted, func(a, b Reach) int { return int(a.At - b.At) })
	allowed := int(limitFactor*n.PerSecond*limitWindow.Seconds()) + limitSlack
	for i, first := range counted {
		in := 0
		for _, reach := range counted[i:] {
			in += count(reach.At < first.At+limitWindow)
		}
		if in > allowed {
			c.report(promiseLimit, first.At, first.Entry, "%s: %d requests in %s under a limit of %v a second, allowed %d", n.Engine, in, limitWindow, n.PerSecond, allowed)
			return
		}
	}
}

func (c *checker) disturbedIn(entry string, from, to time.Duration) bool {
	return slices.ContainsFunc(c.Disturbances, func(d Disturbance) bool {
		return (d.Target == entry || d.Target == anyTarget) && d.overlaps(from, to)
	})
}

// troubles returns what the servers of drafts got.
func (c *checker) troubles() string {
	reached, begun := 0, 0
	for _, r := range c.Reached {
		reached += count(r.Bad != "")
	}
	for _, d := range c.Drafts {
		begun += count(d.Begun)
	}
	return fmt.Sprintf("%d crashes under %d requests with a crashing part or mark, %d limits named, %d of %d sound drafts begun", len(c.Crashes), reached, len(c.Namings), begun, len(c.Drafts))
}

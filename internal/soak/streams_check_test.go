package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// enoughTakeUps is the number of take-ups from which on their share is judged.
	enoughTakeUps = 12
	// enoughServers is the number of servers of a version that must serve.
	enoughServers = 2
)

// checkAnswered checks that plain requests which were read whole are answered.
func (c *checker) checkAnswered() {
	for i := range c.Observations {
		o := &c.Observations[i]
		if o.Status == 0 && c.judged(o.Entry, o.From, o.To) && (o.Sent || c.Runs[o.ID] > 0) {
			c.report(promiseAnswered, o.From, o.Entry, "%s, and ran %d times", o, c.Runs[o.ID])
		}
	}
}

// judged reports whether an entry must answer a request of a time whole: its process was not
// disturbed in that time, nor the machine starved, except that it may have been asked to
// stop meanwhile, if the request ended well before the end of the grace period.
func (c *checker) judged(entry string, from, to time.Duration) bool {
	const grace = graceS * time.Second * 5 / 6
	return !slices.ContainsFunc(c.Disturbances, func(d Disturbance) bool {
		if d.Target != entry && d.Target != anyTarget || !d.overlaps(from, to) {
			return false
		}
		return d.What != string(KindTerm) || d.From < from || to > d.From+grace
	})
}

// checkStreams checks the client attempts for streams.
func (c *checker) checkStreams() {
	slices.SortStableFunc(c.Attempts, func(a, b StreamAttempt) int { return int(a.From - b.From) })
	next := make(map[string]int)
	for i := range c.Attempts {
		a := &c.Attempts[i]
		c.checkStreamEnd(a)
		c.checkStreamVersions(a)
		stream := a.Resumes
		if stream == "" {
			stream = a.ID
		}
		for _, event := range a.Events {
			if event != next[stream] {
				c.report(promiseOrder, a.From, a.Entry, "%s; want event %d", a, next[stream])
				break
			}
			next[stream]++
		}
		runs := c.Runs[a.ID]
		if runs > 0 && promisesNotRun(a.Status) || runs > 1 && a.Path == pathReply {
			c.report(promiseOnce, a.From, a.Entry, "%s, and ran %d times", a, runs)
		}
	}
	c.checkGoesOn()
}

// checkStreamEnd checks that a request is answered, and that an answer that began is whole.
func (c *checker) checkStreamEnd(a *StreamAttempt) {
	if !c.judged(a.Entry, a.From, a.To) {
		return
	}
	switch {
	case a.End == EndCut && c.endlessAnswers(a.From, a.To):
		// The route's attempts may be used up by a silent server and one that sends no answer.
	case a.End == EndCut:
		c.report(promiseWhole, a.From, a.Entry, "%s", a)
	case a.End == EndNone && (a.Sent || c.Runs[a.ID] > 0):
		c.report(promiseAnswered, a.From, a.Entry, "%s, and ran %d times", a, c.Runs[a.ID])
	}
}

// endlessAnswers reports whether a backend server sent answers without end in a time.
func (c *checker) endlessAnswers(from, to time.Duration) bool {
	return slices.ContainsFunc(c.Disturbances, func(d Disturbance) bool { return d.What == string(KindEndless) && d.overlaps(from, to) })
}

func (c *checker) checkStreamVersions(a *StreamAttempt) {
	if len(a.Versions) > 1 || len(a.Versions) == 1 && a.Version != "" && a.Version != a.Versions[0] {
		c.report(promiseVersion, a.From, a.Entry, "%s", a)
	}
}

// checkGoesOn checks that, while enough servers of their version serve, streams go on
// at least half as often as new ones begin.
func (c *checker) checkGoesOn() {
	var begun, offered, wentOn, takeUps int
	var last *StreamAttempt
	for i := range c.Attempts {
		a := &c.Attempts[i]
		served := a.Status == http.StatusOK
		switch {
		case a.Path != pathDossier || a.Status == 0:
		case a.Resumes == "":
			offered++
			begun += count(served)
		case c.serving(a.Version, a.From, a.To) >= enoughServers:
			takeUps++
			wentOn += count(served)
			last = a
		}
	}
	c.goesOn, c.takeUps = wentOn, takeUps
	if takeUps >= enoughTakeUps && 2*wentOn*offered < takeUps*begun {
		c.report(promiseGoesOn, last.From, last.Entry, "%d of %d streams went on, %d of %d new ones began", wentOn, takeUps, begun, offered)
	}
}

func count(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// serving returns the number of servers of a version that were listed as ready since
// listBound before a time and until its end, and neither paused, left nor were silent in it.
func (c *checker) serving(version string, from, to time.Duration) int {
	n := 0
	for _, l := range c.Listings {
		disturbed := slices.ContainsFunc(c.Disturbances, func(d Disturbance) bool { return d.Target == l.Engine && d.overlaps(from, to) })
		if l.Version == version && l.From <= from-listBound && (l.To == 0 || l.To >= to) && !disturbed {
			n++
		}
	}
	return n
}

// promisesNotRun reports whether a status promises that the request has not run and never
// will.
func promisesNotRun(status int) bool {
	return slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, status)
}

// streams returns what the attempts for streams came to.
func (c *checker) streams() string {
	ends := make(map[End]int)
	for _, a := range c.Attempts {
		ends[a.End]++
	}
	broken := make(map[string]int)
	for _, v := range c.violations {
		broken[v.Promise]++
	}
	return fmt.Sprintf("%d client attempts, %v; %d of %d take-ups went on; violations %v", len(c.Attempts), ends, c.goesOn, c.takeUps, broken)
}

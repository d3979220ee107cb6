package load

import (
	"cmp"
	"slices"
	"sync"
)

// bookingState combines the results of all attempts of one booking.
type bookingState struct {
	answered bool
	// mayRun is set unless all attempts were refused with outcome not-run.
	mayRun bool
}

// collector aggregates the outcomes of a run.
type collector struct {
	opts Options

	mu        sync.Mutex
	all       *group
	classes   map[string]*group
	customers map[string]*group
	refusals  map[Refusal]int
	bookings  map[string]*bookingState
	attempts  []attemptResult
	result    Result
}

func newCollector(opts Options) *collector {
	return &collector{
		opts:      opts,
		all:       newGroup(),
		classes:   make(map[string]*group),
		customers: make(map[string]*group),
		refusals:  make(map[Refusal]int),
		bookings:  make(map[string]*bookingState),
		result:    Result{BrokenBy: make(map[string]int), WrongBy: make(map[string]int)},
	}
}

// add adds the outcome of one request.
func (c *collector) add(o *outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	inside := o.metTargets(c.opts)
	c.all.add(o, inside)
	groupOf(c.classes, o.request.class).add(o, inside)
	if o.request.customer != "" {
		groupOf(c.customers, o.request.customer).add(o, inside)
	}
	switch o.ending {
	case endRefused:
		c.refusals[Refusal{Reason: o.reason, Outcome: o.stated}]++
		if o.stated == outcomeUnstated {
			c.result.Unstated++
		}
	case endBroken:
		c.result.BrokenBy[o.reason]++
	case endWrong:
		c.result.WrongBy[o.reason]++
	}
	if o.noRetryAfter {
		c.result.NoRetryAfter++
	}
	c.result.Resumes += o.resumes
	c.result.Resends += o.resends
	c.result.Retries += o.retries
	c.result.DialErrors += o.dialErrors
	c.result.Tokens.Delivered += int64(o.delivered)
	if o.delivered > 0 {
		c.result.Tokens.PromptNeeded += int64(o.request.promptTokens)
	}
	c.attempts = append(c.attempts, o.attempts...)
	if o.request.class == ClassBooking {
		c.addBooking(o)
	}
}

func groupOf(groups map[string]*group, name string) *group {
	if groups[name] == nil {
		groups[name] = newGroup()
	}
	return groups[name]
}

// addBooking adds the outcome of a booking to the state of that booking.
func (c *collector) addBooking(o *outcome) {
	b := c.bookings[o.request.digest]
	if b == nil {
		b = &bookingState{}
		c.bookings[o.request.digest] = b
	}
	b.answered = b.answered || o.ending == endFull
	b.mayRun = b.mayRun || o.ending != endRefused
	for _, attempt := range o.attempts {
		b.mayRun = b.mayRun || !attempt.notRun
	}
}

// notSent counts a request that was not sent, because MaxInFlight others were in
// flight.
func (c *collector) notSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.NotSent++
}

// finish computes the result of the run.
func (c *collector) finish(a *audit) *Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.result
	r.All = c.all.result()
	r.Classes = groupResults(c.classes)
	r.Customers = groupResults(c.customers)
	r.Refusals = []Refusal{}
	for refusal, count := range c.refusals {
		refusal.Count = count
		r.Refusals = append(r.Refusals, refusal)
	}
	slices.SortFunc(r.Refusals, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Outcome, b.Outcome))
	})
	if len(c.opts.Standins) > 0 {
		c.checkRuns(a.totalRuns())
		c.compareTokens(a.statsDuringRun())
	}
	return r
}

func groupResults(groups map[string]*group) map[string]Group {
	byName := make(map[string]Group, len(groups))
	for name, g := range groups {
		byName[name] = g.result()
	}
	return byName
}

// checkRuns compares the results that callers got with the runs that the stand-ins
// counted.
func (c *collector) checkRuns(runs standinRuns) {
	r := &c.result
	complete := len(r.Unaudited) == 0
	for body, b := range c.bookings {
		count := runs.Bodies[body]
		if count > 1 {
			r.Doubled++
		}
		// A stand-in that no longer responds may have run it.
		if b.answered && count == 0 && complete {
			r.Missing++
		}
	}
	for _, attempt := range c.attempts {
		if attempt.notRun && c.ran(attempt, runs) {
			r.FalseNotRuns++
		}
	}
}

// ran reports whether the request of an attempt ran, by its request ID. A booking is
// also found by its body, provided that none of its other attempts may have run.
func (c *collector) ran(attempt attemptResult, runs standinRuns) bool {
	if attempt.requestID != "" && runs.Runs[attempt.requestID] > 0 {
		return true
	}
	b := c.bookings[attempt.body]
	return b != nil && !b.mayRun && runs.Bodies[attempt.body] > 0
}

// compareTokens compares the tokens that the stand-ins computed with those that
// callers got.
func (c *collector) compareTokens(stats standinStats) {
	t := &c.result.Tokens
	t.Decoded = stats.DecodedTokens
	t.Prefill = stats.PrefillTokens
	t.Cached = stats.CachedTokens
	t.Cancelled = stats.Cancelled
	t.Recomputed = max(0, t.Decoded-t.Delivered)
	t.PrefillRepeated = max(0, t.Prefill+t.Cached-t.PromptNeeded)
}

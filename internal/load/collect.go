package load

import (
	"cmp"
	"slices"
	"sync"
)

// booked is what callers were told about one booking by all its attempts.
type booked struct {
	answered bool
	// mayRun is set if an attempt was answered, or not said to be not-run.
	mayRun bool
}

// collector gathers outcomes.
type collector struct {
	opts Options

	mu        sync.Mutex
	all       *group
	classes   map[string]*group
	customers map[string]*group
	refusals  map[Refusal]int
	bookings  map[string]*booked
	claims    []claim
	result    Result
}

func newCollector(opts Options) *collector {
	return &collector{
		opts:      opts,
		all:       newGroup(),
		classes:   make(map[string]*group),
		customers: make(map[string]*group),
		refusals:  make(map[Refusal]int),
		bookings:  make(map[string]*booked),
		result:    Result{BrokenBy: make(map[string]int), WrongBy: make(map[string]int)},
	}
}

// add counts one outcome.
func (c *collector) add(o *outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	inside := o.inside(c.opts)
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
		c.result.Tokens.PromptNeeded += int64(o.request.prompt)
	}
	c.claims = append(c.claims, o.claims...)
	if o.request.class == ClassBooking {
		c.book(o)
	}
}

func groupOf(groups map[string]*group, name string) *group {
	if groups[name] == nil {
		groups[name] = newGroup()
	}
	return groups[name]
}

func (c *collector) book(o *outcome) {
	b := c.bookings[o.request.digest]
	if b == nil {
		b = &booked{}
		c.bookings[o.request.digest] = b
	}
	b.answered = b.answered || o.ending == endFull
	b.mayRun = b.mayRun || o.ending != endRefused
	for _, made := range o.claims {
		b.mayRun = b.mayRun || !made.notRun
	}
}

// notSent counts a request for which no connection was free.
func (c *collector) notSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.NotSent++
}

// finish works out the result.
func (c *collector) finish(a *audit) *Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.result
	r.All = c.all.result()
	r.Classes = results(c.classes)
	r.Customers = results(c.customers)
	r.Refusals = []Refusal{}
	for refusal, count := range c.refusals {
		refusal.Count = count
		r.Refusals = append(r.Refusals, refusal)
	}
	slices.SortFunc(r.Refusals, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Outcome, b.Outcome))
	})
	if len(c.opts.Standins) > 0 {
		c.checkRuns(a.counted())
		c.compareTokens(a.worked())
	}
	return r
}

func results(groups map[string]*group) map[string]Group {
	made := make(map[string]Group, len(groups))
	for name, g := range groups {
		made[name] = g.result()
	}
	return made
}

// checkRuns compares what callers were told with what ran.
func (c *collector) checkRuns(runs standinRuns) {
	r := &c.result
	complete := len(r.Unaudited) == 0
	for body, b := range c.bookings {
		count := runs.Bodies[body]
		if count > 1 {
			r.Doubled++
		}
		// A stand-in that is gone may have run it.
		if b.answered && count == 0 && complete {
			r.Missing++
		}
	}
	for _, made := range c.claims {
		if made.notRun && c.ran(made, runs) {
			r.Lies++
		}
	}
}

// ran reports whether the request of a claim ran. A booking is known by its
// body if no other attempt of it may have run.
func (c *collector) ran(made claim, runs standinRuns) bool {
	if made.requestID != "" && runs.Runs[made.requestID] > 0 {
		return true
	}
	b := c.bookings[made.body]
	return b != nil && !b.mayRun && runs.Bodies[made.body] > 0
}

// compareTokens compares computed tokens with delivered ones.
func (c *collector) compareTokens(worked standinStats) {
	t := &c.result.Tokens
	t.Decoded = worked.DecodedTokens
	t.Prefill = worked.PrefillTokens
	t.Cached = worked.CachedTokens
	t.Cancelled = worked.Cancelled
	t.Recomputed = max(0, t.Decoded-t.Delivered)
	t.PrefillRepeated = max(0, t.Prefill+t.Cached-t.PromptNeeded)
}

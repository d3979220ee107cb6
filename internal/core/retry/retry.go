// Package retry decides whether a failed attempt may be retried.
//
// A retry is safe only if it cannot make the request run twice. Safe retries are
// charged to a budget per service that successful requests fill, so that a failing
// service gets a bounded amount of additional load. The package does no I/O and is
// not safe for concurrent use.
package retry

import (
	"math/rand/v2"
	"time"

	"waxwingcart/internal/core/fleet"
)

// ErrorClass says how an attempt failed.
type ErrorClass uint8

// The classes of errors.
const (
	// ErrorDial means that no connection was made, so that no byte of the request
	// was sent.
	ErrorDial ErrorClass = iota + 1
	// ErrorNotStarted means that the server stated that it did not run the request.
	ErrorNotStarted
	// ErrorConnectionLost means that the connection was closed before the answer
	// ended.
	ErrorConnectionLost
	// ErrorTimeout means that the attempt made no progress within its timeout.
	ErrorTimeout
	// ErrorServer means that the answer reports a server failure.
	ErrorServer
	// ErrorFinal means that another attempt would get the same answer.
	ErrorFinal
)

// Attempt describes a failed attempt.
type Attempt struct {
	Service string
	Error   ErrorClass
	// Repeatable is true if the request may run twice without harm.
	Repeatable bool
	// HandedOver is true once any byte of the request was written to a
	// backend server, in this attempt or an earlier one.
	HandedOver bool
	// Attempts is the number of attempts made so far, including this one.
	Attempts int
	// Free is true if another attempt is not charged to the budget, for example
	// because it resumes a stream without running the request again.
	Free bool
	// Deadline is when the caller gives up; zero means no deadline.
	Deadline time.Duration
	// Expected is the minimum time that another attempt takes.
	Expected time.Duration
	Policy   *fleet.Policy
}

// Reason explains a decision.
type Reason uint8

// The reasons for a decision.
const (
	ReasonRetry Reason = iota
	ReasonFinal
	ReasonNotRepeatable
	ReasonMaxAttempts
	ReasonDeadline
	ReasonBudget
)

var reasonNames = [...]string{"retry", "final", "not-repeatable", "max-attempts", "deadline", "retry-budget"}

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Decision says what to do after a failed attempt.
type Decision struct {
	Retry bool
	// Delay is how long to wait before the next attempt.
	Delay time.Duration
	// Elsewhere is true if the next attempt should exclude the server that failed.
	Elsewhere bool
	// NotRun is true if the request is known not to have run.
	NotRun bool
	Reason Reason
}

// Options configures a Controller. Zero values select the defaults.
type Options struct {
	Seed uint64
	// Burst is the maximum number of retries that a service accumulates.
	Burst float64
	// FloorPerSecond is the rate at which the budget fills in the absence of
	// successes, in retries per second.
	FloorPerSecond float64
	// BaseDelay is the mean delay before the first retry. It doubles with each
	// attempt up to MaxDelay.
	BaseDelay time.Duration
	MaxDelay  time.Duration
}

// The defaults of Options.
const (
	DefaultBurst          = 64.0
	DefaultFloorPerSecond = 0.5
	DefaultBaseDelay      = 20 * time.Millisecond
	DefaultMaxDelay       = time.Second
)

// floorBurst is the maximum number of retries accumulated by FloorPerSecond alone.
const floorBurst = 4.0

// budget is the token bucket of a service.
type budget struct {
	// tokens is the number of retries allowed now.
	tokens     float64
	refilledAt time.Duration
}

// Controller decides on retries and hedges.
type Controller struct {
	options Options
	random  *rand.Rand
	budgets map[string]*budget
	// entries is the number of entries that share the limits.
	entries float64
}

// New returns a Controller whose budgets start with the retries of floorBurst and
// no credit from successes.
func New(options Options) *Controller {
	if options.Burst == 0 {
		options.Burst = DefaultBurst
	}
	options.Burst = max(options.Burst, floorBurst)
	if options.FloorPerSecond == 0 {
		options.FloorPerSecond = DefaultFloorPerSecond
	}
	if options.BaseDelay == 0 {
		options.BaseDelay = DefaultBaseDelay
	}
	if options.MaxDelay == 0 {
		options.MaxDelay = DefaultMaxDelay
	}
	return &Controller{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed^0x9e3779b97f4a7c15)),
		budgets: make(map[string]*budget),
		entries: 1,
	}
}

// SetEntries divides the limits of each service by the number of entries, so that
// the budgets of all entries together stay within them when failures reach all
// entries at once.
func (c *Controller) SetEntries(entries int) {
	c.entries = float64(max(entries, 1))
	for _, b := range c.budgets {
		b.tokens = min(b.tokens, max(c.burst(), c.floor()))
	}
}

// burst and floor return this entry's shares of the limits, which are at least one
// retry.
func (c *Controller) burst() float64 { return max(c.options.Burst/c.entries, 1) }
func (c *Controller) floor() float64 { return max(floorBurst/c.entries, 1) }

// SetServices removes the budgets of services that are not listed.
func (c *Controller) SetServices(services []string) {
	kept := make(map[string]*budget, len(services))
	for _, service := range services {
		if b := c.budgets[service]; b != nil {
			kept[service] = b
		}
	}
	c.budgets = kept
}

// Success adds a successful request to the budget of its service.
func (c *Controller) Success(now time.Duration, service string, policy *fleet.Policy) {
	b := c.budget(now, service)
	b.tokens = min(b.tokens+max(0, policy.RetryBudgetRatio), max(c.burst(), b.tokens))
}

// Decide reports whether the request may be retried, and charges the budget if so.
func (c *Controller) Decide(now time.Duration, a Attempt) Decision {
	d := Decision{
		NotRun:    !a.HandedOver || a.Error == ErrorNotStarted && a.Attempts == 1,
		Elsewhere: a.Error != ErrorFinal,
	}
	switch {
	case a.Error == ErrorFinal:
		d.Reason = ReasonFinal
		return d
	case a.HandedOver && !a.Repeatable:
		d.Reason = ReasonNotRepeatable
		return d
	case a.Attempts >= max(1, a.Policy.MaxAttempts):
		d.Reason = ReasonMaxAttempts
		return d
	}
	delay := c.delay(a.Attempts)
	if a.Deadline != 0 && now+delay+a.Expected >= a.Deadline {
		d.Reason = ReasonDeadline
		return d
	}
	if !a.Free && !c.spend(now, a.Service) {
		d.Reason = ReasonBudget
		return d
	}
	d.Retry = true
	d.Delay = delay
	return d
}

// HedgeCandidate describes an attempt that may be hedged: a second copy of its
// request is sent while the first is in flight.
type HedgeCandidate struct {
	Service string
	// Repeatable and Cheap must both be true: only short lookups are hedged.
	Repeatable bool
	Cheap      bool
	// Hedges is the number of hedges already sent for this request.
	Hedges int
	// Started is when the first attempt was sent.
	Started  time.Duration
	Deadline time.Duration
	Policy   *fleet.Policy
}

// HedgeAt returns the time from which a hedge may be sent, or false if there must
// be none. It does not charge the budget; call Hedge at that time.
func (c *Controller) HedgeAt(candidate HedgeCandidate) (time.Duration, bool) {
	if !candidate.Repeatable || !candidate.Cheap || candidate.Hedges > 0 || candidate.Policy.HedgeAfterMS <= 0 {
		return 0, false
	}
	at := candidate.Started + time.Duration(candidate.Policy.HedgeAfterMS*float64(time.Millisecond))
	if candidate.Deadline != 0 && at >= candidate.Deadline {
		return 0, false
	}
	return at, true
}

// Hedge reports whether a hedge may be sent now, and charges the budget if so.
func (c *Controller) Hedge(now time.Duration, candidate HedgeCandidate) bool {
	at, ok := c.HedgeAt(candidate)
	if !ok || now < at {
		return false
	}
	if candidate.Deadline != 0 && now >= candidate.Deadline {
		return false
	}
	return c.spend(now, candidate.Service)
}

// Budget returns the number of retries that the service may make now.
func (c *Controller) Budget(now time.Duration, service string) float64 {
	return c.budget(now, service).tokens
}

// spend takes one retry from the service's budget. It reports whether the budget
// allowed it.
func (c *Controller) spend(now time.Duration, service string) bool {
	b := c.budget(now, service)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// budget returns the service's budget, filled up to now.
func (c *Controller) budget(now time.Duration, service string) *budget {
	b := c.budgets[service]
	if b == nil {
		b = &budget{tokens: c.floor(), refilledAt: now}
		c.budgets[service] = b
	}
	elapsed := now - b.refilledAt
	if elapsed <= 0 {
		return b
	}
	b.refilledAt = now
	if floor := c.floor(); b.tokens < floor {
		b.tokens = min(floor, b.tokens+elapsed.Seconds()*c.options.FloorPerSecond/c.entries)
	}
	return b
}

// delay returns a random time before the next attempt, uniform in [0.5, 1.5) times
// a mean that doubles with each attempt.
func (c *Controller) delay(attempts int) time.Duration {
	mean := c.options.BaseDelay << min(max(attempts-1, 0), 16)
	mean = min(mean, c.options.MaxDelay)
	return mean/2 + time.Duration(c.random.Int64N(int64(mean)))
}

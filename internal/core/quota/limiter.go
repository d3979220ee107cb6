package quota

import (
	"math"
	"time"

	"waxwingcart/internal/core/routes"
)

const (
	// initialEntries is the number of entries that an entry assumes until it gets
	// its first grant.
	initialEntries = 16
	// demandWindow is the time constant of the average of demand.
	demandWindow = 2 * time.Second
	// aheadTime is the time for which expected demand is drawn in advance: two
	// renewals of a small deployment. The units that all entries hold are admitted
	// in addition to the bucket when demand rises suddenly, so aheadTime is short
	// enough for them to stay below the tolerance of the limits.
	aheadTime = 800 * time.Millisecond
	// keepFactor is the multiple of the units drawn in advance that an entry may
	// hold. It returns the excess.
	keepFactor = 1.25
	// takeTime is how long units stay here that were granted to waiting calls, even if they exceed what
	// is kept: the calls take them only after the grant, and the next renewal may be sent before.
	takeTime = 100 * time.Millisecond
	// offlineBurst is the time for which an offline entry accumulates its share.
	offlineBurst = 2 * time.Second
	// RenewalTimeout is the time after which an entry with an unanswered renewal is
	// offline. It can be short: a leader that has failed grants units to no entry,
	// and the offline shares together are less than the limit.
	RenewalTimeout = 250 * time.Millisecond
	// minWait and maxWait bound the waiting time that callers of refused calls are
	// told.
	minWait = 50 * time.Millisecond
	maxWait = 10 * time.Second
)

// Limiter admits the calls of one entry.
type Limiter struct {
	number   uint64
	accounts map[string]*account
	entries  int
	// renewedAt is when the renewal of the last grant was sent.
	renewedAt time.Duration
	granted   bool
	// leaderNumber is the number of the configuration from which the leader had the limits at the
	// last grant, and limitsLeftOut true if the last renewal relied on that.
	leaderNumber  uint64
	limitsLeftOut bool
	// renewing is true while a renewal sent at renewalSent is unanswered.
	renewing    bool
	renewalSent time.Duration
	// renewalFailed is true if the last renewal failed.
	renewalFailed bool
}

// account is the state of one customer's limit.
type account struct {
	limit Limit
	// balance is the number of units that were granted and not yet used.
	balance    float64
	refilledAt time.Duration
	// recentDemand is the decaying sum of requested units; divided by demandWindow
	// it is the demand per second.
	recentDemand float64
	demandAt     time.Duration
	// calls are the costs of the calls that wait for units. awaited is true while a renewal with
	// some is unanswered, and grantedAt when the last such one was answered.
	calls     []float64
	awaited   bool
	grantedAt time.Duration
	// availableAt is when the leader expects to have units again.
	availableAt time.Duration
	// classes is the demand by class. limited is true if the last grant, at sharedAt, limited
	// the classes to shares.
	classes  classDemand
	limited  bool
	shares   Shares
	sharedAt time.Duration
}

// NewLimiter returns a Limiter without customers.
func NewLimiter() *Limiter {
	return &Limiter{accounts: make(map[string]*account), entries: initialEntries}
}

// Configure applies the limits of a configuration.
func (l *Limiter) Configure(now time.Duration, number uint64, customers []routes.Customer) {
	l.number = number
	known := l.accounts
	l.accounts = make(map[string]*account, len(customers))
	for i := range customers {
		customer := &customers[i]
		if customer.Rate <= 0 {
			continue
		}
		a := known[customer.Name]
		if a == nil {
			a = &account{refilledAt: now, demandAt: now}
		}
		a.limit = Limit{Rate: customer.Rate, Burst: customer.Burst}
		l.accounts[customer.Name] = a
	}
}

// Granted reports whether a leader has ever granted a renewal.
func (l *Limiter) Granted() bool { return l.granted }

// LeaderLacksLimits reports whether the last renewal left the limits out and its leader did not have
// them, so that another renewal must follow at once. A previous version of the leader never
// says that it has them.
func (l *Limiter) LeaderLacksLimits() bool {
	return l.granted && l.limitsLeftOut && l.leaderNumber < l.number
}

// Entries returns the number of entries that share the limits, as of the last
// grant.
func (l *Limiter) Entries() int { return l.entries }

// Renewal returns the next renewal to send to the leader. It contains each waiting
// call only once.
func (l *Limiter) Renewal(now time.Duration) Renewal {
	l.renewing, l.renewalSent = true, now
	renewal := Renewal{Calls: make(map[string][]float64), Ahead: make(Amounts), Back: make(Amounts), Demand: make(map[string]Demand)}
	l.limitsLeftOut = l.leaderNumber >= l.number
	if !l.limitsLeftOut {
		renewal.Number, renewal.Limits = l.number, make(map[string]Limit, len(l.accounts))
	}
	for customer, a := range l.accounts {
		if renewal.Limits != nil {
			renewal.Limits[customer] = a.limit
		}
		if len(a.calls) > 0 {
			renewal.Calls[customer] = a.calls
			a.calls, a.awaited = nil, true
		}
		if demand := a.classes.perSecond(now); demand != (Demand{}) {
			renewal.Demand[customer] = demand
		}
		wanted := a.demand(now) * aheadTime.Seconds()
		switch {
		case a.balance < wanted:
			renewal.Ahead[customer] = wanted - a.balance
		case a.balance > keepFactor*wanted && !a.awaited && (a.grantedAt == 0 || now-a.grantedAt >= takeTime):
			renewal.Back[customer] = a.balance - keepFactor*wanted
			a.balance = keepFactor * wanted
		}
	}
	return renewal
}

// Grant applies the leader's answer to the renewal sent at the given time.
func (l *Limiter) Grant(now, sent time.Duration, grant Grant) {
	l.entries, l.renewedAt, l.granted = max(grant.Entries, 1), sent, true
	l.renewing, l.renewalFailed = false, false
	l.leaderNumber = grant.Number
	for customer, a := range l.accounts {
		a.balance += max(grant.Units[customer], 0)
		a.refilledAt = now
		a.availableAt = 0
		a.shares, a.limited = grant.Shares[customer]
		a.sharedAt = now
		if a.awaited {
			a.awaited, a.grantedAt = false, now
		}
		if wait, ok := grant.Wait[customer]; ok {
			a.availableAt = now + wait
		}
	}
}

// RecordRenewalFailure records that a renewal failed.
func (l *Limiter) RecordRenewalFailure() {
	l.renewing, l.renewalFailed = false, true
	for _, a := range l.accounts {
		a.awaited = false
	}
}

// Take charges a call and reports whether it is admitted. If the units held do not
// suffice, the caller may request more with RequestUnits and try again after the next
// grant.
func (l *Limiter) Take(now time.Duration, customer string, cost float64) bool {
	a := l.accounts[customer]
	if a == nil {
		return true
	}
	l.fill(now, a)
	if a.balance < cost && !(l.offline(now) && a.balance > 0) {
		return false
	}
	a.balance -= cost
	return true
}

// addDemand adds a call to the demand for which units are drawn in advance.
func (l *Limiter) addDemand(now time.Duration, a *account, cost float64) {
	a.recentDemand = a.recentDemand*a.decay(now) + cost
	a.demandAt = max(a.demandAt, now)
}

// RequestUnits adds a call to the next renewal. It returns false if the leader is not
// expected to have units yet.
func (l *Limiter) RequestUnits(now time.Duration, customer string, cost float64) bool {
	a := l.accounts[customer]
	if a == nil || now < a.availableAt {
		return false
	}
	a.calls = append(a.calls, cost)
	return true
}

// Wait returns how long the caller of a refused call should wait.
func (l *Limiter) Wait(now time.Duration, customer string) time.Duration {
	a := l.accounts[customer]
	if a == nil {
		return 0
	}
	return min(max(a.availableAt-now, minWait), maxWait)
}

// Return gives back the units of a charged call that did not run.
func (l *Limiter) Return(customer string, cost float64) {
	if a := l.accounts[customer]; a != nil {
		a.balance += cost
	}
}

// Offline reports whether the entry admits calls from its part of the limits, as the leader does not
// answer.
func (l *Limiter) Offline(now time.Duration) bool { return l.offline(now) }

// offline reports whether the entry admits calls from its offline share because its
// renewals are not answered.
func (l *Limiter) offline(now time.Duration) bool {
	slow := l.renewing && now-l.renewalSent >= RenewalTimeout
	return !l.granted || l.renewalFailed || slow || now-l.renewedAt >= LeaseDuration
}

// fill adds the units that an offline entry's share has accumulated.
func (l *Limiter) fill(now time.Duration, a *account) {
	elapsed := (now - a.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	if l.offline(now) {
		rate := offlineShare * a.limit.Rate / float64(l.entries)
		a.balance = min(a.balance+rate*elapsed, max(a.balance, rate*offlineBurst.Seconds()))
	}
	a.refilledAt = now
}

func (a *account) demand(now time.Duration) float64 {
	return a.recentDemand * a.decay(now) / demandWindow.Seconds()
}

func (a *account) decay(now time.Duration) float64 {
	return math.Exp(-max(0, (now-a.demandAt).Seconds()) / demandWindow.Seconds())
}

package admission

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"waxwingcart/internal/core/fleet"
)

// Controller holds the queues and limits of one entry.
type Controller struct {
	options   Options
	random    *rand.Rand
	share     share
	customers map[string]*customer
	services  map[string]*service
	// order lists the services by name, so that effects are deterministic.
	order    []*service
	requests map[uint64]*request
	queued   int
	sequence uint64
	effects  Effects
}

// New returns a Controller without customers or capacity.
func New(options Options) *Controller {
	if options.QueueLimit <= 0 {
		options.QueueLimit = DefaultQueueLimit
	}
	if options.GrowAfter == 0 {
		options.GrowAfter = DefaultGrowAfter
	}
	return &Controller{
		options:   options,
		random:    rand.New(rand.NewPCG(options.Seed, options.Seed^0x9e3779b97f4a7c15)),
		share:     share{growAfter: max(0, options.GrowAfter)},
		customers: make(map[string]*customer),
		services:  make(map[string]*service),
		requests:  make(map[uint64]*request),
	}
}

// Step applies one event at the given time and returns the effects to carry out.
func (c *Controller) Step(now time.Duration, event Event) Effects {
	c.effects.Admit = c.effects.Admit[:0]
	c.effects.Refuse = c.effects.Refuse[:0]
	switch e := event.(type) {
	case Arrived:
		c.arrive(now, e)
	case FirstToken:
		c.firstToken(now, e.ID)
	case Finished:
		c.finished(now, e)
	case Cancelled:
		c.cancelled(now, e.ID)
	case Capacity:
		c.capacity(now, e)
	case Customers:
		c.setCustomers(now, e.Customers)
	case LiveEntries:
		c.share.update(now, e)
		c.share.tick(now)
		c.applyShares(now)
	case Tick:
		c.tick(now)
	}
	return c.effects
}

// Queued returns the number of queued requests.
func (c *Controller) Queued() int { return c.queued }

// InFlight returns the number of running requests of a service.
func (c *Controller) InFlight(service string) int {
	if s := c.services[service]; s != nil {
		return s.inFlight()
	}
	return 0
}

func (c *Controller) arrive(now time.Duration, e Arrived) {
	if c.requests[e.ID] != nil {
		return
	}
	customer := c.customers[e.Customer]
	if customer == nil || customer.removed {
		c.refuse(e.ID, ReasonUnknownCustomer, 0)
		return
	}
	s := c.services[e.Service]
	if s == nil || s.slots == 0 {
		c.refuse(e.ID, ReasonNoCapacity, minRetryAfter)
		return
	}
	r := &request{Arrived: e, customer: customer, service: s, cost: float64(max(1, e.EstimatedTokens)), arrived: now}
	c.sequence++
	r.sequence = c.sequence
	if reason, wait := customer.tryCharge(now, r.cost); reason != 0 {
		c.refuse(e.ID, reason, wait)
		return
	}
	c.requests[r.ID] = r
	c.queued++
	customer.queued++
	s.usageOf(customer).queued++
	s.push(r)
	if r.Short {
		s.raiseShortPeak(now)
	}
	if reason, late := s.predictMiss(now, r, r.flow.ahead(r), arrivalMargin); reason != 0 {
		c.refuseQueued(now, r, reason, late)
		return
	}
	c.dispatch(now, s)
	c.enforceQueueLimit(now, r)
}

// ahead returns the work that the flow serves before r.
func (f *flow) ahead(r *request) float64 {
	var work float64
	for _, other := range f.queue {
		if other == r {
			break
		}
		work += other.cost
	}
	return work
}

// dispatch admits requests while the service has free slots.
func (c *Controller) dispatch(now time.Duration, s *service) {
	for {
		class, flow := s.next()
		if flow == nil {
			return
		}
		r := flow.queue[0]
		if reason, late := s.predictMiss(now, r, 0, 0); reason != 0 {
			c.refuseQueued(now, r, reason, late)
			continue
		}
		s.start(class, r)
		class.remove(r)
		c.queued--
		r.customer.queued--
		r.customer.inFlight++
		u := s.usageOf(r.customer)
		u.queued--
		u.add(now, 1)
		r.running = true
		r.admitted = now
		c.effects.Admit = append(c.effects.Admit, Admit{ID: r.ID, Waited: now - r.arrived})
	}
}

// enforceQueueLimit refuses a request if the queue exceeds its limit after the
// arrival of r: the last one of the customer with the most queued requests
// relative to its weight.
func (c *Controller) enforceQueueLimit(now time.Duration, r *request) {
	limit := c.options.QueueLimit
	if r.QueueLimit > 0 {
		limit = min(limit, r.QueueLimit)
	}
	if r.running || c.requests[r.ID] != r || c.queued <= limit {
		return
	}
	victim := r
	maxPerWeight := float64(r.customer.queued) / r.customer.weight()
	for _, s := range c.order {
		for kind := range s.classes {
			for _, f := range s.classes[kind].active {
				if perWeight := float64(f.customer.queued) / f.customer.weight(); perWeight > maxPerWeight {
					maxPerWeight = perWeight
					victim = f.queue[len(f.queue)-1]
				}
			}
		}
	}
	c.refuseQueued(now, victim, ReasonQueueFull, 0)
}

func (c *Controller) firstToken(now time.Duration, id uint64) {
	r := c.requests[id]
	if r == nil || !r.running || r.firstToken {
		return
	}
	r.firstToken = true
	r.service.class(r).firstToken.add((now - r.admitted).Seconds())
}

func (c *Controller) finished(now time.Duration, e Finished) {
	r := c.requests[e.ID]
	if r == nil || !r.running {
		return
	}
	c.firstToken(now, e.ID)
	tokens := float64(max(1, e.Tokens))
	class := r.service.class(r)
	elapsed := (now - r.admitted).Seconds()
	class.perToken.add(elapsed / tokens)
	class.residence.add(elapsed)
	r.customer.adjustTokens(now, r.cost-tokens)
	r.flow.startTag += (tokens - r.cost) / r.customer.weight()
	c.release(now, r)
}

func (c *Controller) cancelled(now time.Duration, id uint64) {
	r := c.requests[id]
	if r == nil {
		return
	}
	if r.running {
		c.release(now, r)
		return
	}
	c.removeQueued(now, r)
	c.dispatch(now, r.service)
}

// release frees the slot of an admitted request.
func (c *Controller) release(now time.Duration, r *request) {
	delete(c.requests, r.ID)
	r.service.class(r).inFlight--
	r.customer.inFlight--
	r.service.usageOf(r.customer).add(now, -1)
	if r.customer.maxInFlight >= 0 {
		// The customer may have been blocked in other services too.
		c.dispatchAll(now)
		return
	}
	c.dispatch(now, r.service)
}

func (c *Controller) dispatchAll(now time.Duration) {
	for _, s := range c.order {
		c.dispatch(now, s)
	}
}

func (c *Controller) capacity(now time.Duration, e Capacity) {
	s := c.services[e.Service]
	if s == nil {
		s = newService(e.Service)
		c.services[e.Service] = s
		c.sortServices()
	}
	s.configure(e)
	c.review(now, s)
	c.dispatch(now, s)
	if s.slots == 0 && s.inFlight() == 0 {
		delete(c.services, e.Service)
		c.sortServices()
	}
}

func (c *Controller) sortServices() {
	c.order = c.order[:0]
	for _, s := range c.services {
		c.order = append(c.order, s)
	}
	slices.SortFunc(c.order, func(a, b *service) int { return strings.Compare(a.name, b.name) })
}

func (c *Controller) setCustomers(now time.Duration, customers []fleet.Customer) {
	for _, known := range c.customers {
		known.removed = true
	}
	for _, config := range customers {
		known := c.customers[config.Name]
		if known == nil {
			known = &customer{}
			c.customers[config.Name] = known
		}
		known.removed = false
		known.config = config
	}
	c.applyShares(now)
	c.dispatchAll(now)
}

// applyShares recomputes every customer's limits at this entry.
func (c *Controller) applyShares(now time.Duration) {
	for name, known := range c.customers {
		if known.removed && known.inFlight+known.queued == 0 {
			delete(c.customers, name)
			continue
		}
		known.configure(now, known.config, &c.share)
	}
	c.refuseWithoutShare(now)
}

// refuseWithoutShare refuses the queued requests of customers that may no longer
// have requests in flight at this entry.
func (c *Controller) refuseWithoutShare(now time.Duration) {
	for _, s := range c.order {
		for kind := range s.classes {
			active := s.classes[kind].active
			for i := len(active) - 1; i >= 0; i-- {
				f := active[i]
				for f.customer.maxInFlight == 0 && len(f.queue) > 0 {
					c.refuseQueued(now, f.queue[0], ReasonInFlightLimit, 0)
				}
			}
		}
	}
}

func (c *Controller) tick(now time.Duration) {
	if c.share.tick(now) {
		c.applyShares(now)
	}
	for _, s := range c.order {
		s.decayShortPeak(now)
		if now >= s.reviewAt {
			s.reviewAt = now + reviewInterval
			s.refreshUsage(now)
			c.review(now, s)
		}
		c.dispatch(now, s)
		for kind := range s.classes {
			s.classes[kind].prune()
		}
	}
}

// reviewInterval is how often the queues are checked for requests that can no
// longer meet their deadline or target. Ticks in between only admit requests.
const reviewInterval = 50 * time.Millisecond

// review refuses the queued requests of a service that can no longer meet their
// deadline or target.
func (c *Controller) review(now time.Duration, s *service) {
	for kind := range s.classes {
		class := &s.classes[kind]
		for i := len(class.active) - 1; i >= 0; i-- {
			c.reviewFlow(now, s, class.active[i])
		}
	}
}

func (c *Controller) reviewFlow(now time.Duration, s *service, f *flow) {
	var ahead float64
	for i := 0; i < len(f.queue); {
		r := f.queue[i]
		if reason, late := s.predictMiss(now, r, ahead, 0); reason != 0 {
			c.refuseQueued(now, r, reason, late)
			continue
		}
		ahead += r.cost
		i++
	}
}

// removeQueued removes a queued request and refunds its charge.
func (c *Controller) removeQueued(now time.Duration, r *request) {
	r.service.class(r).remove(r)
	c.queued--
	r.customer.queued--
	r.service.usageOf(r.customer).queued--
	r.customer.refund(now, r.cost)
	delete(c.requests, r.ID)
}

func (c *Controller) refuseQueued(now time.Duration, r *request, reason Reason, late float64) {
	c.removeQueued(now, r)
	wait := time.Duration(late * float64(time.Second))
	c.refuse(r.ID, reason, max(minRetryAfter, wait))
}

// refuse adds a refusal. It adds jitter to the retry delay so that callers don't
// retry all at once.
func (c *Controller) refuse(id uint64, reason Reason, wait time.Duration) {
	if wait > 0 {
		wait = min(max(wait, minRetryAfter), maxRetryAfter)
		wait += time.Duration(c.random.Int64N(int64(wait)/2 + 1))
	}
	c.effects.Refuse = append(c.effects.Refuse, Refuse{ID: id, Reason: reason, RetryAfter: wait})
}

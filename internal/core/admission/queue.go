package admission

import (
	"slices"
	"time"
)

// request is one that is queued or admitted.
type request struct {
	Arrive
	customer *customer
	service  *service
	flow     *flow
	// cost is the estimated work in tokens.
	cost    float64
	arrived time.Duration
	// admitted is zero while the request is queued.
	running    bool
	admitted   time.Duration
	firstToken bool
	sequence   uint64
}

// compare orders requests by deadline, then by arrival.
func compare(a, b *request) int {
	if a.Deadline != b.Deadline {
		if a.Deadline == 0 {
			return 1
		}
		if b.Deadline == 0 {
			return -1
		}
		return int(min(1, max(-1, a.Deadline-b.Deadline)))
	}
	if a.sequence < b.sequence {
		return -1
	}
	if a.sequence > b.sequence {
		return 1
	}
	return 0
}

// flow is the queue of one customer in one class.
type flow struct {
	customer *customer
	// tag is the virtual time at which the next request starts.
	tag    float64
	queue  []*request
	queued float64
}

func (f *flow) push(r *request) {
	at, _ := slices.BinarySearchFunc(f.queue, r, compare)
	f.queue = slices.Insert(f.queue, at, r)
	f.queued += r.cost
}

func (f *flow) remove(r *request) {
	at, found := slices.BinarySearchFunc(f.queue, r, compare)
	if !found {
		return
	}
	f.queue = slices.Delete(f.queue, at, at+1)
	f.queued -= r.cost
	if len(f.queue) == 0 {
		f.queued = 0
	}
}

// class holds the flows of the short or of the long requests of a service.
// It serves them by start-time fair queueing.
type class struct {
	// flows holds the flows by customer; active those with a queue.
	flows  map[*customer]*flow
	active []*flow
	// virtual is the start tag of the request admitted last.
	virtual float64
	// tag orders the two classes of a service in the same way.
	tag      float64
	weight   float64
	inFlight int
	// perToken is the learned time in seconds per token of one request.
	perToken average
	// residence is the learned time in seconds of one request.
	residence average
	// firstToken is the time in seconds from admission to the first token.
	firstToken quantile
}

func newClass(weight float64) class {
	return class{weight: weight, flows: make(map[*customer]*flow)}
}

func (c *class) push(r *request) {
	f := c.flows[r.customer]
	if f == nil {
		f = &flow{customer: r.customer}
		c.flows[r.customer] = f
	}
	if len(f.queue) == 0 {
		f.tag = max(f.tag, c.virtual)
		c.active = append(c.active, f)
	}
	r.flow = f
	f.push(r)
}

func (c *class) remove(r *request) {
	r.flow.remove(r)
	if len(r.flow.queue) > 0 {
		return
	}
	if at := slices.Index(c.active, r.flow); at >= 0 {
		c.active = slices.Delete(c.active, at, at+1)
	}
}

// start charges the flow for a request that is admitted.
func (c *class) start(r *request) {
	c.virtual = max(c.virtual, r.flow.tag)
	r.flow.tag += r.cost / r.customer.weight()
	c.inFlight++
}

// prune forgets idle flows whose tag no longer matters.
func (c *class) prune() {
	for customer, f := range c.flows {
		if len(f.queue) == 0 && (f.tag <= c.virtual || customer.removed) {
			delete(c.flows, customer)
		}
	}
}

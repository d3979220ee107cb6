package admission

import (
	"slices"
	"time"
)

// request is a queued or admitted request.
type request struct {
	Arrived
	customer *customer
	service  *service
	flow     *flow
	// cost is the estimated work in tokens.
	cost    float64
	arrived time.Duration
	// running is true once the request is admitted, at the time admitted.
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
	// startTag is the virtual start time of the next request.
	startTag float64
	queue    []*request
	// queuedWork is the work of the queued requests in tokens.
	queuedWork float64
}

func (f *flow) push(r *request) {
	at, _ := slices.BinarySearchFunc(f.queue, r, compare)
	f.queue = slices.Insert(f.queue, at, r)
	f.queuedWork += r.cost
}

func (f *flow) remove(r *request) {
	at, found := slices.BinarySearchFunc(f.queue, r, compare)
	if !found {
		return
	}
	f.queue = slices.Delete(f.queue, at, at+1)
	f.queuedWork -= r.cost
	if len(f.queue) == 0 {
		f.queuedWork = 0
	}
}

// class holds the flows of either the short or the long requests of a service.
// It serves them by start-time fair queueing.
type class struct {
	// flows holds the flows by customer, active those with queued requests.
	flows  map[*customer]*flow
	active []*flow
	// virtualTime is the start tag of the latest admitted request.
	virtualTime float64
	// startTag is the start tag of the class itself, by which a service orders
	// its two classes.
	startTag float64
	weight   float64
	inFlight int
	// perToken is the average time in seconds that a request takes per token.
	perToken average
	// residence is the average time in seconds from admission to the end.
	residence average
	// firstToken is a high quantile of the time in seconds from admission to
	// the first token.
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
		f.startTag = max(f.startTag, c.virtualTime)
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

// start charges an admitted request to its flow.
func (c *class) start(r *request) {
	c.virtualTime = max(c.virtualTime, r.flow.startTag)
	r.flow.startTag += r.cost / r.customer.weight()
	c.inFlight++
}

// prune deletes idle flows whose start tag has no effect on their next request.
func (c *class) prune() {
	for customer, f := range c.flows {
		if len(f.queue) == 0 && (f.startTag <= c.virtualTime || customer.removed) {
			delete(c.flows, customer)
		}
	}
}

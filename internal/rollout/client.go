package rollout

import (
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/core/rollout"
	"waxwingcart/internal/discovery"
	"waxwingcart/internal/wire"
)

// ClientOptions configures a Client.
type ClientOptions struct {
	// Now returns the time since the entry was started.
	Now         func() time.Duration
	Incarnation uint64
	Logger      *log.Logger
	Registry    *prometheus.Registry
	// Wake requests a draw at once. It must not block.
	Wake func()
}

// Client keeps the leases of an entry and counts what its attempts show of the versions. It is safe for
// concurrent use. It may be called with the lock of placement held.
type Client struct {
	opts     ClientOptions
	sent     *prometheus.CounterVec
	attempts *prometheus.CounterVec

	mu   sync.Mutex
	gate *rollout.Gate
	// known is false while the leader has not read the roll-outs.
	known bool
}

// NewClient returns a Client that knows of no roll-out. It registers its metrics.
func NewClient(opts ClientOptions) *Client {
	c := &Client{opts: opts, gate: rollout.NewGate(opts.Incarnation), known: true}
	c.sent = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "waxwingcart", Subsystem: "entry", Name: "rollout_requests_total",
		Help: "Requests that this entry sent to the target of a roll-out under a lease, by service.",
	}, []string{"service"})
	c.attempts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "waxwingcart", Subsystem: "entry", Name: "rollout_attempts_total",
		Help: "Attempts that ended during a roll-out, by service, version and result: answered, failed, or none if they say nothing of the version.",
	}, []string{"service", "version", "result"})
	if opts.Registry != nil {
		opts.Registry.MustRegister(c.sent, c.attempts)
	}
	return c
}

// Reports returns what the next draw tells the leader.
func (c *Client) Reports() []*wire.RolloutReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*wire.RolloutReport
	for service, report := range c.gate.Reports(c.opts.Now()) {
		list = append(list, reportToWire(service, report))
	}
	return list
}

// Answered applies the leader's answer to a draw that was requested at a time. It must be called before the
// list of servers in the same answer is put in use.
func (c *Client) Answered(requestedAt time.Duration, response *wire.DrawResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = response.RolloutKnowledge != wire.RolloutKnowledge_ROLLOUT_KNOWLEDGE_LOADING
	if !c.known {
		return
	}
	leases := make([]rollout.Lease, 0, len(response.Rollouts))
	for _, message := range response.Rollouts {
		leases = append(leases, leaseFromWire(message))
	}
	for _, lease := range c.gate.Answered(c.opts.Now(), requestedAt, leases) {
		c.opts.Logger.Info().Str("step", "rollout").Str("service", lease.Service).Str("target", lease.Target).Uint64("number", lease.Number).
			Str("state", string(lease.State)).Int("rollout_step", lease.Step+1).Int("granted", lease.Requests).Int("servers", lease.Servers).
			Msg("roll-out changed by the leader's answer")
	}
}

// Listed takes the list in use. fromLeader is true if it came with the leader's answer.
func (c *Client) Listed(list []discovery.Server, fromLeader bool) {
	versions := make(map[string][]string)
	for _, server := range list {
		if !slices.Contains(versions[server.Service], server.Software) {
			versions[server.Service] = append(versions[server.Service], server.Software)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate.Listed(c.opts.Now(), versions, fromLeader && c.known)
}

// Call is what a client keeps of a request. It is guarded by the caller's lock.
type Call struct {
	arrived, tried bool
}

// Plan says where a request of a service may be sent, whose servers have the given versions.
func (c *Client) Plan(call *Call, service string, versions []string) rollout.Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Now()
	if !call.arrived {
		call.arrived = true
		c.gate.Arrived(now, service)
	}
	return c.gate.Plan(now, service, versions, call.tried)
}

// Use takes a request to a version out of the lease, and reports false if there is none.
func (c *Client) Use(call *Call, service, version string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, ok := c.gate.Use(c.opts.Now(), service, version)
	if held {
		call.tried = true
		c.sent.WithLabelValues(service).Inc()
	}
	return ok
}

// Demand asks for a lease for a request that may go to one version only, and reports whether the next draw
// may bring one.
func (c *Client) Demand(service, version string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gate.Demand(c.opts.Now(), service, version)
}

// Unused returns a request that Use took and that is not sent.
func (c *Client) Unused(call *Call, service, version string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gate.Unused(service, version) {
		call.tried = false
	}
}

// Attempt is an attempt at a server; it is zero until Began has counted it.
type Attempt struct {
	attempt rollout.Attempt
	began   time.Duration
}

// Began counts an attempt at a version on a route, whose answer is expected to begin after a time.
func (c *Client) Began(service, version, route string, expected time.Duration) Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate.Began(service, version)
	return Attempt{rollout.Attempt{Service: service, Version: version, Route: route, Number: c.gate.Number(service), Expected: expected}, c.opts.Now()}
}

// AtTarget reports whether an attempt was made at the target of a roll-out.
func (c *Client) AtTarget(a *Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return a.attempt.Number != 0 && c.gate.IsTarget(a.attempt)
}

// Started counts that an answer began.
func (c *Client) Started(a *Attempt) {
	if a.attempt.Number == 0 || a.attempt.Begun {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	a.attempt.Begun, a.attempt.First = true, c.opts.Now()-a.began
	c.gate.Started(a.attempt)
}

// Ended counts the end of an attempt. counted is false if it ended without a result of the server.
func (c *Client) Ended(a *Attempt, counted, failed bool) {
	if a.attempt.Service == "" {
		return
	}
	result := "none"
	switch {
	case counted && failed:
		result = "failed"
	case counted:
		result = "answered"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	a.attempt.Counted, a.attempt.Failed = counted, failed
	if !a.attempt.Begun {
		a.attempt.First = c.opts.Now() - a.began
	}
	if a.attempt.Number > 0 {
		c.attempts.WithLabelValues(a.attempt.Service, a.attempt.Version, result).Inc()
	}
	if c.gate.Ended(a.attempt) {
		c.opts.Wake()
	}
}

// Package routes defines the numbered routing configuration: which calls go to
// which service, which calls may be repeated, and the limits of customers.
//
// A Table is plain data and immutable once published. A table with a higher
// number is newer.
package routes

import "time"

// Table is one version of the complete configuration.
type Table struct {
	// Number is the version; a table with a higher number replaces one with a
	// lower number.
	Number    uint64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    CallerLimits
}

// Route says how calls to a host and path prefix are served.
type Route struct {
	Name string
	// Host and PathPrefix select the route: among the routes of a host, the one
	// with the longest matching prefix is used. Hosts are compared without regard
	// to case, a port or a final dot. A prefix begins and ends with a slash and is
	// compared byte by byte, escapes included.
	Host       string
	PathPrefix string
	// Stream is true if responses are streams of server-sent events.
	Stream bool
	// Repeatable is true if a call may run more than once without harm: a safe
	// method, or a stream that can continue at another backend server.
	Repeatable bool
	// Generates is true if calls carry a prompt for a model engine.
	Generates bool
	// Public is true if calls need no customer key.
	Public  bool
	Targets []Target
	// MaxAttempts bounds the number of backend servers that may run one call.
	MaxAttempts int
	// Rank is the priority of calls; 0 is the most urgent.
	Rank int
	// Timeout bounds a call. FirstTarget is the latency target for the first
	// event of a stream or for the whole response. GapTarget is the latency
	// target for the time between two events; zero means that there is none.
	Timeout     time.Duration
	FirstTarget time.Duration
	GapTarget   time.Duration
}

// Target is a service and its share of a route's calls: its weight among the weights of
// the route's targets.
type Target struct {
	Service string
	Weight  float64
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one backend server
	// accepts from all callers.
	MaxConnections int
	// Engine is set if the service's backend servers are model engines.
	Engine *Engine
	// Scaling is set if backend servers of the service can be added and removed.
	Scaling *Scaling
}

// Engine describes a service's model engines.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// CacheTokens is the capacity of the KV cache in tokens, shared by running
	// requests and cached prompt prefixes.
	CacheTokens int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// Scaling bounds the number of backend servers per zone and gives their prices.
type Scaling struct {
	Min, Max int
	// Boot is the time from ordering a backend server until it is ready.
	Boot time.Duration
	// ReclaimablePrice is the price of a reclaimable backend server as a
	// fraction of the price of a regular one.
	ReclaimablePrice float64
	// ZonePrices is the price of a regular backend server per second, by zone.
	ZonePrices map[string]float64
}

// Customer is an organisation that sends requests.
type Customer struct {
	Name string
	Keys []string
	// Rank overrides a route's rank if HasRank is set.
	Rank    int
	HasRank bool
	// CountsTokens is true if the limit counts tokens, and false if it counts
	// calls.
	CountsTokens bool
	// PlainTokens is the cost in tokens of a call without token counts, such
	// as one that is not for a model engine.
	PlainTokens float64
	// Rate and Burst limit the customer across all entries, in units per second
	// and in units. The unit is tokens or calls; see CountsTokens. A zero rate
	// means no limit.
	Rate  float64
	Burst float64
}

// Cost returns the number of units that a call takes from the customer's limit.
func (c *Customer) Cost(promptTokens, outputTokens int, generates bool) float64 {
	switch {
	case !c.CountsTokens:
		return 1
	case generates:
		return float64(promptTokens + outputTokens)
	default:
		return c.PlainTokens
	}
}

// CallerLimits limits the requests and connections of one caller.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection may stay idle between calls
	// before it is closed.
	IdleTimeout time.Duration
}

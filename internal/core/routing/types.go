// Package routing picks the backend server for each attempt of a request.
//
// A Router predicts, for each backend server, when a request would get its first
// token and when it would complete. The prediction is based on the requests that
// this entry has in flight, on load reports whose weight decreases with their age,
// on learned service times, and on the servers whose caches hold the prompt's
// prefix. Among the servers that meet the latency target the cheapest is picked.
// The package does no I/O and is not safe for concurrent use.
package routing

import (
	"time"

	"waxwingcart/internal/core/fleet"
)

// Server is the configuration of one backend server.
type Server struct {
	Name    string
	Service string
	Zone    string
	Class   string
	// PricePerHour is the price of the server's VM.
	PricePerHour float64
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// TokensPerSecond is the decoding rate of all slots together when all are in
	// use. It is zero for application servers.
	TokensPerSecond float64
	// Delay is the one-way network delay from this entry's zone.
	Delay time.Duration
}

// Servers returns the backend servers of a configuration as seen from a zone.
func Servers(config *fleet.Config, zone string) []Server {
	classes := make(map[string]*fleet.MachineClass, len(config.Classes))
	for i := range config.Classes {
		classes[config.Classes[i].Name] = &config.Classes[i]
	}
	delays := zoneDelays(config, zone)
	servers := make([]Server, 0, len(config.BackendServers))
	for _, b := range config.BackendServers {
		s := Server{Name: b.Name, Service: b.Service, Zone: b.Zone, Class: b.Class, Delay: delays(b.Zone)}
		if class := classes[b.Class]; class != nil {
			s.PricePerHour = class.PricesPerHour[b.Zone]
			s.Slots = class.Slots
			s.TokensPerSecond = class.TokensPerSecond
		}
		servers = append(servers, s)
	}
	return servers
}

// zoneDelays returns a function that returns the one-way network delay from the
// given zone to another one.
func zoneDelays(config *fleet.Config, from string) func(string) time.Duration {
	var known map[string]float64
	for _, z := range config.Zones {
		if z.Name == from {
			known = z.DelaysMS
		}
	}
	return func(to string) time.Duration {
		if to == from {
			return 0
		}
		ms, ok := known[to]
		if !ok {
			ms = fleet.DefaultZoneDelayMS
		}
		return time.Duration(ms * float64(time.Millisecond))
	}
}

// RequestSize is the size of a request as estimated before it runs.
type RequestSize struct {
	PromptTokens int
	OutputTokens int
	// Prefix is the hash of the prompt's prefix, or zero if there is none.
	Prefix uint64
}

// Result says how an attempt ended.
type Result uint8

// The results of an attempt.
const (
	ResultCompleted Result = iota
	// ResultUnreachable means that no connection was made.
	ResultUnreachable
	// ResultFailed means that the server failed after it had been sent the request.
	ResultFailed
	// ResultRefused means that the server refused the request without running it.
	ResultRefused
	// ResultAbandoned means that the caller or the entry abandoned the attempt.
	ResultAbandoned
)

// Outcome describes the end of an attempt that Started recorded.
type Outcome struct {
	// Size is the value that was passed to Started.
	Size   RequestSize
	Result Result
	// FirstToken is the time from sending the request to the first token, or zero
	// if there was none.
	FirstToken time.Duration
	// Elapsed is the time from sending the request to the end of the attempt.
	Elapsed time.Duration
	// OutputTokens is the number of tokens received.
	OutputTokens int
	// CachedTokens is the number of prompt tokens that the server reported as taken
	// from its cache, or negative if it reported none.
	CachedTokens int
}

// Report is a backend server's own report of its load.
type Report struct {
	Running int
	Waiting int
	// Slots replaces the configured number of slots if it is positive.
	Slots int
	// KVUsed is the used part of the KV cache, from 0 to 1.
	KVUsed float64
	// Age is the age of the report on arrival.
	Age time.Duration
}

// CacheEventKind says what happened to a prefix.
type CacheEventKind uint8

// The kinds of cache event.
const (
	CacheStored CacheEventKind = iota + 1
	CacheEvicted
)

// Request describes the attempt to place.
type Request struct {
	Service      string
	PromptTokens int
	OutputTokens int
	// Prefix is the hash of the prompt's prefix; zero if there is none.
	Prefix uint64
	// PrefixTokens is the number of prompt tokens in the prefix, which requests
	// with the same prefix share; zero if it is not known.
	PrefixTokens int
	Policy       *fleet.Policy
	// Exclude lists the servers that must not be picked.
	Exclude []string
}

// Reason explains a decision.
type Reason uint8

// The reasons for a decision.
const (
	ReasonNone Reason = iota
	// ReasonUnknownService and ReasonNoServer are the reasons if no server is
	// picked.
	ReasonUnknownService
	ReasonNoServer
	// ReasonCheapest means that the server is the cheapest that meets the target.
	ReasonCheapest
	// ReasonPrefix means that the server has the best score because its cache is
	// expected to hold the prefix.
	ReasonPrefix
	// ReasonEarliest means that no server meets the target and this one is expected
	// to complete the request first.
	ReasonEarliest
	// ReasonProbe means that the server is tried again after connecting to it had
	// failed.
	ReasonProbe
	ReasonRoundRobin
	ReasonLeastInFlight
)

var reasonNames = [...]string{"none", "unknown-service", "no-server", "cheapest", "prefix", "earliest", "probe", "round-robin", "least-in-flight"}

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Decision is the picked backend server with the prediction for it.
type Decision struct {
	Server string
	// ExpectedFirstToken and ExpectedCompletion are measured from now.
	ExpectedFirstToken time.Duration
	ExpectedCompletion time.Duration
	Reason             Reason
}

// Options configures a Router.
type Options struct {
	// Zone is the availability zone of this entry.
	Zone string
	Seed uint64
	// PrefixLimit bounds the number of prefixes in the prefix table; zero selects
	// DefaultPrefixLimit.
	PrefixLimit int
}

// DefaultPrefixLimit is the default of Options.PrefixLimit.
const DefaultPrefixLimit = 16384

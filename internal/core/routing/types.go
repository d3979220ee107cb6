// Package routing chooses the backend server for each attempt of a request.
//
// A Router predicts, per backend server, when a request would get its first
// token and when it would complete. It works from what this entry has in flight,
// from reported load that counts less the older it is, from service times that
// it learns, and from where prompt prefixes are cached. Among the servers that
// meet the latency target the cheapest wins. The package does no I/O and is
// not safe for concurrent use.
package routing

import (
	"time"

	"waxwingcart/internal/core/fleet"
)

// Server is what the fleet configuration says about one backend server.
type Server struct {
	Name    string
	Service string
	Zone    string
	Class   string
	// PricePerHour is the price of the server's VM.
	PricePerHour float64
	// Slots is the number of requests that the server runs at a time.
	Slots int
	// TokensPerSecond is the decoding rate with all slots in use. It is zero
	// for application servers.
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

// zoneDelays returns a function that gives the one-way delay to a zone.
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

// Load is the size of a request as estimated before it runs.
type Load struct {
	PromptTokens int
	OutputTokens int
	// Prefix is the hash of the prompt's prefix, or zero.
	Prefix uint64
}

// Result says how an attempt ended.
type Result uint8

// The results of an attempt.
const (
	ResultCompleted Result = iota
	// ResultConnectFailed means that no connection could be made.
	ResultConnectFailed
	// ResultFailed means that the server failed after the hand-over.
	ResultFailed
	// ResultRefused means that the server refused before running.
	ResultRefused
	// ResultCancelled means that the caller or the entry gave up.
	ResultCancelled
)

// Outcome describes the end of an attempt that was announced with Started.
type Outcome struct {
	// Load is the value given to Started.
	Load   Load
	Result Result
	// FirstToken is the time from hand-over to the first token, or zero.
	FirstToken time.Duration
	// Elapsed is the time from hand-over to the end.
	Elapsed time.Duration
	// OutputTokens is the number of tokens received.
	OutputTokens int
	// CachedTokens is the number of prompt tokens that the server said it
	// took from its cache; negative if it did not say.
	CachedTokens int
}

// Report is a backend server's own report of its load.
type Report struct {
	Running int
	Waiting int
	// Slots replaces the configured number if it is positive.
	Slots int
	// KVUsed is the used share of the KV cache, from 0 to 1.
	KVUsed float64
	// Age is how old the report was when it arrived.
	Age time.Duration
}

// CacheEventKind tells what happened to a prefix.
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
	// PrefixTokens is the number of prompt tokens that requests with the
	// same prefix share; zero if that is not known.
	PrefixTokens int
	Policy       *fleet.Policy
	// Exclude names servers that must not be picked.
	Exclude []string
}

// Reason explains a decision.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonUnknownService and ReasonNoServer come with no server.
	ReasonUnknownService
	ReasonNoServer
	// ReasonCheapest is the cheapest server that meets the target.
	ReasonCheapest
	// ReasonPrefix is the cheapest because it holds the prefix.
	ReasonPrefix
	// ReasonEarliest is the earliest completion when none meets the target.
	ReasonEarliest
	// ReasonProbe tries a server again that had failed.
	ReasonProbe
	ReasonRoundRobin
	ReasonLeastInFlight
)

var reasonNames = [...]string{"none", "unknown-service", "no-server", "cheapest", "prefix", "earliest", "probe", "round-robin", "least-in-flight"}

// String returns the reason as it is logged and counted.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Decision is the chosen backend server.
type Decision struct {
	Server string
	// ExpectedFirstToken and ExpectedCompletion are measured from now.
	ExpectedFirstToken time.Duration
	ExpectedCompletion time.Duration
	Reason             Reason
}

// Options configures a Router.
type Options struct {
	// Zone is the entry's own availability zone.
	Zone string
	Seed uint64
	// PrefixLimit bounds the prefixes remembered; zero selects
	// DefaultPrefixLimit.
	PrefixLimit int
}

// DefaultPrefixLimit is the default bound on the prefixes remembered.
const DefaultPrefixLimit = 16384

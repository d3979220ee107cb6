package routing

import (
	"math/rand/v2"
	"sort"
	"time"

	"waxwingcart/internal/core/fleet"
)

// Router places the attempts of one entry.
type Router struct {
	options  Options
	random   *rand.Rand
	servers  map[string]*server
	services map[string]*group
	prefixes *prefixTable
	// pick numbers the calls of Pick; it marks excluded servers.
	pick uint64
}

// group is the set of servers of one service.
type group struct {
	servers []*server
	// next is the position of round robin.
	next int
}

// New returns a Router without servers.
func New(options Options) *Router {
	if options.PrefixLimit == 0 {
		options.PrefixLimit = DefaultPrefixLimit
	}
	return &Router{
		options:  options,
		random:   rand.New(rand.NewPCG(options.Seed, options.Seed^0x9e3779b97f4a7c15)),
		servers:  make(map[string]*server),
		services: make(map[string]*group),
		prefixes: newPrefixTable(options.PrefixLimit),
	}
}

// SetServers replaces the set of servers. What is known about servers that
// stay is kept.
func (r *Router) SetServers(servers []Server) {
	old := r.servers
	r.servers = make(map[string]*server, len(servers))
	groups := make(map[string]*group)
	for _, config := range servers {
		s := old[config.Name]
		if s == nil {
			s = newServer(config)
		} else {
			s.configure(config)
		}
		r.servers[config.Name] = s
		g := groups[config.Service]
		if g == nil {
			g = &group{}
			groups[config.Service] = g
		}
		g.servers = append(g.servers, s)
	}
	for name, g := range groups {
		sort.Slice(g.servers, func(i, j int) bool { return g.servers[i].Name < g.servers[j].Name })
		if before := r.services[name]; before != nil {
			g.next = before.next
		}
	}
	r.services = groups
	r.prefixes.dropServers(r.servers)
}

// SetUsable says whether a server may be picked. Leaving and unreachable
// servers must not be.
func (r *Router) SetUsable(name string, usable bool) {
	if s := r.servers[name]; s != nil {
		s.usable = usable
	}
}

// Slots returns the slots of all usable servers of a service.
func (r *Router) Slots(service string) int {
	g := r.services[service]
	if g == nil {
		return 0
	}
	slots := 0
	for _, s := range g.servers {
		if s.usable {
			slots += s.slots
		}
	}
	return slots
}

// Started records an attempt that was handed to a server.
func (r *Router) Started(now time.Duration, name string, load Load) {
	if s := r.servers[name]; s != nil {
		s.started(load)
	}
	if load.Prefix != 0 {
		r.prefixes.hint(load.Prefix, name, confidenceSent)
	}
}

// Finished records the end of an attempt that Started announced.
func (r *Router) Finished(now time.Duration, name string, outcome Outcome) {
	if s := r.servers[name]; s != nil {
		s.finished(now, outcome)
	}
}

// Report records a server's own report, received now.
func (r *Router) Report(now time.Duration, name string, report Report) {
	if s := r.servers[name]; s != nil {
		s.reported(now, report)
	}
}

// CacheEvent records a hint about a server's prefix cache. Sequence numbers
// grow by one per server; a gap lowers the confidence in what is remembered.
func (r *Router) CacheEvent(name string, seq uint64, kind CacheEventKind, prefix uint64) {
	s := r.servers[name]
	if s == nil || seq <= s.cacheSeq {
		return
	}
	if s.cacheSeq != 0 && seq != s.cacheSeq+1 {
		s.cacheGaps++
	}
	s.cacheSeq = seq
	switch kind {
	case CacheStored:
		r.prefixes.hint(prefix, name, confidenceStored)
	case CacheEvicted:
		r.prefixes.evicted(prefix, name)
	}
}

// Pick chooses a server for an attempt. It returns false, with the reason, if
// there is none.
func (r *Router) Pick(now time.Duration, request Request) (Decision, bool) {
	g := r.services[request.Service]
	if g == nil {
		return Decision{Reason: ReasonUnknownService}, false
	}
	r.pick++
	for _, name := range request.Exclude {
		if s := r.servers[name]; s != nil {
			s.excluded = r.pick
		}
	}
	switch request.Policy.Routing {
	case fleet.RouteRoundRobin:
		return r.roundRobin(now, g, &request)
	case fleet.RouteLeastInFlight:
		return r.leastInFlight(now, g, &request)
	default:
		return r.expectedCompletion(now, g, &request)
	}
}

// eligible reports whether a server may be picked in the current call.
func (r *Router) eligible(s *server) bool {
	return s.usable && s.excluded != r.pick
}

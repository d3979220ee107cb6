package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"waxwingcart/internal/core/fleet"
)

// Router places the attempts of one entry.
type Router struct {
	options Options
	random  *rand.Rand
	// configured is the last argument of SetServers.
	configured []Server
	servers    map[string]*server
	services   map[string]*group
	prefixes   *prefixTable
	// pick numbers the calls of Pick; it marks excluded servers.
	pick uint64
	// request, choice and marked are the working memory of Pick.
	request   Request
	choice    choice
	marked    [maxHolders]*server
	scanLimit int
}

// New returns a Router without servers.
func New(options Options) *Router {
	if options.PrefixLimit == 0 {
		options.PrefixLimit = DefaultPrefixLimit
	}
	return &Router{
		options:   options,
		random:    rand.New(rand.NewPCG(options.Seed, options.Seed^0x9e3779b97f4a7c15)),
		servers:   make(map[string]*server),
		services:  make(map[string]*group),
		prefixes:  newPrefixTable(options.PrefixLimit),
		scanLimit: scanLimit,
	}
}

// SetServers replaces the set of servers. What is known about servers that
// stay is kept.
func (r *Router) SetServers(servers []Server) {
	if len(servers) > 0 && slices.Equal(servers, r.configured) {
		return
	}
	r.configured = slices.Clone(servers)
	old := r.servers
	r.servers = make(map[string]*server, len(servers))
	list := make([]*server, 0, len(servers))
	for _, config := range servers {
		s := old[config.Name]
		if s == nil {
			s = newServer(config)
		} else {
			s.configure(config)
		}
		if r.servers[config.Name] == nil {
			list = append(list, s)
		}
		r.servers[config.Name] = s
	}
	for name, s := range old {
		if r.servers[name] == nil {
			s.group = nil
		}
	}
	groups := newGroups(list)
	for name, g := range groups {
		if before := r.services[name]; before != nil {
			g.next = before.next
		}
	}
	r.services = groups
}

// SetUsable says whether a server may be picked. Leaving and unreachable
// servers must not be.
func (r *Router) SetUsable(name string, usable bool) {
	if s := r.servers[name]; s != nil {
		s.tier.setUsable(s, usable)
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
			slots += int(s.slots)
		}
	}
	return slots
}

// Capacity returns how many requests of a service this entry may have in
// flight: what it has, and its part of what is free. The less is free, the
// nearer the result is to an even share, so that no entry keeps what others
// need. It also returns the tokens per second of that many requests, zero if
// that is not known. It takes time in proportion to the service's servers.
func (r *Router) Capacity(now time.Duration, service string, entries int) (requests int, tokensPerSecond float64) {
	g := r.services[service]
	if g == nil {
		return 0, 0
	}
	var slots, own, inFlight, rate float64
	for _, s := range g.servers {
		if s.usable {
			slots += s.slots
			own += float64(s.own)
			inFlight += s.inFlight(now)
			rate += s.TokensPerSecond
		}
	}
	if slots == 0 {
		return 0, 0
	}
	part := 1 / float64(max(1, entries))
	usable := usableRatio * slots
	free := max(0, usable-inFlight)
	scarce := 1 - free/usable
	even := usable * part
	limit := own + free*part + evenPull*scarce*(even-own)
	requests = max(1, int(math.Round(limit)))
	return requests, rate / slots * float64(requests)
}

const (
	// usableRatio is the part of the slots that entries fill together. The
	// rest takes up the differences between servers, so that requests wait at
	// the entry, where they can be refused, and not at a server.
	usableRatio = 0.88
	// evenPull is how far Capacity moves to an even share if nothing is free.
	evenPull = 0.5
)

// Started records an attempt that was handed to a server.
func (r *Router) Started(now time.Duration, name string, load Load) {
	s := r.servers[name]
	if s == nil {
		return
	}
	s.started(now, r.freshTokens(s, load))
	if s.ejection.due(now) {
		s.ejection.probing = true
	}
	if load.Prefix != 0 {
		r.prefixes.hint(load.Prefix, s, confidenceSent)
	}
}

// freshTokens estimates the prompt tokens that are not in the server's cache.
func (r *Router) freshTokens(s *server, load Load) float64 {
	prompt := float64(load.PromptTokens)
	if load.Prefix == 0 {
		return prompt
	}
	e := r.prefixes.find(load.Prefix)
	if e == nil {
		return prompt
	}
	h := e.holder(s)
	if h == nil {
		return prompt
	}
	return prompt - h.certainty()*e.sharedTokens(prompt, 0)
}

// Finished records the end of an attempt that Started announced.
func (r *Router) Finished(now time.Duration, name string, outcome Outcome) {
	s := r.servers[name]
	if s == nil {
		return
	}
	s.finished(now, outcome)
	if outcome.Result == ResultCompleted && outcome.Load.Prefix != 0 {
		r.prefixes.served(outcome.Load, s, outcome.CachedTokens)
	}
}

// Report records a server's own report, received now.
func (r *Router) Report(now time.Duration, name string, report Report) {
	if s := r.servers[name]; s != nil {
		s.report(now, report)
	}
}

// CacheEvent records a hint about a server's prefix cache. Sequence numbers
// grow by one per server; each missing one lowers the confidence in what is remembered.
func (r *Router) CacheEvent(name string, seq uint64, kind CacheEventKind, prefix uint64) {
	s := r.servers[name]
	if s == nil || seq <= s.cacheSeq {
		return
	}
	if s.cacheSeq != 0 {
		s.cacheMissed += seq - s.cacheSeq - 1
	}
	s.cacheSeq = seq
	switch kind {
	case CacheStored:
		r.prefixes.hint(prefix, s, confidenceStored)
	case CacheEvicted:
		r.prefixes.evicted(prefix, s)
	}
}

// CacheReset says that a server started anew: its cache is empty and its cache
// events count from the beginning.
func (r *Router) CacheReset(name string) {
	if s := r.servers[name]; s != nil {
		s.cacheSeq = 0
		s.cacheMissed += maxMissed
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
	r.request = request
	defer r.forget()
	switch request.Policy.Routing {
	case fleet.RouteRoundRobin:
		return r.roundRobin(now, g, &r.request)
	case fleet.RouteLeastInFlight:
		return r.leastInFlight(now, g, &r.request)
	default:
		return r.expectedCompletion(now, g, &r.request)
	}
}

// forget drops what the caller owns once a decision is made.
func (r *Router) forget() {
	r.request = Request{}
	r.choice.best = nil
}

// eligible reports whether a server may be picked in the current call.
func (r *Router) eligible(s *server) bool {
	return s.usable && s.excluded != r.pick
}

package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"waxwingcart/internal/core/fleet"
)

// Router picks servers for the attempts of one entry.
type Router struct {
	options Options
	random  *rand.Rand
	// configured is the last argument of SetServers.
	configured []Server
	servers    map[string]*server
	services   map[string]*group
	prefixes   *prefixTable
	// pickNumber is the number of the current call of Pick. Servers that the call
	// excludes or marks have it in their fields.
	pickNumber uint64
	// request, choice and marked are scratch space of Pick that avoids allocations.
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

// SetServers replaces the set of servers. It keeps the state of servers that stay.
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

// SetUsable sets whether a server may be picked. Servers that leave or are
// unreachable must not be usable.
func (r *Router) SetUsable(name string, usable bool) {
	if s := r.servers[name]; s != nil {
		s.tier.setUsable(s, usable)
	}
}

// Slots returns the total number of slots of a service's usable servers.
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

// Capacity returns the number of requests of a service that this entry may have in
// flight: those that it has, plus its share of the free slots. The fewer slots are
// free, the closer the result is to an even share among the entries, so that no
// entry keeps slots that others need. It also returns the decoding rate for that
// number of requests in tokens per second, or zero if it is not known. It takes
// time proportional to the number of the service's servers.
func (r *Router) Capacity(now time.Duration, service string, entries int) (requests int, tokensPerSecond float64) {
	g := r.services[service]
	if g == nil {
		return 0, 0
	}
	var slots, ownInFlight, inFlight, rate float64
	for _, s := range g.servers {
		if s.usable {
			slots += s.slots
			ownInFlight += float64(s.ownInFlight)
			inFlight += s.inFlight(now)
			rate += s.TokensPerSecond
		}
	}
	if slots == 0 {
		return 0, 0
	}
	part := 1 / float64(max(1, entries))
	usable := targetUtilization * slots
	free := max(0, usable-inFlight)
	scarcity := 1 - free/usable
	even := usable * part
	limit := ownInFlight + free*part + evenShareWeight*scarcity*(even-ownInFlight)
	requests = max(1, int(math.Round(limit)))
	return requests, rate / slots * float64(requests)
}

const (
	// targetUtilization is the part of the slots that all entries together fill.
	// The rest absorbs the differences in load between servers, so that excess
	// requests wait at an entry, which can refuse them, and not at a server.
	targetUtilization = 0.88
	// evenShareWeight is how far Capacity moves towards an even share if no slot is
	// free, as a ratio.
	evenShareWeight = 0.5
)

// Started records an attempt that was sent to a server.
func (r *Router) Started(now time.Duration, name string, size RequestSize) {
	s := r.servers[name]
	if s == nil {
		return
	}
	s.started(now, r.freshTokens(s, size))
	if s.ejection.probeDue(now) {
		s.ejection.probing = true
	}
	if size.Prefix != 0 {
		r.prefixes.addHolder(size.Prefix, s, confidenceSent)
	}
}

// freshTokens estimates the number of prompt tokens that are not in the server's
// cache.
func (r *Router) freshTokens(s *server, size RequestSize) float64 {
	prompt := float64(size.PromptTokens)
	if size.Prefix == 0 {
		return prompt
	}
	e := r.prefixes.find(size.Prefix)
	if e == nil {
		return prompt
	}
	h := e.holder(s)
	if h == nil {
		return prompt
	}
	return prompt - h.currentConfidence()*e.sharedTokens(prompt, 0)
}

// Finished records the end of an attempt that Started recorded.
func (r *Router) Finished(now time.Duration, name string, outcome Outcome) {
	s := r.servers[name]
	if s == nil {
		return
	}
	s.finished(now, outcome)
	if outcome.Result == ResultCompleted && outcome.Size.Prefix != 0 {
		r.prefixes.recordHit(outcome.Size, s, outcome.CachedTokens)
	}
}

// Report records a load report of a server, received now.
func (r *Router) Report(now time.Duration, name string, report Report) {
	if s := r.servers[name]; s != nil {
		s.report(now, report)
	}
}

// CacheEvent records a change of a server's prefix cache. Sequence numbers increase
// by one per event of a server; each event that is missing lowers the confidence in
// what is remembered of the cache.
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
		r.prefixes.addHolder(prefix, s, confidenceStored)
	case CacheEvicted:
		r.prefixes.removeHolder(prefix, s)
	}
}

// CacheReset records that a server was restarted: its cache is empty and the
// sequence numbers of its cache events start again.
func (r *Router) CacheReset(name string) {
	if s := r.servers[name]; s != nil {
		s.cacheSeq = 0
		s.cacheMissed += maxMissed
	}
}

// Pick picks a server for an attempt. If no server is eligible it returns false and
// a Decision with the reason.
func (r *Router) Pick(now time.Duration, request Request) (Decision, bool) {
	g := r.services[request.Service]
	if g == nil {
		return Decision{Reason: ReasonUnknownService}, false
	}
	r.pickNumber++
	for _, name := range request.Exclude {
		if s := r.servers[name]; s != nil {
			s.excluded = r.pickNumber
		}
	}
	r.request = request
	defer r.clearScratch()
	switch request.Policy.Routing {
	case fleet.RouteRoundRobin:
		return r.roundRobin(now, g, &r.request)
	case fleet.RouteLeastInFlight:
		return r.leastInFlight(now, g, &r.request)
	default:
		return r.expectedCompletion(now, g, &r.request)
	}
}

// clearScratch drops references to the caller's data after a decision.
func (r *Router) clearScratch() {
	r.request = Request{}
	r.choice.best = nil
}

// eligible reports whether a server may be picked in the current call of Pick.
func (r *Router) eligible(s *server) bool {
	return s.usable && s.excluded != r.pickNumber
}

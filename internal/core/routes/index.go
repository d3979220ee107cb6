package routes

import (
	"crypto/sha256"
	"strings"
	"time"
)

// routeKey identifies a route by host, as normalHost returns it, and path prefix.
type routeKey struct{ host, prefix string }

func (r *Route) key() routeKey { return routeKey{normalHost(r.Host), r.PathPrefix} }

// Index looks up routes, services and customers of one table. It is immutable
// and safe for concurrent use. Indexes of consecutive tables share what they have in common.
type Index struct {
	// Table holds no routes if the index was made by Next: only the index has them.
	*Table
	// routes holds the routes of an earlier table, and changed those that differ since then;
	// nil stands for a removed one.
	routes, changed map[routeKey]*Route
	count           int
	services        map[string]*Service
	customers       map[[sha256.Size]byte]*Customer
	// timeouts counts the routes by timeout, and streamTimeouts those of streams.
	timeouts, streamTimeouts map[time.Duration]int
}

// NewIndex returns an index of a valid table, which must not be modified
// afterwards.
func NewIndex(table *Table) *Index {
	x := &Index{
		Table:          table,
		routes:         make(map[routeKey]*Route, len(table.Routes)),
		count:          len(table.Routes),
		services:       indexServices(table.Services),
		customers:      indexCustomers(table.Customers),
		timeouts:       make(map[time.Duration]int),
		streamTimeouts: make(map[time.Duration]int),
	}
	for i := range table.Routes {
		route := &table.Routes[i]
		x.routes[route.key()] = route
		x.countTimeout(route, 1)
	}
	return x
}

func indexServices(services []Service) map[string]*Service {
	index := make(map[string]*Service, len(services))
	for i := range services {
		index[services[i].Name] = &services[i]
	}
	return index
}

func indexCustomers(customers []Customer) map[[sha256.Size]byte]*Customer {
	index := make(map[[sha256.Size]byte]*Customer)
	for i := range customers {
		for _, key := range customers[i].Keys {
			index[sha256.Sum256([]byte(key))] = &customers[i]
		}
	}
	return index
}

func (x *Index) countTimeout(route *Route, n int) {
	count(x.timeouts, route.Timeout, n)
	if route.Stream {
		count(x.streamTimeouts, route.Timeout, n)
	}
}

func count(counts map[time.Duration]int, timeout time.Duration, n int) {
	counts[timeout] += n
	if counts[timeout] == 0 {
		delete(counts, timeout)
	}
}

// RouteCount returns the number of routes.
func (x *Index) RouteCount() int { return x.count }

// LongestTimeout returns the longest timeout of any route, and of the routes of streams.
func (x *Index) LongestTimeout() (all, streams time.Duration) {
	return longest(x.timeouts), longest(x.streamTimeouts)
}

func longest(counts map[time.Duration]int) time.Duration {
	result := time.Duration(0)
	for timeout := range counts {
		result = max(result, timeout)
	}
	return result
}

// route returns the route with a key, or nil.
func (x *Index) route(key routeKey) *Route {
	if route, ok := x.changed[key]; ok {
		return route
	}
	return x.routes[key]
}

// Route returns the host's route with the longest matching path prefix, or nil
// if none matches. As in HTTP, the case of host, its port and a final dot are
// ignored.
func (x *Index) Route(host, path string) *Route {
	host = normalHost(host)
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route := x.route(routeKey{host, path[:end+1]}); route != nil {
			return route
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Customer returns the customer that holds a key, or nil. Keys are looked up by
// their SHA-256 hashes.
func (x *Index) Customer(key string) *Customer {
	if key == "" {
		return nil
	}
	return x.customers[sha256.Sum256([]byte(key))]
}

// Choose picks a target service by weight. draw is a random number, uniformly
// distributed in [0, 1).
func (r *Route) Choose(draw float64) string {
	total := 0.0
	for _, target := range r.Targets {
		total += target.Weight
	}
	remaining := draw * total
	chosen := ""
	for _, target := range r.Targets {
		if target.Weight <= 0 {
			continue
		}
		// If rounding leaves a remainder, the last target with a weight is chosen.
		chosen = target.Service
		remaining -= target.Weight
		if remaining < 0 {
			break
		}
	}
	return chosen
}

package routes

import (
	"crypto/sha256"
	"strings"
)

// routeKey identifies a route by host, as normalHost returns it, and path prefix.
type routeKey struct{ host, prefix string }

func (r *Route) key() routeKey { return routeKey{normalHost(r.Host), r.PathPrefix} }

// Index looks up routes, services and customers of one table. It is immutable
// and safe for concurrent use.
type Index struct {
	*Table
	routes    map[routeKey]*Route
	services  map[string]*Service
	customers map[[sha256.Size]byte]*Customer
}

// NewIndex returns an index of a valid table, which must not be modified
// afterwards.
func NewIndex(table *Table) *Index {
	x := &Index{
		Table:     table,
		routes:    make(map[routeKey]*Route, len(table.Routes)),
		services:  make(map[string]*Service, len(table.Services)),
		customers: make(map[[sha256.Size]byte]*Customer),
	}
	for i := range table.Routes {
		route := &table.Routes[i]
		x.routes[route.key()] = route
	}
	for i := range table.Services {
		x.services[table.Services[i].Name] = &table.Services[i]
	}
	for i := range table.Customers {
		for _, key := range table.Customers[i].Keys {
			x.customers[sha256.Sum256([]byte(key))] = &table.Customers[i]
		}
	}
	return x
}

// Route returns the host's route with the longest matching path prefix, or nil
// if none matches. As in HTTP, the case of host, its port and a final dot are
// ignored.
func (x *Index) Route(host, path string) *Route {
	host = normalHost(host)
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route := x.routes[routeKey{host, path[:end+1]}]; route != nil {
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

// Package directory holds the platform's list of backend servers that an entry has in use.
package directory

import (
	"slices"
	"strings"
	"sync"
	"time"

	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/placement"
	"waxwingcart/internal/core/routes"
	"waxwingcart/internal/discovery"
)

// Directory holds the discovered backend servers. It is safe for concurrent use.
type Directory struct {
	maxAge time.Duration

	mu      sync.Mutex
	loaded  bool
	list    []discovery.Server
	servers map[string]*fleet.BackendServer
	// version is the version of the leader's list in use, or 0 if this process
	// read the list itself. readAt is when the list in use was read from the
	// platform.
	version uint64
	readAt  time.Duration
}

// New returns a Directory without a list. A list is fresh for maxAge after it was read.
func New(maxAge time.Duration) *Directory {
	return &Directory{maxAge: maxAge, servers: make(map[string]*fleet.BackendServer)}
}

// Known reports whether a list has been received.
func (d *Directory) Known() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded
}

// Server returns a discovered server by its instance, or nil.
func (d *Directory) Server(instance string) *fleet.BackendServer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.servers[instance]
}

// List returns the list in use and when it was read. The list must not be changed.
func (d *Directory) List() ([]discovery.Server, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list, d.readAt
}

// Instances returns the instances of the list in use.
func (d *Directory) Instances() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	instances := make([]string, 0, len(d.list))
	for _, found := range d.list {
		instances = append(instances, found.Instance)
	}
	return instances
}

// Addresses returns the addresses of the servers of the list in use.
func (d *Directory) Addresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	addresses := make([]string, 0, len(d.list))
	for _, found := range d.list {
		addresses = append(addresses, found.Address)
	}
	return addresses
}

// ServiceAt returns the service of the server at an address, or "".
func (d *Directory) ServiceAt(address string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, found := range d.list {
		if found.Address == address {
			return found.Service
		}
	}
	return ""
}

// ListVersion returns the version of the leader's list in use, or 0.
func (d *Directory) ListVersion() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// FreshFor returns how long the list in use stays recent enough that this entry need
// not read it from the platform. It is 0 or less if it is not.
func (d *Directory) FreshFor(now time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.loaded {
		return 0
	}
	return d.maxAge - (now - d.readAt)
}

// Confirm updates the age of the list in use if it has the given version, and
// reports whether it has.
func (d *Directory) Confirm(version uint64, readAt time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.version != version {
		return false
	}
	d.readAt = max(d.readAt, readAt)
	return true
}

// Replace replaces the list in use and returns the servers that are new or
// have changed and the instances that are no longer listed. It ignores a list
// that was read before the one in use.
func (d *Directory) Replace(list []discovery.Server, version uint64, readAt time.Duration) (changed []discovery.Server, gone []string) {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b discovery.Server) int { return strings.Compare(a.Instance, b.Instance) })
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.loaded && readAt < d.readAt {
		return nil, nil
	}
	d.version, d.readAt = version, readAt
	servers := make(map[string]*fleet.BackendServer, len(list))
	for _, found := range list {
		if !slices.Contains(d.list, found) {
			changed = append(changed, found)
		}
		servers[found.Instance] = &fleet.BackendServer{
			Name: found.Instance, VM: found.Instance, Service: found.Service, Zone: found.Zone, Address: found.Address,
		}
	}
	for instance := range d.servers {
		if servers[instance] == nil {
			gone = append(gone, instance)
		}
	}
	d.list, d.servers, d.loaded = list, servers, true
	return changed, gone
}

// PlacementServers returns the servers of the services that a lookup knows.
func (d *Directory) PlacementServers(lookup func(name string) *routes.Service, zone string) []placement.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	var servers []placement.Server
	for _, found := range d.list {
		service := lookup(found.Service)
		if service == nil {
			continue
		}
		server := placement.Server{Name: found.Instance, Service: found.Service, Slots: max(found.Slots, 1), Leaving: found.Leaving, Version: found.Software}
		if service.Engine != nil {
			server.CacheTokens = service.Engine.CacheTokens
			server.Slots = max(service.Engine.Slots, 1)
		}
		if found.Zone != zone {
			server.Delay = time.Duration(fleet.DefaultZoneDelayMS * float64(time.Millisecond))
		}
		servers = append(servers, server)
	}
	return servers
}

package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/placement"
	"waxwingcart/internal/core/routes"
	"waxwingcart/internal/discovery"
)

const (
	// discoveryInterval is how often an entry checks whether it has to read
	// the list of backend servers itself.
	discoveryInterval = time.Second
	// maxListAge is the age of the leader's list from which an entry reads the
	// platform's list itself. The leader reads it every second.
	maxListAge = 2500 * time.Millisecond
	// readsPerInterval is the approximate maximum number of entries that read
	// the list in one interval. It keeps all entries together below the
	// platform's rate limit.
	readsPerInterval = 10
	// discoveryTimeout bounds one read.
	discoveryTimeout = 2 * time.Second
)

// directory holds the discovered backend servers.
type directory struct {
	// checking is held while a call reads the list to check it, last at checkedAt.
	checking  sync.Mutex
	checkedAt time.Duration

	mu      sync.Mutex
	loaded  bool
	list    []discovery.Server
	servers map[string]*fleet.BackendServer
	// version is the version of the leader's list in use, or 0 if this entry
	// read the list itself. readAt is when the list in use was read from the
	// platform.
	version uint64
	readAt  time.Duration
}

func newDirectory() *directory {
	return &directory{servers: make(map[string]*fleet.BackendServer)}
}

// known reports whether a list has been received.
func (d *directory) known() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded
}

// server returns a discovered server by its instance, or nil.
func (d *directory) server(instance string) *fleet.BackendServer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.servers[instance]
}

// instances returns the instances of the list in use.
func (d *directory) instances() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	instances := make([]string, 0, len(d.list))
	for _, found := range d.list {
		instances = append(instances, found.Instance)
	}
	return instances
}

// addresses returns the addresses of the servers of the list in use.
func (d *directory) addresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	addresses := make([]string, 0, len(d.list))
	for _, found := range d.list {
		addresses = append(addresses, found.Address)
	}
	return addresses
}

// serviceAt returns the service of the server at an address, or "".
func (d *directory) serviceAt(address string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, found := range d.list {
		if found.Address == address {
			return found.Service
		}
	}
	return ""
}

// listVersion returns the version of the leader's list in use, or 0.
func (d *directory) listVersion() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// freshFor returns how long the list in use stays recent enough that this entry need
// not read it from the platform. It is 0 or less if it is not.
func (d *directory) freshFor(now time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.loaded {
		return 0
	}
	return maxListAge - (now - d.readAt)
}

// confirm updates the age of the list in use if it has the given version, and
// reports whether it has.
func (d *directory) confirm(version uint64, readAt time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.version != version {
		return false
	}
	d.readAt = max(d.readAt, readAt)
	return true
}

// replace replaces the list in use and returns the servers that are new or
// have changed and the instances that are no longer listed. It ignores a list
// that was read before the one in use.
func (d *directory) replace(list []discovery.Server, version uint64, readAt time.Duration) (changed []discovery.Server, gone []string) {
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

// placementServers returns the servers of the services that a lookup knows.
func (d *directory) placementServers(lookup func(name string) *routes.Service, zone string) []placement.Server {
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

// runDiscovery reads the platform's list while no leader provides a fresh one.
// Each entry reads less often the more entries there are.
func (e *Entry) runDiscovery(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		if left := e.directory.freshFor(e.now()); left > 0 {
			wait(ctx, min(left, discoveryInterval))
			continue
		}
		if e.directory.known() && rand.IntN(1+e.quota.entries()/readsPerInterval) > 0 {
			wait(ctx, discoveryInterval)
			continue
		}
		err := e.discover(ctx)
		if failed := err != nil; failed != failing {
			failing = failed
			if failed {
				e.logger.Warn().Str("step", "discover").Err(err).Msg("reading the list of backend servers failed; the last one stays in use")
			} else {
				e.logger.Info().Str("step", "discover").Msg("reading the list of backend servers succeeded again")
			}
		}
		wait(ctx, discoveryInterval)
	}
}

// checkIntervalPerEntry is multiplied by the number of entries to get the shortest time between two
// reads of the platform's list by which one entry checks whether the list in use is out of date.
const checkIntervalPerEntry = 30 * time.Millisecond

// checkList asks the leader, and without an answer the platform, whether the list in use is still
// the newest.
func (e *Entry) checkList(ctx context.Context) {
	asked := e.now()
	if e.quota.drawSoon(ctx) && e.streams.checkedSince(asked) {
		return
	}
	d := e.directory
	d.checking.Lock()
	defer d.checking.Unlock()
	// Another call may have read the list meanwhile. All entries share the platform's rate.
	if e.streams.checkedSince(asked) || d.checkedAt != 0 && e.now()-d.checkedAt < time.Duration(max(e.quota.entries(), readsPerInterval))*checkIntervalPerEntry {
		return
	}
	d.checkedAt = e.now()
	if err := e.discover(ctx); err != nil {
		e.logger.Warn().Str("step", "discover").Err(err).Msg("checking the list of backend servers failed")
	}
}

func (e *Entry) discover(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, discoveryTimeout)
	defer cancel()
	requestedAt := e.now()
	list, err := e.opts.Routed.Discover(call)
	if err != nil {
		return err
	}
	e.applyList(list, 0, requestedAt)
	return nil
}

// applyList puts a list in use and logs the differences.
func (e *Entry) applyList(list []discovery.Server, version uint64, readAt time.Duration) {
	e.streams.listed(list, readAt)
	changed, gone := e.policy.setList(list, version, readAt)
	if len(changed)+len(gone) > 0 {
		e.detour.SetServers(e.directory.addresses())
	}
	for _, found := range changed {
		e.logger.Info().Str("step", "discover").Str("server", found.Instance).Str("service", found.Service).
			Str("peer", found.Address).Str("server_zone", found.Zone).Str("version", found.Software).Bool("leaving", found.Leaving).Msg("backend server added to the list or changed in it")
	}
	for _, instance := range gone {
		e.logger.Info().Str("step", "discover").Str("server", instance).Msg("backend server no longer listed")
	}
	e.signalInitialized()
}

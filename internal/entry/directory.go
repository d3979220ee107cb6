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
	// discoveryInterval is how often an entry looks whether it has to read the
	// list of backend servers by itself.
	discoveryInterval = time.Second
	// maxListAge is how old the leader's list may be before an entry reads the
	// platform's by itself. The leader reads it each second.
	maxListAge = 2500 * time.Millisecond
	// entriesPerRead is the number of entries that may read the list in the
	// same interval, so that all together stay below the platform's rate.
	entriesPerRead = 10
	// discoveryTimeout bounds one reading.
	discoveryTimeout = 2 * time.Second
)

// directory holds the backend servers that were discovered.
type directory struct {
	mu      sync.Mutex
	loaded  bool
	list    []discovery.Server
	servers map[string]*fleet.BackendServer
	// version is that of the leader's list in use, 0 for one read here; readAt
	// is when the list in use was read at the platform.
	version uint64
	readAt  time.Duration
}

func newDirectory() *directory {
	return &directory{servers: make(map[string]*fleet.BackendServer)}
}

// known reports whether the list was ever read.
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

// listVersion returns the version of the leader's list in use.
func (d *directory) listVersion() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// fresh reports whether the list in use was read a short time ago.
func (d *directory) fresh(now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded && now-d.readAt < maxListAge
}

// confirm notes that the leader still reads the list in use.
func (d *directory) confirm(version uint64, readAt time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.version != version {
		return false
	}
	d.readAt = max(d.readAt, readAt)
	return true
}

// replace takes a new list in and returns what is in one list alone, or whose
// state changed. A list that was read earlier than the one in use is dropped.
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

// placementServers returns the servers of a table's services for placement.
func (d *directory) placementServers(table *routes.Index, zone string) []placement.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	var servers []placement.Server
	for _, found := range d.list {
		service := table.Service(found.Service)
		if service == nil {
			continue
		}
		server := placement.Server{Name: found.Instance, Service: found.Service, Slots: max(found.Slots, 1), Leaving: found.Leaving}
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

// runDiscovery reads the platform's list while no leader gives a fresh one. The
// more entries there are, the more rarely each of them does.
func (e *Entry) runDiscovery(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		if e.directory.fresh(e.now()) || e.directory.known() && rand.IntN(1+e.quota.entries()/entriesPerRead) > 0 {
			wait(ctx, discoveryInterval)
			continue
		}
		err := e.discover(ctx)
		if failed := err != nil; failed != failing {
			failing = failed
			if failed {
				e.logger.Warn().Str("step", "discover").Err(err).Msg("list of backend servers lost; the last one stays in use")
			} else {
				e.logger.Info().Str("step", "discover").Msg("list of backend servers read")
			}
		}
		wait(ctx, discoveryInterval)
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

// applyList puts a list in use.
func (e *Entry) applyList(list []discovery.Server, version uint64, readAt time.Duration) {
	changed, gone := e.directory.replace(list, version, readAt)
	for _, found := range changed {
		e.logger.Info().Str("step", "discover").Str("server", found.Instance).Str("service", found.Service).
			Str("peer", found.Address).Str("server_zone", found.Zone).Bool("leaving", found.Leaving).Msg("backend server listed")
	}
	for _, instance := range gone {
		e.logger.Info().Str("step", "discover").Str("server", instance).Msg("backend server no longer listed")
	}
	if config := e.config.inForce(); config != nil && len(changed)+len(gone) > 0 {
		e.policy.configure(config)
	}
	e.signalInitialized()
}

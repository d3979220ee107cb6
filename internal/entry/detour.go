package entry

import (
	"waxwingcart/internal/detour"
)

// defaultHealthPath is the path of the health checks of servers whose service names none.
const defaultHealthPath = "/healthz"

func newDetour(e *Entry) *detour.Detour {
	return detour.New(detour.Options{
		Now: e.now, Seed: e.incarnation, Secret: e.opts.PeerSecret, Logger: e.logger, Registry: e.opts.Registry,
		Buffers: e.opts.Buffers, Peers: e.otherEntries, HealthPath: e.healthPath, Changed: func() { e.backends.CloseAllIdle() },
	})
}

// Detour returns the handler for other entries that reach no backend servers.
func (e *Entry) Detour() *detour.Detour { return e.detour }

// otherEntries returns the addresses of the other entries.
func (e *Entry) otherEntries() []string {
	if e.opts.Routed != nil {
		return e.broadcaster.peers()
	}
	e.members.mu.Lock()
	defer e.members.mu.Unlock()
	var addresses []string
	for _, member := range e.members.table.Entries("") {
		if member.Address != e.opts.PeerAddress {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// healthPath returns the path of a server's health check.
func (e *Entry) healthPath(address string) string {
	config := e.config.inForce()
	if config == nil || config.routes == nil {
		return defaultHealthPath
	}
	if service := config.routes.Service(e.directory.ServiceAt(address)); service != nil && service.HealthPath != "" {
		return service.HealthPath
	}
	return defaultHealthPath
}

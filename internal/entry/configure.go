package entry

import (
	"time"

	"waxwingcart/internal/core/admission"
	"waxwingcart/internal/core/routes"
	"waxwingcart/internal/core/routing"
	"waxwingcart/internal/discovery"
)

// Causes of setting placement and limits.
const (
	causeConfig = "config"
	causeList   = "list"
)

// setConfiguration sets placement and limits from a configuration, unless the
// policy already has it or a newer one. The policy orders its inputs itself: no
// caller passes it a configuration that was read before its lock was taken.
func (p *policy) setConfiguration(config *configuration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.config != nil && p.config.revision >= config.revision {
		return
	}
	p.keepOlder(p.entry.now())
	p.config = config
	p.configure(causeConfig)
}

// setList puts a list of backend servers in use, and sets placement from it if
// it differs. It replaces the list under the policy's lock, so that a list is
// known only once placement has its servers.
func (p *policy) setList(list []discovery.Server, version uint64, readAt time.Duration) (changed []discovery.Server, gone []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed, gone = p.entry.directory.Replace(list, version, readAt)
	inUse, _ := p.entry.directory.List()
	p.entry.rollouts.Listed(inUse, p.entry.directory.ListVersion() != 0)
	if p.placer != nil {
		p.placer.SetListed(p.entry.now(), p.entry.directory.Instances())
	}
	if p.config != nil && len(changed)+len(gone) > 0 {
		p.configure(causeList)
	}
	return changed, gone
}

// configure sets placement, limits and retry budgets from the policy's
// configuration and the list in use. The caller holds mu.
func (p *policy) configure(cause string) {
	var services []string
	for _, service := range p.config.Services {
		services = append(services, service.Name)
	}
	if p.config.routes != nil {
		p.retry.SetServices(append(services, p.droppedInUse(p.entry.now())...))
		p.configureRouted(cause)
		return
	}
	p.retry.SetServices(services)
	now := p.entry.now()
	servers := routing.Servers(p.config.Config, p.entry.opts.Zone)
	p.router.SetServers(servers)
	p.setUsable()
	p.applyEffects(p.admission.Step(now, admission.Customers{Customers: p.config.Customers}))
	p.setCapacity(now)
	served := make(map[string]bool)
	var addresses []string
	for _, server := range p.config.BackendServers {
		addresses = append(addresses, server.Address)
	}
	p.entry.detour.SetServers(addresses)
	for _, server := range servers {
		served[server.Service] = true
		p.entry.metrics.serverPrice.WithLabelValues(server.Service, server.Name).Set(server.PricePerHour)
	}
	p.observeConfigured(cause, len(servers), served)
}

// configureRouted is the part of configure for numbered documents.
func (p *policy) configureRouted(cause string) {
	now := p.entry.now()
	inUse := func(name string) *routes.Service { return p.serviceInUse(now, name) }
	servers := p.entry.directory.PlacementServers(inUse, p.entry.opts.Zone)
	p.placer.SetServers(servers)
	p.entry.quota.configure(p.entry.now(), p.config.routes.Table)
	p.entry.streams.configure(p.config.routes)
	served := make(map[string]bool)
	for _, server := range servers {
		served[server.Service] = true
	}
	p.observeConfigured(cause, len(servers), served)
}

// observeConfigured logs and exports the revision from which placement and
// limits were set. served holds the services that have a server. The caller
// holds mu.
func (p *policy) observeConfigured(cause string, servers int, served map[string]bool) {
	without := 0
	for _, service := range p.config.Services {
		if !served[service.Name] {
			without++
		}
	}
	p.entry.metrics.placement.Set(float64(p.config.revision))
	p.entry.metrics.withoutServer.Set(float64(without))
	event := p.entry.logger.Info().Str("step", "configure").Uint64("revision", p.config.revision)
	if p.config.routes != nil {
		event.Uint64("number", p.config.routes.Number).Uint64("list", p.entry.directory.ListVersion())
	}
	event.Int("servers", servers).Int("services_without_server", without).Str("cause", cause).Msg("placement and limits set")
}

// setCapacity tells admission how much of the servers' capacity this entry may
// use. The caller holds mu.
func (p *policy) setCapacity(now time.Duration) {
	if p.config == nil {
		return
	}
	for _, service := range p.config.Services {
		requests, rate := p.router.Capacity(now, service.Name, p.entries)
		capacity := admission.Capacity{Service: service.Name, Slots: requests, TokensPerSecond: rate}
		p.applyEffects(p.admission.Step(now, capacity))
	}
}

// updateCapacity recomputes the capacity from what the other entries use.
func (p *policy) updateCapacity() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setCapacity(p.entry.now())
}

// updateUsable marks servers as usable or not and updates the capacity. It reads
// the membership table under the policy's lock, so that the latest state is set
// last.
func (p *policy) updateUsable() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.config == nil {
		return
	}
	p.setUsable()
	p.setCapacity(p.entry.now())
}

// setUsable marks the configuration's servers as usable or not. The caller holds
// mu.
func (p *policy) setUsable() {
	members := p.entry.members
	members.mu.Lock()
	defer members.mu.Unlock()
	for _, server := range p.config.BackendServers {
		p.router.SetUsable(server.Name, members.table.Usable(server.VM))
	}
}

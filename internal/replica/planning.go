package replica

import (
	"context"
	"sync"
	"time"

	"waxwingcart/internal/backend"
	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/orders"
	"waxwingcart/internal/core/planner"
	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/periodic"
)

// Interval of planning, and timeouts of its calls.
const (
	planInterval    = time.Second
	platformTimeout = 800 * time.Millisecond
	leaveTimeout    = 5 * time.Second
)

// planning computes which VMs the services need and replaces replicas whose VM
// is about to be reclaimed, while this replica leads. It does not rent or release
// VMs itself: the state dump shows the plan, and operators carry it out.
type planning struct {
	replica    *Replica
	platform   string
	backends   *backend.Client
	lastNotice int64
	revision   uint64
	config     *fleet.Config

	mu      sync.Mutex
	planner *planner.Planner
	// leaving holds the VMs with a reclaim notice and the time at which each is
	// reclaimed.
	leaving map[string]time.Time
}

func newPlanning(r *Replica, platform string) *planning {
	return &planning{
		replica:  r,
		platform: platform,
		backends: backend.New(backend.Options{}),
		leaving:  make(map[string]time.Time),
	}
}

func (p *planning) run(ctx context.Context) {
	defer p.backends.Close()
	periodic.Run(ctx, planInterval, func() {
		if p.platform != "" {
			p.readNotices(ctx)
		}
		p.plan(ctx)
	})
}

// readNotices records the VMs that are about to be reclaimed. Every replica
// reads the notices, so that a new leader knows of all that are pending.
func (p *planning) readNotices(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	notices, last, err := p.backends.Notices(callCtx, p.platform, p.lastNotice)
	if err != nil {
		p.replica.logger.Debug().Str("step", "notices").Str("peer", p.platform).Err(err).Msg("reading the platform's notices failed")
		return
	}
	p.lastNotice = last
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, notice := range notices {
		if notice.TimeLeft > 0 {
			p.leaving[notice.VM] = time.Now().Add(notice.TimeLeft)
		}
	}
	for vm, deadline := range p.leaving {
		if time.Now().After(deadline) {
			delete(p.leaving, vm)
		}
	}
}

func (p *planning) isLeaving(vm string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.leaving[vm]
	return ok
}

func (p *planning) plan(ctx context.Context) {
	status := p.replica.status()
	if status.Role != replication.RoleLeader {
		p.reset()
		return
	}
	p.replaceLeaving(ctx, status.Membership)
	if !p.readConfig(ctx) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.replica.now()
	if p.planner == nil {
		p.planner = planner.New(planner.Options{Seed: p.replica.log.Incarnation()})
	}
	p.planner.Step(now, planner.Configured{Config: p.config})
	p.planner.Step(now, planner.Observed{VMs: p.observed()})
	p.planner.Step(now, planner.Tick{})
}

func (p *planning) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.planner = nil
	p.revision = 0
}

// replaceLeaving has voters on leaving VMs replaced while they can still vote.
func (p *planning) replaceLeaving(ctx context.Context, membership replication.Membership) {
	for _, member := range membership.Voters {
		if !p.isLeaving(member.ID.VM) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
		_, err := p.replica.await(callCtx, replication.Leave{ID: member.ID})
		cancel()
		event := p.replica.logger.Info()
		if err != nil {
			event = p.replica.logger.Warn().Err(err)
		}
		event.Str("step", "leave").Str("peer", member.ID.String()).Msg("replacing the replica of a VM that is about to be reclaimed")
	}
}

// readConfig reads the configuration if its revision is new. It reports whether
// there is one: the last one that could be decoded.
func (p *planning) readConfig(ctx context.Context) bool {
	items, revision, err := p.replica.itemsSince(ctx, p.revision)
	if err != nil {
		return false
	}
	if items != nil {
		if config, err := fleet.Assemble(items); err == nil {
			p.config, p.revision = config, revision
		}
	}
	return p.config != nil
}

// observed returns the state of the configured backend servers' VMs. The caller
// must hold mu.
func (p *planning) observed() []planner.VM {
	loaded := make(map[string]bool)
	for _, server := range p.replica.orders.state().Servers {
		loaded[server.Server] = server.Current[orders.SetModel] == server.Desired[orders.SetModel]
	}
	vms := make([]planner.VM, 0, len(p.config.BackendServers))
	for _, server := range p.config.BackendServers {
		_, leaving := p.leaving[server.VM]
		isLoaded, isModelEngine := loaded[server.Name]
		vms = append(vms, planner.VM{
			Name:    server.VM,
			Zone:    server.Zone,
			Class:   server.Class,
			Service: server.Service,
			Leaving: leaving,
			Loaded:  isLoaded || !isModelEngine,
		})
	}
	return vms
}

// state returns the plan for the state dump, or nil if this replica does not lead.
func (p *planning) state() *planner.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.planner == nil {
		return nil
	}
	view := p.planner.View()
	return &view
}

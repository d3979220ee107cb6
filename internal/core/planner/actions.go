package planner

import (
	"cmp"
	"slices"
	"time"
)

// rent asks for what the plans lack. A pool whose last start was refused gets
// one start at a time.
func (p *Planner) rent(effects *Effects) {
	for _, plan := range p.plans {
		owned := p.owned(plan.service.Name, plan.problem.pools)
		for i, pool := range plan.problem.pools {
			key := poolKey{pool.zone, pool.class}
			missing := plan.target[i] - owned[i]
			if _, doubtful := p.backoffs[key]; doubtful {
				missing = min(missing, 1-p.renting(key))
			}
			for range missing {
				p.rentOne(key, plan, effects)
			}
		}
	}
}

// renting counts the starts of a pool that are not answered yet.
func (p *Planner) renting(key poolKey) int {
	n := 0
	for _, r := range p.rentals {
		if r.key == key && r.vm == "" && !r.late {
			n++
		}
	}
	return n
}

func (p *Planner) rentOne(key poolKey, plan servicePlan, effects *Effects) {
	p.sequence++
	p.rentals[p.sequence] = &rental{key: key, service: plan.service.Name, expires: p.now + p.options.RentTimeout}
	effects.Rent = append(effects.Rent, Rent{
		Sequence: p.sequence,
		Zone:     key.zone,
		Class:    key.class,
		Service:  plan.service.Name,
		Reason:   plan.reason,
	})
}

// release gives back VMs that the plans no longer want, once the loaded ones
// that stay meet the target without them.
func (p *Planner) release(effects *Effects) {
	for _, plan := range p.plans {
		owned := p.owned(plan.service.Name, plan.problem.pools)
		serving := p.serving(plan)
		for _, name := range p.names {
			vm := p.vms[name]
			i := plan.pool(vm)
			if vm.service != plan.service.Name || i < 0 || vm.Leaving || vm.released {
				continue
			}
			p.markExcess(vm, owned[i] > plan.target[i])
			if !vm.excess || p.now-vm.excessSince < p.options.ReleaseAfter {
				continue
			}
			if vm.Loaded {
				serving[i]--
				if plan.problem.demand > 0 && !plan.problem.met(serving) {
					serving[i]++
					continue
				}
			}
			owned[i]--
			vm.released = true
			effects.Release = append(effects.Release, Release{VM: name, Reason: plan.reason})
		}
	}
}

func (p *Planner) markExcess(vm *vmState, excess bool) {
	if excess && !vm.excess {
		vm.excessSince = p.now
	}
	vm.excess = excess
}

// serving counts the loaded VMs of a plan's pools.
func (p *Planner) serving(plan servicePlan) mix {
	m := make(mix, len(plan.problem.pools))
	for _, name := range p.names {
		vm := p.vms[name]
		i := plan.pool(vm)
		if vm.service == plan.service.Name && vm.Loaded && !vm.Leaving && !vm.released && i >= 0 {
			m[i]++
		}
	}
	return m
}

// pool returns the index of a VM's pool, or -1.
func (plan servicePlan) pool(vm *vmState) int {
	return slices.IndexFunc(plan.problem.pools, func(pool pool) bool {
		return pool.zone == vm.Zone && pool.class == vm.Class
	})
}

// load starts loads within the weight store's rate, first for the services of
// which least is serving.
func (p *Planner) load(effects *Effects) {
	plans := slices.Clone(p.plans)
	slices.SortStableFunc(plans, func(a, b servicePlan) int {
		return cmp.Compare(p.servingShare(a), p.servingShare(b))
	})
	for _, plan := range plans {
		if plan.service.Model == "" {
			continue
		}
		for _, name := range p.names {
			vm := p.vms[name]
			if vm.service != plan.service.Name || vm.Loaded || vm.Leaving || vm.released || p.loading[name] {
				continue
			}
			if !p.storeHasRoom() {
				return
			}
			p.loading[name] = true
			effects.Load = append(effects.Load, Load{
				VM:             name,
				Service:        plan.service.Name,
				Model:          plan.service.Model,
				BytesPerSecond: p.options.LoadBytesPerSecond,
			})
		}
	}
}

// servingShare is the part of a plan's demand that loaded VMs carry with the
// largest zone lost.
func (p *Planner) servingShare(plan servicePlan) float64 {
	if plan.problem.demand <= 0 {
		return 1
	}
	return plan.problem.worst(p.serving(plan)) / plan.problem.demand
}

// storeHasRoom tells whether one more load stays within the weight store's
// rate. A load counts until it has ended or its VM is gone.
func (p *Planner) storeHasRoom() bool {
	if p.options.StoreBytesPerSecond <= 0 {
		return true
	}
	used := float64(len(p.loading)+1) * p.options.LoadBytesPerSecond
	return used <= p.options.StoreBytesPerSecond*(1+tolerance)
}

// View is the planner as the dump shows it.
type View struct {
	Services []ServiceView `json:"services"`
	Backoffs []BackoffView `json:"backoffs,omitempty"`
	// Loading lists the VMs that load now.
	Loading []string `json:"loading,omitempty"`
}

// ServiceView is one service's plan.
type ServiceView struct {
	Service string `json:"service"`
	// Demand is in tokens a second for a model, requests a second otherwise.
	Demand float64 `json:"demand"`
	// CarriedAfterLoss is what the target carries with its largest zone lost.
	CarriedAfterLoss float64 `json:"carried_after_loss"`
	// ServingAfterLoss is the same of the VMs that serve now.
	ServingAfterLoss float64    `json:"serving_after_loss"`
	Met              bool       `json:"met"`
	PricePerHour     float64    `json:"price_per_hour"`
	Reason           string     `json:"reason"`
	Pools            []PoolView `json:"pools"`
}

// PoolView is what a plan wants of one zone and class.
type PoolView struct {
	Zone         string  `json:"zone"`
	Class        string  `json:"class"`
	PricePerHour float64 `json:"price_per_hour"`
	Wanted       int     `json:"wanted"`
	Owned        int     `json:"owned"`
}

// BackoffView is a pool whose starts are refused.
type BackoffView struct {
	Zone     string `json:"zone"`
	Class    string `json:"class"`
	Failures int    `json:"failures"`
	WaitMS   int64  `json:"wait_ms"`
}

// View returns the plan with its reasons.
func (p *Planner) View() View {
	var view View
	for _, plan := range p.plans {
		view.Services = append(view.Services, p.viewService(plan))
	}
	for key, b := range p.backoffs {
		waiting := max(0, b.until-p.now) / time.Millisecond
		view.Backoffs = append(view.Backoffs, BackoffView{Zone: key.zone, Class: key.class, Failures: b.failures, WaitMS: int64(waiting)})
	}
	slices.SortFunc(view.Backoffs, func(a, b BackoffView) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Class, b.Class))
	})
	for name := range p.loading {
		view.Loading = append(view.Loading, name)
	}
	slices.Sort(view.Loading)
	return view
}

func (p *Planner) viewService(plan servicePlan) ServiceView {
	view := ServiceView{
		Service:          plan.service.Name,
		Demand:           plan.problem.demand,
		CarriedAfterLoss: plan.problem.worst(plan.target),
		ServingAfterLoss: plan.problem.worst(p.serving(plan)),
		Met:              plan.problem.met(plan.target),
		PricePerHour:     plan.problem.cost(plan.target),
		Reason:           plan.reason,
	}
	owned := p.owned(plan.service.Name, plan.problem.pools)
	for i, pool := range plan.problem.pools {
		if plan.target[i] > 0 || owned[i] > 0 {
			view.Pools = append(view.Pools, PoolView{
				Zone: pool.zone, Class: pool.class, PricePerHour: pool.price, Wanted: plan.target[i], Owned: owned[i],
			})
		}
	}
	return view
}

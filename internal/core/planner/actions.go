package planner

import (
	"cmp"
	"slices"
	"time"
)

// rent requests the VMs that the plans lack. A pool whose last rent request was
// refused gets one request at a time.
func (p *Planner) rent(effects *Effects) {
	for _, plan := range p.plans {
		owned := p.owned(plan.service.Name, plan.problem.pools)
		for i, pool := range plan.problem.pools {
			key := poolKey{pool.zone, pool.class}
			missing := plan.target[i] - owned[i]
			if _, backingOff := p.backoffs[key]; backingOff {
				missing = min(missing, 1-p.pendingRents(key))
			}
			for range missing {
				p.rentOne(key, plan, effects)
			}
		}
	}
}

// pendingRents returns the number of unanswered rent requests of a pool.
func (p *Planner) pendingRents(key poolKey) int {
	n := 0
	for _, r := range p.rentals {
		if r.key == key && r.vm == "" && !r.expired {
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

// release returns VMs that the plans no longer want, once the remaining loaded
// VMs meet the target without them.
func (p *Planner) release(effects *Effects) {
	for _, plan := range p.plans {
		owned := p.owned(plan.service.Name, plan.problem.pools)
		serving := p.serving(plan)
		for _, name := range p.names {
			vm := p.vms[name]
			i := plan.poolIndex(vm)
			if vm.service != plan.service.Name || i < 0 || vm.Leaving || vm.released {
				continue
			}
			p.markExcess(vm, owned[i] > plan.target[i])
			if !vm.excess || p.now-vm.excessSince < p.options.ReleaseAfter {
				continue
			}
			if vm.Loaded {
				serving[i]--
				if plan.problem.demand > 0 && !plan.problem.meets(serving) {
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

// serving returns the number of loaded VMs in each of a plan's pools.
func (p *Planner) serving(plan servicePlan) mix {
	m := make(mix, len(plan.problem.pools))
	for _, name := range p.names {
		vm := p.vms[name]
		i := plan.poolIndex(vm)
		if vm.service == plan.service.Name && vm.Loaded && !vm.Leaving && !vm.released && i >= 0 {
			m[i]++
		}
	}
	return m
}

// poolIndex returns the index of a VM's pool in the plan, or -1.
func (plan servicePlan) poolIndex(vm *vmState) int {
	return slices.IndexFunc(plan.problem.pools, func(pool pool) bool {
		return pool.zone == vm.Zone && pool.class == vm.Class
	})
}

// load starts to load models on VMs within the weight store's rate, first for the
// services with the lowest servingShare.
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
			if !p.storeHasBandwidth() {
				return
			}
			p.loading[name] = true
			effects.Load = append(effects.Load, LoadModel{
				VM:             name,
				Service:        plan.service.Name,
				Model:          plan.service.Model,
				BytesPerSecond: p.options.LoadBytesPerSecond,
			})
		}
	}
}

// servingShare returns the fraction of a plan's demand that loaded VMs carry after
// the loss of the largest zone.
func (p *Planner) servingShare(plan servicePlan) float64 {
	if plan.problem.demand <= 0 {
		return 1
	}
	return plan.problem.carriedAfterLoss(p.serving(plan)) / plan.problem.demand
}

// storeHasBandwidth reports whether one more load stays within the weight store's
// rate. A load counts until it has ended or its VM no longer exists.
func (p *Planner) storeHasBandwidth() bool {
	if p.options.StoreBytesPerSecond <= 0 {
		return true
	}
	used := float64(len(p.loading)+1) * p.options.LoadBytesPerSecond
	return used <= p.options.StoreBytesPerSecond*(1+tolerance)
}

// View is the state of the planner as shown in the state dump.
type View struct {
	Services []ServiceView `json:"services"`
	Backoffs []BackoffView `json:"backoffs,omitempty"`
	// Loading lists the VMs that are loading a model.
	Loading []string `json:"loading,omitempty"`
}

// ServiceView is the plan of one service.
type ServiceView struct {
	Service string `json:"service"`
	// Demand is in tokens per second for a model, otherwise in requests per
	// second.
	Demand float64 `json:"demand"`
	// CarriedAfterLoss is the demand that the target carries after the loss of
	// its largest zone.
	CarriedAfterLoss float64 `json:"carried_after_loss"`
	// ServingAfterLoss is the same for the VMs that serve now.
	ServingAfterLoss float64    `json:"serving_after_loss"`
	Met              bool       `json:"met"`
	PricePerHour     float64    `json:"price_per_hour"`
	Reason           string     `json:"reason"`
	Pools            []PoolView `json:"pools"`
}

// PoolView is the number of VMs of one zone and class in a plan.
type PoolView struct {
	Zone         string  `json:"zone"`
	Class        string  `json:"class"`
	PricePerHour float64 `json:"price_per_hour"`
	Wanted       int     `json:"wanted"`
	Owned        int     `json:"owned"`
}

// BackoffView is the backoff of a pool whose rent requests are refused.
type BackoffView struct {
	Zone     string `json:"zone"`
	Class    string `json:"class"`
	Failures int    `json:"failures"`
	WaitMS   int64  `json:"wait_ms"`
}

// View returns the plans with their reasons, the backoffs and the loads.
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
		CarriedAfterLoss: plan.problem.carriedAfterLoss(plan.target),
		ServingAfterLoss: plan.problem.carriedAfterLoss(p.serving(plan)),
		Met:              plan.problem.meets(plan.target),
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

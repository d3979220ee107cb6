// Package planner decides which VMs to rent for backend servers, and which models
// to load on them.
//
// For each service it looks for the cheapest mix of zones and machine classes
// that still carries the peak load after the loss of the largest zone. A refused
// rent request starts a backoff for its zone and class, and the plan uses the next
// cheapest mix meanwhile. Loads share the weight store's rate. A Planner is a
// state machine without I/O.
package planner

import (
	"math/rand/v2"
	"slices"
	"time"

	"waxwingcart/internal/core/fleet"
)

// rental is a VM that was requested and is not observed yet.
type rental struct {
	key     poolKey
	service string
	// vm is the name of the VM, or empty until the rent request is granted.
	vm string
	// expires is when expired is set, so that the rental no longer counts as
	// owned. An unanswered rental is kept even then, since a late answer needs
	// the service that the VM is for.
	expires time.Duration
	expired bool
}

// vmState is an observed VM with the state that the planner keeps about it.
type vmState struct {
	VM
	service string
	// firstSeen is when the VM was first observed.
	firstSeen time.Duration
	// excess is true while the plan does not need the VM, which is the case
	// since excessSince.
	excess      bool
	excessSince time.Duration
	released    bool
}

// Planner keeps the VMs of a deployment at the cheapest mix that meets the
// target.
type Planner struct {
	options  Options
	random   *rand.Rand
	now      time.Duration
	config   *fleet.Config
	observed bool
	vms      map[string]*vmState
	names    []string
	rentals  map[uint64]*rental
	// assigned holds, by VM name, the service that a VM was rented for or
	// assigned to. It applies until the configuration names the VM's service.
	assigned map[string]string
	backoffs map[poolKey]*backoff
	loading  map[string]bool
	plans    []servicePlan
	sequence uint64
}

// servicePlan is the plan of one service.
type servicePlan struct {
	service fleet.Service
	problem problem
	current mix
	target  mix
	reason  string
}

// New returns a Planner that waits for a configuration and the VMs.
func New(options Options) *Planner {
	options.setDefaults()
	return &Planner{
		options:  options,
		random:   rand.New(rand.NewPCG(options.Seed, 1)),
		vms:      make(map[string]*vmState),
		rentals:  make(map[uint64]*rental),
		assigned: make(map[string]string),
		backoffs: make(map[poolKey]*backoff),
		loading:  make(map[string]bool),
	}
}

// Step applies one event and returns the effects to carry out. There are none
// until both a configuration and the VMs are known.
func (p *Planner) Step(now time.Duration, event Event) Effects {
	p.now = max(p.now, now)
	switch e := event.(type) {
	case Configured:
		p.config = e.Config
	case Observed:
		p.observe(e.VMs)
	case Rented:
		p.rented(e)
	case Refused:
		p.refused(e)
	case LoadEnded:
		delete(p.loading, e.VM)
	case Tick:
	}
	p.expire()
	if p.config == nil || !p.observed {
		return Effects{}
	}
	p.replan()
	p.assignServices()
	var effects Effects
	p.rent(&effects)
	p.release(&effects)
	p.load(&effects)
	return effects
}

func (p *Planner) observe(vms []VM) {
	p.observed = true
	seen := make(map[string]bool, len(vms))
	for _, vm := range vms {
		seen[vm.Name] = true
		state, ok := p.vms[vm.Name]
		if !ok {
			state = &vmState{firstSeen: p.now}
			p.vms[vm.Name] = state
		}
		state.VM = vm
		state.service = vm.Service
		if state.service == "" {
			state.service = p.assigned[vm.Name]
		}
		if vm.Loaded {
			delete(p.loading, vm.Name)
		}
	}
	p.names = p.names[:0]
	for name := range p.vms {
		if !seen[name] {
			delete(p.vms, name)
			delete(p.loading, name)
			delete(p.assigned, name)
			continue
		}
		p.names = append(p.names, name)
	}
	slices.Sort(p.names)
	for sequence, r := range p.rentals {
		if r.vm != "" && seen[r.vm] {
			delete(p.rentals, sequence)
		}
	}
}

func (p *Planner) rented(e Rented) {
	r, ok := p.rentals[e.Sequence]
	if !ok {
		return
	}
	delete(p.backoffs, r.key)
	p.assigned[e.VM] = r.service
	r.expired = false
	if state, seen := p.vms[e.VM]; seen {
		if state.service == "" {
			state.service = r.service
		}
		delete(p.rentals, e.Sequence)
		return
	}
	r.vm = e.VM
	r.expires = p.now + p.options.RentTimeout
}

func (p *Planner) refused(e Refused) {
	r, ok := p.rentals[e.Sequence]
	if !ok {
		return
	}
	delete(p.rentals, e.Sequence)
	b, ok := p.backoffs[r.key]
	if !ok {
		b = &backoff{}
		p.backoffs[r.key] = b
	}
	if p.now < b.until {
		// Requests made together count as one refusal.
		return
	}
	b.increase(p.now, p.options, p.random)
}

func (p *Planner) expire() {
	for sequence, r := range p.rentals {
		if p.now <= r.expires {
			continue
		}
		r.expired = true
		if r.vm != "" {
			delete(p.rentals, sequence)
		}
	}
}

// assignServices assigns VMs without a known service, such as those rented by an
// earlier leader, to the first service that lacks such a VM.
func (p *Planner) assignServices() {
	for _, name := range p.names {
		vm := p.vms[name]
		if vm.service != "" || vm.Leaving || p.now-vm.firstSeen < p.options.RentTimeout {
			continue
		}
		for _, plan := range p.plans {
			i := plan.poolIndex(vm)
			if i >= 0 && p.owned(plan.service.Name, plan.problem.pools)[i] < plan.target[i] {
				vm.service = plan.service.Name
				p.assigned[name] = vm.service
				break
			}
		}
	}
}

// owned returns the number of VMs in each of a service's pools: the observed VMs
// that are not leaving, and the rentals.
func (p *Planner) owned(service string, pools []pool) mix {
	m := make(mix, len(pools))
	count := func(key poolKey) {
		for i, pool := range pools {
			if pool.zone == key.zone && pool.class == key.class {
				m[i]++
			}
		}
	}
	for _, name := range p.names {
		if vm := p.vms[name]; vm.service == service && !vm.Leaving && !vm.released {
			count(poolKey{vm.Zone, vm.Class})
		}
	}
	for _, r := range p.rentals {
		if r.service == service && !r.expired {
			count(r.key)
		}
	}
	return m
}

// replan computes the target of each service whose inputs changed.
func (p *Planner) replan() {
	previous := p.plans
	p.plans = make([]servicePlan, 0, len(p.config.Services))
	for _, service := range p.config.Services {
		plan := p.planService(service)
		unchanged := slices.IndexFunc(previous, plan.sameInputs)
		if unchanged >= 0 {
			plan.target, plan.reason = previous[unchanged].target, previous[unchanged].reason
		} else {
			plan.target, plan.reason = p.choose(plan.problem, plan.current)
		}
		p.plans = append(p.plans, plan)
	}
}

// sameInputs reports whether another plan has the same inputs.
func (plan servicePlan) sameInputs(other servicePlan) bool {
	return plan.service.Name == other.service.Name && plan.problem.demand == other.problem.demand &&
		slices.Equal(plan.problem.pools, other.problem.pools) && slices.Equal(plan.current, other.current)
}

func (p *Planner) planService(service fleet.Service) servicePlan {
	pools := p.pools(service)
	plan := servicePlan{service: service, problem: newProblem(pools, p.demand(service))}
	current := p.owned(service.Name, pools)
	for i := range pools {
		key := poolKey{pools[i].zone, pools[i].class}
		b, ok := p.backoffs[key]
		switch {
		case !ok:
		case p.now < b.until || p.pendingRents(key) > 0:
			pools[i].limit = current[i]
		default:
			pools[i].limit = current[i] + 1
		}
	}
	plan.current = current
	return plan
}

// The reasons of a plan.
const (
	reasonNoDemand = "the service has no peak load configured; its VMs stay as they are"
	reasonNoPools  = "no machine class can run the service"
	reasonShort    = "no mix that can be had meets the target; this one carries most"
	reasonKept     = "the present VMs meet the target and a cheaper mix saves too little"
	reasonCheapest = "cheapest mix found that meets the target with the largest zone lost"
	reasonOneZone  = "only one zone is offered; the target is met without its loss"
)

// choose returns the target and the reason for it.
func (p *Planner) choose(problem problem, current mix) (mix, string) {
	switch {
	case len(problem.pools) == 0:
		return mix{}, reasonNoPools
	case problem.demand <= 0:
		return slices.Clone(current), reasonNoDemand
	}
	best := problem.cheapest(current)
	if !problem.meets(best) {
		return best, reasonShort
	}
	kept := slices.Clone(current)
	problem.trim(kept)
	if problem.meets(kept) && problem.cost(kept)*(1-p.options.SwitchGain) <= problem.cost(best) {
		return kept, reasonKept
	}
	if problem.zones == 1 {
		return best, reasonOneZone
	}
	return best, reasonCheapest
}

// demand returns the peak load of a service, in tokens per second for a model and
// in requests per second for an application.
func (p *Planner) demand(service fleet.Service) float64 {
	if service.Kind == fleet.ServiceModel {
		return service.PeakRequestsPerSecond * service.MeanTokens
	}
	return service.PeakRequestsPerSecond
}

// pools returns the pools that a service can run on.
func (p *Planner) pools(service fleet.Service) []pool {
	var pools []pool
	for _, class := range p.config.Classes {
		units := class.TokensPerSecond
		if service.Kind != fleet.ServiceModel {
			units = float64(class.Slots) * p.options.AppUnitsPerSlot
		}
		if units <= 0 {
			continue
		}
		for _, zone := range p.config.Zones {
			price, offered := class.PricesPerHour[zone.Name]
			if offered && price >= 0 {
				pools = append(pools, pool{zone: zone.Name, class: class.Name, units: units, price: price, limit: unlimited})
			}
		}
	}
	return pools
}

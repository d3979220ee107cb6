package routing_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"waxwingcart/internal/core/admission"
	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/routing"
)

// step is the time resolution of the queueing model.
const step = 10 * time.Millisecond

// kind is a kind of request in a deployment.
type kind struct {
	share            float64
	short            bool
	own, shared      int // prompt tokens
	output, prefixes int
}

// deployment is the size and the mix of requests of a modelled deployment.
type deployment struct {
	name    string
	engines int
	entries int
	kinds   []kind
	seed    uint64
}

var deployments = []deployment{
	{name: "ledgerworks", engines: 12, entries: 6, kinds: []kind{
		{share: 0.4, short: true, own: 100, shared: 400, output: 15, prefixes: 5},
		{share: 0.4, own: 200, shared: 800, output: 150, prefixes: 20},
		{share: 0.2, own: 500, shared: 1500, output: 400, prefixes: 20},
	}},
	{name: "carpatia", engines: 9, entries: 7, kinds: []kind{
		{share: 0.35, short: true, own: 80, shared: 500, output: 30, prefixes: 6},
		{share: 0.25, short: true, own: 150, shared: 1000, output: 20, prefixes: 8},
		{share: 0.4, own: 300, shared: 3500, output: 450, prefixes: 24},
	}},
}

// job is a request in the model.
type job struct {
	id       uint64
	kind     *kind
	customer int
	prefix   uint64
	entry    int
	arrived  time.Duration
	// placed is when the job was sent to an engine and first when its first token
	// arrived; both are zero before that.
	placed, first time.Duration
	engine        *engine
	prefill       float64 // tokens left
	output        float64 // tokens left
	size          routing.RequestSize
}

// outcome holds the results of one run.
type outcome struct {
	offered, accepted, refused, withinTarget int
	rent, use                                float64 // cost of the engines and of their used time, per 1,000 requests within the target
	recomputed                               int     // prompt tokens
	refusalP95                               time.Duration
	firstP95                                 time.Duration
	shortP95                                 time.Duration
	byCustomer                               []time.Duration // p95 of the first token
	customerAccepted                         []int
}

func (o *outcome) withinTargetShare() float64 {
	return float64(o.withinTarget) / float64(max(1, o.accepted))
}

// scenario configures one run of the model.
type scenario struct {
	deployment
	load     float64 // as a multiple of capacity
	policy   fleet.Policy
	admit    bool
	large    float64 // part of the load that customer 0 alone causes; the rest is spread over all customers
	flood    float64 // additional load of customer 0 as a multiple of capacity
	limit    float64 // limit of customer 0 as a multiple of capacity; 0 means none
	duration time.Duration
}

type entry struct {
	router    *routing.Router
	admission *admission.Controller
	jobs      map[uint64]*job
}

// simulation runs one scenario.
type simulation struct {
	scenario
	random    *rand.Rand
	now       time.Duration
	engines   []*engine
	entries   []*entry
	prefilled map[uint64]bool
	nextID    uint64

	result           outcome
	firstTokens      []time.Duration
	shortFirstTokens []time.Duration
	refusals         []time.Duration
	customers        [][]time.Duration
	// customerOffered counts the requests by customer.
	customerOffered [customers]int
}

const customers = 5

func newSimulation(s scenario) *simulation {
	sim := &simulation{scenario: s, random: rand.New(rand.NewPCG(s.seed, 7)), prefilled: map[uint64]bool{}}
	sim.customers = make([][]time.Duration, customers)
	sim.result.customerAccepted = make([]int, customers)
	servers := make([]routing.Server, s.engines)
	for i := range servers {
		price := 1.0
		speed := 1.0
		if i%3 == 0 {
			price, speed = 2.2, 1.5 // another machine class
		}
		price *= 1 + 0.1*float64(i%4) // by zone
		servers[i] = routing.Server{Name: fmt.Sprintf("engine-%02d", i), Service: "model", Zone: fmt.Sprint(i % 4), PricePerHour: price, Slots: 8, TokensPerSecond: 8 / fullGap * speed}
		sim.engines = append(sim.engines, &engine{config: servers[i], prefillS: prefillRate * speed})
	}
	for i := range s.entries {
		sim.entries = append(sim.entries, newEntry(sim, i, servers))
	}
	return sim
}

func newEntry(sim *simulation, i int, servers []routing.Server) *entry {
	own := slices.Clone(servers)
	for j := range own {
		own[j].Delay = time.Duration(min(1, (j-i+4)%4)) * 4 * time.Millisecond
	}
	e := &entry{
		router:    routing.New(routing.Options{Zone: fmt.Sprint(i % 4), Seed: sim.seed + uint64(i)}),
		admission: admission.New(admission.Options{Seed: sim.seed + uint64(i), GrowAfter: -1}),
		jobs:      map[uint64]*job{},
	}
	e.router.SetServers(own)
	var list []fleet.Customer
	for c := range customers {
		list = append(list, fleet.Customer{Name: fmt.Sprint(c), Weight: 1})
	}
	list[0].TokensPerSecond = sim.limit * sim.capacity() * sim.meanTokens()
	e.admission.Step(0, admission.LiveEntries{Entries: sim.scenario.entries, Rank: i, Confirmed: true})
	e.admission.Step(0, admission.Customers{Customers: list})
	return e
}

// capacity returns the requests per second that the fleet can serve if all shared
// prefixes are cached.
func (s *scenario) capacity() float64 {
	var secondsPerRequest float64
	for _, k := range s.kinds {
		secondsPerRequest += k.share * (float64(k.own)/prefillRate + float64(k.output)*fullGap/8)
	}
	var speed float64
	for i := range s.engines {
		speed++
		if i%3 == 0 {
			speed += 0.5
		}
	}
	return speed / secondsPerRequest
}

// meanTokens returns the mean of the estimated work of a request, in tokens.
func (s *scenario) meanTokens() float64 {
	var mean float64
	for _, k := range s.kinds {
		mean += k.share * float64(admission.Work(k.own, k.output))
	}
	return mean
}

// pickCustomer returns a random customer for a request of the normal load.
func (sim *simulation) pickCustomer() int {
	if sim.random.Float64() < sim.large {
		return 0
	}
	return sim.random.IntN(customers)
}

// Requests that arrive during warmup are not counted. No requests arrive during
// drainTime.
const (
	warmup    = 20 * time.Second
	drainTime = 60 * time.Second
)

func (sim *simulation) run() outcome {
	rate := sim.capacity() * sim.load
	flood := sim.capacity() * sim.flood
	for sim.now < sim.duration+drainTime {
		sim.now += step
		if sim.now <= sim.duration {
			sim.arrivals(rate, sim.pickCustomer)
		}
		if sim.now > warmup && sim.now <= sim.duration {
			sim.arrivals(flood, func() int { return 0 })
		}
		for _, e := range sim.engines {
			sim.advance(e)
		}
		if sim.now%(250*time.Millisecond) == 0 {
			sim.tick()
		}
		if sim.now%time.Second == 0 {
			sim.report()
		}
	}
	return sim.summary()
}

func (sim *simulation) arrivals(rate float64, customer func() int) {
	for range poisson(sim.random, rate*step.Seconds()) {
		sim.arrive(customer())
	}
}

func poisson(random *rand.Rand, mean float64) int {
	limit, product, n := math.Exp(-mean), random.Float64(), 0
	for product > limit {
		product *= random.Float64()
		n++
	}
	return n
}

func (sim *simulation) arrive(customer int) {
	pick := sim.random.Float64()
	var k *kind
	for i := range sim.kinds {
		k = &sim.kinds[i]
		if pick -= k.share; pick < 0 {
			break
		}
	}
	sim.nextID++
	j := &job{id: sim.nextID, kind: k, customer: customer, arrived: sim.now, entry: sim.random.IntN(len(sim.entries))}
	j.prefix = uint64(k.shared)<<32 + 1 + uint64(sim.random.IntN(k.prefixes))
	scale := 0.5 + sim.random.Float64()
	j.output = max(1, math.Round(float64(k.output)*scale))
	e := sim.entries[j.entry]
	e.jobs[j.id] = j
	if sim.now > warmup {
		sim.result.offered++
		sim.customerOffered[customer]++
	}
	if !sim.admit {
		sim.place(e, j)
		return
	}
	target := time.Duration(sim.policy.FirstTokenTargetMS * float64(time.Millisecond))
	sim.effects(e, e.admission.Step(sim.now, admission.Arrived{
		ID: j.id, Customer: fmt.Sprint(customer), Service: "model", Short: k.short,
		EstimatedTokens: admission.Work(k.own, k.output), FirstTokenBy: sim.now + target, Deadline: sim.now + 60*time.Second,
	}))
}

func (sim *simulation) effects(e *entry, effects admission.Effects) {
	for _, a := range effects.Admit {
		sim.place(e, e.jobs[a.ID])
	}
	for _, r := range effects.Refuse {
		j := e.jobs[r.ID]
		delete(e.jobs, r.ID)
		if j.arrived > warmup {
			sim.result.refused++
			sim.refusals = append(sim.refusals, sim.now-j.arrived)
		}
	}
}

func (sim *simulation) place(e *entry, j *job) {
	request := routing.Request{Service: "model", PromptTokens: j.kind.own + j.kind.shared, OutputTokens: j.kind.output, Prefix: j.prefix, Policy: &sim.policy}
	d, _ := e.router.Pick(sim.now, request)
	j.size = routing.RequestSize{PromptTokens: request.PromptTokens, OutputTokens: request.OutputTokens, Prefix: j.prefix}
	e.router.Started(sim.now, d.Server, j.size)
	j.placed = sim.now
	for _, en := range sim.engines {
		if en.config.Name == d.Server {
			j.engine = en
		}
	}
	j.engine.waiting = append(j.engine.waiting, j)
}

func (sim *simulation) count(j *job) {
	if j.arrived <= warmup {
		return
	}
	sim.result.accepted++
	sim.result.customerAccepted[j.customer]++
	first := j.first - j.arrived
	sim.firstTokens = append(sim.firstTokens, first)
	sim.customers[j.customer] = append(sim.customers[j.customer], first)
	if j.kind.short {
		sim.shortFirstTokens = append(sim.shortFirstTokens, first)
	}
	if first.Seconds()*1000 <= sim.policy.FirstTokenTargetMS {
		sim.result.withinTarget++
	}
}

func (sim *simulation) tick() {
	for _, e := range sim.entries {
		if !sim.admit {
			continue
		}
		slots, rate := e.router.Capacity(sim.now, "model", len(sim.entries))
		sim.effects(e, e.admission.Step(sim.now, admission.Capacity{Service: "model", Slots: slots, TokensPerSecond: rate}))
		sim.effects(e, e.admission.Step(sim.now, admission.Tick{}))
	}
}

// report sends every entry the engines' load reports, which are one second old.
func (sim *simulation) report() {
	for _, en := range sim.engines {
		en.reports = append(en.reports, routing.Report{Running: len(en.running), Waiting: len(en.waiting), Slots: en.config.Slots, Age: time.Second})
		if len(en.reports) < 2 {
			continue
		}
		for _, e := range sim.entries {
			e.router.Report(sim.now, en.config.Name, en.reports[0])
		}
		en.reports = en.reports[1:]
	}
}

func (sim *simulation) summary() outcome {
	r := &sim.result
	for _, en := range sim.engines {
		r.rent += en.config.PricePerHour * (sim.duration - warmup).Hours()
		r.use += en.config.PricePerHour * en.work / 3600
	}
	thousands := float64(max(1, r.withinTarget)) / 1000
	r.rent /= thousands
	r.use /= thousands
	r.firstP95 = p95Of(sim.firstTokens)
	r.shortP95 = p95Of(sim.shortFirstTokens)
	r.refusalP95 = p95Of(sim.refusals)
	for _, times := range sim.customers {
		r.byCustomer = append(r.byCustomer, p95Of(times))
	}
	return *r
}

func p95Of(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.SortFunc(times, cmp.Compare[time.Duration])
	return times[len(times)*95/100]
}

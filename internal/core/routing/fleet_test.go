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

// step is the resolution of the queueing model.
const step = 10 * time.Millisecond

// kind is one kind of request of a deployment.
type kind struct {
	share            float64
	short            bool
	own, shared      int // prompt tokens
	output, prefixes int
}

// deployment is the size and the work of one of the two users.
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

// job is one request in the model.
type job struct {
	id       uint64
	kind     *kind
	customer int
	prefix   uint64
	entry    int
	arrived  time.Duration
	// placed and first are zero until they happen.
	placed, first time.Duration
	engine        *engine
	prefill       float64 // tokens left
	output        float64 // tokens left
	load          routing.Load
}

// outcome sums up one run.
type outcome struct {
	offered, accepted, refused, inside int
	rent, use                          float64 // per 1,000 requests inside the target
	recomputed                         int     // prompt tokens
	refusalP95                         time.Duration
	firstP95                           time.Duration
	shortP95                           time.Duration
	byCustomer                         []time.Duration // first token's p95
	customerAccepted                   []int
}

func (o *outcome) insideShare() float64 { return float64(o.inside) / float64(max(1, o.accepted)) }

// scenario is one run of the model.
type scenario struct {
	deployment
	load     float64 // of capacity
	policy   fleet.Policy
	admit    bool
	large    float64 // part of the load that customer 0 causes beyond its fifth
	flood    float64 // further load of capacity by customer 0
	limit    float64 // limit of customer 0 as a load of capacity; 0 is none
	duration time.Duration
}

type entry struct {
	router    *routing.Router
	admission *admission.Controller
	jobs      map[uint64]*job
}

// world runs one scenario.
type world struct {
	scenario
	random  *rand.Rand
	now     time.Duration
	engines []*engine
	entries []*entry
	seen    map[uint64]bool
	nextID  uint64

	result    outcome
	firsts    []time.Duration
	shorts    []time.Duration
	refusals  []time.Duration
	customers [][]time.Duration
	// customerOffered counts the requests by customer.
	customerOffered [customers]int
}

const customers = 5

func newWorld(s scenario) *world {
	w := &world{scenario: s, random: rand.New(rand.NewPCG(s.seed, 7)), seen: map[uint64]bool{}}
	w.customers = make([][]time.Duration, customers)
	w.result.customerAccepted = make([]int, customers)
	servers := make([]routing.Server, s.engines)
	for i := range servers {
		price := 1.0
		speed := 1.0
		if i%3 == 0 {
			price, speed = 2.2, 1.5 // another machine class
		}
		price *= 1 + 0.1*float64(i%4) // by zone
		servers[i] = routing.Server{Name: fmt.Sprintf("engine-%02d", i), Service: "model", Zone: fmt.Sprint(i % 4), PricePerHour: price, Slots: 8, TokensPerSecond: 8 / fullGap * speed}
		w.engines = append(w.engines, &engine{config: servers[i], prefillS: prefillRate * speed})
	}
	for i := range s.entries {
		w.entries = append(w.entries, newEntry(w, i, servers))
	}
	return w
}

func newEntry(w *world, i int, servers []routing.Server) *entry {
	own := slices.Clone(servers)
	for j := range own {
		own[j].Delay = time.Duration(min(1, (j-i+4)%4)) * 4 * time.Millisecond
	}
	e := &entry{
		router:    routing.New(routing.Options{Zone: fmt.Sprint(i % 4), Seed: w.seed + uint64(i)}),
		admission: admission.New(admission.Options{Seed: w.seed + uint64(i), GrowAfter: -1}),
		jobs:      map[uint64]*job{},
	}
	e.router.SetServers(own)
	var list []fleet.Customer
	for c := range customers {
		list = append(list, fleet.Customer{Name: fmt.Sprint(c), Weight: 1})
	}
	list[0].TokensPerSecond = w.limit * w.capacity() * w.meanTokens()
	e.admission.Step(0, admission.LiveEntries{Entries: w.scenario.entries, Rank: i, Confirmed: true})
	e.admission.Step(0, admission.Customers{Customers: list})
	return e
}

// capacity returns the requests per second that the fleet can do with every
// shared prefix cached.
func (s *scenario) capacity() float64 {
	var each float64
	for _, k := range s.kinds {
		each += k.share * (float64(k.own)/prefillRate + float64(k.output)*fullGap/8)
	}
	var speed float64
	for i := range s.engines {
		speed++
		if i%3 == 0 {
			speed += 0.5
		}
	}
	return speed / each
}

// meanTokens returns the mean estimate of a request's work.
func (s *scenario) meanTokens() float64 {
	var mean float64
	for _, k := range s.kinds {
		mean += k.share * float64(admission.Work(k.own, k.output))
	}
	return mean
}

// pickCustomer draws the customer of a request of the normal load.
func (w *world) pickCustomer() int {
	if w.random.Float64() < w.large {
		return 0
	}
	return w.random.IntN(customers)
}

// Arrivals during warmup are not counted; there are none during drainTime.
const (
	warmup    = 20 * time.Second
	drainTime = 60 * time.Second
)

func (w *world) run() outcome {
	rate := w.capacity() * w.load
	flood := w.capacity() * w.flood
	for w.now < w.duration+drainTime {
		w.now += step
		if w.now <= w.duration {
			w.arrivals(rate, w.pickCustomer)
		}
		if w.now > warmup && w.now <= w.duration {
			w.arrivals(flood, func() int { return 0 })
		}
		for _, e := range w.engines {
			w.advance(e)
		}
		if w.now%(250*time.Millisecond) == 0 {
			w.tick()
		}
		if w.now%time.Second == 0 {
			w.report()
		}
	}
	return w.summary()
}

func (w *world) arrivals(rate float64, customer func() int) {
	for range poisson(w.random, rate*step.Seconds()) {
		w.arrive(customer())
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

func (w *world) arrive(customer int) {
	pick := w.random.Float64()
	var k *kind
	for i := range w.kinds {
		k = &w.kinds[i]
		if pick -= k.share; pick < 0 {
			break
		}
	}
	w.nextID++
	j := &job{id: w.nextID, kind: k, customer: customer, arrived: w.now, entry: w.random.IntN(len(w.entries))}
	j.prefix = uint64(k.shared)<<32 + 1 + uint64(w.random.IntN(k.prefixes))
	scale := 0.5 + w.random.Float64()
	j.output = max(1, math.Round(float64(k.output)*scale))
	e := w.entries[j.entry]
	e.jobs[j.id] = j
	if w.now > warmup {
		w.result.offered++
		w.customerOffered[customer]++
	}
	if !w.admit {
		w.place(e, j)
		return
	}
	target := time.Duration(w.policy.FirstTokenTargetMS * float64(time.Millisecond))
	w.effects(e, e.admission.Step(w.now, admission.Arrive{
		ID: j.id, Customer: fmt.Sprint(customer), Service: "model", Short: k.short,
		EstimatedTokens: admission.Work(k.own, k.output), FirstTokenBy: w.now + target, Deadline: w.now + 60*time.Second,
	}))
}

func (w *world) effects(e *entry, effects admission.Effects) {
	for _, a := range effects.Admit {
		w.place(e, e.jobs[a.ID])
	}
	for _, r := range effects.Refuse {
		j := e.jobs[r.ID]
		delete(e.jobs, r.ID)
		if j.arrived > warmup {
			w.result.refused++
			w.refusals = append(w.refusals, w.now-j.arrived)
		}
	}
}

func (w *world) place(e *entry, j *job) {
	request := routing.Request{Service: "model", PromptTokens: j.kind.own + j.kind.shared, OutputTokens: j.kind.output, Prefix: j.prefix, Policy: &w.policy}
	d, _ := e.router.Pick(w.now, request)
	j.load = routing.Load{PromptTokens: request.PromptTokens, OutputTokens: request.OutputTokens, Prefix: j.prefix}
	e.router.Started(w.now, d.Server, j.load)
	j.placed = w.now
	for _, en := range w.engines {
		if en.config.Name == d.Server {
			j.engine = en
		}
	}
	j.engine.waiting = append(j.engine.waiting, j)
}

func (w *world) count(j *job) {
	if j.arrived <= warmup {
		return
	}
	w.result.accepted++
	w.result.customerAccepted[j.customer]++
	first := j.first - j.arrived
	w.firsts = append(w.firsts, first)
	w.customers[j.customer] = append(w.customers[j.customer], first)
	if j.kind.short {
		w.shorts = append(w.shorts, first)
	}
	if first.Seconds()*1000 <= w.policy.FirstTokenTargetMS {
		w.result.inside++
	}
}

func (w *world) tick() {
	for _, e := range w.entries {
		if !w.admit {
			continue
		}
		slots, rate := e.router.Capacity(w.now, "model", len(w.entries))
		w.effects(e, e.admission.Step(w.now, admission.Capacity{Service: "model", Slots: slots, TokensPerSecond: rate}))
		w.effects(e, e.admission.Step(w.now, admission.Tick{}))
	}
}

// report gives every entry the engines' state of a second ago.
func (w *world) report() {
	for _, en := range w.engines {
		en.reports = append(en.reports, routing.Report{Running: len(en.running), Waiting: len(en.waiting), Slots: en.config.Slots, Age: time.Second})
		if len(en.reports) < 2 {
			continue
		}
		for _, e := range w.entries {
			e.router.Report(w.now, en.config.Name, en.reports[0])
		}
		en.reports = en.reports[1:]
	}
}

func (w *world) summary() outcome {
	r := &w.result
	for _, en := range w.engines {
		r.rent += en.config.PricePerHour * (w.duration - warmup).Hours()
		r.use += en.config.PricePerHour * en.work / 3600
	}
	thousands := float64(max(1, r.inside)) / 1000
	r.rent /= thousands
	r.use /= thousands
	r.firstP95 = p95Of(w.firsts)
	r.shortP95 = p95Of(w.shorts)
	r.refusalP95 = p95Of(w.refusals)
	for _, times := range w.customers {
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

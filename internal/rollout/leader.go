package rollout

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/core/rollout"
	"waxwingcart/internal/discovery"
	"waxwingcart/internal/periodic"
	"waxwingcart/internal/wire"
)

const (
	// tickInterval is how often roll-outs are checked, and statusInterval how often their state is logged.
	tickInterval   = 100 * time.Millisecond
	statusInterval = time.Second
	// saveTimeout bounds one commit, and loadTimeout one reading of the log. A new leader is chosen within
	// a second.
	saveTimeout = 900 * time.Millisecond
	loadTimeout = 900 * time.Millisecond
	// endedTime is how long entries are told of a roll-out that has ended. The old or the target's servers
	// are gone from the list by then.
	endedTime = time.Minute
)

// Term is a term in which this replica leads.
type Term struct {
	Number uint64
	// Leads is true while no other replica can lead.
	Leads bool
}

// LeaderOptions configures a Leader.
type LeaderOptions struct {
	Logger   *log.Logger
	Registry *prometheus.Registry
	// Term returns the present term.
	Term func() Term
	// Now returns the leader's clock in milliseconds since 1970.
	Now func() int64
	// Load returns the committed table and the agreed time of the log, after a quorum has confirmed
	// that this replica leads.
	Load func(context.Context) (rollout.Table, int64, error)
	// Read is Load without effect on Save.
	Read func(context.Context) (rollout.Table, error)
	// Save commits a table in place of the one that was loaded or saved last.
	Save func(context.Context, rollout.Table) error
	// Servers returns the platform's list of backend servers.
	Servers func() []discovery.Server
}

// Leader runs the roll-outs while its replica leads. It is safe for concurrent use.
type Leader struct {
	opts      LeaderOptions
	decisions *prometheus.CounterVec
	granted   *prometheus.CounterVec
	steps     *prometheus.GaugeVec

	// commit is held while a table is loaded or committed.
	commit sync.Mutex

	mu sync.Mutex
	// term is the term for which table is the committed one; loaded is false if there is none.
	term   uint64
	loaded bool
	table  rollout.Table
	// floor is the agreed time of the log when the table was loaded.
	floor       int64
	controllers map[string]*rollout.Controller
	loggedAt    map[string]int64
	loggedStep  map[string]int
}

// NewLeader returns a Leader. It registers its metrics.
func NewLeader(opts LeaderOptions) *Leader {
	l := &Leader{opts: opts, loggedAt: make(map[string]int64), loggedStep: make(map[string]int), controllers: make(map[string]*rollout.Controller)}
	l.decisions = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "waxwingcart", Subsystem: "replica", Name: "rollout_decisions_total",
		Help: "Decisions on roll-outs committed by this replica as leader, by service and state.",
	}, []string{"service", "state"})
	l.granted = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "waxwingcart", Subsystem: "replica", Name: "rollout_granted_requests_total",
		Help: "Requests to the target of a roll-out that this replica as leader granted to entries, by service.",
	}, []string{"service"})
	l.steps = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: "waxwingcart", Subsystem: "replica", Name: "rollout_step",
		Help: "Step of the active roll-out, by service, while this replica leads; 1 is the first.",
	}, []string{"service"})
	if opts.Registry != nil {
		opts.Registry.MustRegister(l.decisions, l.granted, l.steps)
	}
	return l
}

// Run loads and runs the roll-outs while this replica leads, until the context ends.
func (l *Leader) Run(ctx context.Context) {
	periodic.Run(ctx, tickInterval, func() {
		if l.ready() || l.load(ctx) == nil {
			l.tick(ctx)
		}
	})
}

// ready reports whether the table of the present term is loaded. In another term it discards what belongs
// to the former one.
func (l *Leader) ready() bool {
	term := l.opts.Term()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !term.Leads || l.term != term.Number {
		l.loaded = false
		l.steps.Reset()
	}
	return l.loaded
}

var errNotLeading = fmt.Errorf("this replica does not lead")

// load reads the committed table.
func (l *Leader) load(ctx context.Context) error {
	l.commit.Lock()
	defer l.commit.Unlock()
	if l.ready() {
		return nil
	}
	return l.loadLocked(ctx)
}

// loadLocked is load for a caller that holds commit.
func (l *Leader) loadLocked(ctx context.Context) error {
	term := l.opts.Term()
	if !term.Leads {
		return errNotLeading
	}
	call, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	table, agreed, err := l.opts.Load(call)
	if err != nil {
		return fmt.Errorf("load roll-outs: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != term.Number {
		l.controllers = make(map[string]*rollout.Controller)
	}
	l.term, l.loaded, l.floor = term.Number, true, max(l.floor, agreed)
	l.use(table, 0)
	return nil
}

// use replaces the table. placed is the number of the roll-out that was ordered now; leases of others may
// have been granted by another leader. The caller holds mu.
func (l *Leader) use(table rollout.Table, placed uint64) {
	l.table = table
	for service, ordered := range table.Rollouts {
		c := l.controllers[service]
		switch {
		case ordered.State != rollout.StateActive:
			delete(l.controllers, service)
			l.steps.DeleteLabelValues(service)
		case c == nil || c.Rollout().Number != ordered.Number:
			l.controllers[service] = rollout.New(l.since(ordered), ordered, ordered.Number == placed)
		}
	}
}

// now returns the agreed time. The caller holds mu.
func (l *Leader) now() int64 {
	l.floor = max(l.floor, l.opts.Now())
	return l.floor
}

// since returns the time since the order. The caller holds mu.
func (l *Leader) since(ordered rollout.Rollout) time.Duration {
	return milliseconds(l.now() - ordered.OrderedMS)
}

// Draw takes the reports of an entry, and adds the roll-outs to the response. The response's list of
// servers must have been read before. The term is that in which the draw was accepted.
func (l *Leader) Draw(term uint64, req *wire.DrawRequest, response *wire.DrawResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	response.RolloutKnowledge = wire.RolloutKnowledge_ROLLOUT_KNOWLEDGE_LOADING
	if !l.loaded || l.term != term {
		return
	}
	response.RolloutKnowledge = wire.RolloutKnowledge_ROLLOUT_KNOWLEDGE_COMPLETE
	if len(l.table.Rollouts) == 0 {
		return
	}
	reports := make(map[string]*wire.RolloutReport, len(req.Rollouts))
	for _, report := range req.Rollouts {
		reports[report.Service] = report
	}
	for service, ordered := range l.table.Rollouts {
		c := l.controllers[service]
		if c == nil {
			if l.now()-ordered.DecidedMS < endedTime.Milliseconds() {
				response.Rollouts = append(response.Rollouts, leaseToWire(rollout.Lease{Service: service, Target: ordered.Target, Number: ordered.Number, State: ordered.State}))
			}
			continue
		}
		report := rollout.Report{Incarnation: req.Incarnation}
		if reported := reports[service]; reported != nil {
			report = reportFromWire(req.Incarnation, reported)
		}
		lease := c.Draw(l.since(ordered), report)
		l.granted.WithLabelValues(service).Add(float64(lease.Requests))
		response.Rollouts = append(response.Rollouts, leaseToWire(lease))
	}
}

// tick makes steps, and commits decisions.
func (l *Leader) tick(ctx context.Context) {
	servers := l.opts.Servers()
	decided := make(map[uint64]rollout.Decision)
	l.mu.Lock()
	for service, c := range l.controllers {
		ordered := c.Rollout()
		c.SetFleet(fleetOf(servers, ordered))
		now := l.since(ordered)
		if decision := c.Tick(now); decision != nil {
			decided[ordered.Number] = *decision
		}
		l.logStatus(service, c.Status(now), ordered)
	}
	l.mu.Unlock()
	for number, decision := range decided {
		l.decide(ctx, number, decision)
	}
}

// fleetOf counts the servers of a service that take work.
func fleetOf(servers []discovery.Server, ordered rollout.Rollout) rollout.Fleet {
	var fleet rollout.Fleet
	for _, server := range servers {
		switch {
		case server.Service != ordered.Service || server.Leaving:
		case server.Software == ordered.Target:
			fleet.Target++
		default:
			fleet.Old++
		}
	}
	return fleet
}

// logStatus logs a roll-out's state once a second and with each step. The caller holds mu.
func (l *Leader) logStatus(service string, status rollout.Status, ordered rollout.Rollout) {
	l.steps.WithLabelValues(service).Set(float64(status.Step + 1))
	now := l.now()
	if now-l.loggedAt[service] < statusInterval.Milliseconds() && l.loggedStep[service] == status.Step {
		return
	}
	l.loggedAt[service], l.loggedStep[service] = now, status.Step
	l.opts.Logger.Info().Str("step", "rollout").Str("service", service).Str("target", ordered.Target).Uint64("number", ordered.Number).
		Int64("since_ms", now-ordered.OrderedMS).Int("rollout_step", status.Step+1).Uint64("requests", status.Requests).Uint64("used", status.Used).
		Int("running_old", status.Old).Str("evidence", status.Summary).Msg("state of the roll-out")
}

// decide commits a decision. Another tick repeats it if that fails.
func (l *Leader) decide(ctx context.Context, number uint64, decision rollout.Decision) {
	l.commit.Lock()
	defer l.commit.Unlock()
	if !l.ready() {
		return
	}
	l.mu.Lock()
	next, ok := l.table.Decide(l.now(), number, decision)
	l.mu.Unlock()
	if !ok {
		return
	}
	err := l.save(ctx, next, 0)
	for service, ordered := range next.Rollouts {
		if ordered.Number != number {
			continue
		}
		event := l.opts.Logger.Info()
		if err != nil {
			event = l.opts.Logger.Warn().Err(err)
		} else {
			l.decisions.WithLabelValues(service, string(decision.State)).Inc()
		}
		event.Str("step", "rollout").Str("service", service).Str("target", ordered.Target).Uint64("number", number).
			Str("state", string(decision.State)).Str("cause", decision.Cause).Int64("since_ms", ordered.DecidedMS-ordered.OrderedMS).
			Bool("committed", err == nil).Msg("decided on the roll-out")
	}
}

// save commits a table. The caller holds commit.
func (l *Leader) save(ctx context.Context, next rollout.Table, placed uint64) error {
	call, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	err := l.opts.Save(call, next)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		// It may be committed later: the table is read again.
		l.loaded = false
		return fmt.Errorf("commit roll-outs: %w", err)
	}
	l.use(next, placed)
	return nil
}

// Start commits an order, and returns the roll-out that it started or repeated.
func (l *Leader) Start(ctx context.Context, order rollout.Order) (rollout.Answer, rollout.Rollout, error) {
	l.commit.Lock()
	defer l.commit.Unlock()
	// The reading confirms that this replica leads, also for an order that is known.
	if err := l.loadLocked(ctx); err != nil {
		return 0, rollout.Rollout{}, err
	}
	old := oldVersion(l.opts.Servers(), order)
	l.mu.Lock()
	next, answer := l.table.Place(l.now(), order, old)
	l.mu.Unlock()
	placed := next.Rollouts[order.Service]
	if answer != rollout.AnswerStarted {
		return answer, placed, nil
	}
	err := l.save(ctx, next, placed.Number)
	event := l.opts.Logger.Info()
	if err != nil {
		event = l.opts.Logger.Warn().Err(err)
	}
	event.Str("step", "rollout").Str("service", order.Service).Str("target", order.Target).Str("old", old).Uint64("number", placed.Number).
		Int64("duration_ms", order.Duration.Milliseconds()).Str("state", string(placed.State)).Bool("committed", err == nil).Msg("roll-out ordered")
	return answer, placed, err
}

// oldVersion returns the version that most servers of a service have beside the target.
func oldVersion(servers []discovery.Server, order rollout.Order) string {
	counts := make(map[string]int)
	old := ""
	for _, server := range servers {
		if server.Service != order.Service || server.Software == order.Target {
			continue
		}
		counts[server.Software]++
		if counts[server.Software] > counts[old] {
			old = server.Software
		}
	}
	return old
}

// Get returns the latest roll-out of a service, after a quorum has confirmed that this replica leads.
func (l *Leader) Get(ctx context.Context, service string) (rollout.Rollout, bool, error) {
	call, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	table, err := l.opts.Read(call)
	if err != nil {
		return rollout.Rollout{}, false, fmt.Errorf("load roll-outs: %w", err)
	}
	found, ok := table.Rollouts[service]
	return found, ok, nil
}

// Renew calls a function that writes the table again, while nothing else writes it.
func (l *Leader) Renew(ctx context.Context, write func(context.Context) error) error {
	l.commit.Lock()
	defer l.commit.Unlock()
	return write(ctx)
}

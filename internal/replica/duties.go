package replica

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/core/routes"
	"waxwingcart/internal/core/scaling"
	"waxwingcart/internal/core/usage"
	"waxwingcart/internal/discovery"
	"waxwingcart/internal/periodic"
	"waxwingcart/internal/wire"
)

const (
	// dutyInterval is how often the leader looks for something to do.
	dutyInterval = 500 * time.Millisecond
	// listInterval is how often it reads the platform's list, for its plan and
	// for all entries: servers that are taken back leave about two seconds after
	// the list shows it.
	listInterval = 500 * time.Millisecond
	// dutyTimeout bounds one call of a duty. A call that begins inside the
	// lease ends before a new leader may act.
	dutyTimeout = 1500 * time.Millisecond
)

var errNotHolder = errors.New("this replica no longer holds the duty")

// ErrOrderRefused means that the platform has no such backend servers now.
var ErrOrderRefused = errors.New("the platform refused the order")

// firstTerm is the first term of a log; its leader has no predecessor.
const firstTerm = 1

// Holder names who carries duties out: one VM at a time.
type Holder struct {
	VM string
	// Fence is the term in which the VM leads; it grows with each change.
	Fence uint64
}

// DutyOptions are the ports of the duties that the leader carries out.
type DutyOptions struct {
	// UsageWindow is the length of a window of usage reports; zero makes none.
	UsageWindow time.Duration
	// LeaseWait is how long a new leader leaves duties alone, so that none of
	// its predecessor's calls can arrive after its own.
	LeaseWait time.Duration
	// SendUsage makes one usage report.
	SendUsage func(context.Context, Holder, usage.Report) error
	// SendOrder orders backend servers. Its error is ErrOrderRefused if there
	// are none to be had.
	SendOrder func(context.Context, Holder, scaling.Order) error
	// Discover reads the list of backend servers.
	Discover func(context.Context) ([]discovery.Server, error)
	// Decode reads the content of a numbered document.
	Decode func(content []byte) (*routes.Table, error)
}

// duties carries out, while this replica leads, what one process at a time may
// do: usage reports and orders for backend servers.
type duties struct {
	replica *Replica
	opts    DutyOptions

	mu sync.Mutex
	// term is the term for which the rest holds; since is when it began.
	term    uint64
	since   time.Duration
	ledger  *usage.Ledger
	load    map[string]serviceLoad
	scalers map[string]*scaling.Scaler

	// list is the leader's copy of the platform's list, for the entries too.
	list serverList
}

// serverList is a reading of the platform's list of backend servers.
type serverList struct {
	servers []discovery.Server
	// version changes with the content, over all leaders; 0 before the first
	// reading.
	version uint64
	at      time.Duration
}

// serviceLoad is what an entry said last about the services.
type serviceLoad struct {
	at       time.Duration
	services map[string]*wire.ServiceLoad
}

// loadLifetime is how long an entry's load counts without renewal.
const loadLifetime = 3 * time.Second

func newDuties(r *Replica, opts DutyOptions) *duties { return &duties{replica: r, opts: opts} }

func wallTime() time.Duration { return time.Duration(time.Now().UnixNano()) }

// follow reports whether this replica alone may act, and begins anew in a new
// term. The caller holds mu.
func (d *duties) follow() bool {
	r := d.replica
	status := r.status()
	if status.Role != replication.RoleLeader || !status.Lease.Valid || status.Lease.Until <= r.now() {
		return false
	}
	if d.term != status.Term {
		d.term, d.since = status.Term, r.now()
		d.ledger = usage.NewLedger(max(d.opts.UsageWindow, time.Second), wallTime())
		d.load = make(map[string]serviceLoad)
		d.scalers = make(map[string]*scaling.Scaler)
	}
	return true
}

// holder returns who may call the platform now, and false if this replica may
// not. The caller holds mu.
func (d *duties) holder() (Holder, bool) {
	if !d.follow() || d.term > firstTerm && d.replica.now() < d.since+d.opts.LeaseWait {
		return Holder{}, false
	}
	return Holder{VM: d.replica.opts.Self.VM, Fence: d.term}, true
}

// take adds what an entry counted.
func (d *duties) take(req *wire.DrawRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.follow() {
		return
	}
	source := usage.Source{Process: req.Process, Incarnation: req.Incarnation}
	for _, window := range req.Usage {
		d.ledger.Take(source, window.Window, window.Counts)
	}
	d.load[req.Process] = serviceLoad{at: d.replica.now(), services: req.Load}
}

func (d *duties) run(ctx context.Context) {
	d.replica.spawn(func() {
		periodic.Run(ctx, listInterval, func() {
			if d.readList(ctx) {
				d.scale(ctx)
			}
		})
	})
	periodic.Run(ctx, dutyInterval, func() { d.reportUsage(ctx) })
}

func (d *duties) dueUsage() (Holder, usage.Report, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	holder, ok := d.holder()
	if !ok || d.opts.UsageWindow == 0 {
		return holder, usage.Report{}, false
	}
	report, ok := d.ledger.Due(wallTime())
	return holder, report, ok
}

func (d *duties) reportUsage(ctx context.Context) {
	holder, report, ok := d.dueUsage()
	if !ok {
		return
	}
	call, cancel := context.WithTimeout(ctx, dutyTimeout)
	defer cancel()
	report, err := d.replica.fixUsage(call, report)
	if err == nil {
		err = d.sendUsage(call, holder, report)
	}
	event := d.replica.logger.Info()
	if err != nil {
		event = d.replica.logger.Warn().Err(err)
	}
	d.replica.metrics.duties.WithLabelValues("usage", callResult(err)).Inc()
	event.Str("step", "usage").Uint64("window", report.Window).Uint64("fence", holder.Fence).
		Int("customers", len(report.Counts)).Bool("accepted", err == nil).Msg("usage report sent")
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.term == holder.Fence {
		d.ledger.Done(report.Window)
	}
}

// sendUsage sends a report if this replica is still the holder.
func (d *duties) sendUsage(ctx context.Context, holder Holder, report usage.Report) error {
	d.mu.Lock()
	now, ok := d.holder()
	d.mu.Unlock()
	if !ok || now != holder {
		return errNotHolder
	}
	return d.opts.SendUsage(ctx, holder, report)
}

// readList reads the platform's list while this replica leads. It needs no lease:
// to read it twice does no harm.
func (d *duties) readList(ctx context.Context) bool {
	if d.replica.status().Role != replication.RoleLeader {
		return false
	}
	call, cancel := context.WithTimeout(ctx, dutyTimeout)
	defer cancel()
	asked := d.replica.now()
	servers, err := d.opts.Discover(call)
	if err != nil {
		d.replica.logger.Debug().Str("step", "discover").Err(err).Msg("list of backend servers not read")
		return false
	}
	version := discovery.Version(servers)
	d.mu.Lock()
	defer d.mu.Unlock()
	if version != d.list.version {
		d.replica.logger.Info().Str("step", "discover").Int("servers", len(servers)).Uint64("version", version).Msg("list of backend servers changed")
	}
	d.list = serverList{servers: servers, version: version, at: asked}
	return true
}

// fillList adds the list to an answer, unless the caller has it.
func (d *duties) fillList(req *wire.DrawRequest, response *wire.DrawResponse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.list.version == 0 {
		return
	}
	response.List = d.list.version
	response.ListAgeMs = (d.replica.now() - d.list.at).Milliseconds()
	if req.List != d.list.version {
		response.Servers = codec.ServersToWire(d.list.servers)
	}
}

// scale gives the orders that each service's plan asks for.
func (d *duties) scale(ctx context.Context) {
	d.mu.Lock()
	_, ok := d.holder()
	list := d.list.servers
	d.mu.Unlock()
	if !ok || d.opts.SendOrder == nil {
		return
	}
	table := d.table(ctx)
	if table == nil {
		return
	}
	for i := range table.Services {
		d.scaleService(ctx, &table.Services[i], list)
	}
}

// table returns the configuration in force, or nil.
func (d *duties) table(ctx context.Context) *routes.Table {
	var content []byte
	err := d.replica.do(ctx, func() { content = d.replica.numberedContent() })
	if err != nil || len(content) == 0 {
		return nil
	}
	table, err := d.opts.Decode(content)
	if err != nil {
		d.replica.logger.Error().Str("step", "scale").Err(err).Msg("configuration can't be read")
		return nil
	}
	return table
}

func (d *duties) scaleService(ctx context.Context, service *routes.Service, list []discovery.Server) {
	if service.Scaling == nil || service.Engine == nil {
		return
	}
	observed := scaling.Observed{Spec: specOf(service)}
	for _, server := range list {
		if server.Service == service.Name {
			observed.Servers = append(observed.Servers, scaling.Server{
				Zone: server.Zone, Reclaimable: server.Reclaimable, Leaving: server.Leaving,
			})
		}
	}
	for _, order := range d.plan(service.Name, observed) {
		d.giveOrder(ctx, order)
	}
}

func specOf(service *routes.Service) scaling.Spec {
	s := service.Scaling
	spec := scaling.Spec{Service: service.Name, Min: s.Min, Max: s.Max, Boot: s.Boot, Slots: service.Engine.Slots}
	for zone, price := range s.ZonePrices {
		spec.Zones = append(spec.Zones, scaling.Zone{Name: zone, Price: price})
	}
	return spec
}

// plan returns the orders to give for a service.
func (d *duties) plan(service string, observed scaling.Observed) []scaling.Order {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.holder(); !ok {
		return nil
	}
	now := d.replica.now()
	observed.Load = d.loadOf(now, service)
	scaler := d.scalers[service]
	if scaler == nil {
		scaler = scaling.New()
		d.scalers[service] = scaler
	}
	return scaler.Step(now, observed)
}

func callResult(err error) string {
	switch {
	case err == nil:
		return "accepted"
	case errors.Is(err, ErrOrderRefused):
		return "refused"
	default:
		return "failed"
	}
}

// loadOf adds up what the entries ask of a service. Their learned rates count by
// the work that they saw. The caller holds mu.
func (d *duties) loadOf(now time.Duration, service string) scaling.Load {
	var total scaling.Load
	rates := 0.0
	for _, said := range d.load {
		load := said.services[service]
		if load == nil || now-said.at >= loadLifetime {
			continue
		}
		total.InFlight += load.InFlight
		total.Work += load.Work
		rates += load.Work * load.Rate
	}
	if total.Work > 0 {
		total.Rate = rates / total.Work
	}
	return total
}

// giveOrder gives one order, if this replica may still act.
func (d *duties) giveOrder(ctx context.Context, order scaling.Order) {
	d.mu.Lock()
	holder, ok := d.holder()
	d.mu.Unlock()
	if !ok {
		return
	}
	call, cancel := context.WithTimeout(ctx, dutyTimeout)
	defer cancel()
	err := d.opts.SendOrder(call, holder, order)
	answered := scaling.Answered{Order: order, Refused: errors.Is(err, ErrOrderRefused), Failed: err != nil}
	event := d.replica.logger.Info()
	if err != nil {
		event = d.replica.logger.Warn().Err(err)
	}
	d.replica.metrics.duties.WithLabelValues("scale", callResult(err)).Inc()
	d.mu.Lock()
	defer d.mu.Unlock()
	scaler := d.scalers[order.Service]
	if d.term != holder.Fence || scaler == nil {
		return
	}
	load := scaler.Load()
	event.Str("step", "scale").Str("service", order.Service).Str("order_zone", order.Zone).Bool("reclaimable", order.Reclaimable).
		Int("count", order.Count).Float64("needed", scaler.Held()).Float64("in_flight", load.InFlight).
		Float64("work_per_s", math.Round(load.Work)).Float64("rate_per_s", math.Round(load.Rate)).Uint64("fence", holder.Fence).
		Bool("refused", answered.Refused).Msg("order given")
	scaler.Step(d.replica.now(), answered)
}

package replica

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/configdelta"
	"waxwingcart/internal/core/docdiff"
	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/core/routes"
	"waxwingcart/internal/core/scaling"
	"waxwingcart/internal/core/usage"
	"waxwingcart/internal/discovery"
	"waxwingcart/internal/periodic"
	"waxwingcart/internal/wire"
)

const (
	// dutyInterval is how often the leader checks for usage reports to send.
	dutyInterval = 500 * time.Millisecond
	// listInterval is how often the leader reads the platform's list of backend
	// servers, for scaling and on behalf of all entries. A reclaimed server is
	// gone about two seconds after the list shows it as leaving.
	listInterval = 500 * time.Millisecond
	// followerListInterval is how often a replica that does not lead reads the list, to keep it
	// for the time when it leads and the platform does not answer.
	followerListInterval = 5 * time.Second
	// dutyTimeout bounds one call to the platform. A call that starts within the
	// lease ends before a new leader may act.
	dutyTimeout = 1500 * time.Millisecond
)

var errNotHolder = errors.New("this replica may no longer call the platform")

// ErrScaleOrderRefused is returned by SendScaleOrder if the platform has none of
// the ordered backend servers available now.
var ErrScaleOrderRefused = errors.New("the platform refused the order")

// firstTerm is the first term of a log; its leader has no predecessor.
const firstTerm = 1

// DutyHolder identifies the one VM that may carry out duties.
type DutyHolder struct {
	VM string
	// Fence is the term in which the VM leads. It is higher for each new holder.
	Fence uint64
}

// DutyOptions configures the leader's duties and the calls that they make to the
// hosting platform.
type DutyOptions struct {
	// UsageWindow is the length of the window of a usage report; zero disables
	// the reports.
	UsageWindow time.Duration
	// LeaseWait is how long a new leader waits before it carries out duties, so
	// that no call of its predecessor arrives after its own.
	LeaseWait time.Duration
	// SendUsage sends one usage report.
	SendUsage func(context.Context, DutyHolder, usage.Report) error
	// SendScaleOrder orders backend servers. The error wraps ErrScaleOrderRefused
	// if none are available. If SendScaleOrder is nil, nothing is ordered.
	SendScaleOrder func(context.Context, DutyHolder, scaling.Order) error
	// Discover reads the platform's list of backend servers.
	Discover func(context.Context) ([]discovery.Server, error)
	// Decode parses the content of a numbered configuration document.
	Decode func(content []byte) (*routes.Table, error)
	// DecodeChange decodes the difference of a document from an earlier one; it may be nil.
	DecodeChange func(previous *routes.Index, from, to *docdiff.Document) (*routes.Index, error)
}

// duties carries out the work that only one process at a time may do, while this
// replica leads: sending usage reports and ordering backend servers.
type duties struct {
	replica *Replica
	opts    DutyOptions

	mu sync.Mutex
	// term is the term to which ledger, load and scalers belong; termStart is when
	// this replica first acted in it.
	term      uint64
	termStart time.Duration
	ledger    *usage.Ledger
	load      map[string]entryLoad
	scalers   map[string]*scaling.Scaler

	// list is the latest reading of the platform's list. It is also passed to the
	// entries.
	list serverList
	// listChanged has a value when list is to be saved.
	listChanged chan struct{}
	// nextRead is when this replica reads the list next although it does not lead.
	nextRead time.Duration
	// decoded belongs to runScaling.
	decoded decodedTable
}

// decodedTable is the configuration of a revision; valid is false if there is none or
// it can't be decoded. The index is that of the last document that could be decoded.
type decodedTable struct {
	revision uint64
	valid    bool
	index    *routes.Index
	document *docdiff.Document
}

// serverList is a reading of the platform's list of backend servers.
type serverList struct {
	servers []discovery.Server
	// version identifies the content, and is the same at every leader for the same
	// content. It is 0 before the first reading.
	version uint64
	// at is when the reading started, and term the term in which this replica led at that time: 0 if
	// it did not, or if the list is from its disk. Orders are never based on such a list.
	at   time.Duration
	term uint64
}

// entryLoad is the load that an entry reported last, by service.
type entryLoad struct {
	at       time.Duration
	services map[string]*wire.ServiceLoad
}

// loadLifetime is how long a load report counts if the entry sends no newer one.
const loadLifetime = 3 * time.Second

func newDuties(r *Replica, opts DutyOptions) *duties {
	d := &duties{replica: r, opts: opts, listChanged: make(chan struct{}, 1)}
	d.loadList()
	return d
}

func wallTime() time.Duration { return time.Duration(time.Now().UnixNano()) }

// syncTerm reports whether this replica leads with a valid lease. In a new term
// it first discards the state of the previous one. The caller must hold mu.
func (d *duties) syncTerm() bool {
	r := d.replica
	status := r.status()
	if status.Role != replication.RoleLeader || !status.Lease.Valid || status.Lease.Until <= r.now() {
		return false
	}
	if d.term != status.Term {
		d.term, d.termStart = status.Term, r.now()
		d.ledger = usage.NewLedger(max(d.opts.UsageWindow, time.Second), wallTime())
		d.load = make(map[string]entryLoad)
		d.scalers = make(map[string]*scaling.Scaler)
	}
	return true
}

// holder returns this replica as the holder of the duties, and false if it may
// not call the platform now. The caller must hold mu.
func (d *duties) holder() (DutyHolder, bool) {
	if !d.syncTerm() || d.term > firstTerm && d.replica.now() < d.termStart+d.opts.LeaseWait {
		return DutyHolder{}, false
	}
	return DutyHolder{VM: d.replica.opts.Self.VM, Fence: d.term}, true
}

// addUsageAndLoad records the usage and the load that an entry reported.
func (d *duties) addUsageAndLoad(req *wire.DrawRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.syncTerm() {
		return
	}
	source := usage.Source{Process: req.Process, Incarnation: req.Incarnation}
	for _, window := range req.Usage {
		d.ledger.SetCounts(source, window.Window, window.Counts)
	}
	if req.Partial {
		return
	}
	d.load[req.Process] = entryLoad{at: d.replica.now(), services: req.Load}
}

func (d *duties) run(ctx context.Context) {
	listRead := make(chan struct{}, 1)
	d.replica.spawn(func() {
		periodic.Run(ctx, listInterval, func() {
			if d.readList(ctx) {
				signal(listRead)
			}
		})
	})
	d.replica.spawn(func() { d.runScaling(ctx, listRead) })
	d.replica.spawn(func() { d.runSave(ctx) })
	periodic.Run(ctx, dutyInterval, func() { d.reportUsage(ctx) })
}

// runScaling sends orders after the list was read. Orders that the platform answers
// late delay no reading of the list; readings meanwhile lead to one more round.
func (d *duties) runScaling(ctx context.Context, listRead <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-listRead:
			d.scale(ctx)
		}
	}
}

// signal sends on a channel unless a signal is waiting there.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// dueUsage returns the next usage report to send, and false if there is none or
// this replica may not send it.
func (d *duties) dueUsage() (DutyHolder, usage.Report, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	holder, ok := d.holder()
	if !ok || d.opts.UsageWindow == 0 {
		return holder, usage.Report{}, false
	}
	report, ok := d.ledger.Due(wallTime())
	return holder, report, ok
}

// reportUsage commits the counts of the next usage report and sends it.
func (d *duties) reportUsage(ctx context.Context) {
	holder, report, ok := d.dueUsage()
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, dutyTimeout)
	defer cancel()
	report, err := d.replica.commitUsage(callCtx, report)
	if err == nil {
		err = d.sendUsage(callCtx, holder, report)
	}
	event := d.replica.logger.Info()
	if err != nil {
		event = d.replica.logger.Warn().Err(err)
	}
	d.replica.metrics.duties.WithLabelValues("usage", callResult(err)).Inc()
	event.Str("step", "usage").Uint64("window", report.Window).Uint64("fence", holder.Fence).
		Int("customers", len(report.Counts)).Bool("accepted", err == nil).Msg("usage report to the platform")
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.term == holder.Fence {
		d.ledger.Done(report.Window)
	}
}

// sendUsage sends a report if this replica is still the holder that it was when
// the report was prepared.
func (d *duties) sendUsage(ctx context.Context, holder DutyHolder, report usage.Report) error {
	d.mu.Lock()
	_, ok := d.holder()
	d.mu.Unlock()
	if !ok {
		return errNotHolder
	}
	return d.opts.SendUsage(ctx, holder, report)
}

// readList reads the platform's list, rarely if this replica does not lead, and reports whether it
// did as leader. It needs no lease, as it does no harm if two replicas read the list.
func (d *duties) readList(ctx context.Context) bool {
	status := d.replica.status()
	term := uint64(0)
	if status.Role == replication.RoleLeader {
		term = status.Term
	} else if !d.listDue() {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, dutyTimeout)
	defer cancel()
	askedAt := d.replica.now()
	servers, err := d.opts.Discover(callCtx)
	if err != nil {
		d.replica.logger.Debug().Str("step", "discover").Err(err).Msg("reading the list of backend servers failed")
		return false
	}
	version := discovery.Version(servers)
	d.mu.Lock()
	defer d.mu.Unlock()
	if version != d.list.version {
		d.replica.logger.Info().Str("step", "discover").Int("servers", len(servers)).Uint64("version", version).Msg("list of backend servers changed")
	}
	d.list = serverList{servers: servers, version: version, at: askedAt, term: term}
	signal(d.listChanged)
	return term != 0
}

// listDue reports whether a replica that does not lead should read the list. A reading that fails
// counts, so that an unreachable platform is not called more often.
func (d *duties) listDue() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.replica.now()
	if now < d.nextRead {
		return false
	}
	d.nextRead = now + followerListInterval
	return true
}

// fillList adds the version and the age of the list to a response, and the
// servers unless the caller has that version.
func (d *duties) fillList(req *wire.DrawRequest, response *wire.DrawResponse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.list.version == 0 {
		return
	}
	age := d.replica.now() - d.list.at
	if d.list.term != d.replica.status().Term {
		// The leader before may have passed on a newer list.
		age = max(age, savedListAge)
	}
	response.List = d.list.version
	response.ListAgeMs = age.Milliseconds()
	if req.List != d.list.version {
		response.Servers = codec.ServersToWire(d.list.servers)
	}
}

// scale sends the orders that each service needs.
func (d *duties) scale(ctx context.Context) {
	d.mu.Lock()
	_, ok := d.holder()
	d.mu.Unlock()
	if !ok || d.opts.SendScaleOrder == nil {
		return
	}
	table := d.table(ctx)
	if table == nil {
		return
	}
	for i := range table.Services {
		d.scaleService(ctx, &table.Services[i])
	}
}

// table returns the committed configuration, or nil if there is none or it can't
// be decoded. It decodes what each revision changes, once; the table then has no routes. Only
// runScaling calls it.
func (d *duties) table(ctx context.Context) *routes.Table {
	var item []byte
	var revision uint64
	err := d.replica.runInLoop(ctx, func() {
		revision = d.replica.machine.Revision()
		item = d.replica.machine.Item(fleet.PathNumbered)
	})
	if err != nil {
		return nil
	}
	if revision != d.decoded.revision {
		d.decoded.revision, d.decoded.valid = revision, false
		if len(item) > 0 {
			d.decode(item)
		}
	}
	if !d.decoded.valid {
		return nil
	}
	return d.decoded.index.Table
}

// decode sets the decoded configuration from the item of its revision.
func (d *duties) decode(item []byte) {
	revision := d.decoded.revision
	document, err := d.replica.documents.Document(revision, item)
	if err == nil && document == nil {
		// The next run reads a newer one.
		d.decoded.revision = 0
		return
	}
	var index *routes.Index
	if err == nil {
		decoder := configdelta.Decoder{Whole: d.opts.Decode, Change: d.opts.DecodeChange}
		index, err = decoder.Decode(d.decoded.index, d.decoded.document, document)
	}
	if err != nil {
		d.replica.logger.Error().Str("step", "scale").Uint64("revision", revision).Err(err).Msg("decoding the committed configuration failed")
		return
	}
	d.decoded.valid, d.decoded.index, d.decoded.document = true, index, document.Content
}

// scaleService sends the orders for one service. It reads the list again, because
// orders for the services before may have taken long.
func (d *duties) scaleService(ctx context.Context, service *routes.Service) {
	if service.Scaling == nil || service.Engine == nil {
		return
	}
	d.mu.Lock()
	list := d.list.servers
	d.mu.Unlock()
	observed := scaling.Observed{Spec: specOf(service)}
	for _, server := range list {
		if server.Service == service.Name {
			observed.Servers = append(observed.Servers, scaling.Server{
				Zone: server.Zone, Reclaimable: server.Reclaimable, Leaving: server.Leaving,
			})
		}
	}
	holder, orders := d.plan(service.Name, observed)
	for _, order := range orders {
		d.sendOrder(ctx, holder, order)
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

// plan returns the orders to send for a service, and the holder that planned them.
func (d *duties) plan(service string, observed scaling.Observed) (DutyHolder, []scaling.Order) {
	d.mu.Lock()
	defer d.mu.Unlock()
	holder, ok := d.holder()
	if !ok {
		return holder, nil
	}
	now := d.replica.now()
	observed.Load = d.loadOf(now, service)
	scaler := d.scalers[service]
	if scaler == nil {
		scaler = scaling.New()
		d.scalers[service] = scaler
	}
	return holder, scaler.Step(now, observed)
}

func callResult(err error) string {
	switch {
	case err == nil:
		return "accepted"
	case errors.Is(err, ErrScaleOrderRefused):
		return "refused"
	default:
		return "failed"
	}
}

// loadOf adds up the load that the entries reported for a service. The rate is
// the mean of their measured rates, weighted by work. The caller must hold mu.
func (d *duties) loadOf(now time.Duration, service string) scaling.Load {
	var total scaling.Load
	weightedRates := 0.0
	for _, reported := range d.load {
		load := reported.services[service]
		if load == nil || now-reported.at >= loadLifetime {
			continue
		}
		total.InFlight += load.InFlight
		total.Work += load.Work
		weightedRates += load.Work * load.Rate
	}
	if total.Work > 0 {
		total.Rate = weightedRates / total.Work
	}
	return total
}

// sendOrder sends one order if the holder that planned it may still call the platform.
func (d *duties) sendOrder(ctx context.Context, holder DutyHolder, order scaling.Order) {
	d.mu.Lock()
	current, ok := d.holder()
	d.mu.Unlock()
	if !ok || current != holder {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, dutyTimeout)
	defer cancel()
	err := d.opts.SendScaleOrder(callCtx, holder, order)
	result := scaling.OrderResult{Order: order, Refused: errors.Is(err, ErrScaleOrderRefused), Failed: err != nil}
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
		Int("count", order.Count).Float64("needed", scaler.PeakNeed()).Float64("in_flight", load.InFlight).
		Float64("work_per_s", math.Round(load.Work)).Float64("rate_per_s", math.Round(load.Rate)).Uint64("fence", holder.Fence).
		Bool("refused", result.Refused).Msg("scaling order to the platform")
	scaler.Step(d.replica.now(), result)
}

// Package serverload carries the load that backend servers report with their responses into an
// entry's placement, and to and from the other entries' placement updates.
package serverload

import (
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/backend"
	"waxwingcart/internal/core/placement"
	"waxwingcart/internal/wire"
)

// maxNumber bounds the numbers that other entries announce. Reports have smaller ones.
const maxNumber = 1_000_000

// Tracker is safe for concurrent use, except for Apply.
type Tracker struct {
	// mu guards placer.
	mu      sync.Locker
	placer  *placement.Placer
	now     func() time.Duration
	logger  *log.Logger
	reports *prometheus.CounterVec
	ignored prometheus.Counter
}

// New returns a Tracker for a Placer that mu guards. It registers its metrics, if registry is set.
func New(mu sync.Locker, placer *placement.Placer, now func() time.Duration, logger *log.Logger, registry *prometheus.Registry) *Tracker {
	t := &Tracker{
		mu: mu, placer: placer, now: now, logger: logger,
		reports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "waxwingcart", Subsystem: "entry", Name: "server_loads_total",
			Help: "Load reports in responses of backend servers, by what was read: with or without a factor, or invalid in part or completely.",
		}, []string{"read"}),
		ignored: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "waxwingcart", Subsystem: "entry", Name: "server_loads_ignored_total",
			Help: "Backend servers whose load reports began to be ignored, since the times of their responses contradicted them.",
		}),
	}
	if registry != nil {
		registry.MustRegister(t.reports, t.ignored)
	}
	return t
}

// Observe applies the load that a response of a call's instance reported.
func (t *Tracker) Observe(call backend.Call, load backend.Load) {
	if call.Instance == "" {
		return
	}
	read := "factor"
	switch {
	case load.Err != nil:
		read = "invalid"
	case load.Factor == 0:
		read = "no-factor"
	}
	t.reports.WithLabelValues(read).Inc()
	t.mu.Lock()
	t.placer.ObserveLoad(t.now(), call.Instance, placement.Load{Running: load.Running, Waiting: load.Waiting, Factor: load.Factor})
	first := load.Err != nil && t.placer.NoteInvalidLoad(call.Instance)
	t.mu.Unlock()
	if first {
		t.logger.Warn().Str("step", "server load").Str("server", call.Instance).Str("request", call.RequestID).Err(load.Err).
			Msg("a backend server reports a load that can't be read; what can't be read is ignored, and not logged again for this server")
	}
}

// Take returns what to announce of a server with an update that is about to be queued, or nil. Until
// SetAges the age is the time of the report.
func (t *Tracker) Take(server string) *wire.ServerLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	report, ok := t.placer.TakeReport(now, server)
	if !ok {
		return nil
	}
	return &wire.ServerLoad{
		Factor:  uint32(100*report.Factor + 0.5),
		Running: uint32(report.Running + 1),
		Waiting: uint32(report.Waiting + 1),
		AgeMs:   uint32((now - report.Age).Milliseconds()),
		Pace:    uint32(min(100*report.Pace, maxNumber) + 0.5),
	}
}

// SetAges replaces the times of the reports in updates by their ages.
func SetAges(now time.Duration, updates []*wire.News) {
	age := func(load *wire.ServerLoad) {
		if isSet(load) {
			load.AgeMs = uint32(now.Milliseconds()) - load.AgeMs
		}
	}
	for _, update := range updates {
		for _, load := range update.StartedLoads {
			age(load)
		}
		for _, ended := range update.Ended {
			age(ended.Load)
		}
		for _, results := range update.Results {
			age(results.Load)
		}
	}
}

// AddStarted adds the number of an attempt whose answer has begun to an update, with the load that its server
// reported, or nil.
func AddStarted(update *wire.News, number uint64, load *wire.ServerLoad) {
	update.Started = append(update.Started, number)
	if load == nil && len(update.StartedLoads) == 0 {
		return
	}
	for len(update.StartedLoads) < len(update.Started)-1 {
		update.StartedLoads = append(update.StartedLoads, &wire.ServerLoad{})
	}
	if load == nil {
		load = &wire.ServerLoad{}
	}
	update.StartedLoads = append(update.StartedLoads, load)
}

// Apply applies the loads in another entry's update. The caller holds mu, has applied the update's
// placed attempts, and has not yet applied those that started or ended.
func (t *Tracker) Apply(received *wire.News) {
	for i, number := range received.Started {
		if i < len(received.StartedLoads) {
			t.apply(t.serverOf(received, number), received.StartedLoads[i])
		}
	}
	for _, ended := range received.Ended {
		t.apply(t.serverOf(received, ended.Number), ended.Load)
	}
	for _, results := range received.Results {
		t.apply(results.Server, results.Load)
	}
}

// isSet reports whether a load holds a value.
func isSet(load *wire.ServerLoad) bool {
	return load.GetFactor() != 0 || load.GetRunning() != 0 || load.GetWaiting() != 0
}

func (t *Tracker) serverOf(received *wire.News, number uint64) string {
	return t.placer.ServerOf(placement.JobID{Origin: received.Origin, Number: number})
}

// apply applies a load that another entry announced. Loads of unknown servers and unset ones are ignored.
func (t *Tracker) apply(server string, load *wire.ServerLoad) {
	if server == "" || !isSet(load) {
		return
	}
	t.placer.ObserveAnnounced(t.now(), server, placement.LoadReport{
		Load: placement.Load{
			Running: int(min(load.Running, maxNumber)) - 1,
			Waiting: int(min(load.Waiting, maxNumber)) - 1,
			Factor:  float64(load.Factor) / 100,
		},
		Age:  time.Duration(load.AgeMs) * time.Millisecond,
		Pace: float64(load.Pace) / 100,
	})
}

// LogIgnored logs the servers whose reports began to be ignored since the last call, each once.
func (t *Tracker) LogIgnored() {
	t.mu.Lock()
	ignored := t.placer.TakeIgnored()
	t.mu.Unlock()
	for _, server := range ignored {
		t.ignored.Inc()
		t.logger.Warn().Str("step", "server load").Str("server", server.Server).Float64("reported", server.Reported).Float64("observed", server.Observed).
			Msg("the load that a backend server reports contradicts the times of its responses; its reports are ignored until they agree")
	}
}

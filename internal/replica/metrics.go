package replica

import (
	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/core/replication"
)

type metrics struct {
	revision prometheus.Gauge
	term     prometheus.Gauge
	leader   prometheus.Gauge
	applied  prometheus.Gauge
	records  prometheus.Gauge
	// leaderless is in seconds.
	leaderless prometheus.Gauge
	behind     prometheus.Gauge
	// diskFull has no labels; it appears with its first value.
	diskFull     *prometheus.GaugeVec
	reservations *prometheus.CounterVec
	orders       *prometheus.CounterVec
	duties       *prometheus.CounterVec
	// deliveryFailures has the labels peer and reason.
	deliveryFailures *prometheus.CounterVec
	// unaddressed counts the messages for nodes whose address is unknown.
	unaddressed prometheus.Counter
	loopDelay   prometheus.Histogram
	writes      prometheus.Histogram
	// appendTimeouts is a gauge of a count that only rises, since the node counts.
	appendTimeouts prometheus.Gauge
}

func newMetrics(registry *prometheus.Registry) *metrics {
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "waxwingcart", Subsystem: "replica", Name: name, Help: help})
		registry.MustRegister(g)
		return g
	}
	m := &metrics{
		revision:       gauge("config_revision", "Configuration revision committed at this replica."),
		term:           gauge("term", "Current term, which is the fencing number of orders."),
		leader:         gauge("leader", "1 if this replica leads."),
		applied:        gauge("applied_index", "Index of the last applied log entry."),
		leaderless:     gauge("leaderless_seconds", "Time for which this replica has known no leader, 0 while it knows one."),
		records:        gauge("idempotency_records", "Idempotency records held."),
		appendTimeouts: gauge("append_timeouts", "Appends to other replicas that were not acknowledged in time and sent again, since the start."),
		behind:         gauge("entries_behind", "Live entries that have not acknowledged, within 2 s of its commit, a revision committed while this replica leads."),
		reservations: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "waxwingcart", Subsystem: "replica", Name: "reservations_total",
			Help: "Reservations answered by this replica as leader, by result.",
		}, []string{"result"}),
	}
	m.diskFull = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: "waxwingcart", Subsystem: "replica", Name: "disk_full",
		Help: "1 while writes to the log or of a snapshot wait for room on the disk.",
	}, nil)
	m.orders = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "waxwingcart", Subsystem: "replica", Name: "orders_total",
		Help: "Orders to backend servers given by this replica as leader, by result.",
	}, []string{"result"})
	m.duties = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "waxwingcart", Subsystem: "replica", Name: "duty_calls_total",
		Help: "Calls to the hosting platform made by this replica as leader, by duty and result.",
	}, []string{"duty", "result"})
	m.deliveryFailures = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "waxwingcart", Subsystem: "replica", Name: "delivery_failures_total",
		Help: "Deliveries of messages to another replica that failed or were overdue, by peer and reason.",
	}, []string{"peer", "reason"})
	m.unaddressed = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "waxwingcart", Subsystem: "replica", Name: "messages_unaddressed_total",
		Help: "Messages for other replicas that were dropped because this replica knew no address for them.",
	})
	m.loopDelay = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: "waxwingcart", Subsystem: "replica", Name: "loop_delay_seconds",
		Help:    "Time from one tick of the event loop to the next, beyond the interval of ticks.",
		Buckets: []float64{.01, .02, .05, .1, .2, .4, .6, 1, 2},
	})
	m.writes = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: "waxwingcart", Subsystem: "replica", Name: "write_seconds",
		Help:    "Time of a write to the log, with its sync.",
		Buckets: []float64{.001, .002, .005, .01, .02, .05, .1, .2, .4, 1, 2, 5},
	})
	registry.MustRegister(m.loopDelay, m.writes, m.diskFull, m.reservations, m.orders, m.duties, m.deliveryFailures, m.unaddressed)
	return m
}

func (m *metrics) observe(v view) {
	m.term.Set(float64(v.status.Term))
	m.applied.Set(float64(v.applied))
	m.appendTimeouts.Set(float64(v.status.AppendTimeouts))
	m.records.Set(float64(v.records))
	m.leaderless.Set(v.status.Election.Leaderless.Seconds())
	leads := 0.0
	if v.status.Role == replication.RoleLeader {
		leads = 1
	}
	m.leader.Set(leads)
}

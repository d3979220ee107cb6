package entry

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	inFlight      prometheus.Gauge
	draining      prometheus.Gauge
	revision      prometheus.Gauge
	outcomes      *prometheus.CounterVec
	attempts      *prometheus.CounterVec
	retries       *prometheus.CounterVec
	retryBudget   *prometheus.GaugeVec
	late          prometheus.Counter
	recomputed    *prometheus.CounterVec
	tokens        *prometheus.CounterVec
	firstToken    *prometheus.HistogramVec
	tokenGap      *prometheus.HistogramVec
	reservation   *prometheus.HistogramVec
	costPerServer *prometheus.GaugeVec
	moves         *prometheus.CounterVec
}

var latencyBuckets = []float64{.005, .01, .02, .044, .1, .2, .4, .93, 2, 5, 10, 30}

func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{
		inFlight:      gauge("requests_in_flight", "Requests that this entry holds."),
		draining:      gauge("draining", "1 while the entry drains."),
		revision:      gauge("config_revision", "Configuration revision in force at this entry."),
		outcomes:      counters("outcomes_total", "Requests ended, by service, outcome and reason.", "service", "outcome", "reason"),
		attempts:      counters("attempts_total", "Attempts at backend servers, by service, server and result.", "service", "server", "result"),
		retries:       counters("retries_total", "Attempts after the first, by service.", "service"),
		retryBudget:   gauges("retry_budget", "Retries that a service may make now.", "service"),
		recomputed:    counters("recomputed_tokens_total", "Tokens generated again, by service.", "service"),
		tokens:        counters("tokens_total", "Tokens handed to callers, by service.", "service"),
		firstToken:    histograms("first_token_seconds", "Time from arrival to the first token, or to the whole answer of an application service.", "service"),
		tokenGap:      histograms("token_gap_seconds", "Time between two tokens of a stream.", "service"),
		reservation:   histograms("reservation_seconds", "Time to commit a reservation, by result.", "result"),
		costPerServer: gauges("backend_server_price_per_hour", "Price of a backend server's VM hour.", "service", "server"),
		moves:         counters("stream_moves_total", "Streams moved off leaving backend servers, by way.", "way"),
	}
	m.late = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "waxwingcart", Subsystem: "entry", Name: "late_events_total",
		Help: "Events dropped because their attempt was over.",
	})
	registry.MustRegister(m.inFlight, m.draining, m.revision, m.outcomes, m.attempts, m.retries, m.retryBudget,
		m.late, m.recomputed, m.tokens, m.firstToken, m.tokenGap, m.reservation, m.costPerServer, m.moves)
	return m
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "waxwingcart", Subsystem: "entry", Name: name, Help: help})
}

func gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "waxwingcart", Subsystem: "entry", Name: name, Help: help}, labels)
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "waxwingcart", Subsystem: "entry", Name: name, Help: help}, labels)
}

func histograms(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: "waxwingcart", Subsystem: "entry", Name: name, Help: help, Buckets: latencyBuckets,
	}, labels)
}

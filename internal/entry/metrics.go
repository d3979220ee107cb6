package entry

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	inFlight          prometheus.Gauge
	draining          prometheus.Gauge
	revision          prometheus.Gauge
	placement         prometheus.Gauge
	withoutServer     prometheus.Gauge
	configFetches     *prometheus.CounterVec
	outcomes          *prometheus.CounterVec
	attempts          *prometheus.CounterVec
	retries           *prometheus.CounterVec
	retryBudget       *prometheus.GaugeVec
	lateEvents        prometheus.Counter
	recomputedTokens  *prometheus.CounterVec
	tokens            *prometheus.CounterVec
	firstToken        *prometheus.HistogramVec
	tokenGap          *prometheus.HistogramVec
	reservation       *prometheus.HistogramVec
	serverPrice       *prometheus.GaugeVec
	streamMoves       *prometheus.CounterVec
	serverPauses      *prometheus.CounterVec
	serversLeaving    *prometheus.CounterVec
	serverLimits      *prometheus.CounterVec
	customerShed      *prometheus.CounterVec
	silences          *prometheus.CounterVec
	takeUps           *prometheus.CounterVec
	unanswered        *prometheus.CounterVec
	connectionsClosed *prometheus.CounterVec
	endlessAnswers    *prometheus.CounterVec
}

// latencyBuckets holds the upper bounds of the histograms' buckets in seconds.
var latencyBuckets = []float64{.005, .01, .02, .044, .1, .2, .4, .93, 2, 5, 10, 30}

func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{
		inFlight:          newGauge("requests_in_flight", "Requests that this entry holds."),
		draining:          newGauge("draining", "1 while the entry drains."),
		revision:          newGauge("config_revision", "Configuration revision in force at this entry."),
		placement:         newGauge("placement_revision", "Configuration revision from which placement and limits were last set."),
		withoutServer:     newGauge("services_without_server", "Services of the configuration in placement that have no server in the list."),
		configFetches:     newCounterVec("config_fetches_total", "Calls to replicas for the configuration, by result.", "result"),
		outcomes:          newCounterVec("outcomes_total", "Requests ended, by service, outcome and reason.", "service", "outcome", "reason"),
		attempts:          newCounterVec("attempts_total", "Attempts at backend servers, by service, server and result.", "service", "server", "result"),
		retries:           newCounterVec("retries_total", "Attempts after the first, by service.", "service"),
		retryBudget:       newGaugeVec("retry_budget", "Retries that a service may make now.", "service"),
		recomputedTokens:  newCounterVec("recomputed_tokens_total", "Tokens generated again, by service.", "service"),
		tokens:            newCounterVec("tokens_total", "Tokens handed to callers, by service.", "service"),
		firstToken:        newHistogramVec("first_token_seconds", "Time from arrival to the first token, or to the whole answer of an application service.", "service"),
		tokenGap:          newHistogramVec("token_gap_seconds", "Time between two tokens of a stream.", "service"),
		reservation:       newHistogramVec("reservation_seconds", "Time to commit a reservation, by result.", "result"),
		serverPrice:       newGaugeVec("backend_server_price_per_hour", "Price of a backend server's VM hour.", "service", "server"),
		serverPauses:      newCounterVec("server_pauses_total", "Answers with which backend servers asked for a pause, by treatment.", "treatment"),
		serversLeaving:    newCounterVec("servers_leaving_total", "Backend servers that said that they leave, by how this entry learned it.", "source"),
		customerShed:      newCounterVec("customer_shed_total", "Calls refused at once because their customer sends more than its limit allows, by class of call.", "class"),
		serverLimits:      newCounterVec("server_limits_total", "Changes of the limits that backend servers name, by how this entry learned of them.", "source"),
		takeUps:           newCounterVec("take_ups_total", "Calls that take a stream up, by service and result.", "service", "result"),
		silences:          newCounterVec("silences_total", "Decisions on silent attempts, by service and decision.", "service", "decision"),
		unanswered:        newCounterVec("unanswered_total", "Requests that may have run and ended without a whole answer.", "service", "begun", "failure", "not_retried", "changed"),
		connectionsClosed: newCounterVec("connections_closed_total", "Connections of callers that the entry closed before their request was fully answered, by cause.", "cause"),
		endlessAnswers:    newCounterVec("endless_answers_total", "Answers of backend servers that exceeded a bound, by kind.", "kind"),
		streamMoves:       newCounterVec("stream_moves_total", "Streams moved off leaving backend servers, by way.", "way"),
	}
	m.lateEvents = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "waxwingcart", Subsystem: "entry", Name: "late_events_total",
		Help: "Events dropped because their attempt was over.",
	})
	registry.MustRegister(m.inFlight, m.draining, m.revision, m.placement, m.withoutServer, m.configFetches, m.outcomes, m.attempts, m.retries, m.retryBudget,
		m.lateEvents, m.recomputedTokens, m.tokens, m.firstToken, m.tokenGap, m.reservation, m.serverPrice, m.streamMoves, m.silences, m.takeUps, m.serversLeaving, m.serverLimits, m.customerShed, m.serverPauses, m.unanswered, m.connectionsClosed,
		m.endlessAnswers)
	return m
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "waxwingcart", Subsystem: "entry", Name: name, Help: help})
}

func newGaugeFunc(name, help string, value func() float64) prometheus.GaugeFunc {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "waxwingcart", Subsystem: "entry", Name: name, Help: help}, value)
}

func newGaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "waxwingcart", Subsystem: "entry", Name: name, Help: help}, labels)
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "waxwingcart", Subsystem: "entry", Name: name, Help: help}, labels)
}

func newHistogramVec(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: "waxwingcart", Subsystem: "entry", Name: name, Help: help, Buckets: latencyBuckets,
	}, labels)
}

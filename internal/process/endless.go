package process

import (
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/answers"
)

// Sources of answers that exceed a bound, beside backend servers.
const (
	sourceProcess  = "process"
	sourcePlatform = "platform"
)

// endlessAnswers logs and counts answers that exceeded a bound.
type endlessAnswers struct {
	logger  *log.Logger
	counter *prometheus.CounterVec
}

func newEndlessAnswers(logger *log.Logger, registry *prometheus.Registry) *endlessAnswers {
	e := &endlessAnswers{logger: logger, counter: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "waxwingcart", Name: "endless_answers_total",
		Help: "Answers of other processes and of the platform that exceeded a bound, by source and kind.",
	}, []string{"source", "kind"})}
	registry.MustRegister(e.counter)
	return e
}

// from returns the function that takes the answers of a source.
func (e *endlessAnswers) from(source string) func(peer string, err error) {
	return func(peer string, err error) {
		kind := string(answers.KindOf(err))
		e.counter.WithLabelValues(source, kind).Inc()
		e.logger.Warn().Str("step", "endless answer").Str("source", source).Str("peer", peer).Str("kind", kind).Err(err).
			Msg("an answer exceeded a bound; its connection is closed")
	}
}

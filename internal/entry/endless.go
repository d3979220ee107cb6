package entry

import (
	"waxwingcart/internal/answers"
	"waxwingcart/internal/backend"
)

// endlessAnswer logs and counts an answer of a backend server that exceeded a bound.
func (e *Entry) endlessAnswer(call backend.Call, err error) {
	kind := string(answers.KindOf(err))
	e.metrics.endlessAnswers.WithLabelValues(kind).Inc()
	e.logger.Warn().Str("step", "endless answer").Str("server", call.Instance).Str("peer", call.Address).Str("request", call.RequestID).
		Int("attempt", call.Attempt).Str("kind", kind).Err(err).Msg("an answer of a backend server exceeded a bound; its connection is closed")
}

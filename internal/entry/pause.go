package entry

import (
	"net/http"
	"time"

	"waxwingcart/internal/backend"
)

// Treatments of the pauses that servers ask for.
const (
	pauseKept    = "kept"
	pauseLimited = "limited"
	pauseIgnored = "ignored"
)

// serverPause suspends the server of a call whose answer asks for a pause. It logs the
// beginning of each pause, and a server's first value that can't be read.
func (e *Entry) serverPause(call backend.Call, header http.Header) {
	if call.Instance == "" {
		return
	}
	pause, limited, err := backend.ParsePause(header, time.Now())
	p := e.policy
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		e.metrics.serverPauses.WithLabelValues(pauseIgnored).Inc()
		if p.placer.NoteInvalidPause(call.Instance) {
			e.logger.Warn().Str("step", "server pause").Str("server", call.Instance).Str("request", call.RequestID).Err(err).
				Msg("a backend server asked for a pause in a way that can't be read; it is ignored")
		}
		return
	}
	if pause == 0 {
		return
	}
	treatment := pauseKept
	if limited {
		treatment = pauseLimited
	}
	e.metrics.serverPauses.WithLabelValues(treatment).Inc()
	if p.placer.Suspend(e.now(), call.Instance, pause) {
		e.logger.Info().Str("step", "server pause").Str("server", call.Instance).Str("request", call.RequestID).
			Int64("pause_ms", pause.Milliseconds()).Bool("limited", limited).Msg("a backend server asked for a pause; it gets no new work until the end of it")
	}
}

package standin

import (
	"fmt"
	"net/http"
	"strconv"
)

// reportAlpha returns the load report in vendor alpha's format.
func (m *modelServer) reportAlpha(w http.ResponseWriter, _ *http.Request) {
	if m.server.faults.sendGarbage(w) {
		return
	}
	load := m.engine.delayedLoad()
	writeJSON(w, http.StatusOK, map[string]any{
		"running":     load.running,
		"waiting":     load.waiting,
		"slots":       m.server.opts.Slots,
		"kv_used":     load.kvUsage,
		"leaving":     m.leaving(),
		"incarnation": strconv.FormatInt(m.startedAt.UnixNano(), 36),
		"age_ms":      m.server.opts.ReportLag.Milliseconds(),
		"models":      []string{m.orders.model()},
	})
}

// reportBeta returns the load report in vendor beta's format, which is Prometheus text.
func (m *modelServer) reportBeta(w http.ResponseWriter, _ *http.Request) {
	if m.server.faults.sendGarbage(w) {
		return
	}
	load := m.engine.delayedLoad()
	leaving := 0.0
	if m.leaving() {
		leaving = 1
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	gauge := func(name string, value float64) {
		fmt.Fprintf(w, "# TYPE %s gauge\n%s %s\n", name, name, strconv.FormatFloat(value, 'f', -1, 64))
	}
	gauge("engine_requests_running", float64(load.running))
	gauge("engine_requests_waiting", float64(load.waiting))
	gauge("engine_slots", float64(m.server.opts.Slots))
	gauge("engine_kv_usage_ratio", load.kvUsage)
	gauge("engine_leaving", leaving)
	gauge("engine_start_time_seconds", float64(m.startedAt.UnixMicro())/1e6)
	gauge("engine_report_age_seconds", m.server.opts.ReportLag.Seconds())
}

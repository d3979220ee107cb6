package process

import (
	"net/http"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	core "waxwingcart/internal/core/intake"
	"waxwingcart/internal/intake"
	"waxwingcart/internal/settings"
)

// newBudget returns the memory for what callers make the process hold.
func newBudget(process *settings.Process, logger *log.Logger, registry *prometheus.Registry) *intake.Budget {
	return intake.NewBudget(core.Size(process.MemoryMB, process.Limits.IntakeMemoryMB), logger, registry)
}

func newIntakeMetrics(registry *prometheus.Registry) *intake.Metrics {
	return intake.NewMetrics(registry)
}

// buffered bounds the bodies of requests that do not come from callers.
func buffered(p components, limit int64, next http.Handler) http.Handler {
	return intake.Buffered(p.Budget, limit, milliseconds(p.Process.Timeouts.ReadBodyMS), next)
}

// connectionLimit returns how many connections a listener may have.
func connectionLimit(process *settings.Process, name string) int {
	descriptors := intake.Descriptors()
	switch {
	case name == callersListener:
		return core.Connections(core.PortMain, descriptors, process.Limits.Connections)
	case name == peersListener && process.HasRole(settings.RoleEntry):
		return core.Connections(core.PortPeers, descriptors, maxInternalConnections)
	case name == peersListener:
		return core.Connections(core.PortMain, descriptors, maxInternalConnections)
	}
	return core.Connections(core.PortOther, descriptors, maxInternalConnections)
}

package process

import (
	"context"
	"net"
	"net/http"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	core "waxwingcart/internal/core/intake"
	"waxwingcart/internal/intake"
	"waxwingcart/internal/settings"
	"waxwingcart/internal/sockbuf"
)

// newBudget returns the memory for what callers make the process hold.
func newBudget(process *settings.Process, logger *log.Logger, registry *prometheus.Registry) *intake.Budget {
	budget := intake.NewBudget(core.Size(process.MemoryMB, process.Limits.IntakeMemoryMB), logger, registry)
	budget.LimitRequests(processSize(process).Requests())
	return budget
}

func newIntakeMetrics(registry *prometheus.Registry) *intake.Metrics {
	return intake.NewMetrics(registry)
}

// buffered bounds the bodies of requests that do not come from callers.
func buffered(p components, limit int64, next http.Handler) http.Handler {
	return intake.Buffered(p.Budget, limit, milliseconds(p.Process.Timeouts.ReadBodyMS), next)
}

func processSize(process *settings.Process) core.Process {
	return core.Process{MemoryMB: process.MemoryMB, Descriptors: intake.Descriptors()}
}

func newBuffers(process *settings.Process) *sockbuf.Buffers {
	return sockbuf.New(processSize(process))
}

// portOf returns the kind of a listener's port, and the highest number of its connections.
func portOf(process *settings.Process, name string) (core.Port, int) {
	switch {
	case name == callersListener:
		return core.PortMain, process.Limits.Connections
	case name == peersListener && process.HasRole(settings.RoleEntry):
		return core.PortPeers, maxInternalConnections
	case name == peersListener:
		return core.PortMain, maxInternalConnections
	}
	return core.PortOther, maxInternalConnections
}

// listen listens on an address, within the process's bounds on what callers make it hold.
func listen(p components, name, address string) (net.Listener, error) {
	size := processSize(p.Process)
	port, limit := portOf(p.Process, name)
	config := net.ListenConfig{Control: p.Buffers.Control}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	sockbuf.SetBacklog(listener, size.Backlog(port))
	return intake.Listen(listener, intake.ListenerOptions{
		Name: name, Limit: size.Connections(port, limit), Budget: p.Budget, Buffers: p.Buffers, Logger: p.Logger, Metrics: p.Intake,
	}), nil
}

package entry

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"waxwingcart/internal/backend"
	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/membership"
	"waxwingcart/internal/core/routing"
	"waxwingcart/internal/periodic"
)

// Timing and limits of reading load reports.
const (
	reportInterval     = 500 * time.Millisecond
	reportTimeout      = 800 * time.Millisecond
	maxParallelReports = 32
)

// reportState holds what the entry keeps between two reports of a server.
type reportState struct {
	mu           sync.Mutex
	incarnations map[string]string
	cacheSeq     map[string]int64
}

// serverIncarnation returns the incarnation that a server reported last.
func (e *Entry) serverIncarnation(server string) string {
	e.reports.mu.Lock()
	defer e.reports.mu.Unlock()
	return e.reports.incarnations[server]
}

// runReports reads the load reports of all servers periodically.
func (e *Entry) runReports(ctx context.Context) {
	periodic.Run(ctx, reportInterval, func() { e.readReports(ctx) })
}

func (e *Entry) readReports(ctx context.Context) {
	config := e.config.inForce()
	if config == nil {
		return
	}
	var group sync.WaitGroup
	slots := make(chan struct{}, maxParallelReports)
	for i := range config.BackendServers {
		server := &config.BackendServers[i]
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			e.readReport(ctx, server)
		})
	}
	group.Wait()
	e.policy.updateUsable()
}

func (e *Entry) readReport(ctx context.Context, server *fleet.BackendServer) {
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := e.backends.Report(call, server.Address, server.Vendor)
	var callErr *backend.Error
	if err != nil && errors.As(err, &callErr) && callErr.Phase == backend.PhaseDial {
		e.reportContact(server, false)
		return
	}
	if err != nil {
		e.logger.Debug().Str("step", "report").Str("peer", server.Address).Err(err).Msg("reading a backend server's load report failed")
		return
	}
	e.reportContact(server, true)
	e.applyReport(server, report)
	if server.Vendor != backend.VendorGamma {
		e.readCacheEvents(call, server)
	}
}

func (e *Entry) applyReport(server *fleet.BackendServer, report backend.Report) {
	e.reports.mu.Lock()
	restarted := e.reports.incarnations[server.Name] != report.Incarnation
	if restarted {
		e.reports.incarnations[server.Name] = report.Incarnation
		delete(e.reports.cacheSeq, server.Name)
	}
	e.reports.mu.Unlock()
	if restarted {
		e.policy.cacheReset(server.Name)
	}
	e.policy.report(server.Name, routing.Report{
		Running: report.Running,
		Waiting: report.Waiting,
		Slots:   report.Slots,
		KVUsed:  report.KVUsed,
		Age:     report.Age,
	})
	e.stepMembership(membership.Report{
		VM:          server.VM,
		Incarnation: report.Incarnation,
		Leaving:     report.Leaving,
	})
}

func (e *Entry) readCacheEvents(ctx context.Context, server *fleet.BackendServer) {
	e.reports.mu.Lock()
	after := e.reports.cacheSeq[server.Name]
	e.reports.mu.Unlock()
	events, last, err := e.backends.CacheEvents(ctx, server.Address, after)
	if err != nil {
		return
	}
	for _, ev := range events {
		e.applyCacheEvent(server.Name, ev)
	}
	e.reports.mu.Lock()
	e.reports.cacheSeq[server.Name] = last
	e.reports.mu.Unlock()
}

func (e *Entry) applyCacheEvent(server string, ev backend.CacheEvent) {
	prefix, err := strconv.ParseUint(ev.Prefix, 16, 64)
	if err != nil {
		return
	}
	kind := routing.CacheStored
	if ev.Kind == backend.CacheEvicted {
		kind = routing.CacheEvicted
	}
	e.policy.cacheEvent(server, uint64(ev.Seq), kind, prefix)
}

// reportContact tells the membership table whether a server could be reached.
func (e *Entry) reportContact(server *fleet.BackendServer, ok bool) {
	if e.opts.Routed != nil {
		return
	}
	e.stepMembership(membership.CallResult{Kind: membership.KindBackend, VM: server.VM, OK: ok})
}

package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"waxwingcart/internal/backend"
)

const (
	auditTimeout    = 5 * time.Second
	auditInterval   = 200 * time.Millisecond
	auditLimitBytes = 256 << 20
)

// standinStats holds the counters that a stand-in reports.
type standinStats struct {
	PrefillTokens int64 `json:"prefill_tokens"`
	CachedTokens  int64 `json:"cached_tokens"`
	DecodedTokens int64 `json:"decoded_tokens"`
	Cancelled     int64 `json:"cancelled"`
}

// standinRuns holds the runs that a stand-in reports, by request ID and by the digest
// of a booking's body.
type standinRuns struct {
	Runs   map[string]int `json:"runs"`
	Bodies map[string]int `json:"bodies"`
}

// audit polls the counters of the stand-ins and the prices of the platform's VMs
// during a run. A stand-in that stops during the run counts with its last report.
type audit struct {
	opts    Options
	client  *http.Client
	backend *backend.Client

	mu     sync.Mutex
	before map[string]standinStats
	stats  map[string]standinStats
	runs   map[string]standinRuns
	// cost is the price of the listed VMs over pricedTime, the part of the run in which
	// the platform's list and prices could be read.
	cost       float64
	pricedTime time.Duration
}

func newAudit(opts Options) *audit {
	return &audit{
		opts:    opts,
		client:  &http.Client{Timeout: auditTimeout},
		backend: backend.New(backend.Options{}),
		before:  make(map[string]standinStats),
		stats:   make(map[string]standinStats),
		runs:    make(map[string]standinRuns),
	}
}

// start reads the counters before the run. All stand-ins must respond.
func (a *audit) start() error {
	for _, address := range a.opts.Standins {
		if err := a.readStats(address); err != nil {
			return err
		}
		a.before[address] = a.stats[address]
	}
	return nil
}

// watch polls the stand-ins and the platform until ctx ends.
func (a *audit) watch(ctx context.Context) {
	ticker := time.NewTicker(auditInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			a.addCost(time.Since(last))
			return
		case <-ticker.C:
		}
		a.forEachStandin(func(address string) { _ = a.readStats(address) })
		a.forEachStandin(func(address string) { _ = a.readRuns(address) })
		now := time.Now()
		a.addCost(now.Sub(last))
		last = now
	}
}

// forEachStandin calls f for all stand-ins in parallel and waits for the calls.
func (a *audit) forEachStandin(f func(address string)) {
	var group sync.WaitGroup
	for _, address := range a.opts.Standins {
		group.Go(func() { f(address) })
	}
	group.Wait()
}

// finish reads the counters and runs after the run. It returns the addresses of the
// stand-ins that no longer respond.
func (a *audit) finish() []string {
	var mu sync.Mutex
	unreachable := []string{}
	a.forEachStandin(func(address string) {
		err := a.readStats(address)
		if err == nil {
			err = a.readRuns(address)
		}
		if err != nil {
			mu.Lock()
			unreachable = append(unreachable, address)
			mu.Unlock()
		}
	})
	return unreachable
}

func (a *audit) readStats(address string) error {
	var stats standinStats
	if err := a.get(address, "/standin/stats", &stats); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stats[address] = stats
	return nil
}

func (a *audit) readRuns(address string) error {
	var runs standinRuns
	if err := a.get(address, "/standin/runs", &runs); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs[address] = runs
	return nil
}

func (a *audit) get(address, path string, value any) error {
	response, err := a.client.Get("http://" + address + path)
	if err != nil {
		return fmt.Errorf("audit %s: %w", address, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("audit %s%s: status %d", address, path, response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, auditLimitBytes)).Decode(value); err != nil {
		return fmt.Errorf("audit %s%s: %w", address, path, err)
	}
	return nil
}

// addCost adds the price of the VMs that the platform lists, for the elapsed time.
func (a *audit) addCost(elapsed time.Duration) {
	if a.opts.Platform == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), auditTimeout)
	defer cancel()
	list, err := a.backend.ListVMs(ctx, a.opts.Platform)
	if err != nil {
		return
	}
	prices, err := a.backend.Prices(ctx, a.opts.Platform)
	if err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pricedTime += elapsed
	for _, vm := range list.VMs {
		a.cost += prices[vm.Class+"/"+vm.Zone] * elapsed.Hours()
	}
}

// meanPricePerHour returns the mean price per hour of the listed VMs.
func (a *audit) meanPricePerHour() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pricedTime == 0 {
		return 0
	}
	return a.cost / a.pricedTime.Hours()
}

// statsDuringRun returns the sum of the stand-ins' counters since the start of the
// run.
func (a *audit) statsDuringRun() standinStats {
	a.mu.Lock()
	defer a.mu.Unlock()
	var sum standinStats
	for address, stats := range a.stats {
		before := a.before[address]
		sum.PrefillTokens += stats.PrefillTokens - before.PrefillTokens
		sum.CachedTokens += stats.CachedTokens - before.CachedTokens
		sum.DecodedTokens += stats.DecodedTokens - before.DecodedTokens
		sum.Cancelled += stats.Cancelled - before.Cancelled
	}
	return sum
}

// totalRuns returns the sum of the runs of all stand-ins.
func (a *audit) totalRuns() standinRuns {
	a.mu.Lock()
	defer a.mu.Unlock()
	sum := standinRuns{Runs: make(map[string]int), Bodies: make(map[string]int)}
	for _, runs := range a.runs {
		for id, count := range runs.Runs {
			sum.Runs[id] += count
		}
		for body, count := range runs.Bodies {
			sum.Bodies[body] += count
		}
	}
	return sum
}

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
	auditEvery      = 200 * time.Millisecond
	auditLimitBytes = 256 << 20
)

// standinStats is what a stand-in says of its work.
type standinStats struct {
	PrefillTokens int64 `json:"prefill_tokens"`
	CachedTokens  int64 `json:"cached_tokens"`
	DecodedTokens int64 `json:"decoded_tokens"`
	Cancelled     int64 `json:"cancelled"`
}

// standinRuns is what a stand-in counted, by request ID and by the digest of
// a booking's body.
type standinRuns struct {
	Runs   map[string]int `json:"runs"`
	Bodies map[string]int `json:"bodies"`
}

// audit reads what the stand-ins and the platform say during a run. A
// stand-in that ends during the run counts with what it said last.
type audit struct {
	opts    Options
	client  *http.Client
	backend *backend.Client

	mu     sync.Mutex
	before map[string]standinStats
	stats  map[string]standinStats
	runs   map[string]standinRuns
	// spent is the price of the VMs listed within the time spanned.
	spent   float64
	spanned time.Duration
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

// start reads the state before the run. All stand-ins must answer.
func (a *audit) start() error {
	for _, address := range a.opts.Standins {
		if err := a.readStats(address); err != nil {
			return err
		}
		a.before[address] = a.stats[address]
	}
	return nil
}

// watch reads on until ctx ends.
func (a *audit) watch(ctx context.Context) {
	ticker := time.NewTicker(auditEvery)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			a.spend(time.Since(last))
			return
		case <-ticker.C:
		}
		a.each(func(address string) { _ = a.readStats(address) })
		a.each(func(address string) { _ = a.readRuns(address) })
		now := time.Now()
		a.spend(now.Sub(last))
		last = now
	}
}

// each calls f for all stand-ins at once.
func (a *audit) each(f func(address string)) {
	var group sync.WaitGroup
	for _, address := range a.opts.Standins {
		group.Go(func() { f(address) })
	}
	group.Wait()
}

// finish reads the state after the run. It returns the addresses of the
// stand-ins that no longer answer.
func (a *audit) finish() []string {
	var mu sync.Mutex
	gone := []string{}
	a.each(func(address string) {
		err := a.readStats(address)
		if err == nil {
			err = a.readRuns(address)
		}
		if err != nil {
			mu.Lock()
			gone = append(gone, address)
			mu.Unlock()
		}
	})
	return gone
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

// spend adds the price of the VMs that the platform lists.
func (a *audit) spend(elapsed time.Duration) {
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
	a.spanned += elapsed
	for _, vm := range list.VMs {
		a.spent += prices[vm.Class+"/"+vm.Zone] * elapsed.Hours()
	}
}

// perHour returns the mean price of the listed VMs per hour.
func (a *audit) perHour() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.spanned == 0 {
		return 0
	}
	return a.spent / a.spanned.Hours()
}

// worked returns the tokens that the stand-ins computed during the run.
func (a *audit) worked() standinStats {
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

// counted returns the runs at all stand-ins.
func (a *audit) counted() standinRuns {
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

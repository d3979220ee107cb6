package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"waxwingcart/internal/discovery"
)

const (
	// discoveryInterval is how often an entry checks whether it has to read
	// the list of backend servers itself.
	discoveryInterval = time.Second
	// maxListAge is the age of the leader's list from which an entry reads the
	// platform's list itself. The leader reads it every second.
	maxListAge = 2500 * time.Millisecond
	// readsPerInterval is the approximate maximum number of entries that read
	// the list in one interval. It keeps all entries together below the
	// platform's rate limit.
	readsPerInterval = 10
	// discoveryTimeout bounds one read.
	discoveryTimeout = 2 * time.Second
)

// runDiscovery reads the platform's list while no leader provides a fresh one.
// Each entry reads less often the more entries there are.
func (e *Entry) runDiscovery(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		if left := e.directory.FreshFor(e.now()); left > 0 {
			wait(ctx, min(left, discoveryInterval))
			continue
		}
		if e.directory.Known() && rand.IntN(1+e.quota.entries()/readsPerInterval) > 0 {
			wait(ctx, discoveryInterval)
			continue
		}
		err := e.discover(ctx)
		if failed := err != nil; failed != failing {
			failing = failed
			if failed {
				e.logger.Warn().Str("step", "discover").Err(err).Msg("reading the list of backend servers failed; the last one stays in use")
			} else {
				e.logger.Info().Str("step", "discover").Msg("reading the list of backend servers succeeded again")
			}
		}
		wait(ctx, discoveryInterval)
	}
}

// checkIntervalPerEntry is multiplied by the number of entries to get the shortest time between two
// reads of the platform's list by which one entry checks whether the list in use is out of date.
const checkIntervalPerEntry = 30 * time.Millisecond

// listCheck is held while a call reads the list to check it, last at a time.
type listCheck struct {
	mu sync.Mutex
	at time.Duration
}

// checkList asks the leader, and without an answer the platform, whether the list in use is still
// the newest.
func (e *Entry) checkList(ctx context.Context) {
	asked := e.now()
	if e.quota.drawSoon(ctx) && e.streams.checkedSince(asked) {
		return
	}
	c := &e.listCheck
	c.mu.Lock()
	defer c.mu.Unlock()
	// Another call may have read the list meanwhile. All entries share the platform's rate.
	if e.streams.checkedSince(asked) || c.at != 0 && e.now()-c.at < time.Duration(max(e.quota.entries(), readsPerInterval))*checkIntervalPerEntry {
		return
	}
	c.at = e.now()
	if err := e.discover(ctx); err != nil {
		e.logger.Warn().Str("step", "discover").Err(err).Msg("checking the list of backend servers failed")
	}
}

func (e *Entry) discover(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, discoveryTimeout)
	defer cancel()
	requestedAt := e.now()
	list, err := e.opts.Routed.Discover(call)
	if err != nil {
		return err
	}
	e.applyList(list, 0, requestedAt)
	return nil
}

// applyList puts a list in use and logs the differences.
func (e *Entry) applyList(list []discovery.Server, version uint64, readAt time.Duration) {
	e.streams.listed(list, readAt)
	changed, gone := e.policy.setList(list, version, readAt)
	if len(changed)+len(gone) > 0 {
		e.detour.SetServers(e.directory.Addresses())
	}
	for _, found := range changed {
		e.logger.Info().Str("step", "discover").Str("server", found.Instance).Str("service", found.Service).
			Str("peer", found.Address).Str("server_zone", found.Zone).Str("version", found.Software).Bool("leaving", found.Leaving).Msg("backend server added to the list or changed in it")
	}
	for _, instance := range gone {
		e.logger.Info().Str("step", "discover").Str("server", instance).Msg("backend server no longer listed")
	}
	e.signalInitialized()
}

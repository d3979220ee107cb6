package entry

import (
	"sync"
	"testing"

	"waxwingcart/internal/core/routes"
	"waxwingcart/internal/directory"
)

// Drawing units and applying a configuration take the locks of limits and placement in one
// order. An entry that took them in two orders stopped to answer.
func TestDrawBesideConfiguration(t *testing.T) {
	e := newLeavingEntry()
	e.directory, e.config = directory.New(maxListAge), &configHolder{entry: e}
	e.quota = newQuotaClient(e)
	const rounds = 20_000
	var both sync.WaitGroup
	both.Go(func() {
		for range rounds {
			e.quota.request(e.now())
		}
	})
	both.Go(func() {
		for range rounds {
			e.policy.mu.Lock()
			e.quota.configure(e.now(), &routes.Table{})
			e.policy.mu.Unlock()
		}
	})
	both.Wait()
}

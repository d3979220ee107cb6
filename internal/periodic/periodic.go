// Package periodic runs work at fixed intervals.
package periodic

import (
	"context"
	"time"
)

// Run does the work at each interval until the context ends. Intervals that
// pass while the work is under way are left out.
func Run(ctx context.Context, interval time.Duration, work func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			work()
		}
	}
}

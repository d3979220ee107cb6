// Package periodic runs work at fixed intervals.
package periodic

import (
	"context"
	"time"
)

// Run calls work once per interval until the context ends. If work takes longer
// than the interval, the missed calls are dropped.
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

package replica

import "waxwingcart/internal/core/replication"

// SetCompaction sets the limits of the log between two snapshots, and returns the ones before. No replica may run.
func SetCompaction(limits replication.CompactionLimits) replication.CompactionLimits {
	before := compaction
	compaction = limits
	return before
}

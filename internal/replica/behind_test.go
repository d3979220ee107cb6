package replica

import (
	"slices"
	"testing"
	"time"
)

// An entry is behind once a revision has been committed for longer than
// inForceWithin and the entry has not acknowledged it, even if newer revisions
// follow each other quickly. It is reported once, and once more when it has
// caught up.
func TestBehind(t *testing.T) {
	start := time.Unix(1000, 0)
	steps := []struct {
		at             time.Duration
		revision       uint64
		live           map[string]uint64
		fell, caughtUp []string
		count          int
	}{
		{0, 1, map[string]uint64{"e1": 0, "e2": 0}, nil, nil, 0},
		{1 * time.Second, 2, map[string]uint64{"e1": 1, "e2": 0}, nil, nil, 0},
		{inForceWithin, 3, map[string]uint64{"e1": 2, "e2": 0}, nil, nil, 0},
		{inForceWithin + 1, 4, map[string]uint64{"e1": 3, "e2": 0}, []string{"e2"}, nil, 1},
		{inForceWithin + 2, 4, map[string]uint64{"e1": 3, "e2": 0}, nil, nil, 1},
		{inForceWithin + 3, 4, map[string]uint64{"e1": 3, "e2": 1}, nil, []string{"e2"}, 0},
		{2*inForceWithin + 2, 4, map[string]uint64{"e1": 3, "e2": 4}, []string{"e1"}, nil, 1},
		{2*inForceWithin + 3, 4, map[string]uint64{"e2": 4}, nil, nil, 0},
	}
	var b behind
	for i, step := range steps {
		change := b.observe(step.revision, step.live, start.Add(step.at))
		if !slices.Equal(change.fell, step.fell) || !slices.Equal(change.caughtUp, step.caughtUp) || len(b.entries) != step.count {
			t.Errorf("step %d: got %+v and %d behind, want %v, %v and %d", i, change, len(b.entries), step.fell, step.caughtUp, step.count)
		}
	}
}

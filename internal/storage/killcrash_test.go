package storage

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// kill returns the file system as the next process finds it after the end of this one: nothing is lost, but
// what was not synced is still not durable.
func (m *memoryFileSystem) kill() *memoryFileSystem {
	after := newMemoryFileSystem(m.rand.Uint64())
	after.entries, after.synced = m.entries, m.synced
	return after
}

// TestPowerLossAfterKilledProcess ends the process at each modifying file system operation, lets the next one go on
// with the directory, and then loses power. What the next process found when it started, and may have acknowledged
// without another write, must be recovered. The directory must open: a later record that is durable, while a record
// or a snapshot before it is not, would be damage.
func TestPowerLossAfterKilledProcess(t *testing.T) {
	const schedules, steps = 25, 25
	for schedule := range uint64(schedules) {
		for k := 1; ; k++ {
			where := fmt.Sprintf("schedule %d, operation %d", schedule, k)
			files := newMemoryFileSystem(schedule)
			files.failIn = k
			rng := rand.New(rand.NewPCG(schedule, 1))
			incarnation, states := runToCrash(t, files, rng, model{}, steps)
			finished := !files.failed
			files = files.kill()
			found := reopen(t, files, incarnation, states, where+", after the end of the process")
			states = []model{*found}
			if more := rng.IntN(4); more > 0 {
				incarnation, states = runToCrash(t, files, rng, *found, more)
			}
			reopen(t, files.crash(), incarnation, states, where+", after the loss of power")
			if finished {
				break
			}
		}
	}
}

package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// KindWipe kills a replica and erases its disk before it starts again.
const KindWipe Kind = "lose disk"

// minDiskBulk is the number of customers in a document at least.
const minDiskBulk = 1000

// repairTime is the time between two lost disks, in which a replica that has lost its disk catches
// up and a voter is replaced.
const repairTime = 4 * time.Second

// diskSeeds are the seeds of TestSoakDisks that run by default.
var diskSeeds = []keptSeed{
	{63, "a replica that lost its disk after its leader had lost its own never caught up, so that in the end no quorum was left"},
}

// TestSoakDisks plays plans in which replicas lose their disks in series, the leader more often than the
// others, and all processes lose power beside some of the losses.
func TestSoakDisks(t *testing.T) {
	soakSeeds(t, diskSeeds, Options{Disks: true})
}

// diskCycle adds a lost disk beside changes, with time for the repair.
func (p *planner) diskCycle() {
	if p.chance(0.2) {
		p.listCycle()
	}
	target := targetLeader
	if p.chance(0.3) {
		target = fmt.Sprintf("r%d", 1+p.rng.IntN(p.Replicas))
	}
	p.add(Event{At: p.at, Kind: KindWipe, Target: target, For: p.between(50*time.Millisecond, time.Second)})
	if p.chance(0.3) {
		p.powerLoss(p.at)
	}
	for at := p.at - 200*time.Millisecond; at < p.at+time.Second; at += p.between(200*time.Millisecond, 600*time.Millisecond) {
		p.change(at, false)
	}
	p.at += time.Second + repairTime
}

// powerLoss kills all processes at once. A process that another fault has ended is left alone.
func (p *planner) powerLoss(at time.Duration) {
	for i := range p.Replicas {
		p.add(Event{At: at, Kind: KindKill, Target: fmt.Sprintf("r%d", i+1), For: p.between(200*time.Millisecond, 1500*time.Millisecond)})
	}
	for i := range p.Entries {
		p.add(Event{At: at, Kind: KindKill, Target: fmt.Sprintf("e%d", i+1), For: p.between(200*time.Millisecond, 1500*time.Millisecond)})
	}
}

// wipe erases the disk of a process that has ended.
func (r *run) wipe(p *process) error { return os.RemoveAll(filepath.Join(r.dir, p.name)) }

// TestSoakDisksLosesOneAtATime checks the plans: what is acknowledged may be lost with two disks.
func TestSoakDisksLosesOneAtATime(t *testing.T) {
	for range 100 {
		last := -repairTime
		for _, e := range NewPlan(Options{Seed: rand.Uint64(), Duration: time.Minute, Entries: 6, Replicas: 4, Disks: true}).Events {
			if e.Kind != KindWipe {
				continue
			}
			if e.At-last < repairTime {
				t.Fatalf("two disks are lost within %s", e.At-last)
			}
			last = e.At + e.For
		}
	}
}

package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// The deployment can't keep its bounds on processors and disks that it does not get,
// and a verdict must not depend on what else the machine does. So a time in which the
// machine is starved counts as a disturbance, like a slowed machine, and is printed:
// a goroutine that sleeps, a call over loopback or a flush to disk is late by more
// than starvedAfter, or a thread of a process waited that long for a processor. It is
// an eighth of the bound that is checked.
const (
	starvedAfter   = applyBound / 8
	beatInterval   = 20 * time.Millisecond
	flushInterval  = 100 * time.Millisecond
	sampleInterval = 100 * time.Millisecond
)

// starvation records a time in which a target was starved.
func (r *run) starvation(target, what string, from time.Duration) {
	r.history.update(func() {
		r.history.Disturbances = append(r.history.Disturbances, Disturbance{Target: target, What: "starved: " + what, Effect: EffectSlowed, From: from, To: r.now()})
	})
}

// watchStarvation records the times in which the machine is starved until the context
// ends.
func (r *run) watchStarvation(ctx context.Context) {
	var beats sync.WaitGroup
	defer beats.Wait()
	beats.Go(func() {
		r.beat(ctx, "call over loopback", beatInterval, func() {
			if response, err := r.operators.Get("http://" + r.echo); err == nil {
				_ = response.Body.Close()
			}
		})
	})
	beats.Go(func() { r.beat(ctx, "flush to disk", flushInterval, r.flush) })
	waited := make(map[string]uint64)
	for last := r.now(); ctx.Err() == nil; last = r.now() {
		time.Sleep(sampleInterval)
		for _, p := range r.deployment.processes {
			if longest := p.waited(waited); longest > starvedAfter {
				r.starvation(p.name, "processor", max(0, last-longest))
			}
		}
	}
}

// beat calls a function at an interval and records when it is late.
func (r *run) beat(ctx context.Context, what string, interval time.Duration, f func()) {
	for last := r.now(); ctx.Err() == nil; last = r.now() {
		time.Sleep(interval)
		f()
		if r.now()-last > interval+starvedAfter {
			r.starvation(anyTarget, what, last)
		}
	}
}

// flush writes to the disk that the processes write to.
func (r *run) flush() {
	file, err := os.OpenFile(filepath.Join(r.dir, "flush"), os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	defer file.Close()
	_, _ = file.WriteString("flush")
	_ = file.Sync()
}

// waited returns the longest time that one of the process's threads has waited for a
// processor since the previous call, whose values the map holds by thread.
func (p *process) waited(before map[string]uint64) time.Duration {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	longest := time.Duration(0)
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		var ran, waited uint64
		if _, err := fmt.Sscan(string(data), &ran, &waited); err != nil {
			continue
		}
		if last, ok := before[file]; ok {
			longest = max(longest, time.Duration(waited-last))
		}
		before[file] = waited
	}
	return longest
}

// starved returns the number of times in which the machine or a process was starved,
// by what it lacked.
func (h *History) starved() string {
	counts := make(map[string]int)
	for _, d := range h.Disturbances {
		if what, ok := strings.CutPrefix(d.What, "starved: "); ok {
			counts[what]++
		}
	}
	return strings.TrimPrefix(fmt.Sprint(counts), "map")
}

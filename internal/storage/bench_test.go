package storage

import (
	"fmt"
	"testing"
	"time"

	"waxwingcart/internal/core/replication"
)

const (
	benchCommandBytes = 256
	// baselineSyncs is the number of records that the baseline syncs one by one.
	baselineSyncs = 200
)

// BenchmarkAppend commits commands on a single voter with several of them in
// flight, and reports the rate relative to one sync per record on the same disk.
func BenchmarkAppend(b *testing.B) {
	for _, inFlight := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("in-flight-%d", inFlight), func(b *testing.B) {
			benchmarkAppend(b, inFlight)
		})
	}
}

func benchmarkAppend(b *testing.B, inFlight int) {
	baseline := baselineSyncRate(b)
	l, err := Open(b.TempDir(), Options{})
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	self := replication.Member{ID: replication.NodeID{VM: "vm-1", Incarnation: l.Incarnation()}}
	n, err := replication.New(replication.Options{Self: self}, replication.Bootstrap([]replication.Member{self}))
	if err != nil {
		b.Fatal(err)
	}
	start := time.Now()
	data := make([]byte, benchCommandBytes)
	var write *replication.Persist
	done := 0
	step := func(ev replication.Event) {
		effects := n.Step(time.Since(start)+time.Hour, ev)
		if effects.Persist != nil {
			write = effects.Persist
		}
		for _, e := range effects.Committed {
			if e.Kind == replication.EntryCommand {
				done++
			}
		}
	}
	sync := func() {
		p := write
		write = nil
		if err := l.Write(p); err != nil {
			b.Fatal(err)
		}
		step(replication.Persisted{Sequence: p.Sequence})
	}
	for n.Status().Role != replication.RoleLeader {
		step(replication.Tick{})
		if write != nil {
			sync()
		}
	}
	for write != nil {
		sync()
	}
	size := l.lastSegment().size
	b.ReportAllocs()
	b.ResetTimer()
	for proposed := 0; done < b.N; sync() {
		for ; proposed < b.N && proposed-done < inFlight; proposed++ {
			step(replication.Propose{Data: data})
		}
	}
	b.StopTimer()
	rate := float64(b.N) / b.Elapsed().Seconds()
	b.ReportMetric(rate/baseline, "x-bare-sync")
	if len(l.segments) == 1 {
		b.ReportMetric(float64(l.lastSegment().size-size)/float64(b.N), "disk-B/op")
	}
}

// baselineSyncRate returns the records written per second with one sync for each.
func baselineSyncRate(b *testing.B) float64 {
	f, err := osFileSystem{}.Create(b.TempDir() + "/bare")
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	record := make([]byte, benchCommandBytes)
	start := time.Now()
	for range baselineSyncs {
		if err := writeSynced(f, record); err != nil {
			b.Fatal(err)
		}
	}
	return baselineSyncs / time.Since(start).Seconds()
}

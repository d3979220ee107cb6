package state_test

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/state"
)

const millionRecords = 1_000_000

// reservation returns a Reserve command that differs for each i.
func reservation(i int) state.Reserve {
	r := state.Reserve{
		Key:          state.Key{Customer: "malabar-society", Service: "ledger", Key: fmt.Sprintf("claim-2026-%08d", i)},
		Owner:        state.Owner{VM: fmt.Sprintf("entry-%d", i%7), Incarnation: 1},
		OwnerAddress: "10.20.1.11:7100",
		RequestID:    fmt.Sprintf("r-%012x", i),
		RetentionMS:  24 * 3_600_000,
	}
	binary.LittleEndian.PutUint64(r.Digest[:], uint64(i))
	return r
}

// filledMachine returns a machine with the given number of reserved records.
func filledMachine(records int) *state.Machine {
	m := state.New(state.Options{})
	for i := range records {
		m.Apply(uint64(i+1), 1, state.Command{TimeMS: 1_000_000_000 + int64(i), Body: reservation(i)})
	}
	return m
}

// heapBytes returns the size of the live heap objects.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkMillionRecords measures memory, snapshot and restore at a million
// records. The target is less than 200 bytes of memory per record without answers.
func BenchmarkMillionRecords(b *testing.B) {
	for range b.N {
		before := heapBytes()
		m := filledMachine(millionRecords)
		b.ReportMetric(float64(heapBytes()-before)/millionRecords, "mem-B/record")

		start := time.Now()
		snapshot := m.Snapshot()
		b.ReportMetric(float64(time.Since(start).Microseconds())/1_000, "snapshot-pause-ms")
		start = time.Now()
		data, err := codec.EncodeState(snapshot)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(time.Since(start).Seconds(), "encode-s")
		b.ReportMetric(float64(len(data))/millionRecords, "snapshot-B/record")

		start = time.Now()
		decoded, err := codec.DecodeState(data)
		if err != nil {
			b.Fatal(err)
		}
		state.New(state.Options{}).Restore(decoded)
		b.ReportMetric(time.Since(start).Seconds(), "restore-s")
		runtime.KeepAlive(m)
	}
}

func BenchmarkReserve(b *testing.B) {
	m := filledMachine(100_000)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		m.Apply(m.Applied()+1, 1, state.Command{TimeMS: 2_000_000_000, Body: reservation(1_000_000 + i)})
	}
}

// configJSON returns a configuration with n backend servers as JSON.
func configJSON(b *testing.B, n, queueLimit int) []byte {
	config, err := fleet.ParseJSON(readSmall(b))
	if err != nil {
		b.Fatal(err)
	}
	server := config.BackendServers[0]
	config.Defaults.QueueLimit = queueLimit
	config.BackendServers = nil
	for i := range n {
		server.Name = fmt.Sprintf("engine-%d", i)
		server.VM = server.Name
		server.Address = fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255)
		config.BackendServers = append(config.BackendServers, server)
	}
	data, err := json.Marshal(config)
	if err != nil {
		b.Fatal(err)
	}
	return data
}

// BenchmarkChange measures one change of the defaults: preparing it at the leader
// and applying it at a replica.
func BenchmarkChange(b *testing.B) {
	for _, servers := range []int{16, 1_200, 12_000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			m := state.New(state.Options{})
			requests := [][]byte{configJSON(b, servers, 1), configJSON(b, servers, 2)}
			var parse, prepare, apply, bytes float64
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				start := time.Now()
				parsed := state.ParseChange(state.ChangeRequest{
					ChangeID:     fmt.Sprintf("c%d", i),
					BaseRevision: m.Revision(),
					JSON:         requests[i%2],
				})
				parse += float64(time.Since(start).Nanoseconds())
				start = time.Now()
				change := m.PrepareParsed(parsed)
				prepare += float64(time.Since(start).Nanoseconds())
				data, err := codec.EncodeCommand(state.Command{Body: change})
				if err != nil {
					b.Fatal(err)
				}
				bytes = float64(len(data))
				start = time.Now()
				m.Apply(uint64(i+1), 1, state.Command{Body: change})
				apply += float64(time.Since(start).Nanoseconds())
			}
			b.ReportMetric(parse/float64(b.N), "parse-ns/op")
			b.ReportMetric(prepare/float64(b.N), "prepare-ns/op")
			b.ReportMetric(apply/float64(b.N), "apply-ns/op")
			b.ReportMetric(bytes, "log-B/change")
		})
	}
}

// BenchmarkCatchUp measures how a process that is 10,000 changes behind catches
// up, once with all deltas and once with the complete configuration that a replica
// sends instead. The metric x-sent is the ratio of the two times.
func BenchmarkCatchUp(b *testing.B) {
	const changes = 10_000
	m := state.New(state.Options{HistoryLimit: changes, HistoryBytes: 1 << 30})
	requests := [][]byte{configJSON(b, 16, 1), configJSON(b, 16, 2)}
	for i := range changes {
		change := m.Prepare(state.ChangeRequest{ChangeID: fmt.Sprintf("c%d", i), BaseRevision: m.Revision(), JSON: requests[i%2]})
		m.Apply(uint64(i+1), 1, state.Command{Body: change})
	}
	history := m.History(changes)
	slices.Reverse(history)
	sent, _ := m.DeltasSince(0)
	var deltasTime, sentTime time.Duration
	for b.Loop() {
		deltasTime += catchUp(b, history)
		sentTime += catchUp(b, sent)
	}
	b.ReportMetric(float64(deltasTime.Nanoseconds())/float64(b.N)/changes, "ns/delta")
	b.ReportMetric(float64(sentTime.Nanoseconds())/float64(b.N), "sent-ns")
	b.ReportMetric(deltasTime.Seconds()/sentTime.Seconds(), "x-sent")
}

// catchUp returns the time that a new view takes to apply the deltas.
func catchUp(b *testing.B, deltas []state.Delta) time.Duration {
	view := state.NewView()
	newest := deltas[len(deltas)-1].Revision
	start := time.Now()
	view.Step(0, state.DeltasReceived{Deltas: deltas, Revision: newest, Committed: true})
	elapsed := time.Since(start)
	if view.Revision() != newest {
		b.Fatalf("view is at revision %d", view.Revision())
	}
	return elapsed
}

// BenchmarkViewStep measures the cost of one changed item at an entry.
func BenchmarkViewStep(b *testing.B) {
	for _, servers := range []int{16, 12_000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			m := state.New(state.Options{})
			for i := range 2 {
				change := m.Prepare(state.ChangeRequest{ChangeID: fmt.Sprintf("c%d", i), BaseRevision: m.Revision(), JSON: configJSON(b, servers, i)})
				m.Apply(uint64(i+1), 1, state.Command{Body: change})
			}
			complete, _ := m.DeltasSince(0)
			view := state.NewView()
			view.Step(0, state.DeltasReceived{Deltas: complete, Revision: 2})
			delta := m.History(1)[0]
			b.ReportAllocs()
			for b.Loop() {
				delta.Revision = view.Revision() + 1
				view.Step(0, state.DeltasReceived{Deltas: []state.Delta{delta}, Revision: delta.Revision})
			}
		})
	}
}

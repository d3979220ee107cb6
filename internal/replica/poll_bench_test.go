package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

// countingTransport counts the bytes of request and response bodies, without
// headers.
type countingTransport struct {
	next  http.RoundTripper
	bytes *atomic.Int64
}

func (t countingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	t.bytes.Add(req.ContentLength)
	response, err := t.next.RoundTrip(req)
	if err == nil {
		t.bytes.Add(max(response.ContentLength, 0))
	}
	return response, err
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func benchmarkConfig(servers int) []byte {
	config := fleet.Config{
		Defaults: fleet.DefaultPolicy(),
		Zones:    []fleet.Zone{{Name: "z0"}},
		Classes:  []fleet.MachineClass{{Name: "c", PricesPerHour: map[string]float64{"z0": 1}, Slots: 8}},
		Services: []fleet.Service{{Name: "s", Kind: fleet.ServiceApp}},
	}
	for i := range servers {
		name := fmt.Sprintf("m%d", i)
		config.BackendServers = append(config.BackendServers, fleet.BackendServer{
			Name: name, VM: name, Service: "s", Zone: "z0", Class: "c", Vendor: "gamma", Fencing: fleet.FencingChecked,
			Address: fmt.Sprintf("10.%d.%d.%d:8000", i/62500, i/250%250, i%250+1),
		})
	}
	data, _ := json.Marshal(config)
	return data
}

// BenchmarkConfigPolls measures how long a configuration change takes to reach N
// clients that long-poll one replica, and its cost in CPU time and bytes. The
// clients run in the same process as the replica, so the CPU time is that of
// both.
func BenchmarkConfigPolls(b *testing.B) {
	for _, pollers := range []int{7, 50, 200, 1100} {
		b.Run(fmt.Sprintf("pollers=%d", pollers), func(b *testing.B) { benchmarkPolls(b, pollers) })
	}
}

func benchmarkPolls(b *testing.B, pollers int) {
	r, err := New(Options{
		Self: Peer{VM: "r", Zone: "z0", Address: "127.0.0.1:1"}, DataDir: b.TempDir(), Bootstrap: true,
		Client:   rpc.NewClient("secret"),
		Logger:   &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}},
		Registry: prometheus.NewRegistry(),
	})
	if err != nil {
		b.Fatal(err)
	}
	r.Start()
	defer func() { _ = r.Stop(context.Background()) }()
	server := httptest.NewServer(wire.NewReplicaServer(r.Service()))
	defer server.Close()

	ctx, cancel := context.WithCancel(context.Background())
	var bytes atomic.Int64
	transport := &http.Transport{MaxIdleConnsPerHost: pollers}
	client := &http.Client{Transport: countingTransport{next: transport, bytes: &bytes}}
	var group sync.WaitGroup
	var have sync.Map
	reached := make(chan uint64, pollers*4)
	for i := range pollers {
		group.Go(func() {
			stub := wire.NewReplicaProtobufClient(server.URL, client)
			var revision uint64
			for ctx.Err() == nil {
				response, err := stub.FetchConfig(ctx, &wire.FetchConfigRequest{HaveRevision: revision, WaitMs: 20000, Process: fmt.Sprint(i), Zone: "z0"})
				if err != nil || len(response.Deltas) == 0 {
					continue
				}
				revision = response.Revision
				have.Store(i, revision)
				reached <- revision
			}
		})
	}
	defer group.Wait()
	defer cancel()

	configs := [][]byte{benchmarkConfig(1000), benchmarkConfig(1001)}
	base := uint64(0)
	change := func() {
		for {
			response, err := r.Service().ChangeConfig(ctx, &wire.ChangeConfigRequest{
				ChangeId: fmt.Sprintf("c%d", base), BaseRevision: base, ConfigJson: configs[base%2],
			})
			if err == nil && response.Invalid == "" && !response.Conflict {
				base = response.Revision
				break
			}
			if err == nil {
				b.Fatalf("got response %+v to a change, want it accepted", response)
			}
			time.Sleep(20 * time.Millisecond)
		}
		for n := 0; n < pollers; {
			if <-reached == base {
				n++
			}
		}
	}
	change()
	time.Sleep(200 * time.Millisecond)
	bytes.Store(0)
	cpuStart := cpuTime()
	b.ResetTimer()
	for b.Loop() {
		change()
	}
	b.StopTimer()
	deliveries := float64(b.N * pollers)
	b.ReportMetric(float64(cpuTime()-cpuStart)/1e3/deliveries, "cpu-µs/delivery")
	b.ReportMetric(float64(bytes.Load())/deliveries, "body-B/delivery")
	b.ReportMetric(b.Elapsed().Seconds()*1000/float64(b.N), "ms/change")
}

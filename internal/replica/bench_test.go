package replica

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/observe"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

// startReplicas starts replicas that communicate over loopback, waits until all
// of them vote, and returns the leader.
func startReplicas(tb testing.TB, count int) *Replica {
	tb.Helper()
	return startVoters(tb, count)[0]
}

// startVoters is startReplicas, but returns all replicas, the leader first.
func startVoters(tb testing.TB, count int) []*Replica {
	tb.Helper()
	peers, listeners := newPeers(tb, count)
	replicas := make([]*Replica, count)
	for i := range count {
		replicas[i], _ = serveReplica(tb, replicaOptions(tb, peers, i), listeners[i])
	}
	awaitVoters(tb, replicas[0], count)
	return replicas
}

// newPeers returns peers with a listener for each.
func newPeers(tb testing.TB, count int) ([]Peer, []net.Listener) {
	tb.Helper()
	listeners := make([]net.Listener, count)
	peers := make([]Peer, count)
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		listeners[i] = listener
		peers[i] = Peer{VM: fmt.Sprintf("r%d", i), Zone: fmt.Sprintf("z%d", i), Address: listener.Addr().String()}
	}
	return peers, listeners
}

// awaitVoters waits until a replica leads with a number of voters.
func awaitVoters(tb testing.TB, r *Replica, count int) {
	tb.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		status := r.status()
		if status.Lease.Valid && len(status.Membership.Voters) == count {
			return
		}
	}
	tb.Fatal("the first replica did not become the leader with all replicas as voters")
}

// replicaOptions returns the options of one of the peers. The first one starts the
// log.
func replicaOptions(tb testing.TB, peers []Peer, i int) Options {
	opts := Options{
		Self:      peers[i],
		DataDir:   tb.TempDir(),
		Bootstrap: i == 0,
		Client:    rpc.NewClient("secret"),
		Logger:    observe.NewLogger(io.Discard, "error", peers[i].VM, peers[i].Zone),
		Registry:  prometheus.NewRegistry(),
	}
	for j, peer := range peers {
		if j != i {
			opts.Peers = append(opts.Peers, peer)
		}
	}
	return opts
}

// serveReplica starts a replica and serves its peers until the test ends.
func serveReplica(tb testing.TB, opts Options, listener net.Listener) (*Replica, *http.Server) {
	tb.Helper()
	r, err := New(opts)
	if err != nil {
		tb.Fatal(err)
	}
	service := wire.NewReplicaServer(r.Service())
	server := &http.Server{Handler: rpc.RequireKey(rpc.NewKey("secret"), service)}
	go func() { _ = server.Serve(listener) }()
	r.Start()
	tb.Cleanup(func() {
		// No replica waits for a successor, as all of them stop.
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = r.Stop(ctx)
		_ = server.Close()
	})
	return r, server
}

// measureSyncRate returns how many records per second can be appended to a file
// with a sync after each.
func measureSyncRate(tb testing.TB, record []byte) float64 {
	tb.Helper()
	const count = 200
	file, err := os.Create(filepath.Join(tb.TempDir(), "bare"))
	if err != nil {
		tb.Fatal(err)
	}
	defer file.Close()
	start := time.Now()
	for range count {
		if _, err := file.Write(record); err != nil {
			tb.Fatal(err)
		}
		if err := file.Sync(); err != nil {
			tb.Fatal(err)
		}
	}
	return count / time.Since(start).Seconds()
}

func reserveRequest(i uint64) *wire.ReserveRequest {
	digest := sha256.Sum256([]byte("body"))
	return &wire.ReserveRequest{
		Key:         &wire.RecordKey{Customer: "heirs", Service: "desk", Key: fmt.Sprint("key-", i)},
		Digest:      digest[:],
		Owner:       &wire.NodeID{Vm: "e1", Incarnation: 1},
		RequestId:   fmt.Sprint("r-", i),
		RetentionMs: 3_600_000,
	}
}

// BenchmarkReserve measures the rate of committed reservations through the
// batcher, in relation to one sync per record on the same disk (x-bare-sync).
func BenchmarkReserve(b *testing.B) {
	for _, replicas := range []int{1, 3} {
		for _, inFlight := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("replicas=%d/inflight=%d", replicas, inFlight), func(b *testing.B) {
				benchmarkReserve(b, replicas, inFlight)
			})
		}
	}
}

func benchmarkReserve(b *testing.B, replicas, inFlight int) {
	leader := startReplicas(b, replicas)
	syncRate := measureSyncRate(b, make([]byte, 256))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	batcher := rpc.NewBatcher(ctx, rpc.NewReplicas(rpc.NewClient("secret"), []string{leader.opts.Self.Address}))
	var next atomic.Uint64
	var group sync.WaitGroup
	b.ResetTimer()
	for range inFlight {
		group.Go(func() {
			for i := next.Add(1); i <= uint64(b.N); i = next.Add(1) {
				response, err := batcher.Reserve(ctx, reserveRequest(i))
				if err != nil || !response.Granted {
					b.Errorf("reservation %d: got %v, error %v; want it granted", i, response, err)
					return
				}
			}
		})
	}
	group.Wait()
	b.StopTimer()
	rate := float64(b.N) / b.Elapsed().Seconds()
	b.ReportMetric(rate, "reservations/s")
	b.ReportMetric(rate/syncRate, "x-bare-sync")
	b.ReportMetric(b.Elapsed().Seconds()*1000*float64(inFlight)/float64(b.N), "ms-latency")
}

package process

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"waxwingcart/internal/entry"
	"waxwingcart/internal/replica"
	"waxwingcart/internal/settings"
	"waxwingcart/internal/sockbuf"
	"waxwingcart/platform"
)

const (
	// memoryFraction is the fraction of a process's memory that the Go heap may
	// use before the garbage collector runs more often. The rest is for stacks,
	// unread data of sockets and the runtime itself.
	memoryFraction = 0.7
	// drainMargin is the part at the end of the grace period that is reserved for
	// ending the requests that are still in flight.
	drainMargin = 700 * time.Millisecond
	// acceptFraction is the fraction of the grace period in which a draining entry
	// still accepts requests: the load balancer needs several readiness checks to
	// notice that the entry is draining.
	acceptFraction = 0.3
)

// limitMemory sets the Go memory limit from the memory in the settings, if any.
func limitMemory(process *settings.Process) {
	if process.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryFraction * float64(process.MemoryMB) * (1 << 20)))
	}
}

// seedPeers returns the sorted peer addresses of the seeds. All replicas are
// reached on the same port for peers.
func seedPeers(process *settings.Process) []string {
	_, port, err := net.SplitHostPort(process.Listen.PeerAddress())
	if err != nil {
		return nil
	}
	var peers []string
	for _, seed := range process.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			peers = append(peers, net.JoinHostPort(host, port))
		}
	}
	slices.Sort(peers)
	return slices.Compact(peers)
}

// mayBootstrap reports whether this replica may create the deployment's log. With
// seeds, only the first one may: all VMs of a new deployment have the same seeds.
func mayBootstrap(process *settings.Process) bool {
	if len(process.Seeds) == 0 {
		return process.Bootstrap
	}
	return process.Bootstrap && process.Listen.PeerAddress() == seedPeers(process)[0]
}

// voterCount returns the number of replicas that vote, or zero to let the replica
// derive it.
func voterCount(process *settings.Process) int {
	if process.LostReplicas == 0 {
		return 0
	}
	return 2*process.LostReplicas + 1
}

// replicaAddresses returns the peer addresses of the replicas in the settings.
func replicaAddresses(process *settings.Process) []string {
	if len(process.Seeds) > 0 {
		return seedPeers(process)
	}
	return addresses(process.Replicas)
}

// replicaPeers returns the other replicas in the settings.
func replicaPeers(process *settings.Process) []replica.Peer {
	var peers []replica.Peer
	for _, peer := range process.Replicas {
		if peer.VM != process.Name {
			peers = append(peers, replica.Peer(peer))
		}
	}
	for _, address := range seedPeers(process) {
		if address != process.Listen.PeerAddress() {
			peers = append(peers, replica.Peer{Address: address})
		}
	}
	return peers
}

// newPlatformAPI returns a client of the platform that logs list entries which can't be used.
func newPlatformAPI(process *settings.Process, endless *endlessAnswers, buffers *sockbuf.Buffers, logger *log.Logger) *platform.API {
	api := platform.NewAPI(process.Platform, endless.from(sourcePlatform))
	api.SetBuffers(buffers)
	api.OnInvalid(func(peer string, entries int) {
		logger.Warn().Str("step", "discover").Str("peer", peer).Int("entries", entries).
			Msg("the list of backend servers has entries that can't be used")
	})
	return api
}

// configureHostedReplica adds the interfaces to the hosting platform to a
// replica's options.
func configureHostedReplica(process *settings.Process, endless *endlessAnswers, buffers *sockbuf.Buffers, opts *replica.Options) {
	hosted := process.Hosted
	if hosted == nil {
		return
	}
	opts.Platform = ""
	api := newPlatformAPI(process, endless, buffers, opts.Logger)
	opts.Duties = &replica.DutyOptions{
		UsageWindow:    time.Duration(hosted.UsageWindowS * float64(time.Second)),
		LeaseWait:      milliseconds(hosted.DutyLeaseMS),
		SendUsage:      api.SendUsage,
		SendScaleOrder: api.SendScaleOrder,
		Discover:       api.List,
		Decode:         platform.DecodeDocument,
		DecodeChange:   platform.DecodeChange,
	}
}

// configureHostedEntry adds the interfaces to the hosting platform to an entry's
// options.
func configureHostedEntry(process *settings.Process, endless *endlessAnswers, opts *entry.Options) {
	hosted := process.Hosted
	if hosted == nil {
		return
	}
	opts.Platform = ""
	opts.AcceptWhileDraining = time.Duration(acceptFraction * hosted.GraceS * float64(time.Second))
	opts.Routed = &entry.RoutedOptions{
		Decode:            platform.DecodeDocument,
		DecodeChange:      platform.DecodeChange,
		Discover:          newPlatformAPI(process, endless, opts.Buffers, opts.Logger).List,
		Callers:           platform.CallerProtocol{},
		Backends:          platform.BackendProtocol{},
		UsageWindow:       time.Duration(hosted.UsageWindowS * float64(time.Second)),
		ContendedCapacity: hosted.ContendedCapacity,
	}
}

// serveHosted adds the servers for the platform's load balancer and operators.
func serveHosted(p components) {
	hosted := p.Process.Hosted
	if hosted == nil {
		return
	}
	if p.Entry != nil {
		serveHTTP(p, "ready", hosted.Ready, http.HandlerFunc(p.Entry.ServeReady), nil)
	}
	if p.Replica != nil {
		operators := &platform.Operator{Service: p.Operator, Logger: p.Logger}
		serveHTTP(p, "control", hosted.Control, buffered(p, platform.MaxDocumentBytes, operators.Handler()), nil)
	}
}

// drainTimeout returns how long an entry that shuts down waits for requests in
// flight; zero means indefinitely.
func drainTimeout(process *settings.Process) time.Duration {
	if process.Hosted != nil {
		return max(time.Duration(process.Hosted.GraceS*float64(time.Second))-drainMargin, drainMargin)
	}
	return time.Duration(process.DrainS * float64(time.Second))
}

// drainEntry returns the stop hook that drains the entry. It runs before anything
// that the entry depends on is stopped. The process's replica, if any, resigns the
// leadership meanwhile, because the process may be ended before the drain is over.
func drainEntry(p components) func(context.Context) error {
	return func(ctx context.Context) error {
		var resigned sync.WaitGroup
		if p.Replica != nil {
			resigned.Go(func() { p.Replica.PrepareDrain(ctx) })
		}
		p.Entry.Drain(ctx, drainTimeout(p.Process))
		resigned.Wait()
		return nil
	}
}

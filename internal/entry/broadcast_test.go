package entry

import (
	"testing"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"waxwingcart/internal/bootclock"
	"waxwingcart/internal/core/dissemination"
	"waxwingcart/internal/core/placement"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

func newBroadcastEntry(secret string) *Entry {
	e := &Entry{opts: Options{PeerAddress: "127.0.0.1:1", PeerSecret: secret, Client: rpc.NewClient(""), Routed: &RoutedOptions{}}, logger: &log.Logger{Level: log.PanicLevel}, incarnation: 7, clock: bootclock.Now}
	e.policy = newPolicy(e)
	e.policy.placer.SetServers([]placement.Server{
		{Name: "a", Service: "models", Slots: 8, CacheTokens: 100_000},
		{Name: "b", Service: "models", Slots: 8, CacheTokens: 100_000},
	})
	e.broadcaster = newBroadcaster(e)
	e.streams = newStreams(e)
	e.guard = newCrashGuard(e)
	e.rollouts = newRolloutClient(e)
	e.broadcaster.setPeers([]*wire.EntryPeer{{Address: "127.0.0.1:1"}, {Address: "127.0.0.1:2"}})
	return e
}

// An attempt placed by one entry affects placement at another entry.
func TestUpdatesReachPlacement(t *testing.T) {
	sender, receiver := newBroadcastEntry(""), newBroadcastEntry("")
	receiver.incarnation = 8
	job := placement.Job{ID: placement.JobID{Origin: 7, Number: 1}, Server: "a", Work: 90_000, Memory: 500,
		Parts: []placement.Part{{Chain: 11, Tokens: 400}}, UncachedTokens: 500}
	sender.broadcaster.placed(job)
	batches := sender.broadcaster.takePending(0)
	if len(batches) != 1 || len(batches[0].to) != 1 {
		t.Fatalf("got %+v, want one batch for the other entry", batches)
	}
	data, err := proto.Marshal(&wire.NewsBatch{News: batches[0].updates})
	if err != nil {
		t.Fatal(err)
	}
	var received wire.NewsBatch
	if err := proto.Unmarshal(data, &received); err != nil {
		t.Fatal(err)
	}
	receiver.broadcaster.handleBatch(&received)
	request := &placement.Request{Service: "models", Size: placement.RequestSize{PromptTokens: 1_000, OutputTokens: 10}}
	if got, _ := receiver.policy.placer.Pick(0, request); got.Server != "b" {
		t.Errorf("picked %s, which is busy with another entry's attempt", got.Server)
	}
	receiver.broadcaster.applyUpdate(&wire.News{Origin: 7, Started: []uint64{1}, Ended: []*wire.Ended{{Number: 1}}})
	request.Size.Parts = job.Parts
	if got, _ := receiver.policy.placer.Pick(0, request); got.Server != "a" || got.UncachedTokens != 600 {
		t.Errorf("picked %+v, want the server that has the prompt's parts", got)
	}
	if again := sender.broadcaster.takePending(0); len(again) != 0 {
		t.Error("updates were sent twice")
	}
}

// An entry forwards the updates that other entries ask it to forward, and
// ignores its own updates when they come back.
func TestUpdatesAreForwarded(t *testing.T) {
	collector := newBroadcastEntry("")
	collector.broadcaster.setPeers([]*wire.EntryPeer{{Address: "127.0.0.1:2"}, {Address: "127.0.0.1:3"}, {Address: "127.0.0.1:4", Zone: "z"}})
	item := &wire.News{Origin: 9, Results: []*wire.ServerResults{{Server: "a", Unreachable: 5}}}
	collector.broadcaster.handleBatch(&wire.NewsBatch{News: []*wire.News{item}, Scope: uint32(dissemination.ScopeAll)})
	to := map[string]dissemination.Scope{}
	for _, p := range collector.broadcaster.takePending(0) {
		for _, destination := range p.to {
			to[destination.To] = destination.Scope
		}
	}
	if len(to) != 3 || to["127.0.0.1:4"] != dissemination.ScopeZone || to["127.0.0.1:2"] != dissemination.ScopeReceiver {
		t.Errorf("forwarded to %v, want three entries: 127.0.0.1:4 with the scope of its zone, 127.0.0.1:2 with that of the receiver alone", to)
	}
	request := &placement.Request{Service: "models", Size: placement.RequestSize{PromptTokens: 1_000, OutputTokens: 10}}
	if got, _ := collector.policy.placer.Pick(0, request); got.Server != "b" {
		t.Errorf("picked %s, which another entry reported as unreachable", got.Server)
	}
	own := &wire.News{Origin: 7, Results: []*wire.ServerResults{{Server: "b", Unreachable: 50}}}
	collector.broadcaster.handleBatch(&wire.NewsBatch{News: []*wire.News{own}})
	if got, _ := collector.policy.placer.Pick(0, request); got.Server != "b" {
		t.Error("the entry's own updates were applied again")
	}
}

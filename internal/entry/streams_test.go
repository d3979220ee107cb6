package entry

import (
	"context"
	"net"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"waxwingcart/internal/core/dissemination"
	"waxwingcart/internal/core/lineage"
	"waxwingcart/internal/discovery"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

// twoVersions is a list with two versions of one service.
func twoVersions() []discovery.Server {
	return []discovery.Server{{Instance: "a", Service: "models", Software: "v1"}, {Instance: "b", Service: "models", Software: "v2"}}
}

func (s *streams) decideNamed(customer, requestID string) lineage.Decision {
	decision, _ := s.decide(s.entry.now(), streamID(customer, requestID), true, "models")
	return decision
}

// An entry knows the version of a stream that another entry began, and only for this
// stream of this customer.
func TestStreamsReachOtherEntries(t *testing.T) {
	sender, receiver := newBroadcastEntry(""), newBroadcastEntry("")
	receiver.incarnation = 8
	receiver.streams.listed(twoVersions(), receiver.now())
	v1, v2 := lineage.Version{Service: "models", Name: "v1"}, lineage.Version{Service: "models", Name: "v2"}
	for _, stream := range []struct {
		id      string
		version lineage.Version
	}{{"r1", v1}, {"r2", v2}, {"r3", v1}} {
		sender.streams.begun(streamID("heirs", stream.id), stream.version, "i-0", time.Minute)
	}
	batches := sender.broadcaster.takePending(0)
	if len(batches) != 1 || len(batches[0].updates) != 1 || len(batches[0].updates[0].Begun) != 2 {
		t.Fatalf("got %+v, expected one update with two groups of streams", batches)
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
	for id, expected := range map[string]string{"r1": "v1", "r2": "v2", "r3": "v1"} {
		if got := receiver.streams.decideNamed("heirs", id); got.Outcome != lineage.Pinned || got.Version != expected || got.Source != lineage.SourceEntry {
			t.Errorf("%s: got %+v, expected version %s from another entry", id, got, expected)
		}
		if got := sender.streams.decideNamed("heirs", id); got.Version != expected || got.Source != lineage.SourceOwn {
			t.Errorf("%s at its own entry: got %+v, expected version %s", id, got, expected)
		}
		if got := receiver.streams.decideNamed("others", id); got.Outcome != lineage.Unknown {
			t.Errorf("%s of another customer: got %+v, expected it to be unknown", id, got)
		}
	}
	if streamID("a", "bc") == streamID("ab", "c") {
		t.Error("customer and request ID run together")
	}
}

// An entry tells the others once more, and only once, of each stream that has begun there.
func TestStreamsAreToldTwice(t *testing.T) {
	e := newBroadcastEntry("")
	v1 := lineage.Version{Service: "models", Name: "v1"}
	told := func() (ids []uint64) {
		for _, batch := range e.broadcaster.takePending(0) {
			for _, update := range batch.updates {
				for _, group := range update.Begun {
					ids = append(ids, group.Streams...)
				}
			}
		}
		return ids
	}
	e.streams.told([]*wire.Begun{{Service: "models", Version: "v1", Streams: []uint64{9}, LeftMs: []uint32{60_000}}})
	for id := range lineage.StreamID(3 * maxUpdateItems) {
		e.streams.begun(id+100, v1, "i-0", time.Minute)
	}
	if got := told(); len(got) != 3*maxUpdateItems {
		t.Errorf("told of %d streams at first, expected %d", len(got), 3*maxUpdateItems)
	}
	e.streams.repeat()
	if got := told(); len(got) != 3*maxUpdateItems || slices.Contains(got, 9) {
		t.Errorf("repeated %v, expected this entry's %d streams", got, 3*maxUpdateItems)
	}
	e.streams.begun(7, v1, "i-0", time.Minute)
	_ = told()
	e.streams.repeat()
	if got := told(); len(got) != 1 || got[0] != 7 {
		t.Errorf("repeated %v, expected the new stream alone", got)
	}
}

// A collector forwards fields of a later build that it doesn't know.
func TestUnknownFieldsAreForwarded(t *testing.T) {
	update := &wire.News{Origin: 9}
	later := []byte{0xba, 0x06, 2, 'o', 'k'} // Field 103.
	update.ProtoReflect().SetUnknown(later)
	data, err := proto.Marshal(&wire.NewsBatch{News: []*wire.News{update}, Scope: uint32(dissemination.ScopeZone)})
	if err != nil {
		t.Fatal(err)
	}
	var received wire.NewsBatch
	if err := proto.Unmarshal(data, &received); err != nil {
		t.Fatal(err)
	}
	collector := newBroadcastEntry("")
	collector.broadcaster.handleBatch(&received)
	batches := collector.broadcaster.takePending(0)
	if len(batches) != 1 || string(batches[0].updates[0].ProtoReflect().GetUnknown()) != string(later) {
		t.Errorf("got %+v, expected the update with its unknown field", batches)
	}
}

// newListedEntry returns an entry that knows two versions of a service.
func newListedEntry(peers ...string) *Entry {
	e := newBroadcastEntry("")
	e.logger = &log.Logger{Level: log.PanicLevel}
	e.opts.Client = rpc.NewClient("")
	var list []*wire.EntryPeer
	for _, peer := range peers {
		list = append(list, &wire.EntryPeer{Address: peer})
	}
	e.broadcaster.setPeers(list)
	e.streams.listed(twoVersions(), e.now())
	return e
}

// An entry that starts gets the records of another one, also if one of them doesn't
// answer.
func TestStartingEntryCatchesUp(t *testing.T) {
	older := newListedEntry()
	older.streams.begun(streamID("heirs", "r1"), lineage.Version{Service: "models", Name: "v2"}, "i-0", time.Minute)
	server := httptest.NewServer(wire.NewPeerServer(older.PeerService()))
	defer server.Close()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead := closed.Addr().String()
	if err := closed.Close(); err != nil {
		t.Fatal(err)
	}
	started := newListedEntry(dead, strings.TrimPrefix(server.URL, "http://"))
	if got := started.streams.decideNamed("heirs", "r1"); got.Outcome != lineage.Unknown {
		t.Fatalf("before it has asked: got %+v, expected the stream to be unknown", got)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		started.runCatchUp(ctx)
	}()
	for started.streams.decideNamed("heirs", "r1").Outcome == lineage.Unknown {
		runtime.Gosched()
	}
	cancel()
	<-done
	if got := started.streams.decideNamed("heirs", "r1"); got.Version != "v2" || got.Source != lineage.SourceStart {
		t.Errorf("got %+v, expected version v2 from the question at the start", got)
	}
}

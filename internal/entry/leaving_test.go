package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"waxwingcart/internal/backend"
	"waxwingcart/internal/core/placement"
	"waxwingcart/internal/core/routes"
	"waxwingcart/internal/directory"
	"waxwingcart/internal/discovery"
	"waxwingcart/internal/wire"
)

func newLeavingEntry() *Entry {
	e := newBroadcastEntry("")
	e.metrics = newMetrics(prometheus.NewRegistry())
	e.logger = &log.Logger{Level: log.PanicLevel}
	return e
}

// An entry tells the others, once, that a server has said that it leaves. They no
// longer pick it.
func TestLeavingReachesOtherEntries(t *testing.T) {
	sender, receiver := newLeavingEntry(), newLeavingEntry()
	receiver.incarnation = 8
	sender.serverLeaving(backend.Call{Instance: "a", RequestID: "id"})
	sender.serverLeaving(backend.Call{Instance: "a", RequestID: "id-2"})
	batches := sender.broadcaster.takePending(0)
	if len(batches) != 1 || len(batches[0].updates) != 1 || len(batches[0].updates[0].Leaving) != 1 {
		t.Fatalf("got %+v, want one update that names one server", batches)
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
	request := &placement.Request{Service: "models", Exclude: []string{"b"}}
	for name, e := range map[string]*Entry{"sender": sender, "receiver": receiver} {
		if got, ok := e.policy.placer.Pick(0, request); ok {
			t.Errorf("%s: picked %s, which leaves", name, got.Server)
		}
	}
	sender.repeatLeaving()
	receiver.repeatLeaving()
	if again := sender.broadcaster.takePending(0); len(again) != 1 {
		t.Error("the sender did not repeat the server's word")
	}
	if again := receiver.broadcaster.takePending(0); len(again) != 0 {
		t.Error("the receiver announced what it heard from another entry")
	}
}

// A list that still shows a server as ready, or lacks it for a moment, does not undo
// the server's word.
func TestListDoesNotUndoLeaving(t *testing.T) {
	e := newLeavingEntry()
	e.directory = directory.New(maxListAge)
	e.opts.Zone = "z"
	list := []discovery.Server{{Instance: "a", Service: "models", Zone: "z"}, {Instance: "b", Service: "models", Zone: "z"}}
	table := routes.NewIndex(&routes.Table{Services: []routes.Service{{Name: "models"}}})
	apply := func(list []discovery.Server, readAt time.Duration) {
		e.policy.setList(list, 1, readAt)
		e.policy.placer.SetServers(e.directory.PlacementServers(table.Service, "z"))
	}
	picks := func() (picked []string) {
		request := &placement.Request{Service: "models"}
		for decision, ok := e.policy.placer.Pick(0, request); ok; decision, ok = e.policy.placer.Pick(0, request) {
			picked = append(picked, decision.Server)
			request.Exclude = picked
		}
		return picked
	}
	apply(list, 1)
	e.serverLeaving(backend.Call{Instance: "a"})
	apply(list, 2)
	if got := picks(); len(got) != 1 || got[0] != "b" {
		t.Errorf("picked %v after a list that shows a as ready, want b alone", got)
	}
	apply(list[1:], 3)
	apply(list, 4)
	if got := picks(); len(got) != 1 || got[0] != "b" {
		t.Errorf("picked %v after a list that lacked a for a moment, want b alone", got)
	}
	list[0].Instance = "c"
	apply(list, 5)
	if got := picks(); len(got) != 2 {
		t.Errorf("picked %v, want b and the new instance c", got)
	}
}

// leavingProtocol takes the word of each answer with the header Leaving.
type leavingProtocol struct{ backend.Protocol }

func (leavingProtocol) SetHeaders(http.Header, backend.Call) {}

func (leavingProtocol) BelongsTo(_ backend.Call, header http.Header) (string, bool) {
	return "", header.Get("Other-Request") == ""
}

func (leavingProtocol) NotRun(_ int, header http.Header) bool { return header.Get("Not-Run") != "" }

func (leavingProtocol) Limits(_ int, header http.Header) ([]string, bool) {
	return header.Values("Limit"), true
}

func (leavingProtocol) Brittle(http.Header) []string { return nil }

func (leavingProtocol) Load(int, http.Header) (backend.Load, bool) { return backend.Load{}, false }

func (leavingProtocol) Leaving(_ int, header http.Header) bool { return header.Get("Leaving") != "" }

// The word is taken from every kind of answer when its head is read, but not from an
// answer to another request.
func TestLeavingIsTakenFromEveryAnswer(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Leaving", "1")
		switch req.URL.Path {
		case "/error":
			w.WriteHeader(http.StatusInternalServerError)
		case "/refusal":
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/other-request":
			w.Header().Set("Other-Request", "1")
		case "/stream":
			w.Header().Set("Content-Type", "text/event-stream")
			_ = http.NewResponseController(w).Flush()
			<-release
		}
	}))
	defer server.CloseClientConnections()
	for path, want := range map[string]bool{"/answer": true, "/error": true, "/refusal": true, "/stream": true, "/other-request": false} {
		e := newLeavingEntry()
		e.opts.Routed.Backends = leavingProtocol{}
		client := backend.New(e.backendOptions())
		call := backend.Call{Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodGet, Path: path, Instance: "a"}
		upstream, err := client.Forward(context.Background(), call)
		if got := e.policy.placer.IsLeaving("a"); got != want {
			t.Errorf("%s: known as leaving: %t, want %t", path, got, want)
		}
		if err == nil {
			upstream.Close()
		}
		client.Close()
	}
}

package configdelta

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/state"
	"waxwingcart/internal/wire"
)

// text returns a document whose element in the middle depends on the number.
func text(number, count int) []byte {
	var content bytes.Buffer
	fmt.Fprintf(&content, `{"version":%d,"routes":[`, number)
	for i := range count {
		if i > 0 {
			content.WriteByte(',')
		}
		changed := 0
		if i == count/2 {
			changed = number
		}
		fmt.Fprintf(&content, `{"name":"route-%d","host":"h%d.example","changed":%d}`, i, i, changed)
	}
	content.WriteString(`]}`)
	return content.Bytes()
}

// long is a number of elements whose document needs several parts.
const long = 12_000

// fakeReplica answers as a replica that holds the document with a number.
type fakeReplica struct {
	store  *Store
	number int
	count  int
	// before is called with each request and may refuse it.
	before func(*wire.FetchConfigRequest) error
	// after may change a response.
	after func(*wire.FetchConfigResponse)
	parts int
}

func newFakeReplica(t testing.TB, count int, numbers ...int) *fakeReplica {
	r := &fakeReplica{store: NewStore(prometheus.NewRegistry()), count: count}
	for _, number := range numbers {
		if err := r.store.Put(uint64(number), item(number, count)); err != nil {
			t.Fatal(err)
		}
		r.number = number
	}
	return r
}

func item(number, count int) []byte {
	return fmt.Appendf(nil, `{"number":%d,"content":%s}`, number, text(number, count))
}

func (r *fakeReplica) call(_ context.Context, request *wire.FetchConfigRequest) (*wire.FetchConfigResponse, error) {
	if r.before != nil {
		if err := r.before(request); err != nil {
			return nil, err
		}
	}
	response, err := r.answer(request)
	if err == nil && r.after != nil {
		r.after(response)
	}
	return response, err
}

func (r *fakeReplica) answer(request *wire.FetchConfigRequest) (*wire.FetchConfigResponse, error) {
	if len(request.PartDigest) > 0 {
		r.parts++
		return r.store.Part(request)
	}
	response := &wire.FetchConfigResponse{Revision: uint64(r.number), Confirmed: true, Deltas: []*wire.ConfigDelta{{
		Revision: uint64(r.number), Complete: true, Items: []*wire.ConfigItem{{Path: "numbered", Json: item(r.number, r.count)}},
	}}}
	if Wants(request) {
		return response, r.store.Fill(request, response)
	}
	return response, nil
}

// holder follows replicas as an entry does.
type holder struct {
	t      testing.TB
	client *Client
	view   *state.View
}

func newHolder(t testing.TB) *holder {
	logger := &log.Logger{Level: log.ErrorLevel, Writer: log.IOWriter{Writer: io.Discard}}
	return &holder{t: t, client: NewClient(logger, prometheus.NewRegistry()), view: state.NewView()}
}

func (h *holder) held() *state.Numbered {
	held, err := h.view.Numbered()
	if err != nil {
		h.t.Fatal(err)
	}
	return held
}

// fetch asks a replica once.
func (h *holder) fetch(r *fakeReplica) error {
	request := &wire.FetchConfigRequest{HaveRevision: h.view.Revision()}
	h.client.Prepare(request, h.held())
	response, err := r.call(context.Background(), request)
	if err != nil {
		return err
	}
	if err := h.client.Complete(context.Background(), r.call, request, response); err != nil {
		return err
	}
	numbered, err := h.client.Resolve("replica", h.held(), response)
	if err != nil {
		return err
	}
	var deltas []state.Delta
	for _, delta := range response.Deltas {
		d := state.Delta{Revision: delta.Revision, Complete: delta.Complete}
		for _, item := range delta.Items {
			d.Items = append(d.Items, fleet.Item{Path: item.Path, JSON: item.Json})
		}
		deltas = append(deltas, d)
	}
	return h.view.Step(0, state.DeltasReceived{Deltas: deltas, Revision: response.Revision, Numbered: numbered}).Err
}

// mustHold checks the exact text in force.
func (h *holder) mustHold(number, count int) {
	h.t.Helper()
	document, err := h.view.NumberedDocument()
	if err != nil || document.Number != uint64(number) || !bytes.Equal(document.Content, text(number, count)) {
		h.t.Fatalf("got document %d of %d bytes, error %v, want document %d as sent", document.Number, len(document.Content), err, number)
	}
}

func (h *holder) mustFetch(r *fakeReplica) {
	h.t.Helper()
	if err := h.fetch(r); err != nil {
		h.t.Fatal(err)
	}
}

// A document is fetched in parts, and a later one as a delta: without parts.
func TestPartsThenDelta(t *testing.T) {
	r, h := newFakeReplica(t, long, 1), newHolder(t)
	h.mustFetch(r)
	h.mustHold(1, long)
	parts := r.parts
	if want := (len(text(1, long)) + partBytes - 1) / partBytes; parts != want {
		t.Errorf("got %d parts, want %d", parts, want)
	}
	for number := 2; number <= 5; number++ {
		r.number = number
		h.mustFetch(r)
		h.mustHold(number, long)
	}
	if r.parts != parts {
		t.Errorf("got %d parts for changes, want none", r.parts-parts)
	}
}

var errConnection = errors.New("connection lost")

// A transfer whose connection is lost, or whose replica stops leading between two parts, goes on at another
// replica with the same document: no part is sent twice.
func TestTransferContinuesAtAnotherReplica(t *testing.T) {
	first, second, h := newFakeReplica(t, long, 1), newFakeReplica(t, long, 1), newHolder(t)
	first.before = func(*wire.FetchConfigRequest) error {
		if first.parts == 2 {
			return errConnection
		}
		return nil
	}
	if err := h.fetch(first); !errors.Is(err, errConnection) {
		t.Fatalf("got %v, want a lost connection", err)
	}
	h.mustFetch(second)
	h.mustHold(1, long)
	if want := (len(text(1, long)) + partBytes - 1) / partBytes; first.parts+second.parts != want {
		t.Errorf("got %d and %d parts, want %d together", first.parts, second.parts, want)
	}
}

// While a transfer is interrupted the document changes. The transfer goes on at a replica that still holds
// the earlier document, is not taken as confirmed, and the change follows as a delta.
func TestDocumentChangesDuringTransfer(t *testing.T) {
	first, second, h := newFakeReplica(t, long, 1), newFakeReplica(t, long, 1, 2), newHolder(t)
	first.before = func(*wire.FetchConfigRequest) error {
		if first.parts == 2 {
			return errConnection
		}
		return nil
	}
	if err := h.fetch(first); err == nil {
		t.Fatal("the connection was not lost")
	}
	h.mustFetch(second)
	h.mustHold(1, long)
	parts := second.parts
	h.mustFetch(second)
	h.mustHold(2, long)
	if second.parts != parts {
		t.Errorf("got %d parts for the change, want none", second.parts-parts)
	}
}

// A replica that does not hold the document of an interrupted transfer has it begin anew.
func TestTransferOfUnknownDocumentBeginsAnew(t *testing.T) {
	first, second, h := newFakeReplica(t, long, 1), newFakeReplica(t, long, 2), newHolder(t)
	first.before = func(*wire.FetchConfigRequest) error {
		if first.parts == 1 {
			return errConnection
		}
		return nil
	}
	if err := h.fetch(first); err == nil {
		t.Fatal("the connection was not lost")
	}
	if err := h.fetch(second); err == nil {
		t.Fatal("a replica continued a document that it does not hold")
	}
	h.mustFetch(second)
	h.mustHold(2, long)
}

// A delta or a text with a wrong digest is never put in force. The entry then asks for the whole document, and at
// last as the previous version does.
func TestWrongDigest(t *testing.T) {
	r, h := newFakeReplica(t, long, 1), newHolder(t)
	h.mustFetch(r)
	r.number = 2
	r.after = func(response *wire.FetchConfigResponse) {
		if response.Document != nil {
			response.Document.Digest = bytes.Repeat([]byte{7}, len(response.Document.Digest))
		}
	}
	for range 2 {
		if err := h.fetch(r); err == nil {
			t.Fatal("a document with a wrong digest was accepted")
		}
		h.mustHold(1, long)
	}
	h.mustFetch(r)
	h.mustHold(2, long)
	r.number, r.after = 3, nil
	parts := r.parts
	h.mustFetch(r)
	h.mustHold(3, long)
	if r.parts != parts {
		t.Error("deltas are not asked for again after a whole document")
	}
}

// Parts whose text was changed on the way are never put in force.
func TestDamagedPart(t *testing.T) {
	r, h := newFakeReplica(t, long, 1), newHolder(t)
	r.after = func(response *wire.FetchConfigResponse) {
		if document := response.Document; document != nil && document.Offset > 0 {
			document.Part[0] ^= 1
		}
	}
	if err := h.fetch(r); err == nil || !strings.Contains(err.Error(), "digest") {
		t.Errorf("got %v, want a wrong digest", err)
	}
	if h.view.Revision() != 0 {
		t.Error("a damaged document is in force")
	}
}

// A document with a lower number than the one in force is refused, whatever its revision.
func TestLowerNumberIsRefused(t *testing.T) {
	r, h := newFakeReplica(t, 10, 5), newHolder(t)
	h.mustFetch(r)
	low := newFakeReplica(t, 10, 4)
	low.after = func(response *wire.FetchConfigResponse) { response.Revision, response.Deltas[0].Revision = 9, 9 }
	if err := h.fetch(low); err == nil {
		t.Error("document 4 was accepted after document 5")
	}
	h.mustHold(5, 10)
}

// A replica of the previous version ignores the new fields and answers with whole documents; the next new one
// sends deltas from these.
func TestReplicaOfPreviousVersion(t *testing.T) {
	older, newer, h := newFakeReplica(t, long, 1), newFakeReplica(t, long, 1, 2), newHolder(t)
	older.before = func(request *wire.FetchConfigRequest) error {
		request.TakesDocument = false
		return nil
	}
	h.mustFetch(older)
	h.mustHold(1, long)
	h.mustFetch(newer)
	h.mustHold(2, long)
	if newer.parts != 0 {
		t.Errorf("got %d parts, want a delta", newer.parts)
	}
	older.number = 3
	h.mustFetch(older)
	h.mustHold(3, long)
}

// Calls to several replicas at once fetch the document from one at a time, and only once.
func TestOneReplicaAtATime(t *testing.T) {
	client := newHolder(t).client
	var mu sync.Mutex
	active, most, parts := 0, 0, 0
	var group sync.WaitGroup
	for range 8 {
		r := newFakeReplica(t, long, 1)
		group.Go(func() {
			call := func(ctx context.Context, request *wire.FetchConfigRequest) (*wire.FetchConfigResponse, error) {
				mu.Lock()
				active, parts = active+1, parts+1
				most = max(most, active)
				mu.Unlock()
				time.Sleep(time.Millisecond)
				mu.Lock()
				active--
				mu.Unlock()
				return r.call(ctx, request)
			}
			request := &wire.FetchConfigRequest{TakesDocument: true}
			response, err := r.call(context.Background(), request)
			if err != nil {
				t.Error(err)
				return
			}
			if err := client.Complete(context.Background(), call, request, response); err != nil && !errors.Is(err, errSuperseded) {
				t.Error(err)
			}
		})
	}
	group.Wait()
	if want := (len(text(1, long)) + partBytes - 1) / partBytes; most != 1 || parts != want {
		t.Errorf("got up to %d calls at once and %d parts, want 1 and %d", most, parts, want)
	}
}

// A store keeps at most 64 versions, and large ones that share nothing only up to its bound in bytes.
func TestStoreIsBounded(t *testing.T) {
	store := NewStore(prometheus.NewRegistry())
	for number := 1; number <= 3*maxVersions; number++ {
		if err := store.Put(uint64(number), item(number, 100)); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(store.versions); n != maxVersions {
		t.Errorf("got %d versions, want %d", n, maxVersions)
	}
	store = NewStore(prometheus.NewRegistry())
	for number := 1; number <= 8; number++ {
		element := fmt.Sprintf(`"%s%d"`, strings.Repeat("x", 4<<20), number)
		if err := store.Put(uint64(number), fmt.Appendf(nil, `{"number":%d,"content":{"a":[%s]}}`, number, element)); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(store.versions); n < 1 || n*4<<20 > maxVersionBytes {
		t.Errorf("got %d versions of 4 MiB, want at most %d bytes", n, maxVersionBytes)
	}
}

// Processes are asked one after the other, and the next one at once when one has answered or is overdue.
func TestInTurn(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	asked := make(chan string, 3)
	addresses := []string{"answers", "silent", "last"}
	next := func() (string, bool) {
		if len(addresses) == 0 {
			cancel()
			return "", false
		}
		address := addresses[0]
		addresses = addresses[1:]
		return address, true
	}
	answered := make(chan struct{})
	close(answered)
	InTurn(ctx, time.Millisecond, next, func(address string) <-chan struct{} {
		asked <- address
		if address == "silent" {
			return make(chan struct{})
		}
		return answered
	})
	if got := fmt.Sprint(<-asked, <-asked, <-asked); got != "answerssilentlast" {
		t.Errorf("got %s", got)
	}
}

package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"waxwingcart/internal/backend"
	"waxwingcart/internal/core/lineage"
	"waxwingcart/internal/core/quota"
	"waxwingcart/internal/core/request"
	"waxwingcart/internal/core/routes"
	"waxwingcart/internal/discovery"
	"waxwingcart/internal/rpc"
)

// Events of the streams in these tests.
const (
	testEvents = 6
	// testBreakAfter is the number of events after which an engine breaks off.
	testBreakAfter = 3
)

// versionEngine is an engine whose events name its version.
type versionEngine struct {
	version string
	// breaks makes it break off every stream.
	breaks atomic.Bool
	// rejects is the status of whole answers in place of streams, 0 for none.
	rejects atomic.Int64
	// body is the body of whole answers.
	body  []byte
	calls atomic.Int64
}

func (v *versionEngine) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	v.calls.Add(1)
	if status := v.rejects.Load(); status != 0 {
		w.WriteHeader(int(status))
		_, _ = w.Write(v.body)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	first := 0
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for n := first; n < testEvents; n++ {
		if v.breaks.Load() && n == first+testBreakAfter {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, v.version)
		_ = http.NewResponseController(w).Flush()
	}
}

// plainCallers parses the headers that these tests send.
type plainCallers struct{}

func (plainCallers) Parse(req *http.Request) (Call, error) {
	call := Call{RequestID: req.Header.Get("Id"), Key: req.Header.Get("Key"), CallerTimeout: 10 * time.Second, Header: req.Header.Clone(), ResumedID: req.Header.Get("Resumes")}
	if last, err := strconv.ParseInt(req.Header.Get("Last-Event-Id"), 10, 64); err == nil {
		call.Resumes, call.LastEvent = true, last
	}
	for _, id := range strings.Fields(req.Header.Get("Parts")) {
		call.Prompt.Parts = append(call.Prompt.Parts, PromptPart{ID: id, Tokens: 10})
	}
	return call, nil
}

type plainBackends struct{}

func (plainBackends) SetHeaders(http.Header, backend.Call)               {}
func (plainBackends) BelongsTo(backend.Call, http.Header) (string, bool) { return "", true }
func (plainBackends) NotRun(int, http.Header) bool                       { return false }
func (plainBackends) Leaving(_ int, _ http.Header) bool                  { return false }
func (plainBackends) Limits(int, http.Header) ([]string, bool)           { return nil, false }

func (plainBackends) Brittle(http.Header) []string { return nil }

func (plainBackends) Load(int, http.Header) (backend.Load, bool) { return backend.Load{}, false }

// takeUpTable has a public route whose streams may be resumed, and one that charges.
func takeUpTable([]byte) (*routes.Table, error) {
	route := routes.Route{
		Name: "public", Host: "desk.example", PathPrefix: "/public/", Stream: true, Repeatable: true, Public: true,
		Targets: []routes.Target{{Service: "models", Weight: 1}}, MaxAttempts: 4, Timeout: 10 * time.Second, FirstTarget: time.Second,
	}
	charged := route
	charged.Name, charged.PathPrefix, charged.Public = "charged", "/charged/", false
	return &routes.Table{
		Number: 1, Services: []routes.Service{{Name: "models"}}, Routes: []routes.Route{route, charged},
		Customers: []routes.Customer{{Name: "heirs", Keys: []string{"key"}, Rate: 1e-9, Burst: 1e-9}},
	}, nil
}

// newTakeUpEntry returns an entry with a list of the engines.
func newTakeUpEntry(t testing.TB, engines ...*versionEngine) *Entry {
	t.Helper()
	e := newStartingEntry(rpc.NewClient(""))
	e.opts.BodyLimit = 1 << 20
	e.opts.Routed.Decode = takeUpTable
	e.opts.Routed.Callers, e.opts.Routed.Backends = plainCallers{}, plainBackends{}
	e.backends = backend.New(e.backendOptions())
	e.config.apply("leader", documentResponse(1))
	var list []discovery.Server
	for i, engine := range engines {
		server := httptest.NewServer(engine)
		t.Cleanup(server.Close)
		list = append(list, discovery.Server{Instance: fmt.Sprintf("i-%d", i), Service: "models", Zone: "kochi-a", Slots: 8,
			Address: strings.TrimPrefix(server.URL, "http://"), Software: engine.version})
	}
	e.applyList(list, 1, e.now())
	// The customer has no units left.
	e.quota.limiter.Grant(e.now(), e.now(), quota.Grant{Entries: 1})
	return e
}

// call sends a call with headers as name and value in turn.
func (e *Entry) call(path string, header ...string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(http.MethodPost, path, strings.NewReader("prompt"))
	req.Host, req.RequestURI = "desk.example", path
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	func() {
		defer func() {
			if r := recover(); r != nil && r != http.ErrAbortHandler {
				panic(r)
			}
		}()
		e.ServeRouted(w, req)
	}()
	return w
}

// versionsIn returns the number of events of an answer by version.
func versionsIn(w *httptest.ResponseRecorder) map[string]int {
	versions := make(map[string]int)
	for _, line := range strings.Split(w.Body.String(), "\n") {
		if version, ok := strings.CutPrefix(line, "data: "); ok {
			versions[version]++
		}
	}
	return versions
}

// A stream that its engines break off goes on in the same answer at engines of its version
// alone, and a caller's take-up as well. Once the version's engines have left, the take-up
// is refused.
func TestStreamKeepsItsVersion(t *testing.T) {
	engines := []*versionEngine{{version: "v1"}, {version: "v1"}, {version: "v2"}, {version: "v2"}}
	e := newTakeUpEntry(t, engines...)
	for _, engine := range engines {
		engine.breaks.Store(true)
	}
	began := make(map[string]string)
	for n := range 20 {
		id := fmt.Sprintf("s%d", n)
		got := versionsIn(e.call("/public/1", "Id", id))
		if len(got) != 1 {
			t.Fatalf("stream %s holds events of the versions %v, expected one", id, got)
		}
		for version := range got {
			began[id] = version
		}
	}
	for id, version := range began {
		w := e.call("/public/1", "Id", "again-"+id, "Resumes", id, "Last-Event-Id", "2")
		if got := versionsIn(w); len(got) != 1 || got[version] == 0 {
			t.Errorf("stream %s of %s went on with events of %v, status %d", id, version, got, w.Code)
		}
	}
	for i, engine := range engines {
		if engine.version == "v2" {
			e.serverLeaving(backend.Call{Instance: fmt.Sprintf("i-%d", i)})
		}
	}
	for id, version := range began {
		w := e.call("/public/1", "Id", "late-"+id, "Resumes", id, "Last-Event-Id", "2")
		if version == "v2" {
			checkTakeUpRefused(t, w, reasonVersionGone)
		} else if got := versionsIn(w); got["v1"] == 0 {
			t.Errorf("stream %s of v1 did not go on, status %d", id, w.Code)
		}
	}
}

// checkTakeUpRefused checks that a call was refused as not run, with a time and the way to
// begin again.
func checkTakeUpRefused(t *testing.T, w *httptest.ResponseRecorder, reason request.Reason) {
	t.Helper()
	var body errorBody
	if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil {
		t.Fatalf("status %d, body %q: %v", w.Code, w.Body.String(), err)
	}
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" || body.Error.Outcome != "not-run" {
		t.Errorf("got status %d, Retry-After %q, outcome %q; expected 503, a time and not-run", w.Code, w.Header().Get("Retry-After"), body.Error.Outcome)
	}
	if body.Error.Reason != string(reason) || !strings.Contains(body.Error.Message, beginAgain) {
		t.Errorf("got reason %q, message %q; expected %q and how to begin again", body.Error.Reason, body.Error.Message, reason)
	}
}

// A take-up whose version can't be known reaches no engine and is refused before it is
// charged: the customer in this test has no units.
func TestUnknownTakeUpsAreRefused(t *testing.T) {
	engines := []*versionEngine{{version: "v1"}, {version: "v2"}}
	e := newTakeUpEntry(t, engines...)
	v1, v2 := lineage.Version{Service: "models", Name: "v1"}, lineage.Version{Service: "models", Name: "v2"}
	e.streams.begun(streamID("others", "foreign"), v1, "i-0", time.Minute)
	e.streams.begun(streamID("heirs", "twice"), v1, "i-0", time.Minute)
	e.streams.begun(streamID("heirs", "twice"), v2, "i-0", time.Minute)
	e.streams.begun(streamID("heirs", "gone"), lineage.Version{Service: "models", Name: "v3"}, "i-0", time.Minute)
	for named, reason := range map[string]request.Reason{
		"": reasonStreamUnnamed, "never-sent": reasonStreamUnknown, "foreign": reasonStreamUnknown, "twice": reasonStreamAmbiguous, "gone": reasonVersionGone,
	} {
		checkTakeUpRefused(t, e.call("/charged/1", "Key", "key", "Id", "x", "Resumes", named, "Last-Event-Id", "2"), reason)
	}
	for _, engine := range engines {
		if n := engine.calls.Load(); n != 0 {
			t.Errorf("%d refused take-ups reached the engine of %s", n, engine.version)
		}
	}
	if w := e.call("/charged/1", "Key", "key", "Id", "y"); w.Code != http.StatusTooManyRequests {
		t.Errorf("a stream that begins got status %d, expected the customer to have no units", w.Code)
	}
}

// A stream that began at another service goes on at any version of this one, and is bound
// to it from then on.
func TestTakeUpFromAnotherService(t *testing.T) {
	engines := []*versionEngine{{version: "v1"}, {version: "v2"}}
	e := newTakeUpEntry(t, engines...)
	e.streams.begun(streamID("", "moved"), lineage.Version{Service: "former", Name: "v7"}, "i-0", time.Minute)
	first := versionsIn(e.call("/public/1", "Id", "a", "Resumes", "moved", "Last-Event-Id", "1"))
	if len(first) != 1 {
		t.Fatalf("got events of %v, expected one version", first)
	}
	for range 20 {
		again := versionsIn(e.call("/public/1", "Id", "b", "Resumes", "moved", "Last-Event-Id", "3"))
		for version := range again {
			if first[version] == 0 {
				t.Fatalf("the stream went on at %v after %v", again, first)
			}
		}
	}
}

// The dump and the metrics show how many records there are, and the versions.
func TestStreamsInDump(t *testing.T) {
	e := newTakeUpEntry(t, &versionEngine{version: "v2"}, &versionEngine{version: "v1"})
	e.call("/public/1", "Id", "s")
	state := e.State().Streams
	if state.Records != 1 || fmt.Sprint(state.Versions["models"]) != "[v1 v2]" {
		t.Errorf("got %+v, expected one record and two versions", state)
	}
	families, err := e.opts.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == "waxwingcart_entry_stream_records" && family.Metric[0].GetGauge().GetValue() == 1 {
			return
		}
	}
	t.Error("the metric waxwingcart_entry_stream_records is not 1")
}

// A server may start again under its identity with another version, before the list shows
// it. The streams that began there lately are of a version that is not known: none of them
// goes on, here or at another entry. Older ones and those of other servers do.
func TestServerChangesItsVersion(t *testing.T) {
	engines := []*versionEngine{{version: "v1"}, {version: "v1"}, {version: "v2"}}
	e := newTakeUpEntry(t, engines...)
	var offset time.Duration
	clock := e.clock
	e.clock = func() time.Duration { return clock() + offset }
	v1 := lineage.Version{Service: "models", Name: "v1"}
	e.streams.begun(streamID("", "old"), v1, "i-0", time.Minute)
	offset += lineage.RelabelWindow + time.Second
	e.streams.begun(streamID("", "late"), v1, "i-0", time.Minute)
	e.streams.begun(streamID("", "other"), v1, "i-1", time.Minute)
	r := &run{entry: e, routed: &routedCall{}, service: e.config.inForce().services["models"]}
	e.policy.pinBegun(r, "v1", "i-0")
	inUse, _ := e.directory.List()
	list := slices.Clone(inUse)
	list[0].Software = "v2"
	e.applyList(list, 2, e.now())
	checkTakeUpRefused(t, e.call("/public/1", "Id", "a", "Resumes", "late", "Last-Event-Id", "2"), reasonStreamAmbiguous)
	for _, id := range []string{"old", "other"} {
		if got := versionsIn(e.call("/public/1", "Id", "b", "Resumes", id, "Last-Event-Id", "2")); got["v1"] == 0 {
			t.Errorf("stream %s went on with events of %v, expected v1", id, got)
		}
	}
	if decision, ok := e.policy.chooseRouted(r, nil); ok {
		t.Errorf("a stream that goes on in its answer was placed at %s", decision.Server)
	}
	if got := e.policy.noServer(r); got.Reason != reasonVersionChanged {
		t.Errorf("got reason %q, expected %q", got.Reason, reasonVersionChanged)
	}
	snapshot := e.streams.snapshot()
	for _, stream := range snapshot.Streams {
		if stream.Ambiguous != (stream.ID == streamID("", "late")) {
			t.Errorf("stream %x: ambiguous %t", stream.ID, stream.Ambiguous)
		}
	}
}

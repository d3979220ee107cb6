package entry

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"waxwingcart/internal/backend"
	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/request"
	"waxwingcart/internal/core/routes"
	"waxwingcart/internal/directory"
	"waxwingcart/internal/discovery"
	"waxwingcart/internal/traces"
)

// silentEngine is a stand-in of a backend server that says nothing until it is told how to
// go on.
type silentEngine struct {
	name    string
	address string
	// next takes what the engine does with each request.
	next chan func(http.ResponseWriter, *http.Request)
	left chan struct{}
}

// silentPair is an entry with two such engines, and a stream that is silent at both.
type silentPair struct {
	run      *run
	recorder *httptest.ResponseRecorder
	// first and second are the engines in the order in which they got the request.
	first, second *silentEngine
	ended         chan struct{}
}

func newSilentEngine(t *testing.T, name string, arrived chan<- *silentEngine) *silentEngine {
	t.Helper()
	e := &silentEngine{name: name, next: make(chan func(http.ResponseWriter, *http.Request)), left: make(chan struct{}, 1)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		arrived <- e
		for {
			select {
			case <-req.Context().Done():
				e.left <- struct{}{}
				return
			case act := <-e.next:
				if act == nil {
					return
				}
				act(w, req)
			}
		}
	}))
	t.Cleanup(server.Close)
	e.address = strings.TrimPrefix(server.URL, "http://")
	return e
}

// do makes the engine act, and end its answer if last is true.
func (e *silentEngine) do(last bool, act func(http.ResponseWriter)) {
	e.next <- func(w http.ResponseWriter, _ *http.Request) {
		act(w)
		_ = http.NewResponseController(w).Flush()
	}
	if last {
		e.next <- nil
	}
}

// head writes the head of a stream, and events the events from one number to another.
func (e *silentEngine) head(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Signature", e.name)
}

func (e *silentEngine) events(from, to int) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		e.head(w)
		fmt.Fprint(w, eventsText(from, to))
	}
}

func eventsText(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: part-%d\n\n", i, i)
	}
	return b.String()
}

// newSilentPair returns a pair with a stream that has not begun.
func newSilentPair(t *testing.T) *silentPair {
	t.Helper()
	return startSilentPair(t, 0, func(*silentEngine) {})
}

// startSilentPair lets the first engine begin the stream and waits until the second one has
// the request too. The silence before the first event is bounded by the prompt's length.
func startSilentPair(t *testing.T, promptTokens int, begin func(first *silentEngine)) *silentPair {
	t.Helper()
	e := newLeavingEntry()
	e.opts.Routed.Backends = leavingProtocol{}
	e.opts.WriteTimeout = time.Second
	e.backends = backend.New(e.backendOptions())
	t.Cleanup(e.backends.Close)
	e.directory, e.config, e.history = directory.New(maxListAge), &configHolder{entry: e}, traces.NewHistory()
	arrived := make(chan *silentEngine, 2)
	var list []discovery.Server
	for _, name := range []string{"a", "b"} {
		list = append(list, discovery.Server{Instance: name, Service: "models", Address: newSilentEngine(t, name, arrived).address})
	}
	e.policy.setList(list, 1, 1)
	p := &silentPair{recorder: httptest.NewRecorder(), ended: make(chan struct{})}
	p.run = newSilentRun(e, p.recorder)
	p.run.size.PromptTokens = promptTokens
	go func() {
		defer close(p.ended)
		p.run.serve()
	}()
	p.first = <-arrived
	begin(p.first)
	p.second = <-arrived
	return p
}

// newSilentRun returns the run of a resumable stream with two attempts.
func newSilentRun(e *Entry, w http.ResponseWriter) *run {
	sink := &routedSink{w: w, entry: e, id: "id-1"}
	route := &routes.Route{Stream: true, Repeatable: true, MaxAttempts: 2, Timeout: time.Minute}
	policy := routePolicy(route)
	policy.ProgressTimeoutMS = 20
	r := &run{
		entry: e, id: "id-1", customer: &fleet.Customer{}, service: &fleet.Service{Name: "models", Kind: fleet.ServiceModel},
		policy: policy, config: &configuration{}, deadline: e.now() + time.Minute, sink: sink,
		controls: make(chan control, controlQueue), stream: make(chan streamEvent, streamQueue), ended: make(chan struct{}),
		callerCtx: context.Background(), trace: &traces.Trace{ID: "id-1", Arrived: time.Now()},
		message: message{method: http.MethodPost, path: "/", header: http.Header{}},
		routed:  &routedCall{route: route, tokensPerEvent: 1},
	}
	r.spec = request.Spec{ID: r.id, Kind: request.KindModel, Repeatable: true, Continues: true, Deadline: r.deadline, MaxAttempts: 2}
	r.routed.guarded = r.guarded()
	r.req = request.New(r.spec, r)
	sink.run = r
	return r
}

// check waits for the end and compares the caller's answer.
func (p *silentPair) check(t *testing.T, signature, body string) {
	t.Helper()
	p.checkStatus(t, http.StatusOK, signature, body)
}

func (p *silentPair) checkStatus(t *testing.T, status int, signature, body string) {
	t.Helper()
	<-p.ended
	if got := p.recorder.Header().Get("Signature"); p.recorder.Code != status || got != signature || p.recorder.Body.String() != body {
		t.Errorf("got status %d, signature %q, body %q, want status %d, signature %q and body %q", p.recorder.Code, got, p.recorder.Body, status, signature, body)
	}
	if n := len(p.run.attempts); n != 0 {
		t.Errorf("%d attempts are still open", n)
	}
}

// The answer of a stream whose replacement goes on first is the replacement's: its head and
// the numbers of its events. The silent attempt is cancelled at its server.
func TestReplacementGivesHead(t *testing.T) {
	p := newSilentPair(t)
	p.first.do(false, p.first.head)
	p.second.do(true, p.second.events(7, 9))
	<-p.first.left
	p.check(t, p.second.name, eventsText(7, 9))
}

// The answer of a stream that goes on before its replacement is the first server's, though
// the head of the replacement's answer has arrived. The replacement is cancelled.
func TestStreamThatGoesOnKeepsItsHead(t *testing.T) {
	p := newSilentPair(t)
	p.second.do(false, p.second.head)
	p.first.do(true, p.first.events(7, 9))
	<-p.second.left
	p.check(t, p.first.name, eventsText(7, 9))
}

// A replacement that fails, with an error answer of its own or in the middle of its head,
// does not end the silent stream or leave a trace in its answer.
func TestFailedReplacementLeavesNoTrace(t *testing.T) {
	fail := map[string]func(p *silentPair){
		"error answer": func(p *silentPair) {
			p.second.do(true, func(w http.ResponseWriter) {
				w.Header().Set("Signature", p.second.name)
				http.Error(w, "failed", http.StatusInternalServerError)
			})
		},
		"refusal": func(p *silentPair) {
			p.second.do(true, func(w http.ResponseWriter) {
				w.Header().Set("Not-Run", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			})
		},
		"broken stream": func(p *silentPair) {
			p.second.next <- func(w http.ResponseWriter, _ *http.Request) {
				p.second.head(w)
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
		},
	}
	for name, end := range fail {
		t.Run(name, func(t *testing.T) {
			p := newSilentPair(t)
			end(p)
			p.first.do(true, p.first.events(0, 4))
			p.check(t, p.first.name, eventsText(0, 4))
		})
	}
}

// A server's own error answer reaches the caller whole, though a later attempt has sent the
// head of a stream before it broke off.
func TestErrorAnswerKeepsItsHead(t *testing.T) {
	p := newSilentPair(t)
	p.first.do(true, func(w http.ResponseWriter) {
		w.Header().Set("Signature", p.first.name)
		http.Error(w, "failed", http.StatusInternalServerError)
	})
	p.second.do(false, p.second.head)
	p.second.next <- func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	p.checkStatus(t, http.StatusInternalServerError, p.first.name, "failed\n")
}

// A stream that has begun does not stay at two servers: the silent one is left, though its
// replacement has said nothing yet.
func TestBegunStreamIsNotAtTwoServers(t *testing.T) {
	const minuteOfPrompt = 60 * minPrefillRate
	p := startSilentPair(t, minuteOfPrompt, func(first *silentEngine) { first.do(false, first.events(0, 4)) })
	<-p.first.left
	p.second.do(true, p.second.events(5, 9))
	p.check(t, p.first.name, eventsText(0, 9))
}

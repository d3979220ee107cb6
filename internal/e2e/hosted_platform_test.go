package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// hostedPlatform is a stand-in of the hosting platform. It serves the list of
// backend servers and receives usage reports and scaling orders.
type hostedPlatform struct {
	address string

	// silent makes the list answer nothing.
	silent atomic.Bool

	mu      sync.Mutex
	engines []*hostedEngine
	// usage holds the reported counts by window, holders the last fencing number
	// by duty holder.
	usage   map[uint64]map[string]uint64
	holders map[string]string
	orders  []string
	// violations lists breaches of the rules for reports and orders.
	violations []string
}

func newHostedPlatform(t testing.TB) *hostedPlatform {
	p := &hostedPlatform{usage: make(map[uint64]map[string]uint64), holders: make(map[string]string)}
	router := http.NewServeMux()
	router.HandleFunc("GET /instances", p.listInstances)
	router.HandleFunc("POST /usage", p.recordUsage)
	router.HandleFunc("POST /scale", p.recordOrder)
	p.address = serveLoopback(t, "127.0.0.1:0", router)
	return p
}

// serveLoopback serves a handler until the test ends and returns its address.
func serveLoopback(t testing.TB, address string, handler http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return serveAt(t, listener, handler)
}

// serveAt serves a handler at a listener until the test ends and returns its address.
func serveAt(t testing.TB, listener net.Listener, handler http.Handler) string {
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// deepEntry is an entry of the list that nests more levels than encoding/json reads.
var deepEntry = strings.Repeat("[", 12_000) + strings.Repeat("]", 12_000)

// listInstances serves pages of two instances, each page after two invalid instances.
func (p *hostedPlatform) listInstances(w http.ResponseWriter, req *http.Request) {
	if p.silent.Load() {
		<-req.Context().Done()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	from, _ := strconv.Atoi(req.URL.Query().Get("page_token"))
	instances := []any{map[string]any{"id": 7, "state": []int{1}}}
	next := any(nil)
	for i := from; i < len(p.engines); i++ {
		if i == from+2 {
			next = strconv.Itoa(i)
			break
		}
		e := p.engines[i]
		state := "ready"
		if e.draining.Load() {
			state = "draining"
		}
		instance := map[string]any{
			"id": e.id, "service": e.service, "addr": e.address, "zone": "kochi-a", "state": state, "slots": 8,
		}
		e.versioned.describe(instance)
		instances = append(instances, instance)
	}
	data, _ := json.Marshal(map[string]any{"instances": instances, "next_token": next})
	_, _ = w.Write(bytes.Replace(data, []byte(`"instances":[`), []byte(`"instances":[`+deepEntry+`,`), 1))
}

// listed returns the IDs of the engines in the list.
func (p *hostedPlatform) listed() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for _, e := range p.engines {
		ids = append(ids, e.id)
	}
	return ids
}

// checkHolder records a violation if two holders use the same fencing number.
func (p *hostedPlatform) checkHolder(req *http.Request) {
	holder, fence := req.Header.Get("Waxwingcart-Holder"), req.Header.Get("Waxwingcart-Fence")
	for other, number := range p.holders {
		if other != holder && number == fence {
			p.violations = append(p.violations, fmt.Sprintf("%s and %s use the same fencing number %s", holder, other, fence))
		}
	}
	p.holders[holder] = fence
}

func (p *hostedPlatform) recordUsage(_ http.ResponseWriter, req *http.Request) {
	var body struct {
		Window uint64            `json:"window_id"`
		Counts map[string]uint64 `json:"counts"`
	}
	_ = json.NewDecoder(req.Body).Decode(&body)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checkHolder(req)
	if known, ok := p.usage[body.Window]; ok && fmt.Sprint(known) != fmt.Sprint(body.Counts) {
		p.violations = append(p.violations, fmt.Sprintf("window %d: %v after %v", body.Window, body.Counts, known))
	}
	p.usage[body.Window] = body.Counts
}

func (p *hostedPlatform) recordOrder(_ http.ResponseWriter, req *http.Request) {
	body, _ := io.ReadAll(req.Body)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checkHolder(req)
	p.orders = append(p.orders, string(body))
}

// reportedUsage returns the total of the counts reported for a customer.
func (p *hostedPlatform) reportedUsage(customer string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := uint64(0)
	for _, counts := range p.usage {
		total += counts[customer]
	}
	return total
}

// hostedEngine is a stand-in of a backend server that speaks the platform's
// protocol. GET requests and requests with the body "call" get a plain answer;
// others get a stream.
type hostedEngine struct {
	id, service, address string
	draining             guardedBool
	// versioned is set if the list names the engine's software version.
	versioned *versionedEngine
	// unframed, if set, gives answers with neither a length nor chunks.
	unframed atomic.Pointer[unframedAnswer]
	// raw, if set, gives the bytes of its answers.
	raw atomic.Pointer[rawAnswer]
	// early, if set, is given before the request's body is read.
	early atomic.Pointer[rawAnswer]
	// brittle, if set, bounds the requests that it holds.
	brittle *brittle
	// slots, if set, is the room for the streams that it runs at once. Others wait.
	slots chan struct{}
	// callTime is the time that a plain answer takes, in milliseconds.
	callTime guardedInt
	// limiter, if set, names a limit of requests in answers.
	limiter *limiter
	// crasher, if set, ends the engine under some prompts.
	crasher *crasher
	// successor serves the requests after a restart.
	successor atomic.Pointer[hostedEngine]
	// troubled makes it run requests in drawn ways that fail or take long.
	troubled guardedBool
	// refuse makes it answer that it did not run a request.
	refuse guardedBool
	// fail makes it run requests and answer them with status 500.
	fail guardedBool
	// stall makes it leave requests unanswered until the caller disconnects.
	stall guardedBool
	// pause makes it refuse requests and ask for a pause of that many seconds.
	pause guardedInt
	// endless names the answer without end that it gives to each request, or is "".
	endless atomic.Pointer[string]
	// inPart names the answer that it begins and doesn't complete, or is "".
	inPart atomic.Pointer[string]
	// leaving makes all its answers say that it leaves.
	leaving guardedBool
	// cutAfter aborts a stream after that many events; negative means never.
	cutAfter guardedInt
	// eventInterval is the time between two events, in milliseconds.
	eventInterval guardedInt
	// silentBefore makes it fall silent once in each stream, before that event, for
	// silenceMS milliseconds or until goOn; negative means never.
	silentBefore, silenceMS guardedInt
	// awake is closed by goOn.
	awake chan struct{}

	mu sync.Mutex
	// silent holds the IDs of the requests in whose streams it has fallen silent.
	silent map[string]bool
	// runs counts the runs by request ID, headers holds the requests' headers.
	runs    map[string]int
	headers map[string]http.Header
	// arrivals counts the requests, including those that it refuses.
	arrivals int
	// disconnects counts the streams whose caller disconnected.
	disconnects int
}

// guardedBool and guardedInt are values that a test sets while servers read them.
type guardedBool struct {
	mu sync.Mutex
	on bool
}

func (b *guardedBool) Set(on bool) { b.mu.Lock(); b.on = on; b.mu.Unlock() }
func (b *guardedBool) Load() bool  { b.mu.Lock(); defer b.mu.Unlock(); return b.on }

type guardedInt struct {
	mu sync.Mutex
	n  int
}

func (v *guardedInt) Set(n int) { v.mu.Lock(); v.n = n; v.mu.Unlock() }
func (v *guardedInt) Load() int { v.mu.Lock(); defer v.mu.Unlock(); return v.n }

const streamEvents = 20

func (p *hostedPlatform) addEngine(t testing.TB, id, service string) *hostedEngine {
	t.Helper()
	e := newHostedEngine(id, service)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.addAt(t, e, listener)
	return e
}

// addAt adds an engine that serves at a listener.
func (p *hostedPlatform) addAt(t testing.TB, e *hostedEngine, listener net.Listener) {
	e.address = serveAt(t, listener, e)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines = append(p.engines, e)
}

// addUnreachable adds an instance to the list at whose address nothing listens.
func (p *hostedPlatform) addUnreachable(id, service string) {
	e := newHostedEngine(id, service)
	e.address = "127.0.0.1:1"
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines = append(p.engines, e)
}

func newHostedEngine(id, service string) *hostedEngine {
	e := &hostedEngine{
		id: id, service: service, awake: make(chan struct{}),
		runs: make(map[string]int), headers: make(map[string]http.Header), silent: make(map[string]bool),
	}
	e.cutAfter.Set(-1)
	e.silentBefore.Set(-1)
	return e
}

// restart replaces an engine in the list by another instance at the same address.
func (p *hostedPlatform) restart(old *hostedEngine, id string) *hostedEngine {
	e := newHostedEngine(id, old.service)
	e.address = old.address
	old.successor.Store(e)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines[slices.Index(p.engines, old)] = e
	return e
}

// ServeHTTP runs a request, or refuses it if it is meant for another instance or
// refuse is set.
func (e *hostedEngine) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if successor := e.successor.Load(); successor != nil {
		successor.ServeHTTP(w, req)
		return
	}
	id := req.Header.Get("Waxwingcart-Request-Id")
	w.Header().Set("Waxwingcart-Request-Id", id)
	e.mu.Lock()
	e.arrivals++
	e.mu.Unlock()
	if e.limiter != nil {
		e.limiter.name(w)
	}
	if e.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	if req.Header.Get("Waxwingcart-Expect-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.brittle != nil {
		if !e.brittle.admit(w, req) {
			return
		}
		defer e.brittle.release()
	}
	if e.stall.Load() {
		<-req.Context().Done()
		return
	}
	if pause := e.pause.Load(); pause > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(pause))
		w.Header().Set("Waxwingcart-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if e.refuse.Load() {
		w.Header().Set("Waxwingcart-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if early := e.early.Load(); early != nil {
		early.answer(w, req)
		return
	}
	body, _ := io.ReadAll(req.Body)
	e.mu.Lock()
	e.runs[id]++
	e.headers[id] = req.Header.Clone()
	e.mu.Unlock()
	if name := e.endless.Load(); name != nil {
		e.answerEndless(w, id, *name)
		return
	}
	if e.troubled.Load() && e.runTroubled(w, req, id) {
		return
	}
	if name := e.inPart.Load(); name != nil {
		e.answerInPart(w, *name)
		return
	}
	if raw := e.raw.Load(); raw != nil {
		raw.answer(w, req)
		return
	}
	if unframed := e.unframed.Load(); unframed != nil && unframed.answer(w, req, e.id) {
		return
	}
	w.Header().Set("Waxwingcart-Stamp", "stamp-"+e.id)
	w.Header().Set("Waxwingcart-Load", "1,0,8")
	if e.fail.Load() {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	if e.crasher != nil && e.crasher.strikesMark(req, string(body)) {
		return
	}
	if req.Method == http.MethodGet || string(body) == "call" {
		time.Sleep(time.Duration(e.callTime.Load()) * time.Millisecond)
		fmt.Fprintf(w, "%s %s %s", req.Method, req.RequestURI, body)
		return
	}
	if e.crasher != nil && e.crasher.strikes(w, req) {
		return
	}
	if e.versioned != nil {
		e.versioned.stream(w, req)
		return
	}
	e.stream(w, req)
}

func (e *hostedEngine) stream(w http.ResponseWriter, req *http.Request) {
	if e.slots != nil {
		select {
		case e.slots <- struct{}{}:
			defer func() { <-e.slots }()
		case <-req.Context().Done():
			return
		}
	}
	w.Header().Set("Content-Type", "text/event-stream")
	first := 0
	if last := req.Header.Get("Last-Event-Id"); last != "" {
		n, _ := strconv.Atoi(last)
		first = n + 1
	}
	for i := first; i < streamEvents; i++ {
		if cut := e.cutAfter.Load(); cut >= 0 && i-first == cut {
			panic(http.ErrAbortHandler)
		}
		if i == e.silentBefore.Load() {
			e.fallSilent(req)
		}
		fmt.Fprintf(w, "id: %d\ndata: part-%d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-req.Context().Done():
			e.mu.Lock()
			e.disconnects++
			e.mu.Unlock()
			return
		case <-time.After(time.Duration(e.eventInterval.Load()) * time.Millisecond):
		}
	}
}

// fallSilent waits, once in each stream, until the silence is over or the caller
// disconnects.
func (e *hostedEngine) fallSilent(req *http.Request) {
	id := req.Header.Get("Waxwingcart-Request-Id")
	e.mu.Lock()
	again := e.silent[id]
	e.silent[id] = true
	e.mu.Unlock()
	if again {
		return
	}
	select {
	case <-e.awake:
	case <-req.Context().Done():
	case <-time.After(time.Duration(e.silenceMS.Load()) * time.Millisecond):
	}
}

// goOn ends the silence of all streams.
func (e *hostedEngine) goOn() { close(e.awake) }

// hasFallenSilent reports whether it has fallen silent in the stream of a request.
func (e *hostedEngine) hasFallenSilent(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.silent[id]
}

// count returns the number of runs and of streams whose caller disconnected.
func (e *hostedEngine) count() (runs, disconnects int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, n := range e.runs {
		runs += n
	}
	return runs, e.disconnects
}

// header returns the header of the request with an ID, nil if it did not run here.
func (e *hostedEngine) header(id string) http.Header {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.headers[id]
}

// arrived returns the number of requests, including those that were refused.
func (e *hostedEngine) arrived() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrivals
}

package load_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"waxwingcart/internal/backend"
	"waxwingcart/internal/load"
	"waxwingcart/internal/standin"
)

// fakeEntry is a minimal entry with an injected fault that the load package must
// detect.
type fakeEntry struct {
	client     *backend.Client
	model, app string
	fault      string

	mu       sync.Mutex
	requests int
	answers  map[string][]byte // by idempotency key
}

func startStandin(t *testing.T, kind, vendor string) string {
	t.Helper()
	opts := standin.DefaultOptions(kind, vendor)
	opts.TokensPerSecond = 2000
	opts.Slots = 64
	opts.PrefillTokensPerSecond = 1e6
	return serve(t, opts)
}

func serve(t *testing.T, opts standin.Options) string {
	t.Helper()
	s, err := standin.New(opts)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// startEntry starts a fakeEntry with a model and an app stand-in as its backends.
func startEntry(t *testing.T, fault string) (string, *fakeEntry) {
	t.Helper()
	e := &fakeEntry{
		client:  backend.New(backend.Options{ProgressTimeout: time.Minute}),
		model:   startStandin(t, "model", "alpha"),
		app:     startStandin(t, "app", "gamma"),
		fault:   fault,
		answers: make(map[string][]byte),
	}
	t.Cleanup(e.client.Close)
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), e
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.requests++
	number := e.requests
	e.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	id := "r-" + strconv.Itoa(number)
	path, app := strings.CutPrefix(r.URL.Path, "/services/claims")
	switch {
	case e.fault == "refusal without details":
		w.WriteHeader(http.StatusServiceUnavailable)
	case e.fault == "refuse" && number%2 == 0:
		refuse(w, id)
	case app:
		e.serveApp(w, r, path, body, id)
	default:
		e.serveStream(w, r, body, id)
	}
}

func refuse(w http.ResponseWriter, id string) {
	w.Header().Set("Waxwingcart-Outcome", "not-run")
	w.Header().Set("Retry-After", "0")
	w.WriteHeader(http.StatusTooManyRequests)
	fmt.Fprintf(w, `{"error":{"reason":"overload","step":"admission","request_id":"%s"}}`, id)
}

func (e *fakeEntry) serveApp(w http.ResponseWriter, r *http.Request, path string, body []byte, id string) {
	key := r.Header.Get("Idempotency-Key")
	e.mu.Lock()
	defer e.mu.Unlock()
	answer, known := e.answers[key]
	if key == "" || !known {
		answer = e.callApp(r, path, body, id)
		e.answers[key] = answer
	}
	switch {
	case key != "" && e.fault == "double":
		e.callApp(r, path, body, id)
	case key != "" && e.fault == "false not-run":
		refuse(w, id)
		return
	case key != "" && e.fault == "unknown, then refused":
		if known {
			refuse(w, id)
			return
		}
		w.Header().Set("Waxwingcart-Outcome", "unknown")
		w.WriteHeader(http.StatusBadGateway)
		return
	case key != "" && e.fault == "other answer" && known:
		answer = bytes.Replace(answer, []byte(`"id":"`), []byte(`"id":"other-`), 1)
	}
	w.WriteHeader(http.StatusCreated)
	_, _ = w.Write(answer)
}

// callApp sends the request to the application once. With the fault "never ran", it
// makes up the response to a booking instead.
func (e *fakeEntry) callApp(r *http.Request, path string, body []byte, id string) []byte {
	if e.fault == "never ran" && r.Method == http.MethodPost {
		return fmt.Appendf(nil, `{"id":"x","digest":"%s"}`, standin.BodyDigest(body))
	}
	response, err := e.client.Do(r.Context(), backend.Call{
		Step: "dispatch", Address: e.app, Method: r.Method, Path: path, Body: body, RequestID: id,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	return answer
}

func (e *fakeEntry) serveStream(w http.ResponseWriter, r *http.Request, body []byte, id string) {
	call := backend.Call{
		Step: "dispatch", Address: e.model, Method: http.MethodPost, Path: r.URL.Path,
		Body: body, Repeatable: true, RequestID: id,
	}
	var s *backend.Stream
	var err error
	last := r.Header.Get("Last-Event-ID")
	if stream, offset, found := strings.Cut(last, "|"); found {
		after, _ := strconv.ParseInt(offset, 10, 64)
		s, err = e.client.Resume(r.Context(), call, stream, after+1)
	} else {
		s, err = e.client.Stream(r.Context(), call)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer s.Close()
	for sent := 0; ; sent++ {
		event, err := s.Next()
		data := string(event.Data)
		switch {
		case errors.Is(err, io.EOF), e.fault == "short" && sent == 3:
			fmt.Fprint(w, "data: [DONE]\n\n")
			return
		case err != nil, e.fault == "cut" && last == "" && sent == 3:
			panic(http.ErrAbortHandler)
		case e.fault == "error event" && last == "" && sent == 3:
			fmt.Fprint(w, "event: error\ndata: {\"error\":{\"reason\":\"entry leaving\"}}\n\n")
			return
		case e.fault == "token" && sent == 2:
			data = strings.Replace(data, "-2 ", "-9 ", 1)
		}
		fmt.Fprintf(w, "id: %s|%d\ndata: %s\n\n", s.ID, event.Offset, data)
		_ = http.NewResponseController(w).Flush()
	}
}

// runLoad sends a short load to an entry with the fault.
func runLoad(t *testing.T, fault string, change func(*load.Options)) (*load.Result, *fakeEntry) {
	t.Helper()
	address, e := startEntry(t, fault)
	opts := load.DefaultOptions(address)
	opts.Standins = []string{e.model, e.app}
	opts.Customers = map[string]string{"ledgerworks": "k1", "carpatia": "k2"}
	opts.Rate, opts.Requests, opts.Timeout = 300, 80, 5*time.Minute
	opts.Duplicates = 0.5
	opts.BriefingTokens = 12
	opts.PriceHour = 3.6
	if change != nil {
		change(&opts)
	}
	result, err := load.Measure(context.Background(), opts)
	if err != nil {
		t.Fatal(err)
	}
	return result, e
}

func TestCleanRun(t *testing.T) {
	r, _ := runLoad(t, "", nil)
	if r.All.Full != r.Offered || r.Offered < 80 || r.Faults() != 0 || r.All.Broken != 0 {
		t.Errorf("got %+v, want at least 80 requests, all with a full answer, and no faults", r)
	}
	if r.Tokens.Recomputed != 0 || r.Tokens.Delivered == 0 || r.Tokens.PrefillRepeated != 0 {
		t.Errorf("got tokens %+v, want some delivered and none recomputed or prefilled again", r.Tokens)
	}
	if r.Customers["ledgerworks"].Sent+r.Customers["carpatia"].Sent != r.Offered || len(r.Classes) != 4 {
		t.Errorf("got customers %+v, want each request counted for one of the two, and 4 classes", r.Customers)
	}
	if want := 3.6 / 3600 * r.DurationSeconds; r.Price < want*0.999 || r.Price > want*1.001 {
		t.Errorf("price %g, want %g", r.Price, want)
	}
}

// A broken stream is resumed where it stopped, so that no token is computed twice.
func TestBrokenStreamsAreResumed(t *testing.T) {
	for _, fault := range []string{"cut", "error event"} {
		r, _ := runLoad(t, fault, nil)
		streams := r.Classes[load.ClassBriefing].Sent + r.Classes[load.ClassAnswer].Sent
		if r.All.Full != r.Offered || r.Resumes != streams || r.Tokens.Recomputed != 0 || r.Faults() != 0 {
			t.Errorf("%s: got %d full answers of %d and %d resumes, want all and %d; tokens %+v, want none recomputed", fault, r.All.Full, r.Offered, r.Resumes, streams, r.Tokens)
		}
	}
}

func TestFaultsAreDetected(t *testing.T) {
	tests := map[string]func(*load.Result) int{
		"token":                   func(r *load.Result) int { return r.WrongBy["token"] },
		"short":                   func(r *load.Result) int { return r.WrongBy["short"] },
		"other answer":            func(r *load.Result) int { return r.WrongBy["other answer under one key"] },
		"double":                  func(r *load.Result) int { return r.Doubled },
		"false not-run":           func(r *load.Result) int { return r.FalseNotRuns },
		"refusal without details": func(r *load.Result) int { return min(r.Unstated, r.NoRetryAfter) },
		"never ran":               func(r *load.Result) int { return r.Missing },
	}
	for fault, count := range tests {
		t.Run(fault, func(t *testing.T) {
			r, _ := runLoad(t, fault, nil)
			if count(r) == 0 || fault != "refusal without details" && r.Faults() < count(r) {
				t.Errorf("the result does not count the fault: %+v", r)
			}
		})
	}
}

func TestRefusals(t *testing.T) {
	r, _ := runLoad(t, "refuse", nil)
	if len(r.Refusals) != 1 || r.Refusals[0].Reason != "overload" || r.Refusals[0].Outcome != "not-run" {
		t.Fatalf("got refusals %+v, want only reason overload with outcome not-run", r.Refusals)
	}
	if r.All.Refused != r.Refusals[0].Count || r.All.Refused+r.All.Full != r.Offered || r.Faults() != 0 {
		t.Errorf("got %+v, want each request refused or fully answered, and no faults", r.All)
	}
	again, _ := runLoad(t, "refuse", func(o *load.Options) { o.Retries = 100 })
	if again.All.Full != again.Offered || again.Retries == 0 || again.Faults() != 0 {
		t.Errorf("with retries: got %+v, want a full answer to each request, some after a retry, and no faults", again.All)
	}
}

// If one of two requests with the same idempotency key has an unknown outcome and the
// other one is refused as not run, a run of the booking is no fault: it belongs to the
// first.
func TestRunOfUnknownAttemptIsNoFault(t *testing.T) {
	r, _ := runLoad(t, "unknown, then refused", func(o *load.Options) { o.Duplicates = 1 })
	bookings := r.Classes[load.ClassBooking].Sent
	if bookings == 0 || r.Classes[load.ClassBooking].Refused != bookings || r.Faults() != 0 || r.Retries != 0 {
		t.Errorf("got %+v, want all bookings refused without retries, and no faults", r)
	}
}

// An unreachable entry is skipped, and requests above MaxInFlight are counted as not
// sent.
func TestUnreachableEntryAndInFlightLimit(t *testing.T) {
	unreachable := httptest.NewServer(http.NotFoundHandler())
	address := unreachable.Listener.Addr().String()
	unreachable.Close()
	r, _ := runLoad(t, "", func(o *load.Options) { o.Entries = append(o.Entries, address) })
	if r.All.Full != r.Offered || r.DialErrors == 0 {
		t.Errorf("got %+v, want all requests fully answered in spite of failed connections", r.All)
	}
	r, _ = runLoad(t, "", func(o *load.Options) { o.Rate, o.MaxInFlight = 1e6, 1 })
	if r.NotSent == 0 || r.NotSent+r.All.Sent != r.Offered {
		t.Errorf("%d not sent and %d sent of %d offered, want some not sent and the sum to match", r.NotSent, r.All.Sent, r.Offered)
	}
}

func TestAbandonedStreams(t *testing.T) {
	r, _ := runLoad(t, "", func(o *load.Options) { o.Abandon = 1 })
	streams := r.Classes[load.ClassBriefing].Sent + r.Classes[load.ClassAnswer].Sent
	if r.All.Abandoned != streams || r.All.Full+streams != r.Offered || r.Faults() != 0 {
		t.Errorf("%d streams, got %+v, want all streams abandoned, all other requests answered, and no faults", streams, r.All)
	}
}

func TestRunFailsOnFaults(t *testing.T) {
	address, e := startEntry(t, "token")
	opts := load.DefaultOptions(address)
	opts.Requests, opts.Rate, opts.Standins = 20, 300, []string{e.model, e.app}
	var out bytes.Buffer
	err := load.Run(context.Background(), opts, &out)
	if !errors.Is(err, load.ErrFaults) || !strings.Contains(out.String(), "wrong by") {
		t.Errorf("got %v, want ErrFaults and a reason that begins with \"wrong by\" in the output:\n%s", err, out.String())
	}
}

func TestValidateRejectsInvalidOptions(t *testing.T) {
	tests := map[string]func(*load.Options){
		"entry":            func(o *load.Options) { o.Entries = nil },
		"address \"host\"": func(o *load.Options) { o.Entries = []string{"host"} },
		"rate":             func(o *load.Options) { o.Rate = 0 },
		"duration":         func(o *load.Options) { o.Duration = -1 },
		"requests":         func(o *load.Options) { o.Requests = 0 },
		"max-in-flight":    func(o *load.Options) { o.MaxInFlight = 1 << 30 },
		"mix: class":       func(o *load.Options) { o.Mix = map[string]float64{"other": 1} },
		"mix: expected":    func(o *load.Options) { o.Mix = map[string]float64{} },
		"share":            func(o *load.Options) { o.Shares = map[string]float64{"nobody": 1} },
		"abandon":          func(o *load.Options) { o.Abandon = -1 },
		"duplicates":       func(o *load.Options) { o.Duplicates = 2 },
		"prompt-bytes":     func(o *load.Options) { o.PrefixBytes = o.PromptBytes + 1 },
		"app":              func(o *load.Options) { o.App = "../x" },
	}
	for want, change := range tests {
		opts := load.DefaultOptions("127.0.0.1:1")
		change(&opts)
		if err := opts.Validate(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("got error %[2]v, want one that begins with %[1]s", want, err)
		}
	}
}

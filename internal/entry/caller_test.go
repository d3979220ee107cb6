package entry

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/request"
	"waxwingcart/internal/standin"
)

func TestRepeatable(t *testing.T) {
	service := &fleet.Service{Repeatable: []string{"POST /searches", "PUT /drafts/"}}
	tests := []struct {
		method, path string
		want         bool
	}{
		{"GET", "/bookings", true}, {"HEAD", "/bookings", true},
		{"POST", "/searches", true}, {"POST", "/searches?q=1", true},
		{"POST", "/bookings", false}, {"PUT", "/searches", false},
		{"PUT", "/drafts/7", true}, {"PUT", "/drafts", false},
		{"DELETE", "/drafts/7", false}, {"get", "/bookings", false},
	}
	for _, test := range tests {
		if got := repeatable(service, test.method, test.path); got != test.want {
			t.Errorf("%s %s: got %t", test.method, test.path, got)
		}
	}
}

func TestServicePath(t *testing.T) {
	tests := map[string]string{
		"/services/desk/bookings":         "/bookings",
		"/services/desk/":                 "/",
		"/services/desk/a%2Fb?q=%20":      "/a%2Fb?q=%20",
		"/services/%64esk/bookings":       "/bookings",
		"/services/desk/services/desk/my": "/services/desk/my",
	}
	for text, want := range tests {
		u, err := url.Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		if got := servicePath(u); got != want {
			t.Errorf("%s: got %s, want %s", text, got, want)
		}
	}
}

func TestDeadlineOf(t *testing.T) {
	policy := fleet.Policy{DeadlineMS: 1000}
	tests := map[string]time.Duration{
		"": time.Second, "250": 250 * time.Millisecond, "9000": time.Second, "1e300": time.Second, "Inf": time.Second,
		"NaN": -1, "-1": -1, "0": -1, "soon": -1,
	}
	for text, want := range tests {
		req := httptest.NewRequest(http.MethodPost, "/", nil)
		req.Header.Set(headerDeadline, text)
		got, err := deadlineOf(req, policy)
		if (err != nil) != (want < 0) || err == nil && got != want {
			t.Errorf("%q: got %s, %v", text, got, err)
		}
	}
}

// Refusals before a request has a run can be explained afterwards.
func TestRefusalsAreExplained(t *testing.T) {
	e, address := newTestEntry(t, newTestEngine(t))
	tests := []struct {
		key, path, body string
		status          int
		reason          request.Reason
	}{
		{"other", chatPath, "{}", http.StatusUnauthorized, reasonUnauthorized},
		{heirsKey, chatPath, "[", http.StatusBadRequest, reasonBadRequest},
		{heirsKey, chatPath, `{"model": "x"}`, http.StatusNotFound, reasonNoService},
		{heirsKey, "/services/briefings/x", "", http.StatusNotFound, reasonNoService},
		{heirsKey, chatPath, strings.Repeat(" ", 5_000), http.StatusRequestEntityTooLarge, reasonTooLarge},
	}
	for _, test := range tests {
		response, body := call(t, http.MethodPost, address+test.path, test.key, test.body)
		if response.StatusCode != test.status || response.Header.Get(headerOutcome) != outcomeNotRun || !strings.Contains(body, string(test.reason)) {
			t.Errorf("%s: got status %d, body %q; want the outcome not-run with this reason and its status", test.reason, response.StatusCode, body)
		}
		steps, found := e.Explain(response.Header.Get(headerRequestID))
		if text := strings.Join(steps, "\n"); !found || !strings.Contains(text, string(test.reason)) {
			t.Errorf("%s: got trace %q, want one with this reason", test.reason, text)
		}
	}
}

// A trace tells which server was chosen and why, what failed, and how the
// request was retried.
func TestExplainRetry(t *testing.T) {
	var calls atomic.Int32
	busyOnce := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/records/") && calls.Add(1) == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	e, address := newTestEntry(t, testServer{"desk", busyOnce}, testServer{"desk", busyOnce})
	response, body := call(t, http.MethodGet, address+"/services/desk/records/7", heirsKey, "")
	if response.StatusCode != http.StatusOK {
		t.Fatalf("got status %d, body %s", response.StatusCode, body)
	}
	text := awaitTrace(t, e, response.Header.Get(headerRequestID))
	for _, want := range []string{"customer heirs", "admitted", "picked", "attempt 1 at", "status 503", "tries again in", "left out because they failed", "attempt 2 at", "ended: answered"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in the trace:\n%s", want, text)
		}
	}
}

// awaitTrace returns the trace of an answered request once it has ended.
func awaitTrace(t *testing.T, e *Entry, requestID string) string {
	t.Helper()
	for range 1000 {
		steps, _ := e.Explain(requestID)
		if text := strings.Join(steps, "\n"); strings.Contains(text, "ended:") {
			return text
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("request %s has not ended", requestID)
	return ""
}

// busyServer answers every POST request with 503 and counts them.
type busyServer struct{ calls atomic.Int32 }

func (b *busyServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		b.calls.Add(1)
	}
	w.Header().Set("X-Own", "yes")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// A server's 503 is returned to the caller after one run if the request may
// not be repeated, and after every server has been tried once if it may.
func TestBusyServer(t *testing.T) {
	for path, want := range map[string]string{"/services/desk/bookings": "1", "/services/desk/searches": "1 1 1"} {
		servers := []*busyServer{{}, {}, {}}
		_, address := newTestEntry(t, testServer{"desk", servers[0]}, testServer{"desk", servers[1]}, testServer{"desk", servers[2]})
		response, _ := call(t, http.MethodPost, address+path, heirsKey, "{}")
		if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("X-Own") != "yes" {
			t.Errorf("%s: got status %d, header %v; want the server's 503 with its header", path, response.StatusCode, response.Header)
		}
		var calls []string
		for _, server := range servers {
			if count := server.calls.Load(); count > 0 {
				calls = append(calls, fmt.Sprint(count))
			}
		}
		if got := strings.Join(calls, " "); got != want {
			t.Errorf("%s: runs %q, want %q", path, got, want)
		}
	}
}

// An event ID resumes its stream for the same customer and request only.
func TestEventIDs(t *testing.T) {
	_, address := newTestEntry(t, newTestEngine(t))
	body := `{"model": "briefing-70b", "stream": true, "max_tokens": 6, "messages": [{"role": "user", "content": "Pass"}]}`
	_, whole := call(t, http.MethodPost, address+chatPath, heirsKey, body)
	events := strings.Split(strings.TrimSpace(whole), "\n\n")
	if len(events) != 7 || events[6] != "data: [DONE]" {
		t.Fatalf("got %d events in %q, want 7", len(events), whole)
	}
	id := strings.TrimPrefix(strings.Split(events[2], "\n")[0], "id: ")
	response, rest := call(t, http.MethodPost, address+chatPath, heirsKey, body, headerLastEventID, id)
	if response.StatusCode != http.StatusOK || strings.Count(rest, "id: ") != 3 || !strings.HasSuffix(rest, "[DONE]\n\n") {
		t.Fatalf("resumed stream: got status %d, body %q", response.StatusCode, rest)
	}
	for i := 3; i < 6; i++ {
		if token := standin.Token(standin.PromptKey("Pass"), i); !strings.Contains(rest, token) {
			t.Errorf("token %q is not in the resumed stream %q", token, rest)
		}
	}
	forged := id[:len(id)-2] + "AA"
	other := strings.Replace(body, "Pass", "Fee", 1)
	for name, sent := range map[string][3]string{
		"another customer": {clerksKey, body, id}, "another request": {heirsKey, other, id},
		"a forged ID": {heirsKey, body, forged}, "no ID": {heirsKey, body, "7"}, "a long ID": {heirsKey, body, strings.Repeat("A", 5000)},
	} {
		response, text := call(t, http.MethodPost, address+chatPath, sent[0], sent[1], headerLastEventID, sent[2])
		if response.StatusCode != http.StatusBadRequest || !strings.Contains(text, string(reasonBadEventID)) {
			t.Errorf("%s: got status %d, body %q; want 400 for a bad event ID", name, response.StatusCode, text)
		}
	}
}

// Bodies are limited by the policy of their service and customer, and by the
// process's own limit.
func TestBodyLimits(t *testing.T) {
	ok := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	_, address := newTestEntry(t, newTestEngine(t), testServer{"desk", ok})
	tests := []struct {
		key, path   string
		bytes, want int
	}{
		{heirsKey, "/services/desk/bookings", 2_048, http.StatusOK},
		{heirsKey, "/services/desk/bookings", 2_049, http.StatusRequestEntityTooLarge},
		{heirsKey, chatPath, 4_096, http.StatusOK},
		{heirsKey, chatPath, 4_097, http.StatusRequestEntityTooLarge},
		{clerksKey, chatPath, 8_192, http.StatusOK},
		{clerksKey, chatPath, 8_193, http.StatusRequestEntityTooLarge},
	}
	for _, test := range tests {
		body := `{"model": "briefing-70b", "max_tokens": 1, "prompt": "` + strings.Repeat("p", test.bytes-56) + `"}`
		response, text := call(t, http.MethodPost, address+test.path, test.key, body)
		if len(body) != test.bytes || response.StatusCode != test.want {
			t.Errorf("%s with %d bytes (sent: %d): got status %d, body %.200q", test.path, test.bytes, len(body), response.StatusCode, text)
		}
	}
}

// A caller that does not read its stream is disconnected, and its stream is
// cancelled at the engine.
func TestCallerThatDoesNotRead(t *testing.T) {
	ended := make(chan struct{})
	flood := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != chatPath {
			return
		}
		defer close(ended)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Stream-Id", "s1")
		text := strings.Repeat("x", 32<<10)
		for i := 0; r.Context().Err() == nil; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"text\":%q}]}\n\n", i, text)
		}
	})
	_, address := newTestEntry(t, testServer{"briefings", flood})
	conn, err := net.Dial("tcp", strings.TrimPrefix(address, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	body := `{"model": "briefing-70b", "stream": true, "prompt": "Unread"}`
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: e1\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", chatPath, heirsKey, len(body), body)
	if err != nil {
		t.Fatal(err)
	}
	select {
	case <-ended:
	case <-time.After(time.Minute):
		t.Fatal("the stream was not cancelled at the engine")
	}
}

// A lookup that its server does not answer is also sent to another server, or
// over another connection if there is only one server. A booking never is.
func TestHedge(t *testing.T) {
	for servers := range 2 {
		testHedge(t, servers+1)
	}
}

func testHedge(t *testing.T, count int) {
	var lookups, bookings atomic.Int32
	release := make(chan struct{})
	slowFirst := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasPrefix(r.URL.Path, "/records/") && lookups.Add(1) == 1:
			select {
			case <-release:
			case <-r.Context().Done():
			}
		case r.URL.Path == "/bookings":
			bookings.Add(1)
			time.Sleep(150 * time.Millisecond)
		}
	})
	servers := []testServer{{"desk", slowFirst}, {"desk", slowFirst}}
	e, address := newTestEntry(t, servers[:count]...)
	defer close(release)
	response, body := call(t, http.MethodGet, address+"/services/desk/records/7", heirsKey, "")
	if response.StatusCode != http.StatusOK || lookups.Load() != 2 {
		t.Fatalf("got status %d, body %s after %d lookups, want 2", response.StatusCode, body, lookups.Load())
	}
	if text := awaitTrace(t, e, response.Header.Get(headerRequestID)); !strings.Contains(text, "hedged at") {
		t.Errorf("no hedge in the trace:\n%s", text)
	}
	response, body = call(t, http.MethodPost, address+"/services/desk/bookings", heirsKey, "{}")
	if response.StatusCode != http.StatusOK || bookings.Load() != 1 {
		t.Fatalf("got status %d, body %s after %d bookings, want 1", response.StatusCode, body, bookings.Load())
	}
}

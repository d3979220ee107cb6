package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"waxwingcart/internal/core/eventid"
	"waxwingcart/internal/core/request"
)

var unknownOutcome = request.Outcome{Kind: request.OutcomeUnknown, Reason: request.ReasonAttempt, Step: "read", RetryAfter: time.Second}

const tokenJSON = `{"model": "m", "choices": [{"delta": {"content": "half "}}]}`

func newStreamSink(w http.ResponseWriter) *streamSink {
	return &streamSink{
		w: w, requestID: "r-1", service: "briefings", writeTimeout: time.Second,
		incarnations: func(string) string { return "1" },
		codec:        eventid.NewCodec([]byte("key"), eventid.Binding{Customer: "heirs"}),
	}
}

// A truncated answer must never look complete.
func TestTruncatedAnswers(t *testing.T) {
	sinks := map[string]func(http.ResponseWriter) sink{
		"stream": func(w http.ResponseWriter) sink { return newStreamSink(w) },
		"whole":  func(w http.ResponseWriter) sink { return &completionSink{w: w, requestID: "r-1", chat: true} },
		"app":    func(w http.ResponseWriter) sink { return &appSink{w: w, requestID: "r-1"} },
	}
	for name, newSink := range sinks {
		for tokens := range 3 {
			w := httptest.NewRecorder()
			s := newSink(w)
			for i := range tokens {
				s.token([]byte(tokenJSON), request.Position{Server: "m1", Stream: "s", Next: i + 1})
			}
			s.refuse(unknownOutcome, nil)
			checkTruncated(t, name, tokens, w)
		}
	}
}

func checkTruncated(t *testing.T, name string, tokens int, w *httptest.ResponseRecorder) {
	t.Helper()
	body := w.Body.String()
	if strings.Contains(body, "[DONE]") || !strings.Contains(body, `"outcome":"unknown"`) {
		t.Errorf("%s after %d tokens: got %q, want the outcome unknown and no [DONE]", name, tokens, body)
	}
	if name == "stream" && tokens > 0 {
		if !strings.HasSuffix(strings.TrimSpace(body), "}}") || strings.Count(body, "event: error\n") != 1 {
			t.Errorf("got a stream that does not end with one error event: %q", body)
		}
		return
	}
	if w.Code != http.StatusBadGateway || w.Header().Get(headerOutcome) != outcomeUnknown || w.Header().Get(headerRetryAfter) != "1" {
		t.Errorf("%s after %d tokens: got status %d, header %v; want 502, the outcome unknown and Retry-After 1", name, tokens, w.Code, w.Header())
	}
	if strings.Contains(body, "half") {
		t.Errorf("%s: the refusal contains a part of the answer: %q", name, body)
	}
}

// Headers of the connection to the backend server are not forwarded.
func TestAppAnswerHeader(t *testing.T) {
	w := httptest.NewRecorder()
	s := &appSink{w: w, requestID: "r-1", writeTimeout: time.Second}
	s.complete(&answer{status: http.StatusCreated, body: []byte("body"), header: http.Header{
		"Connection": {"keep-alive"}, "Transfer-Encoding": {"chunked"}, "Content-Length": {"99"}, "Location": {"/bookings/1"},
	}})
	header := w.Result().Header
	if w.Code != http.StatusCreated || header.Get("Location") != "/bookings/1" || header.Get("Content-Length") != "4" ||
		header.Get("Connection") != "" || header.Get("Transfer-Encoding") != "" {
		t.Fatalf("got status %d, header %v; want 201, the Location, the body's Content-Length and no header of the connection", w.Code, header)
	}
}

func TestRetryAfterHeader(t *testing.T) {
	for delay, want := range map[time.Duration]string{0: "0", time.Millisecond: "1", time.Second: "1", 1100 * time.Millisecond: "2"} {
		if got := retryAfterSeconds(delay); got != want {
			t.Errorf("%s: got %s, want %s", delay, got, want)
		}
	}
}

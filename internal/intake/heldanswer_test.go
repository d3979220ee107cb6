package intake

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// A long answer of a handler reaches a caller whole, with its status. While others hold the memory it becomes 503, so
// that a crowd that reads nothing doesn't make a process hold all its answers.
func TestLongAnswerOfHandler(t *testing.T) {
	body := strings.Repeat("x", 4*longAnswer)
	b := newTestBudget(longAnswer)
	server := httptest.NewServer(Buffered(b, 1000, time.Minute, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.WriteHeader(http.StatusAccepted)
		if req.URL.Path == "/long" {
			_, _ = io.WriteString(w, body)
		}
	})))
	defer server.Close()
	get := func(path string) (int, string) {
		response, err := http.Get(server.URL + path)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		data, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(data)
	}
	if status, data := get("/long"); status != http.StatusAccepted || data != body || b.Used() != 0 {
		t.Errorf("got status %d and %d bytes, want the whole answer", status, len(data))
	}
	other := b.Open("other", newDeadlines(), testRequest)
	if err := other.Answer().Set(1 << 20); err != nil {
		t.Fatal(err)
	}
	b.waitingAnswers.Store(maxWaitingAnswers)
	if status, data := get("/long"); status != http.StatusServiceUnavailable || len(data) > 1000 {
		t.Errorf("got status %d and %d bytes while others hold the memory, want 503", status, len(data))
	}
	if status, _ := get("/short"); status != http.StatusAccepted {
		t.Errorf("got status %d for an answer without a body", status)
	}
}

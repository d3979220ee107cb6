package rpc

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"waxwingcart/internal/answers"
)

// Each answer that exceeds a bound is reported once, by its kind, also by clients with
// connections of their own.
func TestEndlessAnswersAreReported(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/head":
			w.Header().Set("X-Long", strings.Repeat("x", 2*answers.MaxHeadBytes))
		case "/body":
			_, _ = w.Write(make([]byte, maxAnswerBytes+1))
		}
	}))
	defer server.Close()
	client := NewClient("secret")
	var kinds []answers.Kind
	client.OnEndless(func(peer string, err error) {
		if peer != server.Listener.Addr().String() {
			t.Errorf("got peer %s", peer)
		}
		kinds = append(kinds, answers.KindOf(err))
	})
	for _, c := range []*Client{client, client.Separate()} {
		kinds = nil
		for _, path := range []string{"/head", "/body", "/sound"} {
			req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, server.URL+path, nil)
			if err != nil {
				t.Fatal(err)
			}
			response, err := c.Do(req)
			if err != nil {
				continue
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		if len(kinds) != 2 || kinds[0] != answers.KindHead || kinds[1] != answers.KindBody {
			t.Errorf("reported %q, want head and body", kinds)
		}
	}
}

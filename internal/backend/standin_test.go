package backend_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"waxwingcart/internal/backend"
	"waxwingcart/internal/standin"
)

// noTimeout is a progress timeout that does not expire during a test.
const noTimeout = time.Minute

// startStandin starts a stand-in server and returns its address.
func startStandin(t *testing.T, opts standin.Options) string {
	t.Helper()
	s, err := standin.New(opts)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(s.Handler())
	server.Config.ConnContext = s.ConnContext
	server.Start()
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

func newClient(t *testing.T, opts backend.Options) *backend.Client {
	t.Helper()
	if opts.ProgressTimeout == 0 {
		opts.ProgressTimeout = noTimeout
	}
	opts.ControlTimeout = noTimeout
	c := backend.New(opts)
	t.Cleanup(c.Close)
	return c
}

func fastModel() standin.Options {
	opts := standin.DefaultOptions(standin.KindModel, standin.VendorAlpha)
	opts.TokensPerSecond = 2000
	opts.PrefillTokensPerSecond = 1e6
	opts.ReportLag = 0
	return opts
}

// completion returns a call for a streamed response of the given number of tokens.
func completion(address, id, prompt string, tokens int) backend.Call {
	body, _ := json.Marshal(map[string]any{
		"model": "briefing-70b", "stream": true, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	return backend.Call{
		Step: "dispatch", Address: address, Method: http.MethodPost,
		Path: "/v1/chat/completions", Body: body, Repeatable: true,
		RequestID: id, Attempt: 1,
	}
}

// tokenOf returns the token of an event.
func tokenOf(t *testing.T, event backend.Event) string {
	t.Helper()
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(event.Data, &chunk); err != nil || len(chunk.Choices) != 1 {
		t.Fatalf("event %d: got %s, want a chunk with one choice", event.Offset, event.Data)
	}
	return chunk.Choices[0].Delta.Content
}

// readAll reads a stream to its end and returns its tokens.
func readAll(t *testing.T, s *backend.Stream) string {
	t.Helper()
	var all strings.Builder
	for {
		event, err := s.Next()
		if errors.Is(err, io.EOF) {
			return all.String()
		}
		if err != nil {
			t.Fatal(err)
		}
		all.WriteString(tokenOf(t, event))
	}
}

func injectFault(t *testing.T, address string, request standin.FaultRequest) {
	t.Helper()
	post(t, address, "/standin/fault", request)
}

// holdAfter pauses all streams after the given number of tokens; 0 resumes them.
func holdAfter(t *testing.T, address string, tokens int) {
	t.Helper()
	injectFault(t, address, standin.FaultRequest{HoldAfter: &tokens})
}

func post(t *testing.T, address, path string, value any) {
	t.Helper()
	body, _ := json.Marshal(value)
	response, err := http.Post("http://"+address+path, "application/json", strings.NewReader(string(body)))
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("%s: got status %d, want 200", path, response.StatusCode)
	}
}

// runsOf returns how often a stand-in has run each request, by request ID.
func runsOf(t *testing.T, address string) map[string]int {
	t.Helper()
	var counted struct {
		Runs map[string]int `json:"runs"`
	}
	get(t, address, "/standin/runs", &counted)
	return counted.Runs
}

func get(t *testing.T, address, path string, value any) {
	t.Helper()
	response, err := http.Get("http://" + address + path)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(value); err != nil {
		t.Fatal(err)
	}
}

func phaseOf(t *testing.T, err error) backend.Phase {
	t.Helper()
	var failed *backend.Error
	if !errors.As(err, &failed) {
		t.Fatalf("%v is not a *backend.Error", err)
	}
	return failed.Phase
}

// Checks that a stream delivers the complete response and runs the request once.
func TestStream(t *testing.T) {
	address := startStandin(t, fastModel())
	c := newClient(t, backend.Options{})
	s, err := c.Stream(context.Background(), completion(address, "r-1", "tell me", 20))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if got, want := readAll(t, s), standin.Answer("tell me", 20); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := runsOf(t, address)["r-1"]; got != 1 {
		t.Errorf("%d runs, want 1", got)
	}
}

package e2e

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"waxwingcart/internal/backend"
	"waxwingcart/internal/standin"
)

const (
	chatPath      = "/v1/chat/completions"
	maxEventBytes = 1 << 20
)

// chatRequest is a model request; the stand-in engines' answer to it is known.
type chatRequest struct {
	prompt string
	tokens int
}

func (r chatRequest) body(stream bool) string {
	return fmt.Sprintf(`{"model": "briefing-70b", "stream": %t, "max_tokens": %d, "messages": [{"role": "user", "content": %q}]}`,
		stream, r.tokens, r.prompt)
}

func (r chatRequest) answer() string { return standin.Answer(r.prompt, r.tokens) }

// streamClient reads a streamed answer and resumes it through other entries.
type streamClient struct {
	c        *cluster
	request  chatRequest
	header   http.Header
	lastID   string
	text     strings.Builder
	tokens   int
	resumed  int
	failures []string
	// begun is true once a token was received. It may be read in any goroutine.
	begun atomic.Bool
	// done is true once [DONE] was received.
	done bool
}

func newStreamClient(c *cluster, chat chatRequest) *streamClient {
	return &streamClient{c: c, request: chat}
}

// readStream requests the answer from an entry, from the event after the last one
// received, and reads it until the stream ends. It returns an error if the answer
// is incomplete.
func (s *streamClient) readStream(entry string) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.c.vms[entry].callerAddress+chatPath, bytes.NewBufferString(s.request.body(true)))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	if s.lastID != "" {
		req.Header.Set("Last-Event-ID", s.lastID)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	client := http.Client{Timeout: waitTimeout, Transport: transport}
	response, err := client.Do(req)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	s.header = response.Header
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return fmt.Errorf("status %d: %s", response.StatusCode, text)
	}
	return s.readEvents(backend.NewEventReader(response.Body, maxEventBytes))
}

var errNoDone = errors.New("the stream ended without [DONE]")

// readEvents reads to the end of the stream. It returns nil only for a stream that
// ends after [DONE].
func (s *streamClient) readEvents(events *backend.EventReader) error {
	ended := errNoDone
	for {
		ev, err := events.Next()
		switch {
		case errors.Is(err, io.EOF) && s.done:
			return nil
		case err != nil:
			return fmt.Errorf("%w: %w", ended, err)
		case ev.Name == "error":
			ended = fmt.Errorf("%w: %s", errNoDone, ev.Data)
		case string(ev.Data) == "[DONE]":
			s.done = true
		default:
			if err := s.addEvent(ev); err != nil {
				return err
			}
		}
	}
}

func (s *streamClient) addEvent(ev backend.RawEvent) error {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(ev.Data, &chunk); err != nil {
		return err
	}
	s.lastID = ev.ID
	s.tokens++
	s.begun.Store(true)
	for _, choice := range chunk.Choices {
		s.text.WriteString(choice.Delta.Content)
	}
	return nil
}

// readToEnd reads until the answer is complete, and resumes at the next entry each
// time the stream ends early.
func (s *streamClient) readToEnd(entries ...string) {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		err := s.readStream(entries[s.resumed%len(entries)])
		if err == nil {
			return
		}
		s.failures = append(s.failures, err.Error())
		s.resumed++
	}
}

// check checks that the caller got the answer to its own request, complete and in
// order.
func (s *streamClient) check(t *testing.T) {
	t.Helper()
	if !s.done || s.text.String() != s.request.answer() {
		t.Errorf("%q: want the complete answer; got done %t after %d tokens of %d, resumed %d times (%v): %q",
			s.request.prompt, s.done, s.tokens, s.request.tokens, s.resumed, s.failures, s.text.String())
	}
}

// stats returns the counters of a stand-in engine by name.
func (c *cluster) stats(server string) map[string]int64 {
	c.t.Helper()
	stats := make(map[string]int64)
	c.getStandin(server, "stats", &stats)
	return stats
}

package e2e

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"waxwingcart/internal/backend"
	"waxwingcart/internal/standin"
)

const (
	chatPath      = "/v1/chat/completions"
	maxEventBytes = 1 << 20
)

// question is a model request with the answer that is right.
type question struct {
	prompt string
	tokens int
}

func (q question) body(stream bool) string {
	return fmt.Sprintf(`{"model": "briefing-70b", "stream": %t, "max_tokens": %d, "messages": [{"role": "user", "content": %q}]}`,
		stream, q.tokens, q.prompt)
}

func (q question) answer() string { return standin.Answer(q.prompt, q.tokens) }

// listener reads a stream and resumes it through other entries.
type listener struct {
	c        *cluster
	question question
	header   http.Header
	lastID   string
	text     strings.Builder
	tokens   int
	resumed  int
	failures []string
	// done is true once [DONE] came.
	done bool
}

func newListener(c *cluster, q question) *listener {
	return &listener{c: c, question: q}
}

// listen reads the answer through an entry until it ends one way or another.
func (l *listener) listen(entry string) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+l.c.vms[entry].callers+chatPath, bytes.NewBufferString(l.question.body(true)))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	if l.lastID != "" {
		req.Header.Set("Last-Event-ID", l.lastID)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	client := http.Client{Timeout: patience, Transport: transport}
	response, err := client.Do(req)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	l.header = response.Header
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return fmt.Errorf("status %d: %s", response.StatusCode, text)
	}
	return l.read(backend.NewEventReader(response.Body, maxEventBytes))
}

var errNoDone = errors.New("the stream ended without [DONE]")

// read reads to the end of the stream. A stream that ends early must not hold
// [DONE], after an error event either.
func (l *listener) read(events *backend.EventReader) error {
	ended := errNoDone
	for {
		ev, err := events.Next()
		switch {
		case errors.Is(err, io.EOF) && l.done:
			return nil
		case err != nil:
			return fmt.Errorf("%w: %w", ended, err)
		case ev.Name == "error":
			ended = fmt.Errorf("%w: %s", errNoDone, ev.Data)
		case string(ev.Data) == "[DONE]":
			l.done = true
		default:
			if err := l.take(ev); err != nil {
				return err
			}
		}
	}
}

func (l *listener) take(ev backend.RawEvent) error {
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
	l.lastID = ev.ID
	l.tokens++
	for _, choice := range chunk.Choices {
		l.text.WriteString(choice.Delta.Content)
	}
	return nil
}

// follow listens until the answer is whole, going to the next entry each time
// the stream ends early.
func (l *listener) follow(entries ...string) {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(pollEvery) {
		err := l.listen(entries[l.resumed%len(entries)])
		if err == nil {
			return
		}
		l.failures = append(l.failures, err.Error())
		l.resumed++
	}
}

// check checks that the caller got its own answer, whole and in order.
func (l *listener) check(t *testing.T) {
	t.Helper()
	if !l.done || l.text.String() != l.question.answer() {
		t.Errorf("%q: done %t after %d tokens of %d, resumed %d times (%v): %q",
			l.question.prompt, l.done, l.tokens, l.question.tokens, l.resumed, l.failures, l.text.String())
	}
}

// stats returns a stand-in engine's statistics.
func (c *cluster) stats(server string) map[string]int64 {
	c.t.Helper()
	stats := make(map[string]int64)
	c.standin(server, "stats", &stats)
	return stats
}

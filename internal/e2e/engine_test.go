package e2e

import (
	"net/http"
	"testing"
)

const briefingBody = `{"model": "briefing-70b", "max_tokens": 12, "messages": [{"role": "user", "content": "Checkpoints"}]}`

// Requests that an engine refuses before running are answered by another, healthy
// engine.
func TestRefusingEngine(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.fault("m1", `{"refuse": true}`)
	for range 20 {
		answer, err := c.call("e1", http.MethodPost, "/v1/chat/completions", "", briefingBody)
		if err != nil || answer.status != http.StatusOK {
			t.Fatalf("got %+v, %v, want status 200", answer, err)
		}
	}
}

package entry

import (
	"encoding/json"
	"testing"
)

// An accepted request keeps its fields except "stream", and its estimates are
// positive and bounded.
func FuzzParseModelRequest(f *testing.F) {
	for _, seed := range []string{
		`{"model": "briefing-70b", "prompt": "Rules", "max_tokens": 3}`,
		`{"model": "m", "stream": false, "messages": [{"role": "user", "content": "Hi"}]}`,
		`{"model": "m", "messages": [{"content": [{"type": "text", "text": "parts"}]}], "max_tokens": 9223372036854775807}`,
		`{"model": "m", "max_tokens": -1}`, `{"model": "m", "max_tokens": 1e3}`, `{"model": "m", "model": "n"}`,
		`{"MODEL": "m", "Stream": true}`, `null`, `[]`, `{"model": null}`, `{"model": "\ud800"}`, "\x00", `{"model":"m"} {}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		parsed, err := parseModelRequest(body)
		if err != nil {
			return
		}
		if parsed.model == "" || parsed.promptTokens < 1 || parsed.outputTokens < 1 || parsed.outputTokens > maxOutputTokens {
			t.Fatalf("%q: got %+v, want a model and estimates within their bounds", body, parsed)
		}
		var sent, got map[string]json.RawMessage
		if err := json.Unmarshal(body, &sent); err != nil {
			t.Fatalf("%q was accepted: %v", body, err)
		}
		if err := json.Unmarshal(parsed.forward, &got); err != nil || string(got["stream"]) != "true" {
			t.Fatalf("%q is forwarded as %q: %v", body, parsed.forward, err)
		}
		again, err := parseModelRequest(parsed.forward)
		if err != nil || again.model != parsed.model || !again.stream {
			t.Fatalf("%q is forwarded as %q: parsed as %+v, %v", body, parsed.forward, again, err)
		}
	})
}

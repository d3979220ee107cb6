package chat

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
		parsed, err := Parse(body)
		if err != nil {
			return
		}
		if parsed.Model == "" || parsed.PromptTokens < 1 || parsed.OutputTokens < 1 || parsed.OutputTokens > maxOutputTokens {
			t.Fatalf("%q: got %+v, want a model and estimates within their bounds", body, parsed)
		}
		var sent, got map[string]json.RawMessage
		if err := json.Unmarshal(body, &sent); err != nil {
			t.Fatalf("%q was accepted: %v", body, err)
		}
		if err := json.Unmarshal(parsed.Forward, &got); err != nil || string(got["stream"]) != "true" {
			t.Fatalf("%q is forwarded as %q: %v", body, parsed.Forward, err)
		}
		again, err := Parse(parsed.Forward)
		if err != nil || again.Model != parsed.Model || !again.Stream {
			t.Fatalf("%q is forwarded as %q: parsed as %+v, %v", body, parsed.Forward, again, err)
		}
	})
}

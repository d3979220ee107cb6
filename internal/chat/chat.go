// Package chat reads the bodies of chat and completion requests, and the events of their
// answers.
package chat

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strings"
)

// bytesPerToken is the mean length of a token in bytes, for estimates.
const bytesPerToken = 4

// defaultMaxTokens is the estimated answer length of a request without
// max_tokens.
const defaultMaxTokens = 256

// maxOutputTokens bounds max_tokens, so that sums of estimates don't overflow.
const maxOutputTokens = 1 << 24

// prefixBytes is the length in bytes of the start of a prompt that identifies
// its prefix.
const prefixBytes = 1024

// modelBody holds the fields of a model request that the entry uses.
type modelBody struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  []struct {
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// Request is a parsed chat or completion request.
type Request struct {
	Model  string
	Stream bool
	// PromptTokens and OutputTokens are estimates.
	PromptTokens int
	OutputTokens int
	// Prefix is the prefix hash as backend servers publish it.
	Prefix uint64
	// Forward is the body to send to the engine: the caller's with "stream"
	// set.
	Forward []byte
}

// Parse parses the body of a chat or completion request.
func Parse(body []byte) (Request, error) {
	var parsed modelBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return Request{}, fmt.Errorf("body is not a JSON object: %w", err)
	}
	if parsed.Model == "" {
		return Request{}, fmt.Errorf("model: got nothing, expected the name of a model")
	}
	if parsed.MaxTokens < 0 || parsed.MaxTokens > maxOutputTokens {
		return Request{}, fmt.Errorf("max_tokens: got %d, expected 1 to %d", parsed.MaxTokens, maxOutputTokens)
	}
	prompt := promptText(parsed)
	forward, err := withStream(body)
	if err != nil {
		return Request{}, err
	}
	output := parsed.MaxTokens
	if output == 0 {
		output = defaultMaxTokens
	}
	return Request{
		Model:        parsed.Model,
		Stream:       parsed.Stream,
		PromptTokens: 1 + len(prompt)/bytesPerToken,
		OutputTokens: output,
		Prefix:       prefixHash(prompt),
		Forward:      forward,
	}, nil
}

func promptText(parsed modelBody) string {
	var text strings.Builder
	text.WriteString(plainText(parsed.Prompt))
	for _, message := range parsed.Messages {
		text.WriteString(plainText(message.Content))
	}
	return text.String()
}

// plainText returns the value of a JSON string, or any other JSON value as it
// is.
func plainText(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	return string(raw)
}

func prefixHash(prompt string) uint64 {
	sum := sha256.Sum256([]byte(prompt[:min(len(prompt), prefixBytes)]))
	return binary.BigEndian.Uint64(sum[:8])
}

// withStream returns the body with "stream": true. The entry reads every
// answer as a stream, so that it can be resumed.
func withStream(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fmt.Errorf("body is not a JSON object: %w", err)
	}
	fields["stream"] = json.RawMessage("true")
	return json.Marshal(fields)
}

// Chunk holds the fields of a stream's event that an entry uses.
type Chunk struct {
	ID      string   `json:"id"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
}

// Choice is one of the answers that a stream generates.
type Choice struct {
	Text         string `json:"text"`
	Delta        Delta  `json:"delta"`
	FinishReason string `json:"finish_reason"`
}

// Delta is the text that an event adds.
type Delta struct {
	Content string `json:"content"`
}

// Text returns the generated text of a chunk.
func (c Chunk) Text() string {
	var text strings.Builder
	for _, choice := range c.Choices {
		text.WriteString(choice.Text)
		text.WriteString(choice.Delta.Content)
	}
	return text.String()
}

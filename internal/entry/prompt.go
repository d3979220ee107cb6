package entry

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

// modelRequest is a parsed model request.
type modelRequest struct {
	model        string
	stream       bool
	promptTokens int
	outputTokens int
	// prefix is the prefix hash as backend servers publish it.
	prefix uint64
	// forward is the body to send to the engine: the caller's with "stream"
	// set.
	forward []byte
}

// parseModelRequest parses a chat or completion request.
func parseModelRequest(body []byte) (modelRequest, error) {
	var parsed modelBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return modelRequest{}, fmt.Errorf("body is not a JSON object: %w", err)
	}
	if parsed.Model == "" {
		return modelRequest{}, fmt.Errorf("model: got nothing, expected the name of a model")
	}
	if parsed.MaxTokens < 0 || parsed.MaxTokens > maxOutputTokens {
		return modelRequest{}, fmt.Errorf("max_tokens: got %d, expected 1 to %d", parsed.MaxTokens, maxOutputTokens)
	}
	prompt := promptText(parsed)
	forward, err := withStream(body)
	if err != nil {
		return modelRequest{}, err
	}
	output := parsed.MaxTokens
	if output == 0 {
		output = defaultMaxTokens
	}
	return modelRequest{
		model:        parsed.Model,
		stream:       parsed.Stream,
		promptTokens: 1 + len(prompt)/bytesPerToken,
		outputTokens: output,
		prefix:       prefixHash(prompt),
		forward:      forward,
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

// chunk holds the fields of a stream's event that the entry uses.
type chunk struct {
	ID      string        `json:"id"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
}

type chunkChoice struct {
	Text         string     `json:"text"`
	Delta        chunkDelta `json:"delta"`
	FinishReason string     `json:"finish_reason"`
}

type chunkDelta struct {
	Content string `json:"content"`
}

// content returns the generated text of a chunk.
func (c chunk) content() string {
	var text strings.Builder
	for _, choice := range c.Choices {
		text.WriteString(choice.Text)
		text.WriteString(choice.Delta.Content)
	}
	return text.String()
}

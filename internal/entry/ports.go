package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingcart/internal/backend"
	"waxwingcart/internal/core/placement"
	"waxwingcart/internal/core/routes"
	"waxwingcart/internal/discovery"
)

// RoutedOptions are the ports of an entry that serves calls by a numbered
// routing configuration.
type RoutedOptions struct {
	// Decode reads the content of a numbered document.
	Decode func(content []byte) (*routes.Table, error)
	// Discover reads the list of backend servers.
	Discover func(context.Context) ([]discovery.Server, error)
	// Callers reads calls.
	Callers CallerProtocol
	// Backends is how backend servers are spoken to.
	Backends backend.Protocol
	// UsageWindow is the length of a window of usage reports; zero means that
	// usage is not counted.
	UsageWindow time.Duration
}

// CallerProtocol reads what callers say in headers.
type CallerProtocol interface {
	// Parse reads a call's header.
	Parse(req *http.Request) (Call, error)
}

// Call is what a call's header says.
type Call struct {
	// RequestID names one attempt of a caller; it may be empty.
	RequestID string
	// Key is the caller's bearer key.
	Key string
	// Patience is how long the caller waits; zero if it does not say.
	Patience time.Duration
	// Resumes is true if the caller has the events of a stream up to LastEvent.
	Resumes   bool
	LastEvent int64
	Prompt    Prompt
	// Header is what the backend server should see.
	Header http.Header
}

// Prompt describes the input of a model engine.
type Prompt struct {
	// Tokens is the length of the prompt, OutputTokens the longest answer.
	Tokens       int
	OutputTokens int
	// Parts are the prompt's parts in order; requests share leading parts. The
	// last part is the request's own.
	Parts []PromptPart
}

// PromptPart is a part of a prompt by its content.
type PromptPart struct {
	ID     string
	Tokens int
}

// sharedParts returns the parts before the last one, each with a hash over what comes
// before it.
func (p *Prompt) sharedParts() []placement.Part {
	if len(p.Parts) < 2 {
		return nil
	}
	digest := xxhash.New()
	parts := make([]placement.Part, 0, len(p.Parts)-1)
	for _, part := range p.Parts[:len(p.Parts)-1] {
		_, _ = digest.WriteString(part.ID + "/")
		parts = append(parts, placement.Part{Chain: digest.Sum64(), Tokens: part.Tokens})
	}
	return parts
}

package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingcart/internal/backend"
	"waxwingcart/internal/core/docdiff"
	"waxwingcart/internal/core/placement"
	"waxwingcart/internal/core/routes"
	"waxwingcart/internal/discovery"
)

// RoutedOptions configures an entry that serves calls according to a numbered
// routing configuration.
type RoutedOptions struct {
	// Decode decodes the content of a numbered document.
	Decode func(content []byte) (*routes.Table, error)
	// DecodeChange decodes the difference of a document from an earlier one, of which previous
	// is the index. It may be nil; where it fails, Decode decides.
	DecodeChange func(previous *routes.Index, from, to *docdiff.Document) (*routes.Index, error)
	// Discover reads the list of backend servers.
	Discover func(context.Context) ([]discovery.Server, error)
	// Callers parses the headers of calls.
	Callers CallerProtocol
	// Backends is the protocol of the backend servers.
	Backends backend.Protocol
	// UsageWindow is the length of a window of usage reports; zero disables
	// counting.
	UsageWindow time.Duration
	// ContendedCapacity makes calls to model engines wait for a moment, or refuses them, while capacity is
	// insufficient.
	ContendedCapacity bool
}

// CallerProtocol parses the headers that callers send.
type CallerProtocol interface {
	// Parse parses a call's header. With an error it still returns the
	// RequestID, if the caller gave one.
	Parse(req *http.Request) (Call, error)
}

// Call is the parsed header of a call.
type Call struct {
	// RequestID identifies one attempt of a caller; it may be empty.
	RequestID string
	// Key is the caller's bearer key.
	Key string
	// CallerTimeout is how long the caller waits; zero if it does not say.
	CallerTimeout time.Duration
	// Resumes is true if the caller already has a stream's events up to
	// LastEvent.
	Resumes   bool
	LastEvent int64
	// ResumedID is the RequestID of the caller's attempt that brought the stream's
	// first event; empty if the caller doesn't name it.
	ResumedID string
	Prompt    Prompt
	// Header is the header to send to the backend server.
	Header http.Header
}

// Prompt describes the input of a model engine.
type Prompt struct {
	// Model is the model that the call asks for; it may be empty.
	Model string
	// Tokens is the length of the prompt, and OutputTokens the longest answer.
	Tokens       int
	OutputTokens int
	// Parts lists the prompt's parts in order. Requests can share leading
	// parts; the last part is the request's own.
	Parts []PromptPart
}

// PromptPart is a part of a prompt, identified by its content.
type PromptPart struct {
	ID     string
	Tokens int
}

// sharedParts returns the parts before the last one, each with a hash of the
// parts up to it.
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

package configdelta

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/core/docdiff"
	"waxwingcart/internal/core/state"
	"waxwingcart/internal/wire"
)

// maxDocumentBytes is the longest document that a client accepts, several times the longest one
// that operators may send.
const maxDocumentBytes = 16 << 20

// errBase means that the client no longer holds the base of a delta. A newer response has arrived meanwhile.
var errBase = errors.New("the delta's base is not the document held")

// errSuperseded means that another call has fetched a document since the request was made, so that
// a delta will do.
var errSuperseded = errors.New("another call has fetched a document meanwhile")

// trust is how much of the protocol a client uses. Each failure lowers it by one step, and a
// document that was put together raises it to the highest one.
type trust int

const (
	takesDeltas trust = iota
	takesParts
	// takesOlder asks for responses of the previous version: replicas may compute digests in
	// another way.
	takesOlder
)

// transfer is a document whose parts are being fetched. It outlives the calls, so that another
// replica with the same document continues it.
type transfer struct {
	// first is the response that named the document.
	first *wire.FetchConfigResponse
	text  []byte
}

// Client is the entry's side.
type Client struct {
	logger   *log.Logger
	counters counters
	// fetching is held by the call that fetches parts, so that one replica sends at a time.
	fetching chan struct{}

	mu       sync.Mutex
	trust    trust
	transfer *transfer
	// latest is the document that was last put together from parts. Calls that waited for it use it too.
	latest *state.Numbered
}

// NewClient returns a client that holds no document.
func NewClient(logger *log.Logger, registry prometheus.Registerer) *Client {
	return &Client{logger: logger, counters: newCounters(registry, "entry", "received"), fetching: make(chan struct{}, 1)}
}

// Prepare makes a request say which document the caller holds; held may be nil.
func (c *Client) Prepare(request *wire.FetchConfigRequest, held *state.Numbered) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.trust == takesOlder {
		return
	}
	request.TakesDocument = true
	if held != nil && c.trust == takesDeltas {
		digest := held.Content.Digest()
		request.HeldNumber, request.HeldDigest = held.Number, digest[:]
	}
}

// Caller calls a replica within the bounds of one call.
type Caller func(ctx context.Context, request *wire.FetchConfigRequest) (*wire.FetchConfigResponse, error)

// Complete fetches the parts of the document that a response names without its content. It
// continues a transfer that another call has begun, if the replica has that document. The response
// then holds the document that was fetched, whose revision may be lower than the response's;
// it is no longer confirmed in this case.
func (c *Client) Complete(ctx context.Context, call Caller, request *wire.FetchConfigRequest, response *wire.FetchConfigResponse) error {
	document := response.Document
	if document == nil || len(document.Part) > 0 || len(document.Base) > 0 || document.Size == 0 {
		return nil
	}
	select {
	case c.fetching <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-c.fetching }()
	if done, err := c.fetched(request, document); done || err != nil {
		return err
	}
	t, err := c.begin(response)
	if err != nil {
		return err
	}
	for uint64(len(t.text)) < t.first.Document.Size {
		if err := c.fetchPart(ctx, call, t); err != nil {
			return fmt.Errorf("fetch document %d from byte %d of %d: %w", t.first.Document.Number, len(t.text), t.first.Document.Size, err)
		}
	}
	return c.finish(t, response)
}

// fetched reports whether another call has fetched the document. If it has fetched another document
// since the request was made, which holds none, a delta from that one will do.
func (c *Client) fetched(request *wire.FetchConfigRequest, document *wire.ConfigDocument) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latest == nil {
		return false, nil
	}
	if hasDigest(c.latest.Content, document.Digest) {
		return true, nil
	}
	if c.trust != takesDeltas || len(request.HeldDigest) > 0 {
		return false, nil
	}
	// If that document could not be put in force, the next call fetches a whole one again.
	c.latest = nil
	return false, errSuperseded
}

func hasDigest(document *docdiff.Document, digest []byte) bool {
	held := document.Digest()
	return string(held[:]) == string(digest)
}

// begin returns the transfer in progress, or begins one.
func (c *Client) begin(response *wire.FetchConfigResponse) (*transfer, error) {
	if response.Document.Size > maxDocumentBytes {
		return nil, fmt.Errorf("document %d has %d bytes, expected at most %d", response.Document.Number, response.Document.Size, maxDocumentBytes)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.transfer == nil {
		c.transfer = &transfer{first: &wire.FetchConfigResponse{Deltas: response.Deltas, Document: response.Document}}
	}
	return c.transfer, nil
}

// fetchPart fetches the next part. The transfer is given up if the replica does not have the document, as it is
// older than the ones that replicas keep.
func (c *Client) fetchPart(ctx context.Context, call Caller, t *transfer) error {
	document := t.first.Document
	response, err := call(ctx, &wire.FetchConfigRequest{TakesDocument: true, PartDigest: document.Digest, PartOffset: uint64(len(t.text))})
	if err != nil {
		if isNotFound(err) {
			c.drop()
			if len(t.text) == 0 {
				// The replica has just named the document.
				return c.failed(err)
			}
		}
		return err
	}
	part := response.Document
	left := document.Size - uint64(len(t.text))
	if part == nil || !slices.Equal(part.Digest, document.Digest) || part.Offset != uint64(len(t.text)) || len(part.Part) == 0 || uint64(len(part.Part)) > left {
		c.drop()
		return errors.New("the replica sent another part than the one asked for")
	}
	t.text = append(t.text, part.Part...)
	c.counters.count(kindPart, len(part.Part))
	return nil
}

func (c *Client) drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.transfer = nil
}

// finish checks a transfer whose parts are complete, and sets the response's document from it.
func (c *Client) finish(t *transfer, response *wire.FetchConfigResponse) error {
	c.drop()
	named := t.first.Document
	document := docdiff.Parse(t.text, nil)
	if !hasDigest(document, named.Digest) {
		return c.failed(fmt.Errorf("document %d: its parts have another digest than it has", named.Number))
	}
	c.mu.Lock()
	c.latest = &state.Numbered{Number: named.Number, Content: document}
	c.mu.Unlock()
	if !slices.Equal(response.Document.Digest, named.Digest) {
		response.Deltas, response.Document, response.Confirmed = t.first.Deltas, named, false
	}
	c.logger.Info().Str("step", "fetch config").Uint64("number", named.Number).Uint64("bytes", named.Size).
		Hex("digest", named.Digest[:8]).Msg("document fetched in parts")
	return nil
}

// failed lowers the trust.
func (c *Client) failed(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trust = min(c.trust+1, takesOlder)
	c.counters.count(kindFailed, 0)
	return err
}

// Resolve returns the document of a response, or nil if the response has none of its own. It puts it together from
// the document held, which may be nil, and never returns one whose digest is not the one that the
// replica named, or whose number is lower than that of the document held.
func (c *Client) Resolve(from string, held *state.Numbered, response *wire.FetchConfigResponse) (*state.Numbered, error) {
	document := response.Document
	if document == nil {
		c.older(response)
		return nil, nil
	}
	if held != nil && document.Number < held.Number {
		return nil, c.failed(fmt.Errorf("got document %d, expected one that is not older than %d", document.Number, held.Number))
	}
	if len(document.Digest) != len(docdiff.Digest{}) {
		return nil, c.failed(fmt.Errorf("document %d: got a digest of %d bytes", document.Number, len(document.Digest)))
	}
	content, kind, err := c.content(held, document)
	if errors.Is(err, errBase) {
		return nil, err
	}
	if err != nil {
		return nil, c.failed(fmt.Errorf("document %d: %w", document.Number, err))
	}
	c.mu.Lock()
	c.trust = takesDeltas
	c.mu.Unlock()
	bytes := len(document.Delta) + len(document.Part)
	if kind != kindPart {
		c.counters.count(kind, bytes)
	}
	if kind == kindDelta {
		c.logger.Info().Str("step", "apply delta").Uint64("number", document.Number).Uint64("base", held.Number).Str("peer", from).
			Int("bytes", bytes).Int("size", content.Size()).Hex("digest", document.Digest[:8]).Msg("document made from the one held")
	}
	return &state.Numbered{Number: document.Number, Content: content}, nil
}

// content returns the text of a document and how it came.
func (c *Client) content(held *state.Numbered, document *wire.ConfigDocument) (*docdiff.Document, string, error) {
	switch {
	case len(document.Base) > 0:
		if held == nil || !hasDigest(held.Content, document.Base) {
			return nil, "", errBase
		}
		delta := document.Delta
		if document.Deflated {
			var err error
			if delta, err = inflate(delta); err != nil {
				return nil, "", err
			}
		}
		content, err := docdiff.Apply(held.Content, delta, docdiff.Digest(document.Digest))
		return content, kindDelta, err
	case len(document.Part) > 0:
		var earlier *docdiff.Document
		if held != nil {
			earlier = held.Content
		}
		content := docdiff.Parse(document.Part, earlier)
		if !hasDigest(content, document.Digest) {
			return nil, "", errors.New("the text has another digest than the replica named")
		}
		return content, kindWhole, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latest == nil || !hasDigest(c.latest.Content, document.Digest) {
		return nil, "", errBase
	}
	return c.latest.Content, kindPart, nil
}

// older counts the documents of a response of the previous version, and restores the trust after one.
func (c *Client) older(response *wire.FetchConfigResponse) {
	bytes := 0
	for _, delta := range response.Deltas {
		for _, item := range delta.Items {
			bytes += len(item.Json)
		}
	}
	if bytes == 0 {
		return
	}
	c.counters.count(kindOlder, bytes)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trust = takesDeltas
}

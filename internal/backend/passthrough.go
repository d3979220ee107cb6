package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"
)

// Passthrough is a response that is forwarded unchanged: a stream of numbered events
// or a whole body.
type Passthrough struct {
	Status int
	Header http.Header
	// Events is true if the response is a stream of events.
	Events bool

	pending *pendingResponse
	events  *EventReader
}

var errEventNumber = errors.New("event ID is not a number")

// Forward sends a request once and returns the response, with any status, for
// forwarding. It returns an error if the server refused to run the request.
func (c *Client) Forward(ctx context.Context, call Call) (*Passthrough, error) {
	pending, err := c.send(ctx, call)
	if err != nil {
		return nil, err
	}
	p := &Passthrough{Status: pending.response.StatusCode, Header: pending.response.Header, pending: pending}
	mediaType, _, _ := mime.ParseMediaType(p.Header.Get("Content-Type"))
	if p.Status == http.StatusOK && mediaType == "text/event-stream" {
		p.Events = true
		p.events = pending.newEvents()
	}
	return p, nil
}

// Next returns the bytes of the next event, unchanged, and its number. At the end
// of a complete stream it returns io.EOF; any other error is an *Error.
func (p *Passthrough) Next() (data []byte, number int64, err error) {
	p.pending.wd.progress()
	defer p.pending.wd.stop()
	data, id, err := p.events.NextBytes()
	var callErr *Error
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		return nil, 0, io.EOF
	case errors.As(err, &callErr):
		return nil, 0, callErr
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, 0, p.pending.fail(PhaseTruncated, err)
	default:
		return nil, 0, p.pending.fail(PhaseInvalid, err)
	}
	number, parseErr := strconv.ParseInt(id, 10, 64)
	if parseErr != nil || number < 0 {
		return nil, 0, p.pending.fail(PhaseInvalid, fmt.Errorf("%w: %.40q", errEventNumber, id))
	}
	return data, number, nil
}

// Body reads the whole body of a response that is not a stream. The body must not
// exceed limit bytes.
func (p *Passthrough) Body(limit int64) ([]byte, error) {
	return p.pending.readAll(limit)
}

// SetProgressTimeout sets the progress timeout from the next event on.
func (p *Passthrough) SetProgressTimeout(timeout time.Duration) {
	p.pending.wd.timeout.Store(int64(timeout))
}

// Close closes the response. Unless it was read to its end, its attempt is
// abandoned and its connection is closed.
func (p *Passthrough) Close() { _ = p.pending.Close() }

package backend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Event is one event of a stream of a model engine.
type Event struct {
	// Offset is the position of the event in its stream, starting at 0.
	Offset int64
	// Data is the JSON text of the event.
	Data []byte
}

// Stream is a response that consists of events. Apart from Close, its methods are
// not safe for concurrent use.
type Stream struct {
	// ID identifies the stream at its engine.
	ID string
	// Header is the response header.
	Header http.Header

	pending *pendingResponse
	events  *EventReader
	// next is the offset of the next event.
	next       int64
	done       bool
	duplicates int
}

var (
	errNotEvents = errors.New("response is not an event stream")
	errEventID   = errors.New("event ID is not an offset")
	errNotJSON   = errors.New("event data is not JSON")
	errNoEnd     = errors.New("stream ended without [DONE]")
	errNoStream  = errors.New("response has no stream ID")
)

// Stream sends a request and returns the response as a stream.
func (c *Client) Stream(ctx context.Context, call Call) (*Stream, error) {
	return c.openStream(ctx, call, "", 0)
}

// Resume continues a stream from an offset at the engine that holds it. The call
// must have an Address; its method, path, header and body are replaced.
func (c *Client) Resume(ctx context.Context, call Call, stream string, offset int64) (*Stream, error) {
	call.Method = http.MethodPost
	call.Path = streamPath(stream) + "/resume?offset=" + strconv.FormatInt(offset, 10)
	call.Header, call.Body = nil, nil
	call.Repeatable = true
	setDefault(&call.Step, "resume")
	return c.openStream(ctx, call, stream, offset)
}

func streamPath(stream string) string {
	return "/v1/streams/" + url.PathEscape(stream)
}

// openStream sends a call and checks that the response is a stream. Unless want is
// empty, the stream must have that ID.
func (c *Client) openStream(ctx context.Context, call Call, want string, offset int64) (*Stream, error) {
	pending, err := c.send(ctx, call)
	if err != nil {
		return nil, err
	}
	if err := pending.checkStream(want); err != nil {
		pending.Close()
		return nil, err
	}
	return &Stream{
		ID:      pending.response.Header.Get("X-Stream-Id"),
		Header:  pending.response.Header,
		pending: pending,
		events:  pending.newEvents(),
		next:    offset,
	}, nil
}

// checkStream returns an error if the response is not a stream. Unless want is
// empty, the stream must have that ID.
func (r *pendingResponse) checkStream(want string) error {
	if r.response.StatusCode != http.StatusOK {
		return r.fail(PhaseAnswered, r.statusError())
	}
	header := r.response.Header
	mediaType, _, _ := mime.ParseMediaType(header.Get("Content-Type"))
	if mediaType != "text/event-stream" {
		return r.fail(PhaseInvalid, fmt.Errorf("%w: %q", errNotEvents, mediaType))
	}
	id := header.Get("X-Stream-Id")
	if id == "" {
		return r.fail(PhaseInvalid, errNoStream)
	}
	if want != "" && id != want {
		return r.fail(PhaseInvalid, fmt.Errorf("%w: %q", errOtherRequest, id))
	}
	return nil
}

// Next returns the next event. Offsets increase without gaps; events that were
// read before are dropped. Next returns io.EOF after [DONE], and an *Error if the
// stream ends in any other way.
func (s *Stream) Next() (Event, error) {
	s.pending.wd.progress()
	defer s.pending.wd.stop()
	for !s.done {
		raw, err := s.events.Next()
		if err != nil {
			return Event{}, s.endError(err)
		}
		if raw.ID == "" && string(raw.Data) == "[DONE]" {
			s.drain()
			break
		}
		offset, err := strconv.ParseInt(raw.ID, 10, 64)
		if err != nil || offset < 0 {
			return Event{}, s.pending.fail(PhaseInvalid, fmt.Errorf("%w: %.40q", errEventID, raw.ID))
		}
		if offset < s.next {
			s.duplicates++
			continue
		}
		if offset > s.next {
			err := fmt.Errorf("got event %d, expected event %d", offset, s.next)
			return Event{}, s.pending.fail(PhaseInvalid, err)
		}
		if !json.Valid(raw.Data) {
			return Event{}, s.pending.fail(PhaseInvalid, errNotJSON)
		}
		s.next++
		return Event{Offset: offset, Data: raw.Data}, nil
	}
	return Event{}, io.EOF
}

// endError returns the error of a stream that ended without [DONE].
func (s *Stream) endError(err error) error {
	var callErr *Error
	switch {
	case errors.As(err, &callErr):
		return callErr
	case errors.Is(err, io.EOF):
		return s.pending.fail(PhaseTruncated, errNoEnd)
	}
	return s.pending.fail(PhaseInvalid, err)
}

// drainTimeout bounds the wait for the end of the body after [DONE].
const drainTimeout = 100 * time.Millisecond

// drain reads to the end of the body, so that the connection can be reused. If
// the end does not arrive within drainTimeout, the connection is closed.
func (s *Stream) drain() {
	s.done = true
	timer := time.AfterFunc(drainTimeout, s.Close)
	defer timer.Stop()
	buffer := make([]byte, 64)
	for {
		n, err := s.events.source.Read(buffer)
		if n > 0 || err != nil {
			return
		}
	}
}

// SetProgressTimeout sets the progress timeout from the next event on. It must
// not be called while Next runs.
func (s *Stream) SetProgressTimeout(timeout time.Duration) {
	s.pending.wd.timeout.Store(int64(timeout))
}

// Offset returns the offset of the next event.
func (s *Stream) Offset() int64 {
	return s.next
}

// Duplicates returns the number of events that were dropped because they had been
// read before.
func (s *Stream) Duplicates() int {
	return s.duplicates
}

// Close closes the stream. Its connection is reused only if the stream was read to
// its end.
func (s *Stream) Close() {
	s.pending.Close()
}

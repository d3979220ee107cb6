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

// Event is one event of a model engine's stream.
type Event struct {
	// Offset is the event's number in its stream, from 0.
	Offset int64
	// Data is the event's JSON text.
	Data []byte
}

// Stream is an answer that arrives event by event. It is not safe for
// concurrent use, but for Close.
type Stream struct {
	// ID names the stream at its engine.
	ID string
	// Header is the header of the answer.
	Header http.Header

	answer *answer
	events *EventReader
	next   int64
	done   bool
	late   int
}

var (
	errNotEvents = errors.New("the answer is not a stream of events")
	errEventID   = errors.New("the event's id is not an offset")
	errNotJSON   = errors.New("the event's data is not JSON")
	errNoEnd     = errors.New("the stream ended without [DONE]")
	errNoStream  = errors.New("the answer names no stream")
)

// Stream sends a request and returns its answer as a stream.
func (c *Client) Stream(ctx context.Context, call Call) (*Stream, error) {
	return c.openStream(ctx, call, "", 0)
}

// Resume continues a stream from an offset on, at the engine that holds it.
// The call needs an Address; the rest of its request is replaced.
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

// openStream sends the call and checks that its answer is the stream wanted.
func (c *Client) openStream(ctx context.Context, call Call, want string, offset int64) (*Stream, error) {
	got, err := c.send(ctx, call)
	if err != nil {
		return nil, err
	}
	if err := got.checkStream(want); err != nil {
		got.Close()
		return nil, err
	}
	got.byEvent = true
	return &Stream{
		ID:     got.response.Header.Get("X-Stream-Id"),
		Header: got.response.Header,
		answer: got,
		events: NewEventReader(got, c.opts.MaxEventBytes),
		next:   offset,
	}, nil
}

// checkStream checks that an answer is a stream, and the one wanted.
func (a *answer) checkStream(want string) error {
	if a.response.StatusCode != http.StatusOK {
		return a.fail(PhaseAnswered, a.statusError())
	}
	header := a.response.Header
	kind, _, _ := mime.ParseMediaType(header.Get("Content-Type"))
	if kind != "text/event-stream" {
		return a.fail(PhaseInvalid, fmt.Errorf("%w: %q", errNotEvents, kind))
	}
	id := header.Get("X-Stream-Id")
	if id == "" {
		return a.fail(PhaseInvalid, errNoStream)
	}
	if want != "" && id != want {
		return a.fail(PhaseInvalid, fmt.Errorf("%w: %q", errOtherReply, id))
	}
	return nil
}

// Next returns the next event. Offsets follow one another without gaps;
// events that were read before are dropped. It returns io.EOF after [DONE]
// and an *Error if the stream ends otherwise.
func (s *Stream) Next() (Event, error) {
	s.answer.watched.progress()
	defer s.answer.watched.stop()
	for !s.done {
		raw, err := s.events.Next()
		if err != nil {
			return Event{}, s.ended(err)
		}
		if raw.ID == "" && string(raw.Data) == "[DONE]" {
			s.drain()
			break
		}
		offset, err := strconv.ParseInt(raw.ID, 10, 64)
		if err != nil || offset < 0 {
			return Event{}, s.answer.fail(PhaseInvalid, fmt.Errorf("%w: %.40q", errEventID, raw.ID))
		}
		if offset < s.next {
			s.late++
			continue
		}
		if offset > s.next {
			err := fmt.Errorf("event %d where %d was due", offset, s.next)
			return Event{}, s.answer.fail(PhaseInvalid, err)
		}
		if !json.Valid(raw.Data) {
			return Event{}, s.answer.fail(PhaseInvalid, errNotJSON)
		}
		s.next++
		return Event{Offset: offset, Data: raw.Data}, nil
	}
	return Event{}, io.EOF
}

// ended makes the error of a stream that ended without [DONE].
func (s *Stream) ended(err error) error {
	var failed *Error
	switch {
	case errors.As(err, &failed):
		return failed
	case errors.Is(err, io.EOF):
		return s.answer.fail(PhaseTruncated, errNoEnd)
	}
	return s.answer.fail(PhaseInvalid, err)
}

// drainTimeout bounds the wait for the end of a body after [DONE].
const drainTimeout = 100 * time.Millisecond

// drain reads to the end of the body, so that the connection can be used
// again. If the end does not come soon, the connection is closed by Close.
func (s *Stream) drain() {
	s.done = true
	timer := time.AfterFunc(drainTimeout, s.Close)
	defer timer.Stop()
	rest := make([]byte, 64)
	for {
		n, err := s.events.from.Read(rest)
		if n > 0 || err != nil {
			return
		}
	}
}

// SetProgressTimeout replaces the longest silence allowed from the next event
// on. It must not be called while Next runs.
func (s *Stream) SetProgressTimeout(timeout time.Duration) {
	s.answer.watched.timeout.Store(int64(timeout))
}

// Offset returns the offset of the next event.
func (s *Stream) Offset() int64 {
	return s.next
}

// Late returns the number of events that were dropped because they had been
// read before.
func (s *Stream) Late() int {
	return s.late
}

// Close gives the stream up. Its connection is used again only after the
// stream was read to its end.
func (s *Stream) Close() {
	s.answer.Close()
}

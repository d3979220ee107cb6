package backend

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"waxwingcart/internal/answers"
)

// EventReader reads server-sent events.
type EventReader struct {
	source *bufio.Reader
	limit  int
	// account, if set, is what an event holds.
	account answers.Account
	// onEvent, if set, is called after each complete event, also one without data.
	onEvent func()
}

// RawEvent is one server-sent event that has data.
type RawEvent struct {
	// ID is empty if the event has no ID.
	ID   string
	Name string
	Data []byte
}

// NewEventReader returns a reader of events of at most limit bytes each.
func NewEventReader(source io.Reader, limit int) *EventReader {
	return &EventReader{source: bufio.NewReaderSize(source, 4<<10), limit: limit}
}

// Next returns the next event that has data. It returns io.EOF at the end of the
// input and drops an event that is not terminated by an empty line.
func (r *EventReader) Next() (RawEvent, error) {
	var event RawEvent
	hasData := false
	size := 0
	_ = r.hold(0)
	for {
		line, err := r.readLine(r.limit - size)
		if err != nil {
			return RawEvent{}, err
		}
		size += len(line)
		if err := r.hold(size); err != nil {
			return RawEvent{}, err
		}
		if len(line) == 0 {
			r.eventRead()
			if hasData {
				return event, nil
			}
			event = RawEvent{}
			size = 0
			continue
		}
		field, value := splitField(line)
		switch field {
		case "data":
			if hasData {
				event.Data = append(event.Data, '\n')
			}
			event.Data = append(event.Data, value...)
			hasData = true
		case "event":
			event.Name = string(value)
		case "id":
			event.ID = string(value)
		}
	}
}

// smallEvent is the size of an event up to which its memory is not counted.
const smallEvent = 4 << 10

// hold sets the bytes that the current event takes. Its buffers may be twice as large.
func (r *EventReader) hold(bytes int) error {
	switch {
	case r.account == nil:
		return nil
	case bytes <= smallEvent:
		return r.account.Set(0)
	default:
		return r.account.Set(2 * int64(bytes))
	}
}

func (r *EventReader) eventRead() {
	if r.onEvent != nil {
		r.onEvent()
	}
}

// readLine returns the next line without its line ending. The slice is valid until
// the next call.
func (r *EventReader) readLine(limit int) ([]byte, error) {
	var whole []byte
	for {
		part, err := r.source.ReadSlice('\n')
		if len(whole)+len(part) > limit+2 {
			return nil, answers.TooLong(answers.KindEvent, int64(r.limit))
		}
		if err == nil && whole == nil {
			return trimLineEnding(part), nil
		}
		if err := r.hold(r.limit - limit + len(whole) + len(part)); err != nil {
			return nil, err
		}
		whole = append(whole, part...)
		if err == nil {
			return trimLineEnding(whole), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

func trimLineEnding(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}

// splitField splits a line into field name and value. The field name of a comment
// is empty.
func splitField(line []byte) (string, []byte) {
	field, value, _ := bytes.Cut(line, []byte(":"))
	return string(field), bytes.TrimPrefix(value, []byte(" "))
}

// NextBytes returns the bytes of the next event, unchanged and including the empty
// line at its end, and its ID, which may be empty. It returns io.EOF at the end
// of the input, and io.ErrUnexpectedEOF if the input ends within an event.
func (r *EventReader) NextBytes() (data []byte, id string, err error) {
	_ = r.hold(0)
	for {
		line, err := r.source.ReadSlice('\n')
		if len(data)+len(line) > r.limit {
			return nil, "", answers.TooLong(answers.KindEvent, int64(r.limit))
		}
		if err := r.hold(len(data) + len(line)); err != nil {
			return nil, "", err
		}
		data = append(data, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(data) > 0:
			return nil, "", io.ErrUnexpectedEOF
		case err != nil:
			return nil, "", err
		}
		trimmed := trimLineEnding(line)
		if len(trimmed) == 0 {
			r.eventRead()
			return data, id, nil
		}
		if field, value := splitField(trimmed); field == "id" {
			id = string(value)
		}
	}
}

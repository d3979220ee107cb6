package backend

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

var (
	errEventTooLarge = errors.New("the event is larger than allowed")
	errEventID       = errors.New("the event's id is not an offset")
)

// eventReader reads server-sent events with whole-number ids.
type eventReader struct {
	from  *bufio.Reader
	limit int
}

// rawEvent is one event; id is negative if it has none.
type rawEvent struct {
	id   int64
	name string
	data []byte
}

func newEventReader(from io.Reader, limit int) *eventReader {
	return &eventReader{from: bufio.NewReaderSize(from, 4<<10), limit: limit}
}

// next returns the next event that holds data. It returns io.EOF at the end
// of the input, where an event without its closing empty line is dropped.
func (r *eventReader) next() (rawEvent, error) {
	event := rawEvent{id: -1}
	hasData := false
	size := 0
	for {
		line, err := r.line(r.limit - size)
		if err != nil {
			return rawEvent{}, err
		}
		size += len(line)
		if len(line) == 0 {
			if hasData {
				return event, nil
			}
			event = rawEvent{id: -1}
			size = 0
			continue
		}
		field, value := splitField(line)
		switch field {
		case "data":
			if hasData {
				event.data = append(event.data, '\n')
			}
			event.data = append(event.data, value...)
			hasData = true
		case "event":
			event.name = string(value)
		case "id":
			event.id, err = strconv.ParseInt(string(value), 10, 64)
			if err != nil || event.id < 0 {
				return rawEvent{}, fmt.Errorf("%w: %.40q", errEventID, value)
			}
		}
	}
}

// line returns the next line without its end. The slice is valid until the
// next call.
func (r *eventReader) line(limit int) ([]byte, error) {
	var whole []byte
	for {
		part, err := r.from.ReadSlice('\n')
		if len(whole)+len(part) > limit+2 {
			return nil, errEventTooLarge
		}
		if err == nil && whole == nil {
			return trimEnd(part), nil
		}
		whole = append(whole, part...)
		if err == nil {
			return trimEnd(whole), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

func trimEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}

// splitField splits a line into its field and value. A comment has the field
// "".
func splitField(line []byte) (string, []byte) {
	field, value, _ := bytes.Cut(line, []byte(":"))
	return string(field), bytes.TrimPrefix(value, []byte(" "))
}

package backend

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	// MaxLimit is the highest limit that a server can name, in requests a second.
	MaxLimit = 1e6
	// maxLimitBytes bounds the text of a limit.
	maxLimitBytes = 32
)

var (
	errLimitSeveral      = errors.New("several values")
	errLimitUnreadable   = errors.New("not a decimal number")
	errRejectsUnreadable = errors.New("not a whole number")
	errLimitRange        = fmt.Errorf("not above 0 and at most %.0f", MaxLimit)
)

// Limit is what a response says of the requests that its server takes.
type Limit struct {
	// PerSecond is the number of requests a second from all callers together, or 0 if the
	// response names none.
	PerSecond float64
	// Brittle is true if the response says that its server falls over when it turns too many
	// requests away.
	Brittle bool
	// Err is set if the response names a limit that can't be read.
	Err error
	// Took is the time from the sending of the request until the head of its response was
	// read.
	Took time.Duration
}

// MaxRejects is the highest number of requests that a server can say it turns away in a second.
const MaxRejects = 1e6

// parseBrittle checks the values of a header: one whole number of 0 or more. How many requests the
// server may turn away makes no difference, as none is sent to it for which it has no room.
func parseBrittle(values []string) error {
	if len(values) != 1 {
		return fmt.Errorf("%d values: %w", len(values), errLimitSeveral)
	}
	rejects, err := strconv.ParseUint(strings.TrimSpace(values[0]), 10, 32)
	if err != nil || rejects > MaxRejects {
		return fmt.Errorf("rejects %.40q: %w", values[0], errRejectsUnreadable)
	}
	return nil
}

// ParseLimit returns the limit that the values of a header name: one decimal number above
// 0 without a sign or an exponent.
func ParseLimit(values []string) (float64, error) {
	if len(values) != 1 {
		return 0, fmt.Errorf("%d limits: %w", len(values), errLimitSeveral)
	}
	text := strings.TrimSpace(values[0])
	if text == "" || len(text) > maxLimitBytes || strings.Trim(text, "0123456789.") != "" {
		return 0, fmt.Errorf("limit %.40q: %w", text, errLimitUnreadable)
	}
	limit, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil:
		return 0, fmt.Errorf("limit %.40q: %w", text, errLimitUnreadable)
	case limit <= 0 || limit > MaxLimit:
		return 0, fmt.Errorf("limit %.40q: %w", text, errLimitRange)
	}
	return limit, nil
}

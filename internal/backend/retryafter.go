package backend

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxPause bounds the pause that a server can ask for.
const MaxPause = 5 * time.Minute

var (
	errPauseUnreadable = errors.New("neither seconds nor an HTTP date")
	errPauseNegative   = errors.New("negative number of seconds")
)

// ParsePause returns the pause that the Retry-After header of a response asks for:
// seconds, which may be fractional, or an HTTP date, which is compared with the
// response's own date, or with now if it has none. A date that has passed means no
// pause. A pause above MaxPause is limited to it, and limited is true. A value that
// is negative or unreadable is an error.
func ParsePause(header http.Header, now time.Time) (pause time.Duration, limited bool, err error) {
	text := strings.TrimSpace(header.Get("Retry-After"))
	seconds, parseErr := strconv.ParseFloat(text, 64)
	switch {
	case parseErr != nil && !errors.Is(parseErr, strconv.ErrRange):
		date, err := http.ParseTime(text)
		if err != nil {
			return 0, false, fmt.Errorf("Retry-After %.40q: %w", text, errPauseUnreadable)
		}
		if sent, err := http.ParseTime(header.Get("Date")); err == nil {
			now = sent
		}
		seconds = max(date.Sub(now).Seconds(), 0)
	case math.IsNaN(seconds):
		return 0, false, fmt.Errorf("Retry-After %.40q: %w", text, errPauseUnreadable)
	case seconds < 0:
		return 0, false, fmt.Errorf("Retry-After %.40q: %w", text, errPauseNegative)
	}
	if seconds > MaxPause.Seconds() {
		return MaxPause, true, nil
	}
	return time.Duration(seconds * float64(time.Second)), false, nil
}

package backend

import (
	"net/http"
	"testing"
	"time"
)

func TestParsePause(t *testing.T) {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	for _, test := range []struct {
		value, date string
		pause       time.Duration
		limited     bool
		invalid     bool
	}{
		{value: "2", pause: 2 * time.Second},
		{value: " 0.25 ", pause: 250 * time.Millisecond},
		{value: "0"},
		{value: "Sun, 01 Mar 2026 12:00:03 GMT", pause: 3 * time.Second},
		{value: "Sun, 01 Mar 2026 12:00:03 GMT", date: "Sun, 01 Mar 2026 12:00:01 GMT", pause: 2 * time.Second},
		{value: "Sun, 01 Mar 2026 11:00:00 GMT"},
		{value: "300", pause: MaxPause},
		{value: "301", pause: MaxPause, limited: true},
		{value: "1e300", pause: MaxPause, limited: true},
		{value: "1e999", pause: MaxPause, limited: true},
		{value: "Inf", pause: MaxPause, limited: true},
		{value: "Sun, 01 Mar 2099 12:00:00 GMT", pause: MaxPause, limited: true},
		{value: "-1", invalid: true},
		{value: "-Inf", invalid: true},
		{value: "NaN", invalid: true},
		{value: "soon", invalid: true},
		{value: "", invalid: true},
	} {
		header := http.Header{"Retry-After": {test.value}}
		if test.date != "" {
			header.Set("Date", test.date)
		}
		pause, limited, err := ParsePause(header, now)
		if pause != test.pause || limited != test.limited || (err != nil) != test.invalid {
			t.Errorf("%q: got %s, limited %t, error %v; expected %s, %t, error %t", test.value, pause, limited, err, test.pause, test.limited, test.invalid)
		}
	}
}

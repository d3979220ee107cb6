package backend

import (
	"strings"
	"testing"
)

// A limit is one decimal number above 0; anything else is an error and no limit.
func TestParseLimit(t *testing.T) {
	for text, expected := range map[string]float64{"1.2": 1.2, "3": 3, " 0.25 ": 0.25, ".5": 0.5, "1000000": 1e6} {
		if got, err := ParseLimit([]string{text}); err != nil || got != expected {
			t.Errorf("%q: got %v, %v, want %v", text, got, err, expected)
		}
	}
	for _, text := range []string{
		"", "0", "0.0", "-1", "+1", "1e308", "1e3", "NaN", "Inf", "0x10", "1_000", "1,2", "1.2.3", ".", "1000001", "two",
		strings.Repeat("1", 4096), "0." + strings.Repeat("0", 400) + "1", "1.2, 3",
	} {
		if got, err := ParseLimit([]string{text}); err == nil {
			t.Errorf("%.40q: got %v, want an error", text, got)
		}
	}
	if got, err := ParseLimit([]string{"1", "2"}); err == nil {
		t.Errorf("two values: got %v, want an error", got)
	}
}

// What a brittle server may turn away is one whole number of 0 or more; anything else is an error.
func TestParseBrittle(t *testing.T) {
	for _, text := range []string{"0", "3", " 12 ", "1000000"} {
		if err := parseBrittle([]string{text}); err != nil {
			t.Errorf("%q: got %v", text, err)
		}
	}
	for _, text := range []string{"", "-1", "+1", "1.5", "1e3", "1000001", "two", strings.Repeat("1", 4096)} {
		if parseBrittle([]string{text}) == nil {
			t.Errorf("%.40q: got no error", text)
		}
	}
	if parseBrittle([]string{"1", "2"}) == nil {
		t.Error("two values: got no error")
	}
}

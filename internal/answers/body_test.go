package answers

import (
	"io"
	"strings"
	"testing"
)

// A body is read up to its limit and fails beyond; its memory is given back when it is
// closed.
func TestLimitBody(t *testing.T) {
	const limit = 2 * ReservedBytes
	for _, test := range []struct {
		length int
		size   int64
		want   Kind
	}{
		{0, MaxMemory, ""}, {limit, MaxMemory, ""}, {limit + 1, MaxMemory, KindBody}, {10 * limit, MaxMemory, KindBody},
		{ReservedBytes / 2, 0, ""}, {ReservedBytes, 0, KindMemory},
	} {
		m := NewMemory(test.size)
		var reported []Kind
		body := LimitBody(io.NopCloser(strings.NewReader(strings.Repeat("x", test.length))), limit, m.Share(), func(err error) { reported = append(reported, KindOf(err)) })
		data, err := io.ReadAll(body)
		if KindOf(err) != test.want || err == nil && len(data) != test.length || len(data) > limit {
			t.Errorf("%d bytes, memory of %d: got %d bytes and %v, want kind %q", test.length, test.size, len(data), err, test.want)
		}
		if test.want == "" && len(reported) > 0 || test.want != "" && (len(reported) != 1 || reported[0] != test.want) {
			t.Errorf("%d bytes: reported %q, want %q", test.length, reported, test.want)
		}
		if _, again := body.Read(make([]byte, 1)); test.want == KindBody && KindOf(again) != KindBody {
			t.Errorf("%d bytes: reading on gave %v", test.length, again)
		}
		if _ = body.Close(); m.used != 0 {
			t.Errorf("%d bytes: %d bytes are held after the body was closed", test.length, m.used)
		}
	}
}

package backend

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// A body in an encoding that the request did not ask for can't be passed on. That is known
// from the head, before the caller has got a byte. One that was asked for is passed on.
func TestUnaskedEncodingIsNoAnswer(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Encoding", "gzip")
		_, _ = w.Write([]byte("encoded"))
	}))
	defer server.Close()
	c := New(Options{})
	defer c.Close()
	for asked, accepted := range map[string]bool{"": false, "gzip": true} {
		call := Call{Step: "dispatch", Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodPost, Path: "/", Header: http.Header{}}
		if asked != "" {
			call.Header.Set("Accept-Encoding", asked)
		}
		response, err := c.Forward(context.Background(), call)
		var callErr *Error
		switch {
		case accepted && err != nil:
			t.Errorf("asked for %q: got %v, want the answer", asked, err)
		case !accepted && (!errors.As(err, &callErr) || callErr.Phase != PhaseInvalid):
			t.Errorf("asked for %q: got %v, want an invalid answer", asked, err)
		}
		if err == nil {
			response.Close()
		}
	}
}

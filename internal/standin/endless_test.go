package standin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"waxwingcart/internal/answers"
	"waxwingcart/internal/backend"
)

// Each answer without end has the kind of its name at a backend client, until the fault
// is turned off.
func TestEndlessFaults(t *testing.T) {
	f := newFaults()
	server := httptest.NewServer(f.wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
	defer server.Close()
	client := backend.New(backend.Options{})
	defer client.Close()
	read := func() error {
		call := backend.Call{Step: "dispatch", Address: server.Listener.Addr().String(), Method: http.MethodGet, Path: "/x", ProgressTimeout: time.Hour}
		upstream, err := client.Forward(context.Background(), call)
		if err != nil {
			return err
		}
		defer upstream.Close()
		if upstream.Events {
			_, _, err = upstream.Next()
			return err
		}
		_, err = upstream.Body(answers.MaxBodyBytes)
		return err
	}
	for name := range endlessAnswers {
		f.set(FaultRequest{Endless: &name})
		if err := read(); answers.KindOf(err) != answers.Kind(name) {
			t.Errorf("%s: got %v", name, err)
		}
	}
	off := ""
	f.set(FaultRequest{Endless: &off})
	if err := read(); err != nil {
		t.Errorf("after the fault: %v", err)
	}
}

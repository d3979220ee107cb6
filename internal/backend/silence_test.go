package backend_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"waxwingcart/internal/backend"
)

// A call with OnSilence stays open while its server is silent, before the head of the
// response and in the middle of it, and reports each further timeout.
func TestSilenceIsReported(t *testing.T) {
	goOn := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-goOn
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range 3 {
			fmt.Fprintf(w, "id: %d\ndata: part\n\n", i)
			_ = http.NewResponseController(w).Flush()
			if i == 1 {
				<-goOn
			}
		}
	}))
	defer server.Close()
	// Each silence ends after its second report.
	var reports atomic.Int32
	onSilence := func() {
		if reports.Add(1)%2 != 0 {
			return
		}
		select {
		case goOn <- struct{}{}:
		case <-t.Context().Done():
		}
	}
	client := newClient(t, backend.Options{})
	stream, err := client.Forward(context.Background(), backend.Call{
		Step: "dispatch", Address: server.Listener.Addr().String(), Method: http.MethodPost, Path: "/",
		ProgressTimeout: 20 * time.Millisecond, OnSilence: onSilence,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	for want := range int64(3) {
		if _, number, err := stream.Next(); err != nil || number != want {
			t.Fatalf("got event %d and error %v, want event %d", number, err, want)
		}
	}
	if _, _, err := stream.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("got error %v, want the end of the stream", err)
	}
}

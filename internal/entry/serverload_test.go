package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"waxwingcart/internal/backend"
	"waxwingcart/internal/core/placement"
)

// loadProtocol reads the factor from the header Factor.
type loadProtocol struct{ leavingProtocol }

func (loadProtocol) Load(_ int, header http.Header) (backend.Load, bool) {
	factor, err := strconv.ParseFloat(header.Get("Factor"), 64)
	return backend.Load{Running: 1, Factor: factor}, err == nil
}

// The load in each kind of response reaches placement when the head is read, and the other entries' placement with the
// update on the attempt's result; that of a response to another request doesn't.
func TestLoadIsTakenFromEveryResponse(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Factor", "4")
		switch req.URL.Path {
		case "/error":
			w.WriteHeader(http.StatusInternalServerError)
		case "/refusal":
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/other-request":
			w.Header().Set("Other-Request", "1")
		case "/stream":
			w.Header().Set("Content-Type", "text/event-stream")
			_ = http.NewResponseController(w).Flush()
			<-release
		}
	}))
	defer server.CloseClientConnections()
	for path, want := range map[string]bool{"/answer": true, "/error": true, "/refusal": true, "/stream": true, "/other-request": false} {
		e, other := newBroadcastEntry(""), newBroadcastEntry("")
		other.incarnation = 8
		e.opts.Routed.Backends = loadProtocol{}
		client := backend.New(e.backendOptions())
		call := backend.Call{Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodGet, Path: path, Instance: "a"}
		upstream, err := client.Forward(context.Background(), call)
		e.broadcaster.result("a", placement.ResultAnswered, e.policy.loads.Take("a"))
		for _, batch := range e.broadcaster.takePending(0) {
			for _, update := range batch.updates {
				other.broadcaster.applyUpdate(update)
			}
		}
		request := &placement.Request{Service: "models", Size: placement.RequestSize{PromptTokens: 1_000, OutputTokens: 10}}
		for who, p := range map[string]*placement.Placer{"this entry": e.policy.placer, "another entry": other.policy.placer} {
			if got, _ := p.Pick(e.now(), request); want && got.Server != "b" {
				t.Errorf("%s: %s picked %s, which is slow", path, who, got.Server)
			}
			request.Exclude = []string{"b"}
			got, _ := p.Pick(e.now(), request)
			request.Exclude = []string{"a"}
			usual, _ := p.Pick(e.now(), request)
			request.Exclude = nil
			if slow := got.StartDelay > 2*usual.StartDelay; slow != want {
				t.Errorf("%s: %s predicts %v at the server and %v at another one, known as slow: %t, want %t", path, who, got.StartDelay, usual.StartDelay, slow, want)
			}
		}
		if err == nil {
			upstream.Close()
		}
		client.Close()
	}
}

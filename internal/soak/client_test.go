package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	clientsPerEntry = 3
	// clientPause is the mean pause between two requests of a client, with up to
	// fullRateEntries entries. With more of them it grows, so that the callers of a large
	// deployment don't starve it.
	clientPause     = 22 * time.Millisecond
	fullRateEntries = 12
	clientTimeout   = 3 * time.Second
	deadlineMS      = "2500"
)

// client sends requests to an entry until the context ends, over connections that it
// keeps open. The first client of an entry sends requests
// of ever other customers.
func (r *run) client(ctx context.Context, p *process, number int) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: clientTimeout}
	for i := 0; ctx.Err() == nil; i++ {
		r.request(p, fmt.Sprintf("%s-%d-%d", p.name, number, i), client, number, i)
		time.Sleep(r.clientPause())
	}
}

// clientPause returns a client's next pause.
func (r *run) clientPause() time.Duration {
	return time.Duration(rand.Int64N(int64(2*clientPause))) * time.Duration(max(r.plan.Entries, fullRateEntries)) / fullRateEntries
}

// request sends a client's next request to an entry and records what came back.
func (r *run) request(p *process, id string, client *http.Client, number, i int) {
	method, path, key := http.MethodGet, pathBase, fmt.Sprintf("%s%d", bulkKey, i%r.plan.Documents[0].Customers)
	if number > 0 {
		method, path, key = r.choose(i)
	}
	o := Observation{ID: id, Entry: p.name, Incarnation: p.running(), Method: method, Path: path, Key: key, From: r.now()}
	o.Status, o.Service = r.call(client, p, &o)
	o.To = r.now()
	if o.Incarnation != p.running() {
		// The response may be either incarnation's.
		o.Status = 0
	}
	r.history.update(func() { r.history.Observations = append(r.history.Observations, o) })
}

// burst sends requests to all entries at once, each over a connection of its own.
func (r *run) burst(e Event) {
	for _, p := range r.deployment.processes[r.plan.Replicas:] {
		for i := range e.Amount {
			r.puts.Go(func() {
				r.request(p, fmt.Sprintf("%s-burst-%d-%d", p.name, e.At, i), &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: clientTimeout}, 1, i)
			})
		}
	}
}

// choose returns the next request: of the oldest routes, of the route that each
// document moves, of the newest documents' routes and keys, and of routes that were
// dropped or never valid.
func (r *run) choose(i int) (method, path, key string) {
	newest, other := r.recent()
	switch i % 8 {
	case 0, 4:
		return http.MethodGet, pathBase, keyBase
	case 1, 5:
		return http.MethodGet, pathCurrent, keyBase
	case 2:
		return http.MethodPost, pathOnce, keyBase
	case 3:
		return http.MethodGet, pathBase, keyOf(newest)
	case 6:
		return http.MethodGet, pathOf(newest), keyBase
	}
	return http.MethodGet, pathOf(other), keyBase
}

// recent returns the newest acknowledged document and a random one of those sent last.
func (r *run) recent() (newest, other string) {
	const window = 12
	h := r.history
	h.mu.Lock()
	defer h.mu.Unlock()
	version := 0
	for _, a := range h.Acks[max(0, len(h.Acks)-window):] {
		if d := r.documents[a.Label]; d.Version > version {
			newest, version = a.Label, d.Version
		}
	}
	sent := h.Sendings[max(0, len(h.Sendings)-window):]
	return newest, sent[rand.IntN(len(sent))].Label
}

// call sends a request and returns the status, or 0 without a complete response, and
// the service that ran it.
func (r *run) call(client *http.Client, p *process, o *Observation) (int, string) {
	var body io.Reader
	if o.Method == http.MethodPost {
		body = strings.NewReader("once")
	}
	request, err := http.NewRequest(o.Method, "http://"+p.address(callersPort)+o.Path+"x", body)
	if err != nil {
		return 0, ""
	}
	if o.Method == http.MethodPost {
		// Without GetBody, net/http does not send the request again by itself.
		request.GetBody = nil
	}
	request.Host = host
	request.Header.Set("Waxwingcart-Request-Id", o.ID)
	request.Header.Set("Waxwingcart-Deadline-Ms", deadlineMS)
	request.Header.Set("Authorization", "Bearer "+o.Key)
	request, sent := traced(request)
	response, err := client.Do(request)
	o.Sent = sent()
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	service := response.Header.Get(headerService)
	if err != nil || response.StatusCode == http.StatusOK && string(content) != service+" "+o.ID {
		return 0, ""
	}
	return response.StatusCode, service
}

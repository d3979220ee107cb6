package soak

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// operatorTimeout is how long an operator waits for one response.
	operatorTimeout = time.Second
	// operatorPatience is how long an operator tries to get an acknowledgement.
	operatorPatience = 12 * time.Second
	operatorBackoff  = 50 * time.Millisecond
	maxBackoff       = 400 * time.Millisecond
	readInterval     = 60 * time.Millisecond
	listWait         = 700 * time.Millisecond
)

// put sends a document to one replica after the other until it gets a final response.
func (r *run) put(ctx context.Context, e Event) {
	document := r.documents[e.Document]
	if e.AfterList {
		select {
		case <-r.platform.nextRead():
		case <-time.After(listWait):
		}
		r.changeList()
		time.Sleep(e.For)
	}
	content := r.contents[e.Document]
	backoff := operatorBackoff
	for i, began := 0, r.now(); r.now()-began < operatorPatience && ctx.Err() == nil; i++ {
		p := r.deployment.processes[e.Replicas[i%len(e.Replicas)]]
		from := r.now()
		var index int
		r.history.update(func() {
			index = len(r.history.Sendings)
			r.history.Sendings = append(r.history.Sendings, Sending{Label: e.Document, Replica: p.name, From: from})
		})
		status := r.send(ctx, p, content)
		to := r.now()
		r.history.update(func() {
			r.history.Sendings[index].To, r.history.Sendings[index].Status = to, status
			if status == http.StatusOK && document.Flaw == FlawNone && !r.acked[e.Document] {
				r.acked[e.Document] = true
				r.history.Acks = append(r.history.Acks, Ack{Label: e.Document, At: to})
			}
		})
		if status >= 200 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// send sends a document to a replica and returns the status, or 0 without a response.
func (r *run) send(ctx context.Context, p *process, content []byte) int {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.address(controlPort)+"/v1/config/put", bytes.NewReader(content))
	if err != nil {
		return 0
	}
	response, err := r.operators.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// readBack reads the configuration from random replicas until the context ends.
func (r *run) readBack(ctx context.Context) {
	for ctx.Err() == nil {
		r.read(r.deployment.processes[rand.IntN(r.plan.Replicas)])
		time.Sleep(readInterval)
	}
}

// read reads the configuration from a replica and reports whether it came.
func (r *run) read(p *process) bool {
	read := Read{Replica: p.name, From: r.now()}
	response, err := r.operators.Get("http://" + p.address(controlPort) + "/v1/config/get")
	if err == nil {
		defer response.Body.Close()
		content, err := io.ReadAll(response.Body)
		if err == nil {
			read.Status = response.StatusCode
			read.Label = r.labels[string(content)]
		}
	}
	read.To = r.now()
	r.history.update(func() { r.history.Reads = append(r.history.Reads, read) })
	return read.Status == http.StatusOK
}

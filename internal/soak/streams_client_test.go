package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	streamClientsPerEntry = 2
	// streamTimeoutMS is the time limit of the routes of streams, and the callers' deadline.
	streamTimeoutMS     = 8_000
	streamClientTimeout = 9 * time.Second
	// streamTries bounds the client attempts for one stream.
	streamTries = 6
	// leaveShare is the share of client attempts in which the caller disconnects midway.
	leaveShare  = 0.4
	longestWait = time.Second
)

// End is how a client attempt for a stream ended.
type End string

// The ends. EndLeft means that the caller disconnected, EndCut that the answer did.
const (
	EndNone  End = "no answer"
	EndOther End = "refused"
	EndLeft  End = "left"
	EndCut   End = "cut off"
	EndWhole End = "whole"
)

// StreamAttempt is one client attempt for a stream. Resumes is the ID of the one that
// brought the first event, or "" if this one begins the stream.
type StreamAttempt struct {
	ID, Resumes, Entry, Path string
	// Version is that of the first event of the stream, if the attempt takes it up.
	Version  string
	From, To time.Duration
	Status   int
	End      End
	// Events holds the numbers of the events, Versions their versions in order, each once.
	Events   []int
	Versions []string
	// Sent is as for an Observation.
	Sent bool
	wait time.Duration
}

func (a *StreamAttempt) String() string {
	return fmt.Sprintf("%s %s (resumes %q of %q) at %.3f to %.3f s: status %d, %s, events %v of %v",
		a.ID, a.Path, a.Resumes, a.Version, a.From.Seconds(), a.To.Seconds(), a.Status, a.End, a.Events, a.Versions)
}

// crossing is the longest time for which a request and the entry's close of a kept connection
// may cross.
const crossing = 250 * time.Millisecond

// traced returns the request with a function that reports, at the end of its connection, whether
// it was written whole and did not cross the entry's close: the connection is a new one, or
// ended later.
func traced(request *http.Request) (*http.Request, func() bool) {
	var fresh, wrote atomic.Bool
	var wroteAt atomic.Int64
	began := time.Now()
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			fresh.Store(!info.Reused)
			wrote.Store(false)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			wroteAt.Store(int64(time.Since(began)))
			wrote.Store(info.Err == nil)
		},
	}
	sent := func() bool {
		since := time.Since(began) - time.Duration(wroteAt.Load())
		return wrote.Load() && (fresh.Load() || since > crossing)
	}
	return request.WithContext(httptrace.WithClientTrace(request.Context(), trace)), sent
}

// streamClients returns the number of callers of streams at each entry.
func (r *run) streamClients() int {
	if !r.plan.Streams {
		return 0
	}
	return streamClientsPerEntry
}

// streamClient reads streams until the context ends, over connections that it keeps open.
// It begins them at one entry and takes them up at others.
func (r *run) streamClient(ctx context.Context, p *process, number int) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: streamClientTimeout}
	for i := 0; ctx.Err() == nil; i++ {
		r.playStream(ctx, client, p, fmt.Sprintf("%s-stream-%d-%d", p.name, number, i), i)
		time.Sleep(r.clientPause())
	}
}

// streamPaths are the paths of a caller's streams, in turn.
var streamPaths = []string{pathDossier, pathMemo, pathDossier, pathReply, pathNotice}

// playStream begins a stream and takes it up until it is whole or can't go on.
func (r *run) playStream(ctx context.Context, client *http.Client, p *process, id string, i int) {
	path := streamPaths[i%len(streamPaths)]
	takesUp := path == pathDossier || path == pathMemo
	first, version, next := "", "", 0
	for try := 0; try < streamTries && next < streamEvents && ctx.Err() == nil; try++ {
		a := StreamAttempt{ID: fmt.Sprintf("%s-%d", id, try), Resumes: first, Entry: p.name, Path: path, Version: version, From: r.now()}
		leave := streamEvents + 1
		if takesUp && rand.Float64() < leaveShare {
			leave = 1 + rand.IntN(streamEvents-1)
		}
		r.streamAttempt(client, p, &a, next, leave)
		a.To = r.now()
		r.history.update(func() { r.history.Attempts = append(r.history.Attempts, a) })
		if len(a.Events) > 0 {
			next = a.Events[len(a.Events)-1] + 1
			if first == "" {
				first, version = a.ID, a.Versions[0]
			}
		}
		if !takesUp {
			return
		}
		if a.End == EndOther {
			sleep(ctx, min(a.wait, longestWait))
			continue
		}
		entries := r.deployment.processes[r.plan.Replicas:]
		p = entries[rand.IntN(len(entries))]
	}
}

// streamAttempt sends one client attempt, which goes on at the event next, and reads up to
// a number of events.
func (r *run) streamAttempt(client *http.Client, p *process, a *StreamAttempt, next, leave int) {
	a.End = EndNone
	request, err := http.NewRequest(http.MethodPost, "http://"+p.address(callersPort)+a.Path+"x", strings.NewReader("prompt"))
	if err != nil {
		return
	}
	// Without GetBody, net/http does not send the request again by itself.
	request.GetBody = nil
	request.Host = host
	request.Header.Set("Waxwingcart-Request-Id", a.ID)
	request.Header.Set("Waxwingcart-Deadline-Ms", strconv.Itoa(streamTimeoutMS))
	request.Header.Set("Authorization", "Bearer "+keyBase)
	if a.Resumes != "" {
		request.Header.Set("Resumes", a.Resumes)
		request.Header.Set("Last-Event-Id", strconv.Itoa(next-1))
	}
	request, sent := traced(request)
	response, err := client.Do(request)
	a.Sent = sent()
	if err != nil {
		return
	}
	defer response.Body.Close()
	if a.Status = response.StatusCode; a.Status != http.StatusOK {
		a.End = EndOther
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		a.wait = time.Duration(seconds * float64(time.Second))
		return
	}
	a.read(response, leave)
}

// read reads whole events until the answer ends, or the caller leaves.
func (a *StreamAttempt) read(response *http.Response, leave int) {
	a.End = EndLeft
	number := -1
	lines := bufio.NewScanner(response.Body)
	for len(a.Events) < leave {
		if !lines.Scan() {
			a.End = EndCut
			if lines.Err() == nil && len(a.Events) > 0 && a.Events[len(a.Events)-1] == streamEvents-1 {
				a.End = EndWhole
			}
			return
		}
		line := lines.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			number, _ = strconv.Atoi(id)
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			version, _, _ := strings.Cut(data, " ")
			if !slices.Contains(a.Versions, version) {
				a.Versions = append(a.Versions, version)
			}
			a.Events = append(a.Events, number)
		}
	}
}

package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"waxwingcart/internal/backend"
)

const (
	eventLimitBytes  = 1 << 20
	answerLimitBytes = 4 << 20
	dialTimeout      = 2 * time.Second
	// resendPause is the pause before a broken request is sent again.
	resendPause = 50 * time.Millisecond
	// maxRetryAfter bounds the Retry-After that is followed.
	maxRetryAfter = 30 * time.Second
	// outcomeUnstated is that of a refusal that does not state it.
	outcomeUnstated = "unstated"
)

// sender sends requests to entries, one after the other in turn.
type sender struct {
	opts   Options
	client *http.Client
	turn   atomic.Uint64
}

func newSender(opts Options) *sender {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &sender{opts: opts, client: &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: 256,
			IdleConnTimeout:     10 * time.Second,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// progress is how far one request has come over its attempts.
type progress struct {
	outcome
	due       time.Time // when the request was due to be sent
	lastID    string
	lastToken time.Time
	position  int // in the right answer
	// status and retryHelps are those of the last refusal.
	status     int
	retryHelps bool
}

// verdict tells what an attempt means for its request.
type verdict int

const (
	verdictFinal verdict = iota
	verdictBroken
	verdictRefused
)

// send sends a request until it has its final outcome.
func (s *sender) send(ctx context.Context, r *request, due time.Time) outcome {
	ctx, cancel := context.WithDeadline(ctx, due.Add(s.opts.Timeout))
	defer cancel()
	p := &progress{due: due}
	p.request = r
	for {
		again, pause := s.attempt(ctx, p)
		if !again || !wait(ctx, pause) {
			p.total = time.Since(due)
			return p.outcome
		}
	}
}

// attempt sends the request once, and reports whether and after which pause
// it is to be sent again.
func (s *sender) attempt(ctx context.Context, p *progress) (bool, time.Duration) {
	got, retryAfter := s.exchange(ctx, p)
	switch got {
	case verdictBroken:
		if p.resends+p.resumes >= s.opts.Resends {
			return false, 0
		}
		if p.lastID != "" {
			p.resumes++
		} else {
			p.resends++
		}
		return true, max(resendPause, retryAfter)
	case verdictRefused:
		// Without Retry-After, a retry can't help. A key in flight is waited
		// for, as callers do.
		inFlight := p.request.key != "" && p.status == http.StatusConflict
		if !p.retryHelps || p.retries >= s.opts.Retries && !inFlight {
			return false, 0
		}
		p.retries++
		return true, max(resendPause, retryAfter)
	}
	return false, 0
}

// exchange sends the request to the next entry that can be reached.
func (s *sender) exchange(ctx context.Context, p *progress) (verdict, time.Duration) {
	var failed error
	for range s.opts.Entries {
		entry := s.opts.Entries[int(s.turn.Add(1)%uint64(len(s.opts.Entries)))]
		response, err := s.client.Do(s.httpRequest(ctx, p, entry))
		if err == nil {
			defer response.Body.Close()
			return s.read(p, response)
		}
		failed = err
		if !dialFailed(err) {
			break
		}
		p.dialErrors++
	}
	return p.broken(failed), 0
}

// dialFailed reports whether no connection could be made.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// bodyOnce keeps the transport from sending a request again by itself.
type bodyOnce struct{ io.Reader }

func (bodyOnce) Close() error { return nil }

func (s *sender) httpRequest(ctx context.Context, p *progress, entry string) *http.Request {
	r := p.request
	made, err := http.NewRequestWithContext(ctx, r.method, "http://"+entry+r.path, nil)
	if err != nil {
		panic(fmt.Sprintf("load: request to %s: %v", entry, err))
	}
	made.Body = bodyOnce{bytes.NewReader(r.body)}
	made.ContentLength = int64(len(r.body))
	if len(r.body) > 0 {
		made.Header.Set("Content-Type", "application/json")
	}
	if r.bearer != "" {
		made.Header.Set("Authorization", "Bearer "+r.bearer)
	}
	if r.key != "" {
		made.Header.Set("Idempotency-Key", r.key)
	}
	if p.lastID != "" {
		made.Header.Set("Last-Event-ID", p.lastID)
	}
	return made
}

// read reads and checks an answer.
func (s *sender) read(p *progress, response *http.Response) (verdict, time.Duration) {
	if response.StatusCode/100 != 2 {
		return p.refused(response), retryAfter(response.Header)
	}
	if p.request.streamed() {
		return p.readStream(response), 0
	}
	return p.readWhole(response), 0
}

// retryAfter returns the pause that a header asks for.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return min(time.Duration(seconds*float64(time.Second)), maxRetryAfter)
}

// errorBody is the body of an answer that is not the full one.
type errorBody struct {
	Error struct {
		Reason    string `json:"reason"`
		Step      string `json:"step"`
		RequestID string `json:"request_id"`
	} `json:"error"`
}

// refused notes an answer that is not the full one.
func (p *progress) refused(response *http.Response) verdict {
	var body errorBody
	text, _ := io.ReadAll(io.LimitReader(response.Body, eventLimitBytes))
	_ = json.Unmarshal(text, &body)
	p.ending = endRefused
	p.reason = body.Error.Reason
	if p.reason == "" {
		p.reason = "status-" + strconv.Itoa(response.StatusCode)
	}
	p.state(response.Header.Get("Waxwingcart-Outcome"), body.Error.RequestID)
	p.first = time.Since(p.due)
	p.status = response.StatusCode
	p.retryHelps = response.Header.Get("Retry-After") != ""
	if p.status == http.StatusTooManyRequests || p.status == http.StatusServiceUnavailable {
		p.noRetryAfter = p.noRetryAfter || !p.retryHelps
	}
	return verdictRefused
}

// state notes what an answer says about its request having run.
func (p *progress) state(stated, requestID string) {
	p.stated = stated
	if stated != "not-run" && stated != "unknown" {
		p.stated = outcomeUnstated
	}
	p.claim(claim{requestID: requestID, notRun: stated == "not-run"})
}

// claim notes what callers were told; a booking is known by its body as well.
func (p *progress) claim(made claim) {
	if p.request.class == ClassBooking {
		made.body = p.request.digest
	}
	p.claims = append(p.claims, made)
}

func (p *progress) broken(err error) verdict {
	p.ending = endBroken
	p.reason = "connection"
	p.claim(claim{})
	if errors.Is(err, context.DeadlineExceeded) {
		p.reason = "timeout"
	}
	return verdictBroken
}

func (p *progress) wrong(reason string) verdict {
	p.ending = endWrong
	p.reason = reason
	return verdictFinal
}

func (p *progress) full() verdict {
	p.ending = endFull
	p.reason = ""
	p.stated = ""
	return verdictFinal
}

// readStream reads a stream and checks each token.
func (p *progress) readStream(response *http.Response) verdict {
	events := backend.NewEventReader(response.Body, eventLimitBytes)
	for {
		event, err := events.Next()
		if err != nil {
			return p.broken(err)
		}
		if event.Name == "error" {
			return p.errorEvent(event)
		}
		if string(event.Data) == "[DONE]" {
			return p.done(response.Body)
		}
		if event.ID != "" {
			p.lastID = event.ID
		}
		text, err := chunkText(event.Data)
		if err != nil {
			return p.wrong("no chunk")
		}
		if !strings.HasPrefix(p.request.answer[p.position:], text) {
			return p.wrong("token")
		}
		p.took(text)
		if p.request.abandon && p.delivered >= abandonAfter {
			p.ending = endAbandoned
			return verdictFinal
		}
	}
}

// done ends a stream at [DONE], by which it must be complete.
func (p *progress) done(rest io.Reader) verdict {
	if p.position < len(p.request.answer) {
		return p.wrong("short")
	}
	// Reading to the end lets the connection be used again.
	_, _ = io.CopyN(io.Discard, rest, answerLimitBytes)
	return p.full()
}

// errorEvent notes a stream's own word that it ends early. It can be resumed.
func (p *progress) errorEvent(event backend.RawEvent) verdict {
	var body errorBody
	_ = json.Unmarshal(event.Data, &body)
	p.ending = endRefused
	p.stated = "interrupted"
	p.reason = body.Error.Reason
	if p.reason == "" {
		p.reason = "error event"
	}
	return verdictBroken
}

// took notes right text.
func (p *progress) took(text string) {
	if text == "" {
		return
	}
	now := time.Now()
	if p.position == 0 {
		p.first = now.Sub(p.due)
	} else {
		p.gaps = append(p.gaps, now.Sub(p.lastToken))
	}
	p.lastToken = now
	p.position += len(text)
	p.delivered += strings.Count(text, " ")
}

// chunkText returns the text of a stream's chunk.
func chunkText(data []byte) (string, error) {
	var chunk struct {
		Choices []struct {
			Text  string `json:"text"`
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return "", err
	}
	if len(chunk.Choices) == 0 {
		return "", nil
	}
	return chunk.Choices[0].Text + chunk.Choices[0].Delta.Content, nil
}

// readWhole reads an application's answer and checks its digest.
func (p *progress) readWhole(response *http.Response) verdict {
	text, err := io.ReadAll(io.LimitReader(response.Body, answerLimitBytes))
	if err != nil {
		return p.broken(err)
	}
	var answer struct {
		ID     string `json:"id"`
		Digest string `json:"digest"`
	}
	if err := json.Unmarshal(text, &answer); err != nil || answer.Digest != p.request.digest {
		return p.wrong("digest")
	}
	if twin := p.request.twin; twin != nil && !twin.same(string(text)) {
		return p.wrong("other answer under one key")
	}
	p.first = time.Since(p.due)
	return p.full()
}

// wait waits and reports false if ctx ended first.
func wait(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

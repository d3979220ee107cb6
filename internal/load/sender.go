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
	// resendDelay is the minimum delay before a request is sent again.
	resendDelay = 50 * time.Millisecond
	// maxRetryAfter bounds the delay that a Retry-After header can ask for.
	maxRetryAfter = 30 * time.Second
	// outcomeUnstated stands for the outcome of a refusal that states none.
	outcomeUnstated = "unstated"
)

// sender sends requests to the entries in round-robin order.
type sender struct {
	opts      Options
	client    *http.Client
	nextEntry atomic.Uint64
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

// progress is the state of one request over all its attempts.
type progress struct {
	outcome
	due       time.Time // when the request was due to be sent
	lastID    string
	lastToken time.Time
	position  int // in the expected answer
	// status is the status of the last refusal, and retryable is set if that refusal
	// had a Retry-After.
	status    int
	retryable bool
}

// verdict is the effect of an attempt on its request: verdictFinal ends the request,
// the others may allow another attempt.
type verdict int

const (
	verdictFinal verdict = iota
	verdictBroken
	verdictRefused
)

// send sends a request, with resends and retries, and returns its final outcome.
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

// attempt sends the request once. It reports whether to send it again and after which
// delay.
func (s *sender) attempt(ctx context.Context, p *progress) (bool, time.Duration) {
	result, retryAfter := s.exchange(ctx, p)
	switch result {
	case verdictBroken:
		if p.resends+p.resumes >= s.opts.Resends {
			return false, 0
		}
		if p.lastID != "" {
			p.resumes++
		} else {
			p.resends++
		}
		return true, max(resendDelay, retryAfter)
	case verdictRefused:
		// A refusal without Retry-After is final. If another request with the same
		// idempotency key is in flight (status 409), callers wait for it, so Retries
		// does not apply.
		inFlight := p.request.key != "" && p.status == http.StatusConflict
		if !p.retryable || p.retries >= s.opts.Retries && !inFlight {
			return false, 0
		}
		p.retries++
		return true, max(resendDelay, retryAfter)
	}
	return false, 0
}

// exchange sends the request to the next entry that can be reached, and reads the
// response.
func (s *sender) exchange(ctx context.Context, p *progress) (verdict, time.Duration) {
	var lastErr error
	for range s.opts.Entries {
		entry := s.opts.Entries[int(s.nextEntry.Add(1)%uint64(len(s.opts.Entries)))]
		response, err := s.client.Do(s.httpRequest(ctx, p, entry))
		if err == nil {
			defer response.Body.Close()
			return s.read(p, response)
		}
		lastErr = err
		if !dialFailed(err) {
			break
		}
		p.dialErrors++
	}
	return p.markBroken(lastErr), 0
}

// dialFailed reports whether the error is a failure to connect.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// singleUseBody is a request body that http.Transport can't rewind, so that it never
// sends a request a second time by itself.
type singleUseBody struct{ io.Reader }

func (singleUseBody) Close() error { return nil }

func (s *sender) httpRequest(ctx context.Context, p *progress, entry string) *http.Request {
	r := p.request
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+entry+r.path, nil)
	if err != nil {
		panic(fmt.Sprintf("load: request to %s: %v", entry, err))
	}
	req.Body = singleUseBody{bytes.NewReader(r.body)}
	req.ContentLength = int64(len(r.body))
	if len(r.body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	if r.bearer != "" {
		req.Header.Set("Authorization", "Bearer "+r.bearer)
	}
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	if p.lastID != "" {
		req.Header.Set("Last-Event-ID", p.lastID)
	}
	return req
}

// read reads and checks a response.
func (s *sender) read(p *progress, response *http.Response) (verdict, time.Duration) {
	if response.StatusCode/100 != 2 {
		return p.markRefused(response), retryAfter(response.Header)
	}
	if p.request.streamed() {
		return p.readStream(response), 0
	}
	return p.readWhole(response), 0
}

// retryAfter returns the delay that a Retry-After header asks for.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return min(time.Duration(seconds*float64(time.Second)), maxRetryAfter)
}

// errorBody is the body of a refusal or error event.
type errorBody struct {
	Error struct {
		Reason    string `json:"reason"`
		Step      string `json:"step"`
		RequestID string `json:"request_id"`
	} `json:"error"`
}

// markRefused records a response with an error status.
func (p *progress) markRefused(response *http.Response) verdict {
	var body errorBody
	text, _ := io.ReadAll(io.LimitReader(response.Body, eventLimitBytes))
	_ = json.Unmarshal(text, &body)
	p.ending = endRefused
	p.reason = body.Error.Reason
	if p.reason == "" {
		p.reason = "status-" + strconv.Itoa(response.StatusCode)
	}
	p.setStated(response.Header.Get("Waxwingcart-Outcome"), body.Error.RequestID)
	p.first = time.Since(p.due)
	p.status = response.StatusCode
	p.retryable = response.Header.Get("Retry-After") != ""
	if p.status == http.StatusTooManyRequests || p.status == http.StatusServiceUnavailable {
		p.noRetryAfter = p.noRetryAfter || !p.retryable
	}
	return verdictRefused
}

// setStated records what a refusal states about whether the request ran.
func (p *progress) setStated(stated, requestID string) {
	p.stated = stated
	if stated != "not-run" && stated != "unknown" {
		p.stated = outcomeUnstated
	}
	p.addAttempt(attemptResult{requestID: requestID, notRun: stated == "not-run"})
}

// addAttempt records the result of an attempt. For a booking it adds the digest of the
// body, by which stand-ins count bookings.
func (p *progress) addAttempt(attempt attemptResult) {
	if p.request.class == ClassBooking {
		attempt.body = p.request.digest
	}
	p.attempts = append(p.attempts, attempt)
}

// markBroken records an attempt that ended without a complete response.
func (p *progress) markBroken(err error) verdict {
	p.ending = endBroken
	p.reason = "connection"
	p.addAttempt(attemptResult{})
	if errors.Is(err, context.DeadlineExceeded) {
		p.reason = "timeout"
	}
	return verdictBroken
}

func (p *progress) markWrong(reason string) verdict {
	p.ending = endWrong
	p.reason = reason
	return verdictFinal
}

func (p *progress) markFull() verdict {
	p.ending = endFull
	p.reason = ""
	p.stated = ""
	return verdictFinal
}

// readStream reads a stream and compares each token with the expected answer.
func (p *progress) readStream(response *http.Response) verdict {
	events := backend.NewEventReader(response.Body, eventLimitBytes)
	for {
		event, err := events.Next()
		if err != nil {
			return p.markBroken(err)
		}
		if event.Name == "error" {
			return p.readErrorEvent(event)
		}
		if string(event.Data) == "[DONE]" {
			return p.finishStream(response.Body)
		}
		if event.ID != "" {
			p.lastID = event.ID
		}
		text, err := chunkText(event.Data)
		if err != nil {
			return p.markWrong("no chunk")
		}
		if !strings.HasPrefix(p.request.answer[p.position:], text) {
			return p.markWrong("token")
		}
		p.addText(text)
		if p.request.abandon && p.delivered >= abandonAfter {
			p.ending = endAbandoned
			return verdictFinal
		}
	}
}

// finishStream handles [DONE], before which the stream must be complete.
func (p *progress) finishStream(rest io.Reader) verdict {
	if p.position < len(p.request.answer) {
		return p.markWrong("short")
	}
	// The connection can be reused only if the body is read to its end.
	_, _ = io.CopyN(io.Discard, rest, answerLimitBytes)
	return p.markFull()
}

// readErrorEvent records an error event, which ends a stream early. The stream can be
// resumed.
func (p *progress) readErrorEvent(event backend.RawEvent) verdict {
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

// addText records text that matched the expected answer, with its latency.
func (p *progress) addText(text string) {
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

// chunkText returns the text in a chunk of a stream.
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

// readWhole reads an application's response and checks its digest.
func (p *progress) readWhole(response *http.Response) verdict {
	text, err := io.ReadAll(io.LimitReader(response.Body, answerLimitBytes))
	if err != nil {
		return p.markBroken(err)
	}
	var answer struct {
		ID     string `json:"id"`
		Digest string `json:"digest"`
	}
	if err := json.Unmarshal(text, &answer); err != nil || answer.Digest != p.request.digest {
		return p.markWrong("digest")
	}
	if pair := p.request.pair; pair != nil && !pair.matches(string(text)) {
		return p.markWrong("other answer under one key")
	}
	p.first = time.Since(p.due)
	return p.markFull()
}

// wait waits for the pause. It reports false if ctx ended first.
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

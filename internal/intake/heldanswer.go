package intake

import (
	"context"
	"net/http"
	"strconv"
	"sync"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"
)

const (
	// longAnswer is the length in bytes from which a write of an answer counts as long.
	longAnswer = 64 << 10
	// answerCopies is how often a handler holds an answer that it builds: what it is made from, and its bytes.
	answerCopies = 2
)

// answerLengths remembers how long the answers of calls are, since a handler builds an answer before it writes the
// first byte.
type answerLengths struct {
	mu sync.Mutex
	// latest is the length of the latest answer by path, where that was long.
	latest map[string]int64
}

// expected returns the memory for the answer of a call.
func (l *answerLengths) expected(path string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return answerCopies * l.latest[path]
}

// note remembers the length of an answer that its call did not hold before it was built.
func (l *answerLengths) note(path string, answer *heldAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case answer.bytes < longAnswer || answer.prepared:
		delete(l.latest, path)
	case l.latest == nil:
		l.latest = map[string]int64{path: answer.bytes}
	default:
		l.latest[path] = answer.bytes
	}
}

type answerKey struct{}

// HoldAnswers holds the answers of a twirp service from before they are encoded. Calls that wait for a change hold
// nothing while they wait. It is a twirp.Interceptor.
func HoldAnswers(next twirp.Method) twirp.Method {
	return func(ctx context.Context, request any) (any, error) {
		response, err := next(ctx, request)
		answer, _ := ctx.Value(answerKey{}).(*heldAnswer)
		message, ok := response.(proto.Message)
		if err != nil || answer == nil || !ok {
			return response, err
		}
		answer.prepared = true
		size := int64(proto.Size(message))
		if size < longAnswer {
			return response, nil
		}
		if err := answer.account.Set(answerCopies * size); err != nil {
			return nil, twirp.NewError(twirp.Unavailable, err.Error())
		}
		return response, nil
	}
}

// heldAnswer holds a long answer while it is written. It writes it in pieces, so that a caller that reads slowly
// makes progress, and one that reads nothing gives way. An answer for which there is no memory becomes status 503:
// the call may have run.
type heldAnswer struct {
	http.ResponseWriter
	share   *Share
	account *Answer
	bytes   int64
	// status is that of the answer while it has not been sent, or zero.
	status int
	sent   bool
	// prepared is true if the answer was held before it was encoded.
	prepared bool
}

// Unwrap returns the writer within, for http.ResponseController.
func (a *heldAnswer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// WriteHeader keeps the status until the answer's first byte is written.
func (a *heldAnswer) WriteHeader(status int) { a.status = status }

// send sends the status.
func (a *heldAnswer) send() {
	if a.status != 0 && !a.sent {
		a.ResponseWriter.WriteHeader(a.status)
	}
	a.sent = true
}

// FlushError sends what was written.
func (a *heldAnswer) FlushError() error {
	a.send()
	return http.NewResponseController(a.ResponseWriter).Flush()
}

// Write writes bytes of the answer.
func (a *heldAnswer) Write(data []byte) (int, error) {
	if len(data) < longAnswer {
		a.send()
		return a.ResponseWriter.Write(data)
	}
	a.bytes += int64(len(data))
	if !a.prepared {
		if err := a.account.Set(a.bytes); err != nil {
			return 0, a.refuse(err)
		}
	}
	a.send()
	written, err := 0, error(nil)
	a.share.Write(0, func() { written, err = a.share.writePieces(a.ResponseWriter, data) })
	return written, err
}

// refuse answers with status 503 in place of an answer that is not held, unless that has begun.
func (a *heldAnswer) refuse(err error) error {
	if !a.sent {
		a.sent = true
		header := a.Header()
		header.Del("Content-Length")
		header.Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
		http.Error(a.ResponseWriter, err.Error(), http.StatusServiceUnavailable)
	}
	return err
}

package entry

import (
	"context"
	"errors"
	"io"
	"strconv"

	"waxwingcart/internal/backend"
	"waxwingcart/internal/core/request"
)

var errNotResumed = errors.New("the answer does not go on with the stream")

// runPassThrough passes a stream on event by event, with the bytes that the backend
// server sent. An answer that is no stream is handed over whole. The stream goes
// on after the given event, unless that is negative.
func (a *attempt) runPassThrough(ctx context.Context, resumeAfter int64) {
	call := a.call("dispatch")
	if resumeAfter >= 0 {
		call.Header = call.Header.Clone()
		call.Header.Set(headerLastEventID, strconv.FormatInt(resumeAfter, 10))
	}
	upstream, err := a.run.entry.backends.Pass(ctx, call)
	if err != nil {
		a.fail(ctx, err)
		return
	}
	defer upstream.Close()
	head := &answer{status: upstream.Status, header: upstream.Header}
	a.post(ctx, streamEvent{event: request.Opened{Attempt: a.number}, answer: head})
	switch {
	case upstream.Events:
	case resumeAfter >= 0:
		// The caller has the beginning of a stream; this is not its rest.
		a.fail(ctx, &backend.Error{
			Step: "resume", Peer: a.server.Address, Phase: backend.PhaseInvalid, Status: upstream.Status, Err: errNotResumed,
		})
		return
	default:
		a.passWholeAnswer(ctx, upstream, head)
		return
	}
	a.passEvents(ctx, upstream)
}

// passWholeAnswer hands a whole answer over, unless another server may do better.
func (a *attempt) passWholeAnswer(ctx context.Context, upstream *backend.Passage, head *answer) {
	body, err := upstream.Body(maxAnswerBytes)
	if err != nil {
		a.fail(ctx, err)
		return
	}
	head.body = body
	if a.worthRetrying(head) {
		a.failApp(ctx, appResult{answer: head, server: a.server})
		return
	}
	a.post(ctx, streamEvent{event: request.Completed{Attempt: a.number}, answer: head})
}

func (a *attempt) passEvents(ctx context.Context, upstream *backend.Passage) {
	for {
		data, number, err := upstream.Next()
		if errors.Is(err, io.EOF) {
			a.post(ctx, streamEvent{event: request.Completed{Attempt: a.number}})
			return
		}
		if err != nil {
			a.fail(ctx, err)
			return
		}
		if a.final {
			upstream.SetProgressTimeout(a.run.untilDeadline())
		} else {
			upstream.SetProgressTimeout(a.run.progressTimeout())
		}
		token := request.Token{Attempt: a.number, Offset: int(number)}
		if !a.post(ctx, streamEvent{event: token, data: data}) {
			return
		}
	}
}

package entry

import (
	"context"
	"errors"
	"io"
	"strconv"

	"waxwingcart/internal/answers"
	"waxwingcart/internal/backend"
	"waxwingcart/internal/core/request"
)

var errNotResumed = errors.New("the answer does not go on with the stream")

// runPassThrough relays a stream event by event, with the bytes that the
// backend server sent. An answer that is not a stream is relayed whole. If
// resumeAfter is not negative, the stream continues after that event.
func (a *attempt) runPassThrough(ctx context.Context, resumeAfter int64) {
	call := a.watchedCall(ctx, "dispatch")
	if resumeAfter >= 0 {
		call.Header = call.Header.Clone()
		call.Header.Set(headerLastEventID, strconv.FormatInt(resumeAfter, 10))
	}
	upstream, err := a.run.entry.backends.Forward(ctx, call)
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
		// The caller has the beginning of a stream, and this answer does not
		// continue it.
		a.fail(ctx, &backend.Error{
			Step: "resume", Peer: a.server.Address, Phase: backend.PhaseInvalid, Status: upstream.Status, Err: errNotResumed,
		})
		return
	default:
		a.forwardWholeAnswer(ctx, upstream, head)
		return
	}
	a.forwardEvents(ctx, upstream)
}

// forwardWholeAnswer posts a whole answer, unless another server should be tried.
func (a *attempt) forwardWholeAnswer(ctx context.Context, upstream *backend.Passthrough, head *answer) {
	body, err := upstream.Body(answers.MaxBodyBytes)
	if err != nil {
		a.fail(ctx, err)
		return
	}
	head.body, head.held = body, a.run.share != nil
	if a.worthRetrying(head) {
		a.failApp(ctx, appResult{answer: head, server: a.server})
		return
	}
	a.post(ctx, streamEvent{event: request.Completed{Attempt: a.number}, answer: head})
}

func (a *attempt) forwardEvents(ctx context.Context, upstream *backend.Passthrough) {
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
		upstream.SetProgressTimeout(a.run.progressTimeout())
		token := request.Token{Attempt: a.number, Offset: int(number)}
		if !a.post(ctx, streamEvent{event: token, data: data}) {
			return
		}
	}
}
